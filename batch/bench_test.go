package batch

import (
	"runtime"
	"testing"
	"time"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

const benchItems = 320_000

// benchSegments returns the results of one job in segments of 256 items.
func benchSegments(b *testing.B) []commitlog.Entry {
	b.Helper()
	var out []commitlog.Entry
	body := make([]byte, 512)
	for first := uint32(0); first < benchItems; first += 256 {
		rs := make([]Result, 256)
		for i := range rs {
			rs[i] = Result{Index: first + uint32(i), CustomID: "c", Status: 200, Body: body}
		}
		s, err := NewSegment("j", rs, 1)
		if err != nil {
			b.Fatal(err)
		}
		e, err := commitlog.NewEntry(KindSegment, s)
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, e)
	}
	return out
}

func benchTable(b *testing.B) *Table {
	b.Helper()
	t := NewTable()
	for i, l := range []logEntry{
		{kind: KindFile, body: File{ID: "f", Workspace: "a", SHA256: hash64, Created: 1}},
		{kind: KindJob, body: Job{ID: "j", Workspace: "a", InputFile: "f", Created: 1, Deadline: 1 << 40}},
		{kind: KindStarted, body: Started{Job: "j", Service: "s", Total: benchItems, Blocks: make([]int64, benchItems/BlockItems), At: 1}},
	} {
		l.pos = commitlog.Position{Offset: commitlog.Offset(i)}
		if err := l.apply(t); err != nil {
			b.Fatal(err)
		}
	}
	return t
}

// BenchmarkFoldCompletions folds the results of one job of 320,000 items.
func BenchmarkFoldCompletions(b *testing.B) {
	entries := benchSegments(b)
	b.ReportAllocs()
	for b.Loop() {
		t := benchTable(b)
		for i, e := range entries {
			if err := t.Apply(commitlog.Position{Offset: commitlog.Offset(i + 3)}, e); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchItems, "ns/completion")
}

// BenchmarkJobMemory measures the memory that a job of 320,000 items takes in the
// table when all of its results are folded and it has not ended, and the memory
// that the scheduler adds.
func BenchmarkJobMemory(b *testing.B) {
	entries := benchSegments(b)
	for b.Loop() {
		before := heap()
		t := benchTable(b)
		for i, e := range entries {
			if err := t.Apply(commitlog.Position{Offset: commitlog.Offset(i + 3)}, e); err != nil {
				b.Fatal(err)
			}
		}
		folded := heap()
		s := NewScheduler()
		s.Tick(time.Unix(1, 0), Inputs{Jobs: []JobInput{{
			ID: "j", Total: benchItems, Deadline: time.Unix(1<<40, 0), Done: func(uint32) bool { return false },
		}}})
		b.ReportMetric(float64(folded-before), "table-B/job")
		b.ReportMetric(float64(heap()-folded), "sched-B/job")
		runtime.KeepAlive(t)
		runtime.KeepAlive(s)
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSchedulerTick starts and ends 1,000 items of one job among 100 open
// ones.
func BenchmarkSchedulerTick(b *testing.B) {
	s := NewScheduler()
	s.service("s").window = 1000
	now := time.Unix(1, 0)
	in := Inputs{FreeSlots: map[string]int{"s": 1000}}
	for i := range 100 {
		in.Jobs = append(in.Jobs, JobInput{
			ID: string(rune('A' + i)), Service: "s", Total: MaxItems, Left: MaxItems, Deadline: now.Add(24 * time.Hour),
			Done: func(uint32) bool { return false },
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		out := s.Tick(now, in)
		in.Ended = in.Ended[:0]
		for _, st := range out.Start {
			for i := range st.Count {
				in.Ended = append(in.Ended, AttemptEnd{Attempt: st.Attempt + AttemptID(i), Outcome: OutcomePreempted})
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/item")
}
