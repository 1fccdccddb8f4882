package batch

import (
	"bytes"
	"testing"
	"time"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

// anyCatalog contains every service.
type anyCatalog struct{}

func (anyCatalog) ServiceForModel(m string) (string, bool) { return m, m != "" }
func (anyCatalog) HasService(n string) bool                { return n != "" }

// FuzzInput checks that no input makes validation panic and that a valid input can
// be read back block by block.
func FuzzInput(f *testing.F) {
	good := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`
	for _, s := range []string{good, good + "\r\n\n" + good, "{", "\n", `{"custom_id":1}`, `[]`, "null", "\xff\x00"} {
		f.Add([]byte(s), EndpointChat)
	}
	f.Add([]byte(`{"custom_id":"a","method":"PUT","url":"/services/book/x?y=1"}`), "/services/book")
	f.Add([]byte(`{"custom_id":"a","method":"PUT","url":"/services/book/../x"}`), "/services/book/")
	f.Fuzz(func(t *testing.T, in []byte, endpoint string) {
		c, err := checkInput(bytes.NewReader(in), endpoint, anyCatalog{})
		if err != nil {
			t.Fatal(err)
		}
		if len(c.errors) > 0 {
			return
		}
		if err := (Started{Total: c.total, Blocks: c.blocks}).check(); err != nil {
			t.Fatal(err)
		}
		for b, at := range c.blocks {
			lines := newLineReader(bytes.NewReader(in[at:]), at)
			raw, start, err := lines.next()
			if err != nil || start < at {
				t.Fatalf("block %d at %d: start %d, %v", b, at, start, err)
			}
			if _, le := ParseLine(raw, endpoint); le != nil {
				t.Fatalf("block %d: %v", b, le)
			}
		}
	})
}

// FuzzApply applies arbitrary entries to a table in which a job has started.
func FuzzApply(f *testing.F) {
	seg, err := NewSegment("j", []Result{{Index: 0, Status: 200}, {Index: 1, ErrorCode: "x"}}, 1)
	if err != nil {
		f.Fatal(err)
	}
	file := File{ID: "g", Workspace: "a", SHA256: hash64}
	bodies := map[commitlog.EntryKind]any{
		KindFile: file, KindDeleteFile: DeleteFile{ID: "f", Workspace: "a"},
		KindJob:     Job{ID: "k", Workspace: "a", InputFile: "f"},
		KindStarted: Started{Job: "j", Total: 1, Blocks: []int64{0}}, KindFailed: Failed{Job: "j"},
		KindSegment: seg, KindCancel: Cancel{Job: "j", Workspace: "a"},
		KindFinished:     Finished{Job: "j", Done: 2, OK: 1, Output: &file},
		KindRenewFile:    RenewFile{File: file, Base: commitlog.Position{Offset: 9}},
		KindRenewJob:     RenewJob{Job: Job{ID: "k", Workspace: "a", InputFile: "f"}, Base: commitlog.Position{Offset: 9}, End: &JobEnd{At: 1}},
		KindRenewSegment: RenewSegment{Segment: seg, Base: commitlog.Position{Offset: 9}},
		KindRenewJob + 1000: RenewJob{
			Job: Job{ID: "k", Workspace: "a", InputFile: "f"}, Base: commitlog.Position{Offset: 9},
			Started: &Started{Total: 2, Blocks: []int64{0}, At: 1}, End: &JobEnd{At: 1, OK: 1},
		},
		blob.KindChunk: blob.Chunk{Data: []byte("x")},
	}
	for kind, body := range bodies {
		e, err := commitlog.NewEntry(kind, body)
		if err != nil {
			f.Fatal(err)
		}
		if kind > 1000 { // a second body of the same kind
			kind -= 1000
		}
		f.Add(uint16(kind), e.Body, true)
		f.Add(uint16(kind), e.Body[:len(e.Body)/2], false)
	}
	f.Fuzz(func(t *testing.T, kind uint16, body []byte, late bool) {
		table := NewTable()
		at := commitlog.Offset(0)
		if late {
			at = 5
		}
		for _, l := range []logEntry{
			{kind: blob.KindChunk, body: blob.Chunk{Data: []byte("x")}},
			{kind: KindFile, body: File{ID: "f", Workspace: "a", SHA256: hash64}},
			{kind: KindJob, body: Job{ID: "j", Workspace: "a", InputFile: "f"}},
			{kind: KindStarted, body: Started{Job: "j", Total: 2, Blocks: []int64{0}}},
		} {
			l.pos = commitlog.Position{Offset: at}
			at++
			if err := l.apply(table); err != nil {
				t.Fatal(err)
			}
		}
		_ = table.Apply(commitlog.Position{Offset: at}, commitlog.Entry{Kind: commitlog.EntryKind(kind), Body: body})
		for i, id := range []string{"j", "k"} {
			more := logEntry{commitlog.Position{Offset: at + 1 + commitlog.Offset(i)}, KindSegment, Segment{Job: id, Items: []uint32{0, 1}}}
			_ = more.apply(table)
		}
		table.due(time.Unix(1<<33, 0), time.Unix(1<<33, 0), 100, func(string) bool { return false })
		for _, v := range table.OpenJobs() {
			if v.SucceededItems+v.FailedItems > v.Total {
				t.Fatalf("%d results for %d items", v.SucceededItems+v.FailedItems, v.Total)
			}
		}
	})
}

// FuzzResults decodes arbitrary segment bodies.
func FuzzResults(f *testing.F) {
	seg, err := NewSegment("j", []Result{{Index: 3, Status: 200, Body: []byte("{}")}}, 1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seg.Data)
	f.Add([]byte{0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		rs, err := Segment{Items: []uint32{3}, Data: data}.Results()
		if err != nil {
			return
		}
		for _, r := range rs {
			_ = r.line("j")
		}
	})
}
