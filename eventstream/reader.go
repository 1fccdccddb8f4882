// Package eventstream splits a text/event-stream into complete events, as defined
// by the WHATWG specification of server-sent events. Lines end with LF or CRLF; a
// lone CR does not end a line.
package eventstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 256 << 10

// ErrPartial is returned if the stream ends inside an event.
var ErrPartial = errors.New("eventstream: ends inside an event")

// ErrTooLong is returned for an event that exceeds the maximum size.
var ErrTooLong = errors.New("eventstream: event too long")

// Event is one event. Raw holds its bytes as received, including the blank line
// that ends it, and is valid until the next call of Next.
type Event struct {
	Raw []byte
}

// Reader reads events from an io.Reader.
type Reader struct {
	r io.Reader
	// keep states how many bytes are buffered; it may be nil.
	keep func(bytes int64) error
	buf  []byte
	// buf[start:end] holds the bytes that Next has not returned yet.
	start, end int
}

// NewReader returns a Reader that reads from r. If keep is set, it is called before the buffer grows, with its
// new size; an error of it ends the stream.
func NewReader(r io.Reader, keep func(bytes int64) error) *Reader {
	return &Reader{r: r, keep: keep, buf: make([]byte, 2<<10)}
}

// Next returns the next complete event. It returns io.EOF at the end of the
// stream, ErrPartial if the stream ends inside an event, ErrTooLong for an event
// that is too long, and otherwise the error of the underlying reader.
func (r *Reader) Next() (Event, error) {
	scanned := r.start
	for {
		if i := eventEnd(r.buf[scanned:r.end]); i >= 0 {
			raw := r.buf[r.start : scanned+i]
			r.start = scanned + i
			return Event{raw}, nil
		}
		// The last three bytes are scanned again, because the blank line that ends
		// the event may begin there.
		scanned = max(r.start, r.end-3)
		pending := scanned - r.start
		if err := r.fill(); err != nil {
			return Event{}, err
		}
		scanned = r.start + pending
	}
}

// Buffered reports whether Next can return another event without reading from the
// underlying reader.
func (r *Reader) Buffered() bool { return eventEnd(r.buf[r.start:r.end]) >= 0 }

func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEventBytes {
			return ErrTooLong
		}
		if r.keep != nil {
			if err := r.keep(int64(2 * len(r.buf))); err != nil {
				return err
			}
		}
		r.buf = append(r.buf, make([]byte, len(r.buf))...)
	}
	n, err := r.r.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) && r.end > r.start {
		return ErrPartial
	}
	return err
}

// eventEnd returns the index after the blank line that ends the first event, or
// -1.
func eventEnd(b []byte) int {
	at := -1
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		at = i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 && (at < 0 || i+4 < at) {
		at = i + 4
	}
	return at
}

// ID returns the id of the event, or an empty string if it has none.
func (e Event) ID() string {
	for line := range bytes.Lines(e.Raw) {
		if value, ok := field(line, "id"); ok {
			return string(value)
		}
	}
	return ""
}

// Data appends the data of the event to dst, with its lines separated by line
// feeds, and reports whether the event has any data.
func (e Event) Data(dst []byte) ([]byte, bool) {
	found := false
	for line := range bytes.Lines(e.Raw) {
		value, ok := field(line, "data")
		if !ok {
			continue
		}
		if found {
			dst = append(dst, '\n')
		}
		dst = append(dst, value...)
		found = true
	}
	return dst, found
}

// HasData reports whether the event has any data. One without data is a comment, which only keeps the
// connection alive.
func (e Event) HasData() bool {
	for line := range bytes.Lines(e.Raw) {
		if _, ok := field(line, "data"); ok {
			return true
		}
	}
	return false
}

// field returns the value of a line if the line sets the named field.
func field(line []byte, name string) ([]byte, bool) {
	line = bytes.TrimRight(line, "\r\n")
	rest, ok := bytes.CutPrefix(line, []byte(name))
	if !ok {
		return nil, false
	}
	if len(rest) == 0 {
		return rest, true
	}
	if rest[0] != ':' {
		return nil, false
	}
	return bytes.TrimPrefix(rest[1:], []byte(" ")), true
}
