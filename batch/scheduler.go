package batch

import (
	"sort"
	"time"
)

// Limits of the scheduler.
const (
	// rampStart is how many attempts of one service run at once after a start
	// or an outage; the window grows by one with each completed attempt.
	rampStart  = 8
	maxWindow  = 1 << 14
	minRefusal = 50 * time.Millisecond
	maxRefusal = 5 * time.Second
	retryBase  = 200 * time.Millisecond
	retryMax   = 10 * time.Second
	// defaultTries bounds the tries of an item whose service sets no bound.
	defaultTries = 3
	// durationWeight is the weight of a new sample in the mean duration.
	durationWeight = 0.1
)

// Scheduler decides which items start. It is a pure function of its inputs and
// is not safe for concurrent use.
type Scheduler struct {
	jobs     map[string]*schedJob
	services map[string]*schedService
	attempts map[AttemptID]*schedAttempt
	next     AttemptID
}

type schedJob struct {
	in      JobInput
	cursor  uint32
	retries []schedItem
	running int
	settled bitmap
	expired bool
}

type schedItem struct {
	item      uint32
	tries     int
	refusals  int
	alone     bool
	avoid     string
	text      string
	tokens    int
	notBefore time.Time
}

type schedAttempt struct {
	job     *schedJob
	item    schedItem
	started time.Time
}

type schedService struct {
	window  int
	running int
	alone   int
	// mean is the mean duration of a completed attempt.
	mean time.Duration
}

// NewScheduler returns a scheduler that knows no jobs.
func NewScheduler() *Scheduler {
	return &Scheduler{
		jobs:     make(map[string]*schedJob),
		services: make(map[string]*schedService),
		attempts: make(map[AttemptID]*schedAttempt),
	}
}

// Tick takes what happened and returns what to do. Time must not go back.
func (s *Scheduler) Tick(now time.Time, in Inputs) Actions {
	var out Actions
	for _, e := range in.Ended {
		s.end(now, e, &out)
	}
	s.syncJobs(in.Jobs, &out)
	s.expire(now, &out)
	if in.Hold {
		for _, sv := range s.services {
			sv.window = rampStart
		}
		return out
	}
	s.start(now, in.FreeSlots, &out)
	return out
}

// Running returns how many attempts of a job have not ended.
func (s *Scheduler) Running(job string) int {
	if j, ok := s.jobs[job]; ok {
		return j.running
	}
	return 0
}

func (s *Scheduler) end(now time.Time, e Ended, out *Actions) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	s.release(e.Attempt, a)
	it := a.item
	switch e.Outcome {
	case OutcomeDone:
		a.job.settled.set(it.item)
		s.service(a.job.in.Service).observe(now.Sub(a.started))
		return
	case OutcomePreempted:
		it.text, it.tokens = e.ResumeText, e.ResumeTokens
		it.notBefore = now
	case OutcomeRefused:
		it.refusals++
		it.notBefore = now.Add(max(e.RetryAfter, backoffFor(it.refusals, minRefusal, maxRefusal)))
		s.service(a.job.in.Service).shrink()
	case OutcomeWorkerDied:
		if it.alone {
			it.tries++
		}
		it.alone, it.avoid = true, e.Worker
		it.notBefore = now.Add(backoffFor(it.tries, retryBase, retryMax))
	default:
		it.tries++
		it.avoid = e.Worker
		it.notBefore = now.Add(backoffFor(it.tries, retryBase, retryMax))
	}
	if it.tries >= a.job.maxTries() {
		a.job.settled.set(it.item)
		out.GiveUp = append(out.GiveUp, GiveUp{Job: a.job.in.ID, Item: it.item, Attempt: e.Attempt, Tries: it.tries})
		return
	}
	a.job.retries = append(a.job.retries, it)
}

func (s *Scheduler) release(id AttemptID, a *schedAttempt) {
	delete(s.attempts, id)
	a.job.running--
	sv := s.service(a.job.in.Service)
	sv.running--
	if a.item.alone {
		sv.alone--
	}
}

func (s *Scheduler) syncJobs(jobs []JobInput, out *Actions) {
	seen := make(map[string]bool, len(jobs))
	for _, in := range jobs {
		seen[in.ID] = true
		if j, ok := s.jobs[in.ID]; ok {
			j.in = in
			continue
		}
		s.jobs[in.ID] = &schedJob{in: in, settled: newBitmap(in.Total)}
	}
	for id, j := range s.jobs {
		if !seen[id] {
			s.stopJob(j, out)
			delete(s.jobs, id)
		}
	}
	sortIDs(out.Stop)
}

func (s *Scheduler) stopJob(j *schedJob, out *Actions) {
	for id, a := range s.attempts {
		if a.job == j {
			s.release(id, a)
			out.Stop = append(out.Stop, id)
		}
	}
}

func (s *Scheduler) expire(now time.Time, out *Actions) {
	for id, j := range s.jobs {
		if j.expired || now.Before(j.in.Deadline) {
			continue
		}
		j.expired = true
		s.stopJob(j, out)
		out.Expire = append(out.Expire, id)
	}
	sortIDs(out.Stop)
	sort.Strings(out.Expire)
}

func (s *Scheduler) start(now time.Time, room map[string]int, out *Actions) {
	byService := make(map[string][]*schedJob)
	for _, j := range s.jobs {
		if !j.expired {
			byService[j.in.Service] = append(byService[j.in.Service], j)
		}
	}
	names := make([]string, 0, len(byService))
	for name := range byService {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		sv := s.service(name)
		free := min(room[name], sv.window-sv.running)
		sortBySlack(now, byService[name], sv, room[name])
		for _, j := range byService[name] {
			free -= s.startJob(now, j, sv, free, out)
		}
	}
}

// startJob starts up to free items of a job: those that come back first, then
// fresh ones in order.
func (s *Scheduler) startJob(now time.Time, j *schedJob, sv *schedService, free int, out *Actions) int {
	n := s.startRetries(now, j, sv, free, out)
	for n < free && j.cursor < j.in.Total {
		if j.taken(j.cursor) {
			j.cursor++
			continue
		}
		n += s.startRange(now, j, sv, free-n, out)
	}
	return n
}

func (s *Scheduler) startRetries(now time.Time, j *schedJob, sv *schedService, free int, out *Actions) int {
	n := 0
	kept := j.retries[:0]
	for _, it := range j.retries {
		switch {
		case j.taken(it.item):
		case n >= free || now.Before(it.notBefore) || (it.alone && sv.alone > 0):
			kept = append(kept, it)
		default:
			id := s.launch(now, j, sv, it)
			out.Start = append(out.Start, Start{
				Job: j.in.ID, First: it.item, Count: 1, Attempt: id, Try: it.tries + 1,
				Alone: it.alone, Avoid: it.avoid, ResumeText: it.text, ResumeTokens: it.tokens,
			})
			n++
		}
	}
	clear(j.retries[len(kept):])
	j.retries = kept
	return n
}

// startRange starts consecutive fresh items from the cursor on that lie in one
// block.
func (s *Scheduler) startRange(now time.Time, j *schedJob, sv *schedService, free int, out *Actions) int {
	first := j.cursor
	end := min(j.in.Total, (first/BlockItems+1)*BlockItems)
	st := Start{Job: j.in.ID, First: first, Attempt: s.next + 1, Try: 1}
	for j.cursor < end && int(st.Count) < free && !j.taken(j.cursor) {
		s.launch(now, j, sv, schedItem{item: j.cursor})
		j.cursor++
		st.Count++
	}
	out.Start = append(out.Start, st)
	return int(st.Count)
}

func (s *Scheduler) launch(now time.Time, j *schedJob, sv *schedService, it schedItem) AttemptID {
	s.next++
	s.attempts[s.next] = &schedAttempt{job: j, item: it, started: now}
	j.running++
	sv.running++
	if it.alone {
		sv.alone++
	}
	return s.next
}

func (s *Scheduler) service(name string) *schedService {
	sv, ok := s.services[name]
	if !ok {
		sv = &schedService{window: rampStart}
		s.services[name] = sv
	}
	return sv
}

func (j *schedJob) taken(item uint32) bool { return j.settled.has(item) || j.in.Done(item) }

func (j *schedJob) maxTries() int {
	if j.in.MaxTries > 0 {
		return j.in.MaxTries
	}
	return defaultTries
}

func (sv *schedService) observe(d time.Duration) {
	sv.window = min(sv.window+1, maxWindow)
	if sv.mean == 0 {
		sv.mean = d
		return
	}
	sv.mean += time.Duration(durationWeight * float64(d-sv.mean))
}

// shrink gives back one place for each refusal, so that a backend server that
// refuses is asked less and less.
func (sv *schedService) shrink() { sv.window = max(rampStart, sv.window-1) }

// sortBySlack orders jobs by how long they could wait and still meet their
// deadline; ties go to the earlier deadline, then to the lower id.
func sortBySlack(now time.Time, jobs []*schedJob, sv *schedService, room int) {
	width := time.Duration(max(1, room+sv.running))
	slack := func(j *schedJob) time.Duration {
		return j.in.Deadline.Sub(now) - time.Duration(j.in.Left)*sv.mean/width
	}
	sort.Slice(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if sx, sy := slack(x), slack(y); sx != sy {
			return sx < sy
		}
		if !x.in.Deadline.Equal(y.in.Deadline) {
			return x.in.Deadline.Before(y.in.Deadline)
		}
		return x.in.ID < y.in.ID
	})
}

// backoffFor doubles base with each of n repetitions after the first.
func backoffFor(n int, base, limit time.Duration) time.Duration {
	d := base
	for ; n > 1 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}

func sortIDs(ids []AttemptID) {
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
}

func sortViews(vs []JobView) {
	sort.Slice(vs, func(a, b int) bool { return vs[a].ID < vs[b].ID })
}
