package batch

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveItem is an item of the naive scheduler, which keeps every item of every
// job and looks at all of them each time.
type naiveItem struct {
	state           string // fresh, running, waiting, settled
	tries, refusals int
	alone           bool
	avoid, text     string
	tokens          int
	notBefore       time.Time
	queued          int
	attempt         AttemptID
	started         time.Time
}

type naiveJob struct {
	in      JobInput
	items   []naiveItem
	expired bool
}

type naiveScheduler struct {
	jobs    map[string]*naiveJob
	window  map[string]int
	mean    map[string]time.Duration
	next    AttemptID
	counter int
}

// naiveStart is one started item.
type naiveStart struct {
	job     string
	item    uint32
	attempt AttemptID
	try     int
	alone   bool
	avoid   string
	text    string
	tokens  int
}

type naiveActions struct {
	start  []naiveStart
	stop   []AttemptID
	giveUp []GiveUp
	expire []string
}

func newNaive() *naiveScheduler {
	return &naiveScheduler{jobs: map[string]*naiveJob{}, window: map[string]int{}, mean: map[string]time.Duration{}}
}

func (n *naiveScheduler) win(service string) int {
	if n.window[service] == 0 {
		return rampStart
	}
	return n.window[service]
}

func (n *naiveScheduler) tick(now time.Time, in Inputs) naiveActions {
	var out naiveActions
	for _, e := range in.Ended {
		for _, j := range n.jobs {
			for i := range j.items {
				if it := &j.items[i]; it.state == "running" && it.attempt == e.Attempt {
					n.end(now, j, uint32(i), it, e, &out)
				}
			}
		}
	}
	present := map[string]bool{}
	for _, in := range in.Jobs {
		present[in.ID] = true
		if n.jobs[in.ID] == nil {
			n.jobs[in.ID] = &naiveJob{items: make([]naiveItem, in.Total)}
			for i := range n.jobs[in.ID].items {
				n.jobs[in.ID].items[i].state = "fresh"
			}
		}
		n.jobs[in.ID].in = in
	}
	for id, j := range n.jobs {
		late := !now.Before(j.in.Deadline) && !j.expired
		if present[id] && !late {
			continue
		}
		for i := range j.items {
			if j.items[i].state == "running" {
				out.stop = append(out.stop, j.items[i].attempt)
				j.items[i].state = "settled"
			}
		}
		if present[id] {
			j.expired = true
			out.expire = append(out.expire, id)
		} else {
			delete(n.jobs, id)
		}
	}
	slices.Sort(out.stop)
	sort.Strings(out.expire)
	if in.Hold {
		for s := range n.window {
			n.window[s] = rampStart
		}
		return out
	}
	n.start(now, in.Room, &out)
	return out
}

func (n *naiveScheduler) end(now time.Time, j *naiveJob, index uint32, it *naiveItem, e Ended, out *naiveActions) {
	n.counter++
	it.queued, it.state = n.counter, "waiting"
	service := j.in.Service
	wait := time.Duration(0)
	switch e.Outcome {
	case OutcomeDone:
		it.state = "settled"
		n.window[service] = min(n.win(service)+1, maxWindow)
		d := now.Sub(it.started)
		if n.mean[service] != 0 {
			d = n.mean[service] + time.Duration(durationWeight*float64(d-n.mean[service]))
		}
		n.mean[service] = d
		return
	case OutcomePreempted:
		it.text, it.tokens = e.ResumeText, e.ResumeTokens
	case OutcomeRefused:
		it.refusals++
		wait = max(e.RetryAfter, backoffFor(it.refusals, minRefusal, maxRefusal))
		n.window[service] = max(rampStart, n.win(service)-1)
	case OutcomeWorkerDied:
		if it.alone {
			it.tries++
		}
		it.alone, it.avoid = true, e.Worker
		wait = backoffFor(it.tries, retryBase, retryMax)
	case OutcomeFailed:
		it.tries++
		it.avoid = e.Worker
		wait = backoffFor(it.tries, retryBase, retryMax)
	}
	it.notBefore = now.Add(wait)
	if it.tries >= j.in.MaxTries {
		it.state = "settled"
		out.giveUp = append(out.giveUp, GiveUp{Job: j.in.ID, Item: index, Attempt: e.Attempt, Tries: it.tries})
	}
}

func (n *naiveScheduler) count(service, state string, alone bool) int {
	c := 0
	for _, j := range n.jobs {
		for _, it := range j.items {
			if j.in.Service == service && it.state == state && (!alone || it.alone) {
				c++
			}
		}
	}
	return c
}

func (n *naiveScheduler) start(now time.Time, room map[string]int, out *naiveActions) {
	for _, service := range []string{"s0", "s1"} {
		var jobs []*naiveJob
		for _, j := range n.jobs {
			if j.in.Service == service && !j.expired {
				jobs = append(jobs, j)
			}
		}
		n.order(now, service, room[service], jobs)
		free := min(room[service], n.win(service)-n.count(service, "running", false))
		for _, j := range jobs {
			for free > 0 && n.startOne(now, j, out) {
				free--
			}
		}
	}
}

func (n *naiveScheduler) order(now time.Time, service string, room int, jobs []*naiveJob) {
	width := time.Duration(max(1, room+n.count(service, "running", false)))
	slack := map[*naiveJob]time.Duration{}
	for _, j := range jobs {
		slack[j] = j.in.Deadline.Sub(now) - time.Duration(j.in.Left)*n.mean[service]/width
	}
	sort.Slice(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if slack[x] != slack[y] {
			return slack[x] < slack[y]
		}
		if !x.in.Deadline.Equal(y.in.Deadline) {
			return x.in.Deadline.Before(y.in.Deadline)
		}
		return x.in.ID < y.in.ID
	})
}

// startOne starts the longest waiting item that may start, or else the lowest
// fresh one.
func (n *naiveScheduler) startOne(now time.Time, j *naiveJob, out *naiveActions) bool {
	best := -1
	for i := range j.items {
		it := &j.items[i]
		switch {
		case it.state != "waiting" || j.in.Done(uint32(i)) || now.Before(it.notBefore):
		case it.alone && n.count(j.in.Service, "running", true) > 0:
		case best < 0 || it.queued < j.items[best].queued:
			best = i
		}
	}
	for i := 0; best < 0 && i < len(j.items); i++ {
		if j.items[i].state == "fresh" && !j.in.Done(uint32(i)) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	it := &j.items[best]
	n.next++
	it.state, it.attempt, it.started = "running", n.next, now
	out.start = append(out.start, naiveStart{
		job: j.in.ID, item: uint32(best), attempt: n.next, try: it.tries + 1,
		alone: it.alone, avoid: it.avoid, text: it.text, tokens: it.tokens,
	})
	return true
}

func flatten(starts []Start) []naiveStart {
	var out []naiveStart
	for _, s := range starts {
		for i := range s.Count {
			out = append(out, naiveStart{
				job: s.Job, item: s.First + i, attempt: s.Attempt + AttemptID(i), try: s.Try,
				alone: s.Alone, avoid: s.Avoid, text: s.ResumeText, tokens: s.ResumeTokens,
			})
		}
	}
	return out
}

// world is what the schedulers under test are told.
type world struct {
	now     time.Time
	jobs    map[string]*worldJob
	running map[AttemptID]naiveStart
	old     []AttemptID
	made    int
}

type worldJob struct {
	in    JobInput
	done  map[uint32]bool
	tries map[uint32]int
}

func (w *world) addJob(t *rapid.T) {
	w.made++
	j := &worldJob{done: map[uint32]bool{}, tries: map[uint32]int{}}
	j.in = JobInput{
		ID: fmt.Sprintf("j%d", w.made), Service: rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "service"),
		Total:    rapid.Uint32Range(1, 150).Draw(t, "total"),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline")) * time.Second),
		MaxTries: rapid.IntRange(1, 3).Draw(t, "tries"),
		Done:     func(i uint32) bool { return j.done[i] },
	}
	w.jobs[j.in.ID] = j
}

func (w *world) inputs(t *rapid.T) Inputs {
	in := Inputs{Room: map[string]int{}, Hold: rapid.IntRange(0, 9).Draw(t, "hold") == 0}
	for _, s := range []string{"s0", "s1"} {
		in.Room[s] = rapid.IntRange(0, 40).Draw(t, "room")
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
	if len(w.old) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		id := rapid.SampledFrom(w.old).Draw(t, "late attempt")
		in.Ended = append(in.Ended, Ended{Attempt: id, Outcome: OutcomeFailed})
	}
	return in
}

func (w *world) end(t *rapid.T, id AttemptID) Ended {
	e := Ended{
		Attempt: id, Worker: rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"),
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
	w.old = append(w.old, id)
	return e
}

// check holds the actions against what must hold for every scheduler.
func (w *world) check(t *rapid.T, in Inputs, got naiveActions) {
	for _, id := range got.stop {
		delete(w.running, id)
		w.old = append(w.old, id)
	}
	started := map[string]int{}
	for _, s := range got.start {
		j := w.jobs[s.job]
		if j == nil || j.done[s.item] || !w.now.Before(j.in.Deadline) || in.Hold {
			t.Fatalf("started %+v of a job that is stopped, expired, held or done", s)
		}
		for _, r := range w.running {
			if r.job == s.job && r.item == s.item {
				t.Fatalf("%+v runs twice", s)
			}
			if s.alone && r.alone && w.jobs[r.job] != nil && w.jobs[r.job].in.Service == j.in.Service {
				t.Fatalf("two items run alone at once")
			}
		}
		if s.try > j.in.MaxTries {
			t.Fatalf("try %d of %d", s.try, j.in.MaxTries)
		}
		w.running[s.attempt] = s
		started[j.in.Service]++
	}
	for s, n := range started {
		if n > in.Room[s] {
			t.Fatalf("started %d with room for %d", n, in.Room[s])
		}
	}
}

func TestSchedulerMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1e6, 0), jobs: map[string]*worldJob{}, running: map[AttemptID]naiveStart{}}
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
			flat := naiveActions{start: flatten(got.Start), stop: got.Stop, giveUp: got.GiveUp, expire: got.Expire}
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
	in := Inputs{Room: map[string]int{"s": 1000}, Jobs: []JobInput{{
		ID: "j", Service: "s", Total: 10_000, Deadline: now.Add(time.Hour), Done: func(uint32) bool { return false },
	}}}
	var sizes []int
	for range 6 {
		out := s.Tick(now, in)
		in.Ended = nil
		sizes = append(sizes, 0)
		for _, st := range flatten(out.Start) {
			sizes[len(sizes)-1]++
			in.Ended = append(in.Ended, Ended{Attempt: st.attempt})
		}
		now = now.Add(time.Second)
	}
	assert.DeepEqual(t, sizes, []int{8, 16, 32, 64, 128, 256})
	in.Hold = true
	s.Tick(now, in)
	in.Hold, in.Ended = false, nil
	assert.Equal(t, len(flatten(s.Tick(now, in).Start)), rampStart)
}

func TestWorkerDeathIsNotTheItemsFault(t *testing.T) {
	s := NewScheduler()
	now := time.Unix(0, 0)
	in := Inputs{Room: map[string]int{"s": 8}, Jobs: []JobInput{{
		ID: "j", Service: "s", Total: 4, MaxTries: 2, Deadline: now.Add(time.Hour), Done: func(uint32) bool { return false },
	}}}
	first := flatten(s.Tick(now, in).Start)
	assert.Equal(t, len(first), 4)
	for _, st := range first {
		in.Ended = append(in.Ended, Ended{Attempt: st.attempt, Outcome: OutcomeWorkerDied, Worker: "w"})
	}
	order := map[uint32]int{}
	var gaveUp []GiveUp
	for range 40 {
		out := s.Tick(now, in)
		in.Ended = nil
		gaveUp = append(gaveUp, out.GiveUp...)
		starts := flatten(out.Start)
		assert.Assert(t, len(starts) <= 1, "items that lost a backend server run one at a time")
		for _, st := range starts {
			assert.Assert(t, st.alone)
			assert.Equal(t, st.avoid, "w")
			order[st.item]++
			e := Ended{Attempt: st.attempt, Worker: "w"}
			if st.item == 2 { // the one that kills its backend server
				e.Outcome = OutcomeWorkerDied
			}
			in.Ended = append(in.Ended, e)
		}
		now = now.Add(time.Second)
	}
	assert.DeepEqual(t, order, map[uint32]int{0: 1, 1: 1, 2: 2, 3: 1})
	assert.Equal(t, len(gaveUp), 1)
	assert.Equal(t, gaveUp[0].Item, uint32(2))
}
