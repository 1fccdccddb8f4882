package batch

import (
	"slices"
	"sort"
	"time"
)

// naiveItem is an item of the naive scheduler, a reference model that keeps every
// item of every job and examines all of them in each tick.
type naiveItem struct {
	state              string // fresh, running, waiting, settled
	tries, refusals    int
	exclusive          bool
	avoidBackend, text string
	tokens             int
	notBefore          time.Time
	queued             int
	attempt            AttemptID
	started            time.Time
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
	job          string
	item         uint32
	attempt      AttemptID
	try          int
	exclusive    bool
	avoidBackend string
	text         string
	tokens       int
}

type naiveActions struct {
	start     []naiveStart
	stop      []AttemptID
	exhausted []ExhaustedItem
	expire    []string
}

func newNaive() *naiveScheduler {
	return &naiveScheduler{jobs: map[string]*naiveJob{}, window: map[string]int{}, mean: map[string]time.Duration{}}
}

func (n *naiveScheduler) windowOf(service string) int {
	if n.window[service] == 0 {
		return initialWindow
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
	if in.Paused {
		for s := range n.window {
			n.window[s] = initialWindow
		}
		return out
	}
	n.start(now, in.FreeSlots, &out)
	return out
}

func (n *naiveScheduler) end(now time.Time, j *naiveJob, index uint32, it *naiveItem, e AttemptEnd, out *naiveActions) {
	n.counter++
	it.queued, it.state = n.counter, "waiting"
	service := j.in.Service
	wait := time.Duration(0)
	switch e.Outcome {
	case OutcomeDone:
		it.state = "settled"
		n.window[service] = min(n.windowOf(service)+1, maxWindow)
		d := now.Sub(it.started)
		if n.mean[service] != 0 {
			d = n.mean[service] + time.Duration(meanDurationWeight*float64(d-n.mean[service]))
		}
		n.mean[service] = d
		return
	case OutcomePreempted:
		it.text, it.tokens = e.ResumeText, e.ResumeTokens
	case OutcomeRefused:
		it.refusals++
		wait = max(e.RetryAfter, backoffFor(it.refusals, minRefusalDelay, maxRefusalDelay))
		n.window[service] = max(initialWindow, n.windowOf(service)-1)
	case OutcomeBackendLost:
		if it.exclusive {
			it.tries++
		}
		it.exclusive, it.avoidBackend = true, e.Backend
		wait = backoffFor(it.tries, minRetryDelay, maxRetryDelay)
	case OutcomeFailed:
		it.tries++
		it.avoidBackend = e.Backend
		wait = backoffFor(it.tries, minRetryDelay, maxRetryDelay)
	}
	it.notBefore = now.Add(wait)
	if it.tries >= j.in.MaxTries {
		it.state = "settled"
		out.exhausted = append(out.exhausted, ExhaustedItem{Job: j.in.ID, Item: index, Attempt: e.Attempt, Tries: it.tries})
	}
}

func (n *naiveScheduler) count(service, state string, exclusive bool) int {
	c := 0
	for _, j := range n.jobs {
		for _, it := range j.items {
			if j.in.Service == service && it.state == state && (!exclusive || it.exclusive) {
				c++
			}
		}
	}
	return c
}

func (n *naiveScheduler) start(now time.Time, freeSlots map[string]int, out *naiveActions) {
	for _, service := range []string{"s0", "s1"} {
		var jobs []*naiveJob
		for _, j := range n.jobs {
			if j.in.Service == service && !j.expired {
				jobs = append(jobs, j)
			}
		}
		n.order(now, service, freeSlots[service], jobs)
		free := min(freeSlots[service], n.windowOf(service)-n.count(service, "running", false))
		for _, j := range jobs {
			for free > 0 && n.startOne(now, j, out) {
				free--
			}
		}
	}
}

func (n *naiveScheduler) order(now time.Time, service string, freeSlots int, jobs []*naiveJob) {
	width := time.Duration(max(1, freeSlots+n.count(service, "running", false)))
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

// startOne starts the item that may start and has waited longest, or else the
// lowest item that was never tried.
func (n *naiveScheduler) startOne(now time.Time, j *naiveJob, out *naiveActions) bool {
	best := -1
	for i := range j.items {
		it := &j.items[i]
		switch {
		case it.state != "waiting" || j.in.Done(uint32(i)) || now.Before(it.notBefore):
		case it.exclusive && n.count(j.in.Service, "running", true) > 0:
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
		exclusive: it.exclusive, avoidBackend: it.avoidBackend, text: it.text, tokens: it.tokens,
	})
	return true
}

func flatten(starts []Start) []naiveStart {
	var out []naiveStart
	for _, s := range starts {
		for i := range s.Count {
			out = append(out, naiveStart{
				job: s.Job, item: s.First + i, attempt: s.Attempt + AttemptID(i), try: s.Try,
				exclusive: s.Exclusive, avoidBackend: s.AvoidBackend, text: s.ResumeText, tokens: s.ResumeTokens,
			})
		}
	}
	return out
}
