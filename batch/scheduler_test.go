package batch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulatedEnv generates the inputs of the schedulers under test.
type simulatedEnv struct {
	now           time.Time
	jobs          map[string]*simulatedJob
	running       map[AttemptID]naiveStart
	endedAttempts []AttemptID
	jobCount      int
}

type simulatedJob struct {
	in    JobInput
	done  map[uint32]bool
	tries map[uint32]int
}

func (w *simulatedEnv) addJob(t *rapid.T) {
	w.jobCount++
	j := &simulatedJob{done: map[uint32]bool{}, tries: map[uint32]int{}}
	j.in = JobInput{
		ID: fmt.Sprintf("j%d", w.jobCount), Service: rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "service"),
		Total:    rapid.Uint32Range(1, 150).Draw(t, "total"),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline")) * time.Second),
		MaxTries: rapid.IntRange(1, 3).Draw(t, "tries"),
		Done:     func(i uint32) bool { return j.done[i] },
	}
	w.jobs[j.in.ID] = j
}

func (w *simulatedEnv) inputs(t *rapid.T) Inputs {
	in := Inputs{FreeSlots: map[string]int{}, Paused: rapid.IntRange(0, 9).Draw(t, "hold") == 0}
	for _, s := range []string{"s0", "s1"} {
		in.FreeSlots[s] = rapid.IntRange(0, 40).Draw(t, "room")
	}
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		j.in.Left = j.in.Total - uint32(len(j.done))
		in.Jobs = append(in.Jobs, j.in)
	}
	ids := make([]AttemptID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		if rapid.Bool().Draw(t, "ends") {
			in.Ended = append(in.Ended, w.end(t, id))
		}
	}
	if len(w.endedAttempts) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		id := rapid.SampledFrom(w.endedAttempts).Draw(t, "late attempt")
		in.Ended = append(in.Ended, AttemptEnd{Attempt: id, Outcome: OutcomeFailed})
	}
	return in
}

func (w *simulatedEnv) end(t *rapid.T, id AttemptID) AttemptEnd {
	e := AttemptEnd{
		Attempt: id, Backend: rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"),
		Outcome: Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")),
	}
	if e.Outcome == OutcomePreempted {
		e.ResumeTokens = rapid.IntRange(1, 9).Draw(t, "tokens")
		e.ResumeText = fmt.Sprint("text", e.ResumeTokens)
	}
	if e.Outcome == OutcomeRefused {
		e.RetryAfter = time.Duration(rapid.IntRange(0, 3).Draw(t, "after")) * time.Second
	}
	if s := w.running[id]; e.Outcome == OutcomeDone && w.jobs[s.job] != nil && rapid.Bool().Draw(t, "folded") {
		w.jobs[s.job].done[s.item] = true
	}
	delete(w.running, id)
	w.endedAttempts = append(w.endedAttempts, id)
	return e
}

// check asserts the invariants that hold for the actions of every scheduler.
func (w *simulatedEnv) check(t *rapid.T, in Inputs, got naiveActions) {
	for _, id := range got.stop {
		delete(w.running, id)
		w.endedAttempts = append(w.endedAttempts, id)
	}
	started := map[string]int{}
	for _, s := range got.start {
		j := w.jobs[s.job]
		if j == nil || j.done[s.item] || !w.now.Before(j.in.Deadline) || in.Paused {
			t.Fatalf("started %+v of a job that is stopped, expired, paused or done", s)
		}
		for _, r := range w.running {
			if r.job == s.job && r.item == s.item {
				t.Fatalf("%+v runs twice at once", s)
			}
			if s.exclusive && r.exclusive && w.jobs[r.job] != nil && w.jobs[r.job].in.Service == j.in.Service {
				t.Fatalf("two items run exclusively at once")
			}
		}
		if s.try > j.in.MaxTries {
			t.Fatalf("try %d of %d", s.try, j.in.MaxTries)
		}
		w.running[s.attempt] = s
		started[j.in.Service]++
	}
	for s, n := range started {
		if n > in.FreeSlots[s] {
			t.Fatalf("started %d items with %d free slots", n, in.FreeSlots[s])
		}
	}
}

func TestSchedulerMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulatedEnv{now: time.Unix(1e6, 0), jobs: map[string]*simulatedJob{}, running: map[AttemptID]naiveStart{}}
		s, n := NewScheduler(), newNaive()
		for range rapid.IntRange(1, 40).Draw(t, "ticks") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			if len(w.jobs) < 4 && rapid.Bool().Draw(t, "new job") {
				w.addJob(t)
			}
			if ids := sortedKeys(w.jobs); len(ids) > 0 {
				j := w.jobs[rapid.SampledFrom(ids).Draw(t, "job")]
				switch rapid.IntRange(0, 12).Draw(t, "event") {
				case 0: // cancelled, finished or handed to another owner
					delete(w.jobs, j.in.ID)
				case 1: // another owner's completions are folded
					from := rapid.Uint32Range(0, j.in.Total-1).Draw(t, "from")
					for i := from; i < min(j.in.Total, from+20); i++ {
						j.done[i] = true
					}
				}
			}
			in := w.inputs(t)
			got := s.Tick(w.now, in)
			want := n.tick(w.now, in)
			flat := naiveActions{start: flatten(got.Start), stop: got.Stop, exhausted: got.Exhausted, expire: got.Expire}
			if fmt.Sprintf("%+v", flat) != fmt.Sprintf("%+v", want) {
				t.Fatalf("scheduler %+v\nnaive     %+v", flat, want)
			}
			w.check(t, in, flat)
		}
	})
}

func TestSchedulerRampsUpAfterAnOutage(t *testing.T) {
	s := NewScheduler()
	now := time.Unix(0, 0)
	in := Inputs{FreeSlots: map[string]int{"s": 1000}, Jobs: []JobInput{{
		ID: "j", Service: "s", Total: 10_000, Deadline: now.Add(time.Hour), Done: func(uint32) bool { return false },
	}}}
	var sizes []int
	for range 6 {
		out := s.Tick(now, in)
		in.Ended = nil
		sizes = append(sizes, 0)
		for _, st := range flatten(out.Start) {
			sizes[len(sizes)-1]++
			in.Ended = append(in.Ended, AttemptEnd{Attempt: st.attempt})
		}
		now = now.Add(time.Second)
	}
	assert.DeepEqual(t, sizes, []int{8, 16, 32, 64, 128, 256})
	in.Paused = true
	s.Tick(now, in)
	in.Paused, in.Ended = false, nil
	assert.Equal(t, len(flatten(s.Tick(now, in).Start)), initialWindow)
}

func TestBackendLossCountsOnlyWhenExclusive(t *testing.T) {
	s := NewScheduler()
	now := time.Unix(0, 0)
	in := Inputs{FreeSlots: map[string]int{"s": 8}, Jobs: []JobInput{{
		ID: "j", Service: "s", Total: 4, MaxTries: 2, Deadline: now.Add(time.Hour), Done: func(uint32) bool { return false },
	}}}
	first := flatten(s.Tick(now, in).Start)
	assert.Equal(t, len(first), 4)
	for _, st := range first {
		in.Ended = append(in.Ended, AttemptEnd{Attempt: st.attempt, Outcome: OutcomeBackendLost, Backend: "w"})
	}
	order := map[uint32]int{}
	var exhausted []ExhaustedItem
	for range 40 {
		out := s.Tick(now, in)
		in.Ended = nil
		exhausted = append(exhausted, out.Exhausted...)
		starts := flatten(out.Start)
		assert.Assert(t, len(starts) <= 1, "items that lost a backend server must run one at a time")
		for _, st := range starts {
			assert.Assert(t, st.exclusive)
			assert.Equal(t, st.avoidBackend, "w")
			order[st.item]++
			e := AttemptEnd{Attempt: st.attempt, Backend: "w"}
			if st.item == 2 { // the item that makes its backend server fail
				e.Outcome = OutcomeBackendLost
			}
			in.Ended = append(in.Ended, e)
		}
		now = now.Add(time.Second)
	}
	assert.DeepEqual(t, order, map[uint32]int{0: 1, 1: 1, 2: 2, 3: 1})
	assert.Equal(t, len(exhausted), 1)
	assert.Equal(t, exhausted[0].Item, uint32(2))
}
