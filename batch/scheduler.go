package batch

import (
	"sort"
	"time"
)

// Limits of the scheduler.
const (
	// initialWindow is how many attempts of one service may run at once after a
	// start or an outage; the window grows by one with each completed attempt.
	initialWindow   = 8
	maxWindow       = 1 << 14
	minRefusalDelay = 50 * time.Millisecond
	maxRefusalDelay = 5 * time.Second
	minRetryDelay   = 200 * time.Millisecond
	maxRetryDelay   = 10 * time.Second
	// defaultMaxTries bounds the tries of an item whose service sets no bound.
	defaultMaxTries = 3
	// meanDurationWeight is the weight of a new sample in the mean duration.
	meanDurationWeight = 0.1
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
	in JobInput
	// cursor is the item at which the search for untried items continues.
	cursor  uint32
	retries []schedItem
	running int
	// finished holds the items that have a final result or no tries left.
	finished bitmap
	expired  bool
}

type schedItem struct {
	item         uint32
	tries        int
	refusals     int
	exclusive    bool
	avoidBackend string
	resumeText   string
	resumeTokens int
	notBefore    time.Time
}

type schedAttempt struct {
	job     *schedJob
	item    schedItem
	started time.Time
}

type schedService struct {
	// Attempts start only while running, the number of attempts that have not
	// ended, is below window.
	window  int
	running int
	// exclusive is the number of running attempts that are exclusive.
	exclusive int
	// meanDuration is the mean duration of a completed attempt.
	meanDuration time.Duration
}

// NewScheduler returns a scheduler without jobs.
func NewScheduler() *Scheduler {
	return &Scheduler{
		jobs:     make(map[string]*schedJob),
		services: make(map[string]*schedService),
		attempts: make(map[AttemptID]*schedAttempt),
	}
}

// Tick processes the inputs and returns the actions to take. now must not be
// earlier than in the preceding tick.
func (s *Scheduler) Tick(now time.Time, in Inputs) Actions {
	var out Actions
	for _, e := range in.Ended {
		s.end(now, e, &out)
	}
	s.syncJobs(in.Jobs, &out)
	s.expire(now, &out)
	if in.Paused {
		for _, sv := range s.services {
			sv.window = initialWindow
		}
		return out
	}
	s.start(now, in.FreeSlots, &out)
	return out
}

// Running returns the number of attempts of a job that have not ended.
func (s *Scheduler) Running(job string) int {
	if j, ok := s.jobs[job]; ok {
		return j.running
	}
	return 0
}

func (s *Scheduler) end(now time.Time, e AttemptEnd, out *Actions) {
	a, ok := s.attempts[e.Attempt]
	if !ok {
		return
	}
	s.removeAttempt(e.Attempt, a)
	it := a.item
	switch e.Outcome {
	case OutcomeDone:
		a.job.finished.set(it.item)
		s.service(a.job.in.Service).observe(now.Sub(a.started))
		return
	case OutcomePreempted:
		it.resumeText, it.resumeTokens = e.ResumeText, e.ResumeTokens
		it.notBefore = now
	case OutcomeRefused:
		it.refusals++
		it.notBefore = now.Add(max(e.RetryAfter, backoffFor(it.refusals, minRefusalDelay, maxRefusalDelay)))
		s.service(a.job.in.Service).shrinkWindow()
	case OutcomeBackendLost:
		if it.exclusive {
			it.tries++
		}
		it.exclusive, it.avoidBackend = true, e.Backend
		it.notBefore = now.Add(backoffFor(it.tries, minRetryDelay, maxRetryDelay))
	default:
		it.tries++
		it.avoidBackend = e.Backend
		it.notBefore = now.Add(backoffFor(it.tries, minRetryDelay, maxRetryDelay))
	}
	if it.tries >= a.job.maxTries() {
		a.job.finished.set(it.item)
		out.Exhausted = append(out.Exhausted, ExhaustedItem{Job: a.job.in.ID, Item: it.item, Attempt: e.Attempt, Tries: it.tries})
		return
	}
	a.job.retries = append(a.job.retries, it)
}

func (s *Scheduler) removeAttempt(id AttemptID, a *schedAttempt) {
	delete(s.attempts, id)
	a.job.running--
	sv := s.service(a.job.in.Service)
	sv.running--
	if a.item.exclusive {
		sv.exclusive--
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
		s.jobs[in.ID] = &schedJob{in: in, finished: newBitmap(in.Total)}
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
			s.removeAttempt(id, a)
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

func (s *Scheduler) start(now time.Time, freeSlots map[string]int, out *Actions) {
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
		free := min(freeSlots[name], sv.window-sv.running)
		sortBySlack(now, byService[name], sv, freeSlots[name])
		for _, j := range byService[name] {
			free -= s.startJob(now, j, sv, free, out)
		}
	}
}

// startJob starts up to free items of a job: first the retries, then items that
// were never tried, in order.
func (s *Scheduler) startJob(now time.Time, j *schedJob, sv *schedService, free int, out *Actions) int {
	n := s.startRetries(now, j, sv, free, out)
	for n < free && j.cursor < j.in.Total {
		if j.isDone(j.cursor) {
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
		case j.isDone(it.item):
		case n >= free || now.Before(it.notBefore) || (it.exclusive && sv.exclusive > 0):
			kept = append(kept, it)
		default:
			id := s.startAttempt(now, j, sv, it)
			out.Start = append(out.Start, Start{
				Job: j.in.ID, First: it.item, Count: 1, Attempt: id, Try: it.tries + 1,
				Exclusive: it.exclusive, AvoidBackend: it.avoidBackend, ResumeText: it.resumeText, ResumeTokens: it.resumeTokens,
			})
			n++
		}
	}
	clear(j.retries[len(kept):])
	j.retries = kept
	return n
}

// startRange starts consecutive items that were never tried, from the cursor on and
// within one block.
func (s *Scheduler) startRange(now time.Time, j *schedJob, sv *schedService, free int, out *Actions) int {
	first := j.cursor
	end := min(j.in.Total, (first/BlockItems+1)*BlockItems)
	st := Start{Job: j.in.ID, First: first, Attempt: s.next + 1, Try: 1}
	for j.cursor < end && int(st.Count) < free && !j.isDone(j.cursor) {
		s.startAttempt(now, j, sv, schedItem{item: j.cursor})
		j.cursor++
		st.Count++
	}
	out.Start = append(out.Start, st)
	return int(st.Count)
}

func (s *Scheduler) startAttempt(now time.Time, j *schedJob, sv *schedService, it schedItem) AttemptID {
	s.next++
	s.attempts[s.next] = &schedAttempt{job: j, item: it, started: now}
	j.running++
	sv.running++
	if it.exclusive {
		sv.exclusive++
	}
	return s.next
}

func (s *Scheduler) service(name string) *schedService {
	sv, ok := s.services[name]
	if !ok {
		sv = &schedService{window: initialWindow}
		s.services[name] = sv
	}
	return sv
}

func (j *schedJob) isDone(item uint32) bool { return j.finished.has(item) || j.in.Done(item) }

func (j *schedJob) maxTries() int {
	if j.in.MaxTries > 0 {
		return j.in.MaxTries
	}
	return defaultMaxTries
}

func (sv *schedService) observe(d time.Duration) {
	sv.window = min(sv.window+1, maxWindow)
	if sv.meanDuration == 0 {
		sv.meanDuration = d
		return
	}
	sv.meanDuration += time.Duration(meanDurationWeight * float64(d-sv.meanDuration))
}

// shrinkWindow reduces the window by one for each refusal, so that a backend
// server that refuses receives fewer and fewer attempts.
func (sv *schedService) shrinkWindow() { sv.window = max(initialWindow, sv.window-1) }

// sortBySlack orders jobs by how long they can wait and still meet their deadline.
// Ties are ordered by the earlier deadline, then by the lower id.
func sortBySlack(now time.Time, jobs []*schedJob, sv *schedService, freeSlots int) {
	width := time.Duration(max(1, freeSlots+sv.running))
	slack := func(j *schedJob) time.Duration {
		return j.in.Deadline.Sub(now) - time.Duration(j.in.Left)*sv.meanDuration/width
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

// backoffFor returns base, doubled for each of n repetitions after the first, and
// at most limit.
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
