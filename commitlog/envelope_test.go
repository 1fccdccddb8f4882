package commitlog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzEnvelope decodes an arbitrary record. A record that is accepted must encode
// and decode again.
func FuzzEnvelope(f *testing.F) {
	ok, err := envelope{Version: formatVersion, Writer: "w", Seq: 1, Entries: []Entry{{Kind: 1, Body: []byte{0x01}}}}.marshal()
	assert.NilError(f, err)
	f.Add(ok)
	f.Add(ok[:len(ok)-1])
	f.Add([]byte{0xa2, 0x01, 0x02, 0x02, 0x61, 0x77})
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		env, err := unmarshalEnvelope(b)
		if err != nil {
			assert.ErrorIs(t, err, ErrFormat)
			return
		}
		again, err := env.marshal()
		assert.NilError(t, err)
		back, err := unmarshalEnvelope(again)
		assert.NilError(t, err)
		assert.Equal(t, len(back.Entries), len(env.Entries))
	})
}

type nullFold struct{}

func (nullFold) Apply(Position, Entry) error { return nil }

// TestWritersBeforeRetentionArePruned checks that the number of writers in a
// stream's memory is bounded.
func TestWritersBeforeRetentionArePruned(t *testing.T) {
	s := NewStream(nil, "s", Options{Writer: "me", Fold: nullFold{}})
	const writers = 10 * pruneIntervalRecords
	for at := range Offset(writers) {
		first := at - min(at, 100)
		p, err := envelope{Version: formatVersion, Writer: "w" + string(rune(at)), Seq: 1}.marshal()
		assert.NilError(t, err)
		s.foldPage(Page{Records: []Record{{Offset: at, Payload: p}}, First: first, Next: at + 1})
	}
	assert.Assert(t, len(s.lastSeq) <= pruneIntervalRecords+200, "%d writers", len(s.lastSeq))
}

func BenchmarkFoldRecord(b *testing.B) {
	s := NewStream(nil, "s", Options{Writer: "me", Fold: nullFold{}})
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		b.StopTimer()
		p, _ := envelope{Version: formatVersion, Writer: "w", Seq: i, Entries: make([]Entry, 8)}.marshal()
		b.StartTimer()
		s.foldRecord(Record{Offset: Offset(i), Payload: p})
	}
}
