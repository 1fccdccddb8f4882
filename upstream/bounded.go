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
	// maxMismatchedBytes bounds the body of a response to another request.
	maxMismatchedBytes = 64 << 10
)

// errTooLong is returned for a response that exceeds its bound, which may have no end.
var errTooLong = errors.New("upstream: response is too long")

// boundedReader returns errTooLong after left bytes.
type boundedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// setBound makes the next n bytes readable.
func (b *boundedReader) setBound(n int64) { b.left = n }

// removeBound makes all later bytes readable: the reader of a body bounds it.
func (b *boundedReader) removeBound() { b.left = math.MaxInt64 }
