package upstream

import (
	"io"
	"math"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of a response, or of an informational one before it, and what is
	// buffered behind it.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head: a short one needs many times the memory of its bytes.
	maxHeadLines = 512
	// headCopies is how many times the bytes of a head are kept while its response is handled.
	headCopies = 4
	// maxMismatchedBytes bounds the body of a response to another request.
	maxMismatchedBytes = 64 << 10
)

// errTooLong is returned for a response that exceeds its bound, which may have no end.
var errTooLong = errors.New("upstream: response is too long")

// boundedReader returns errTooLong after left bytes, and for a head of too many lines.
type boundedReader struct {
	r    io.Reader
	left int64
	head headMeter
	// keep states how much is kept of a head while it is read; it may be nil.
	keep func(bytes int64) error
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	if err := b.keepHead(); err != nil {
		return 0, err
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.head.add(p[:n]); b.head.lines > maxHeadLines {
		return 0, errTooLong
	}
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// keepHead states what is kept of the head so far, before more of it is read.
func (b *boundedReader) keepHead() error {
	if b.head.ended || b.head.bytes == 0 || b.keep == nil {
		return nil
	}
	return b.keep(headCopies * b.head.bytes)
}

// beginHead makes the next n bytes readable, which begin with a head. The first ones of them are
// buffered already.
func (b *boundedReader) beginHead(n int64, buffered []byte) {
	b.left = n
	b.head = headMeter{}
	b.head.add(buffered)
}

// setBound makes the next n bytes readable.
func (b *boundedReader) setBound(n int64) { b.left = n }

// removeBound makes all later bytes readable: the reader of a body bounds it.
func (b *boundedReader) removeBound() { b.left, b.head.ended = math.MaxInt64, true }

// headMeter counts the lines and the bytes of a head up to the empty line that ends it.
type headMeter struct {
	lines int
	bytes int64
	// lineBytes is the length of the line in progress, without carriage returns.
	lineBytes int
	ended     bool
}

// add counts p, as far as it belongs to the head.
func (m *headMeter) add(p []byte) {
	for _, c := range p {
		if m.ended {
			return
		}
		m.bytes++
		switch {
		case c == '\n':
			m.ended = m.lineBytes == 0 && m.lines > 0
			m.lines++
			m.lineBytes = 0
		case c != '\r':
			m.lineBytes++
		}
	}
}
