// Package blob stores content in a log stream as a sequence of chunks. A chunk is
// one commit log entry; a Manifest lists the positions of the chunks. Only the
// manifest is kept in memory: bodies are read from the log again when they are
// needed.
//
// A chunk has no effect on the fold of its stream. Content comes into existence
// with the record that carries its manifest, so an abandoned upload leaves nothing
// but log records that expire.
package blob

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// MaxChunkBytes bounds the content of one chunk.
const MaxChunkBytes = 256 << 10

// KindChunk is the entry kind of a chunk.
const KindChunk commitlog.EntryKind = 300

// Chunk is the body of a chunk entry.
type Chunk struct {
	Data []byte `cbor:"1,keyasint"`
}

// Ref holds the position of one chunk and the number of bytes in it.
type Ref struct {
	Offset commitlog.Offset `cbor:"1,keyasint"`
	Index  uint32           `cbor:"2,keyasint"`
	Len    uint32           `cbor:"3,keyasint"`
}

// Manifest lists the chunks of one piece of content in order.
type Manifest []Ref

// Size returns the length of the content in bytes.
func (m Manifest) Size() int64 {
	var n int64
	for _, r := range m {
		n += int64(r.Len)
	}
	return n
}

// Oldest returns the lowest offset that the manifest depends on, or the highest
// possible offset if the manifest is empty.
func (m Manifest) Oldest() commitlog.Offset {
	oldest := ^commitlog.Offset(0)
	for _, r := range m {
		oldest = min(oldest, r.Offset)
	}
	return oldest
}

// Stream is the part of commitlog.Stream that this package uses.
type Stream interface {
	Commit(ctx context.Context, entries ...commitlog.Entry) (commitlog.Position, error)
	Load(ctx context.Context, at commitlog.Offset) ([]commitlog.Entry, error)
}

// WriteResult describes content that has been written.
type WriteResult struct {
	Manifest Manifest
	Size     int64
	// SHA256 is the hash of the content in hexadecimal.
	SHA256 string
}

// Store reads and writes content in one stream. It is safe for concurrent use.
type Store struct {
	stream Stream
	cache  cache
}

// NewStore returns a store over a stream. The store caches nothing.
func NewStore(s Stream) *Store { return &Store{stream: s} }

// NewCachingStore returns a store that caches the chunks that it loaded last, for
// readers that read the same chunk repeatedly. chunks is the capacity of the cache.
func NewCachingStore(s Stream, chunks int) *Store {
	return &Store{stream: s, cache: cache{limit: chunks}}
}

// Write appends the content of r in chunks and returns its manifest. It holds one
// chunk in memory. It returns errkind.TooLarge for content of more than limit
// bytes.
func (s *Store) Write(ctx context.Context, r io.Reader, limit int64) (WriteResult, error) {
	var w WriteResult
	hash := sha256.New()
	buf := make([]byte, MaxChunkBytes)
	for {
		n, err := fill(r, buf)
		if n > 0 {
			if w.Size+int64(n) > limit {
				return WriteResult{}, errkind.New(errkind.TooLarge, "content is larger than %d bytes", limit)
			}
			ref, cerr := s.writeChunk(ctx, buf[:n])
			if cerr != nil {
				return WriteResult{}, cerr
			}
			hash.Write(buf[:n])
			w.Size += int64(n)
			w.Manifest = append(w.Manifest, ref)
		}
		if errors.Is(err, io.EOF) {
			w.SHA256 = hex.EncodeToString(hash.Sum(nil))
			return w, nil
		}
		if err != nil {
			return WriteResult{}, errors.Wrap(err, "blob: read content")
		}
	}
}

// fill reads until buf is full. Unlike io.ReadFull it distinguishes the end of r
// from an io.ErrUnexpectedEOF that r itself returned.
func fill(r io.Reader, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		k, err := r.Read(buf[n:])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func (s *Store) writeChunk(ctx context.Context, data []byte) (Ref, error) {
	e, err := commitlog.NewEntry(KindChunk, Chunk{Data: data})
	if err != nil {
		return Ref{}, err
	}
	pos, err := s.stream.Commit(ctx, e)
	if err != nil {
		return Ref{}, errkind.Wrap(err, errkind.LogUnavailable, "content could not be stored")
	}
	return Ref{Offset: pos.Offset, Index: uint32(pos.Index), Len: uint32(len(data))}, nil
}

// Chunk reads one chunk. The caller must not modify it.
func (s *Store) Chunk(ctx context.Context, ref Ref) ([]byte, error) {
	if data, ok := s.cache.get(ref); ok {
		return data, nil
	}
	data, err := s.load(ctx, ref)
	if err == nil {
		s.cache.put(ref, data)
	}
	return data, err
}

func (s *Store) load(ctx context.Context, ref Ref) ([]byte, error) {
	entries, err := s.stream.Load(ctx, ref.Offset)
	if errors.Is(err, io.EOF) {
		// A lost connection is not the end of the content.
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, errkind.Wrap(err, errkind.LogUnavailable, "stored content could not be read")
	}
	if int(ref.Index) >= len(entries) || entries[ref.Index].Kind != KindChunk {
		return nil, errkind.New(errkind.Internal, "record %d/%d is no chunk", ref.Offset, ref.Index)
	}
	c, err := DecodeChunk(entries[ref.Index])
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "chunk %d/%d", ref.Offset, ref.Index)
	}
	if len(c.Data) != int(ref.Len) {
		return nil, errkind.New(errkind.Internal, "chunk %d/%d has %d bytes, not %d", ref.Offset, ref.Index, len(c.Data), ref.Len)
	}
	return c.Data, nil
}

// DecodeChunk decodes a chunk entry.
func DecodeChunk(e commitlog.Entry) (Chunk, error) {
	var c Chunk
	if err := e.Decode(&c); err != nil {
		return Chunk{}, err
	}
	if len(c.Data) == 0 || len(c.Data) > MaxChunkBytes {
		return Chunk{}, errors.Wrapf(commitlog.ErrFormat, "chunk has an invalid size of %d bytes", len(c.Data))
	}
	return c, nil
}

// Reader reads content from an offset on and holds one chunk in memory at a time.
type Reader struct {
	ctx   context.Context
	store *Store
	refs  Manifest
	skip  int64
	buf   []byte
}

// Open returns a reader over a manifest that starts at byte from. Its reads fail
// once ctx has ended.
func (s *Store) Open(ctx context.Context, m Manifest, from int64) *Reader {
	for len(m) > 0 && from >= int64(m[0].Len) {
		from -= int64(m[0].Len)
		m = m[1:]
	}
	return &Reader{ctx: ctx, store: s, refs: m, skip: from}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.buf) == 0 {
		if len(r.refs) == 0 {
			return 0, io.EOF
		}
		data, err := r.store.Chunk(r.ctx, r.refs[0])
		if err != nil {
			return 0, err
		}
		r.buf, r.refs, r.skip = data[r.skip:], r.refs[1:], 0
	}
	n := copy(p, r.buf)
	r.buf = r.buf[n:]
	return n, nil
}
