// Package eventstream splits the bytes of a text/event-stream into whole
// events, after the WHATWG's description of server-sent events.
package eventstream

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event.
const maxEvent = 1 << 20

// ErrPartial says that the stream ended inside an event.
var ErrPartial = errors.New("eventstream: ends inside an event")

// ErrTooLong says that an event is longer than the reader takes.
var ErrTooLong = errors.New("eventstream: event too long")

// Event is one event. Raw holds its bytes as they came, with the blank line
// that ends it; it is valid until the next call of Next.
type Event struct {
	Raw []byte
}

// Reader reads events.
type Reader struct {
	r          io.Reader
	buf        []byte
	start, end int
}

// NewReader returns a reader of the events of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r, buf: make([]byte, 2<<10)} }

// Next returns the next whole event, or io.EOF at the end of the stream.
func (r *Reader) Next() (Event, error) {
	scanned := r.start
	for {
		if i := blankLine(r.buf[scanned:r.end]); i >= 0 {
			raw := r.buf[r.start : scanned+i]
			r.start = scanned + i
			return Event{raw}, nil
		}
		scanned = max(r.start, r.end-3)
		back := scanned - r.start
		if err := r.fill(); err != nil {
			return Event{}, err
		}
		scanned = r.start + back
	}
}

// Buffered reports whether another whole event can be had without reading.
func (r *Reader) Buffered() bool { return blankLine(r.buf[r.start:r.end]) >= 0 }

func (r *Reader) fill() error {
	if r.start > 0 {
		copy(r.buf, r.buf[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= maxEvent {
			return ErrTooLong
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

// blankLine returns the index after the blank line that ends an event, or -1.
func blankLine(b []byte) int {
	at := -1
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		at = i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 && (at < 0 || i+4 < at) {
		at = i + 4
	}
	return at
}

// ID returns the event's id, empty if it has none.
func (e Event) ID() string {
	for line := range bytes.Lines(e.Raw) {
		if value, ok := field(line, "id"); ok {
			return string(value)
		}
	}
	return ""
}

// Follows reports whether id is that of the event after the one with the id last:
// its number is the next, or one of the two is no number.
func Follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err != nil || n == before+1
}

// Data appends the event's data to dst, its lines separated by line feeds, and
// reports whether there is any.
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

// field returns the value of a line that names the field.
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
