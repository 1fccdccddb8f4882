package eventstream_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/eventstream"
)

func readAll(r io.Reader) (events []string, err error) {
	reader := eventstream.NewReader(r, nil)
	for {
		e, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(e.Raw))
	}
}

func TestEventsAreCompleteForAnyReadSize(t *testing.T) {
	long := "data: " + strings.Repeat("x", 10000) + "\n\n"
	want := []string{"id: 1\ndata: a\n\n", "data: b\r\n\r\n", long, "id: 3\n\n"}
	for _, r := range []io.Reader{strings.NewReader(strings.Join(want, "")), iotest.OneByteReader(strings.NewReader(strings.Join(want, "")))} {
		events, err := readAll(r)
		assert.ErrorIs(t, err, io.EOF)
		assert.DeepEqual(t, events, want)
	}
}

func TestPartialEventIsNotReturned(t *testing.T) {
	events, err := readAll(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	assert.ErrorIs(t, err, eventstream.ErrPartial)
	assert.Equal(t, len(events), 1)
	broken := errors.New("broken")
	_, err = readAll(io.MultiReader(strings.NewReader("id: 1\n\nid"), iotest.ErrReader(broken)))
	assert.ErrorIs(t, err, broken)
}

func TestOversizedEventIsRejected(t *testing.T) {
	_, err := readAll(strings.NewReader(strings.Repeat("x", 3<<20)))
	assert.ErrorIs(t, err, eventstream.ErrTooLong)
}

func TestFields(t *testing.T) {
	e := eventstream.Event{Raw: []byte("idle: 9\nid:12\ndata: a\ndata\ndata:  b\n\n")}
	assert.Equal(t, e.ID(), "12")
	data, found := e.Data(nil)
	assert.Assert(t, found)
	assert.Equal(t, string(data), "a\n\n b")
	assert.Equal(t, eventstream.Event{Raw: []byte("data: a\n\n")}.ID(), "")
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nx")
	f.Fuzz(func(t *testing.T, s string) {
		events, _ := readAll(strings.NewReader(s)) // any end will do
		assert.Assert(t, strings.HasPrefix(s, strings.Join(events, "")))
	})
}
