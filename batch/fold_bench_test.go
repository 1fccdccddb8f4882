package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// BenchmarkFoldSegment folds one result segment with a given number of items.
func BenchmarkFoldSegment(b *testing.B) {
	for _, items := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			t := NewTable()
			var at commitlog.Position
			fold := func(kind commitlog.EntryKind, body any) {
				e, err := commitlog.NewEntry(kind, body)
				assert.NilError(b, err)
				assert.NilError(b, t.Apply(at, e))
				at.Offset++
			}
			fold(KindFile, File{ID: "f", Workspace: "w", Purpose: PurposeBatch, SHA256: strings.Repeat("00", 32), Created: 1})
			fold(KindJob, Job{ID: "j", Workspace: "w", InputFile: "f", Created: 1, Deadline: 2})
			fold(KindStarted, Started{Job: "j", Service: "s", Total: MaxItems, Blocks: make([]int64, MaxItems/BlockItems), At: 1})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				first := uint32(i*items) % (MaxItems - uint32(items))
				b.StopTimer()
				e := segmentEntry(b, first, items)
				b.StartTimer()
				assert.NilError(b, t.Apply(at, e))
				at.Offset++
			}
		})
	}
}

func segmentEntry(b *testing.B, first uint32, items int) commitlog.Entry {
	b.Helper()
	results := make([]Result, items)
	for i := range results {
		results[i] = Result{Index: first + uint32(i), CustomID: "c", Status: 200, Body: make([]byte, 1024)}
	}
	s, err := NewSegment("j", results, 1)
	assert.NilError(b, err)
	e, err := commitlog.NewEntry(KindSegment, s)
	assert.NilError(b, err)
	return e
}

// BenchmarkSchedule runs one tick of a scheduler over jobs whose service has no
// free slots.
func BenchmarkSchedule(b *testing.B) {
	for _, jobs := range []int{1, 64, 1024} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			s, now := NewScheduler(), time.Unix(1, 0)
			in := Inputs{FreeSlots: map[string]int{"s": 0}}
			for i := range jobs {
				in.Jobs = append(in.Jobs, JobInput{
					ID: fmt.Sprint(i), Service: "s", Total: 64, Left: 64, Deadline: now.Add(time.Hour),
					Done: func(uint32) bool { return false },
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Tick(now, in)
			}
		})
	}
}
