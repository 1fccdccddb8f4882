package blob

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/errkind"
)

// fakeStream stores every commit as a record of its own.
type fakeStream struct {
	records [][]commitlog.Entry
	loads   int
}

var errMissing = errors.New("record is missing")

func (f *fakeStream) Commit(_ context.Context, es ...commitlog.Entry) (commitlog.Position, error) {
	f.records = append(f.records, es)
	return commitlog.Position{Offset: commitlog.Offset(len(f.records) - 1)}, nil
}

func (f *fakeStream) Load(_ context.Context, at commitlog.Offset) ([]commitlog.Entry, error) {
	f.loads++
	if int(at) >= len(f.records) || f.records[at] == nil {
		return nil, errMissing
	}
	return f.records[at], nil
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{0, 1, MaxChunkBytes - 1, MaxChunkBytes, MaxChunkBytes + 1, 3*MaxChunkBytes + 7}).Draw(t, "size")
		data := bytes.Repeat([]byte("0123456789abcdefg"), size/17+1)[:size]
		s := NewCachingStore(&fakeStream{}, rapid.IntRange(0, 2).Draw(t, "cache"))
		w, err := s.Write(context.Background(), bytes.NewReader(data), int64(size))
		assert.NilError(t, err)
		assert.Equal(t, w.Size, int64(size))
		assert.Equal(t, w.Manifest.Size(), int64(size))
		from := rapid.IntRange(0, size).Draw(t, "from")
		for range 2 {
			got, err := io.ReadAll(s.Open(context.Background(), w.Manifest, int64(from)))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, data[from:]))
		}
	})
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	f := &fakeStream{}
	s := NewStore(f)
	_, err := s.Write(ctx, bytes.NewReader(make([]byte, 11)), 10)
	assert.Assert(t, errkind.Is(err, errkind.TooLarge))
	truncated := io.MultiReader(bytes.NewReader(make([]byte, 5)), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err = s.Write(ctx, truncated, 10)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "truncated content must not be accepted")
	w, err := s.Write(ctx, bytes.NewReader(make([]byte, MaxChunkBytes+1)), 1<<20)
	assert.NilError(t, err)
	short := append(Manifest(nil), w.Manifest...)
	short[1].Len = 2
	_, err = io.ReadAll(s.Open(ctx, short, 0))
	assert.Assert(t, errkind.Is(err, errkind.Internal), "a chunk of the wrong length must be an error")
	f.records[w.Manifest[1].Offset] = nil
	_, err = io.ReadAll(s.Open(ctx, w.Manifest, 0))
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable))
}

func TestCacheKeepsTheNewest(t *testing.T) {
	f := &fakeStream{}
	s := NewCachingStore(f, 2)
	var refs Manifest
	for i := range 3 {
		w, err := s.Write(context.Background(), bytes.NewReader([]byte(fmt.Sprint(i))), 9)
		assert.NilError(t, err)
		refs = append(refs, w.Manifest...)
	}
	for _, i := range []int{0, 1, 0, 2, 1, 0} {
		data, err := s.Chunk(context.Background(), refs[i])
		assert.NilError(t, err)
		assert.Equal(t, string(data), fmt.Sprint(i))
	}
	assert.Equal(t, f.loads, 4)
}

func FuzzDecodeChunk(f *testing.F) {
	e, err := commitlog.NewEntry(KindChunk, Chunk{Data: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(e.Body)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := DecodeChunk(commitlog.Entry{Kind: KindChunk, Body: body})
		if err == nil && (len(c.Data) == 0 || len(c.Data) > MaxChunkBytes) {
			t.Fatalf("chunk of %d bytes", len(c.Data))
		}
	})
}

// disconnectedStream fails every load with the error of a lost connection.
type disconnectedStream struct{ fakeStream }

func (*disconnectedStream) Load(context.Context, commitlog.Offset) ([]commitlog.Entry, error) {
	return nil, errors.Wrap(io.EOF, "connection")
}

// TestLostConnectionIsNotEndOfContent guards against treating a connection that is lost
// while content is read as the end of the content: an accepted job failed as if
// its input were empty (chaos seed 93).
func TestLostConnectionIsNotEndOfContent(t *testing.T) {
	ctx := context.Background()
	s := NewStore(&disconnectedStream{})
	w, err := s.Write(ctx, bytes.NewReader([]byte("content")), 100)
	assert.NilError(t, err)
	_, err = io.ReadAll(s.Open(ctx, w.Manifest, 0))
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)
}
