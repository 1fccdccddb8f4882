package keyedlog_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// firstLetter is the canonical form of a value.
func firstLetter(value []byte) any { return value[0] }

type discardView struct{}

func (discardView) Rebuild([]keyedlog.Record) {}
func (discardView) Apply([]keyedlog.Record)   {}

func record(key, value string, offset int64) keyedlog.Record {
	r := keyedlog.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// newRelay returns a relay that has read key a from the service up to offset 10.
func newRelay() *keyedlog.Relay {
	r := keyedlog.NewRelay(discardView{}, firstLetter)
	r.Rebuild([]keyedlog.Record{record("a", "x1", 9)})
	r.Advance(10, true)
	return r
}

func readNow(t *testing.T, r *keyedlog.Relay, from int64) keyedlog.History {
	t.Helper()
	h, err := r.Read(t.Context(), from, 0)
	assert.NilError(t, err)
	return h
}

func TestRelayServesChangesOnly(t *testing.T) {
	r := newRelay()
	r.Apply([]keyedlog.Record{record("a", "x2", 10), record("b", "y1", 11), record("a", "z1", 12), record("c", "", 13), record("b", "", 14)})
	r.Advance(15, true)
	h := readNow(t, r, 10)
	assert.DeepEqual(t, h.Records, []keyedlog.Record{record("b", "y1", 11), record("a", "z1", 12), record("b", "", 14)})
	assert.Equal(t, h.Next, int64(15))
	assert.Equal(t, len(readNow(t, r, 12).Records), 2)
	page, _, err := r.Newest()
	assert.NilError(t, err)
	assert.DeepEqual(t, page.Records, []keyedlog.Record{record("a", "z1", 12)})
	assert.Equal(t, page.End, int64(15))
}

// recordingView is a view that records the applied records.
type recordingView struct{ applied []keyedlog.Record }

func (*recordingView) Rebuild([]keyedlog.Record)         {}
func (r *recordingView) Apply(records []keyedlog.Record) { r.applied = append(r.applied, records...) }

func TestRelayAppliesChangesOnly(t *testing.T) {
	view := &recordingView{}
	r := keyedlog.NewRelay(view, firstLetter)
	r.Rebuild([]keyedlog.Record{record("a", "x1", 9)})
	r.Advance(10, true)
	r.Apply([]keyedlog.Record{record("a", "x2", 10), record("a", "y1", 11), record("a", "", 12), record("a", "", 13), record("a", "y1", 14)})
	assert.DeepEqual(t, view.applied, []keyedlog.Record{record("a", "y1", 11), record("a", "", 12), record("a", "y1", 14)})
}

// TestRelayServesUpToAdvancedOffset reads after the follower has applied records
// and before it has advanced the relay: no record may be returned twice.
func TestRelayServesUpToAdvancedOffset(t *testing.T) {
	r := newRelay()
	r.Apply([]keyedlog.Record{record("b", "y1", 10)})
	h := readNow(t, r, 10)
	assert.Equal(t, len(h.Records), 0)
	r.Advance(11, true)
	h = readNow(t, r, h.Next)
	assert.Equal(t, len(h.Records), 1)
	assert.Equal(t, h.Next, int64(11))
}

func TestRelayWakesWaitingReaders(t *testing.T) {
	r := newRelay()
	got := make(chan keyedlog.History, 1)
	go func() {
		h, _ := r.Read(context.Background(), 10, time.Minute) // an error results in no records
		got <- h
	}()
	r.Apply([]keyedlog.Record{record("a", "x9", 10)})
	r.Advance(11, true)
	r.Apply([]keyedlog.Record{record("b", "new", 11)})
	r.Advance(12, true)
	assert.DeepEqual(t, (<-got).Records, []keyedlog.Record{record("b", "new", 11)})
}

func TestRelayRefusesReadersWithoutService(t *testing.T) {
	r := newRelay()
	r.Advance(10, false)
	_, err := r.Read(t.Context(), 10, time.Minute)
	assert.ErrorIs(t, err, keyedlog.ErrRefused)
	_, _, err = r.Newest()
	assert.ErrorIs(t, err, keyedlog.ErrRefused)
	_, err = keyedlog.NewRelay(discardView{}, firstLetter).Read(t.Context(), 0, time.Minute)
	assert.ErrorIs(t, err, keyedlog.ErrRefused)
}

func TestRelayReportsTruncatedHistory(t *testing.T) {
	r := newRelay()
	_, err := r.Read(t.Context(), 9, 0)
	assert.ErrorIs(t, err, keyedlog.ErrTruncated)
	for i := range 5000 {
		r.Apply([]keyedlog.Record{record("k", string(rune('a'+i%2)), int64(10+i))})
		r.Advance(int64(11+i), true)
	}
	_, err = r.Read(t.Context(), 10, 0)
	assert.ErrorIs(t, err, keyedlog.ErrTruncated, "the history is bounded")
	assert.Equal(t, len(readNow(t, r, 5000).Records), 10)
}

func TestReaderAheadOfRelayContinues(t *testing.T) {
	h := readNow(t, newRelay(), 17)
	assert.Equal(t, h.Next, int64(17))
	assert.Equal(t, len(h.Records), 0)
}
