// Package quarantine finds what makes backend servers crash one after the other, and holds back the
// requests that do.
//
// A suspect is a part of prompts, which many requests may share, one request that is sent again and again, or
// one item of a batch job. Every run with a guilty one ends the server that begins it, so a suspect is innocent
// as soon as any run with it completes, or servers have worked on runs with it for some time. It is held if
// servers end under runs with it several times and no gateway has seen such a run. The loss of many
// servers at once, most of which ran nothing with the suspect, does not count.
//
// Chance may end servers under runs of an innocent suspect too, and only its own runs can show that. So one run
// at a time, at all gateways together, is tried while a suspect is held: soon at first, and after a longer delay with
// each trial that ends its server alone.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/recent"
)

const (
	// minCrashes is how often servers must have ended under runs with a suspect before it is held.
	minCrashes = 3
	// partCrashSpacing is the least time between two crashes that count against a part: servers that
	// end together have a common cause, such as a lost rack, and say nothing about the requests.
	// Against a request, the end of a server counts if the run there began after the last crash that
	// counts.
	partCrashSpacing = momentWidth
	// sameCrash is the time in which reports on one server are about the same crash. A server
	// takes longer to start again.
	sameCrash = 1500 * time.Millisecond
	// partEvidenceTime and requestEvidenceTime are how long a crash counts against a part, and against a request or
	// an item. Half of the traffic may share a part, while one request may come again after a long time only.
	partEvidenceTime    = time.Minute
	requestEvidenceTime = time.Hour
	// completionMemory is how long a complete run speaks for its suspects.
	completionMemory = 30 * time.Second
	// minObservation is the time after its start in which a process holds nothing: it has not
	// seen enough runs complete.
	minObservation = 5 * time.Second
	// maxSuspects bounds the memory for suspects of each kind.
	maxSuspects = 1 << 14
)

// Table holds what is known about suspects. It is safe for concurrent use.
type Table struct {
	startedAt time.Time

	mu sync.Mutex
	// callers, items, parts and requests are the records of the kinds of suspects: requests of one caller,
	// items of batch jobs, parts of prompts, and requests whoever sends them.
	callers, items, parts, requests records
	held                            map[string]*hold
	// endings are the last ends of backend servers under runs.
	endings endings
}

// records are the runs that speak for suspects of one kind, or against them.
type records struct {
	completed *recent.Map[string, struct{}]
	crashes   *recent.Map[string, evidence]
	// served is how long servers have worked on runs that were stopped early.
	served *recent.Map[string, time.Duration]
	// spacing is the least time between two crashes that count; if it is 0, the run has to begin
	// after the last one.
	spacing time.Duration
	// backoff is when held suspects of this kind are tried.
	backoff backoff
	// immediate states that a suspect is held as soon as there is the evidence for it, before the
	// other gateways have had time to object.
	immediate bool
	// sharedByCallers states that the suspects are requests whoever sends them.
	sharedByCallers bool
}

// NewTable returns an empty table of a process that has started at startedAt.
func NewTable(startedAt time.Time) *Table {
	t := &Table{
		startedAt: startedAt,
		callers:   newRecords(requestEvidenceTime, requestBackoff),
		items:     newRecords(requestEvidenceTime, itemBackoff),
		parts:     newRecords(partEvidenceTime, partBackoff),
		requests:  newRecords(requestEvidenceTime, requestBackoff),
		held:      make(map[string]*hold),
	}
	t.callers.immediate = true
	t.parts.spacing = partCrashSpacing
	t.requests.sharedByCallers = true
	return t
}

// newRecords returns the empty records of a kind, whose crashes count for evidenceTime.
func newRecords(evidenceTime time.Duration, b backoff) records {
	return records{
		completed: recent.New[string, struct{}](completionMemory, maxSuspects),
		crashes:   recent.New[string, evidence](evidenceTime, maxSuspects),
		served:    recent.New[string, time.Duration](completionMemory, maxSuspects),
		backoff:   b,
	}
}

// kinds returns the records of all kinds, in the order in which they may explain crashes.
func (t *Table) kinds() []*records { return []*records{&t.callers, &t.items, &t.parts, &t.requests} }

func (t *Table) records(suspect string) *records {
	switch {
	case strings.HasPrefix(suspect, callerPrefix):
		return &t.callers
	case strings.HasPrefix(suspect, requestPrefix):
		return &t.requests
	case strings.HasPrefix(suspect, itemPrefix):
		return &t.items
	}
	return &t.parts
}

// SuspectsRequests reports whether any request is held, or servers have ended under one.
func (t *Table) SuspectsRequests() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held) > 0 || t.requests.crashes.Len() > 0 || t.callers.crashes.Len() > 0
}

// RecordCompleted records a complete run, here or at another gateway. It returns the suspects that
// are no longer held, and those requests against which there was evidence that does not count any
// more.
func (t *Table) RecordCompleted(suspects []string, now time.Time) (released, cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspect := range suspects {
		r := t.records(suspect)
		r.completed.Put(suspect, struct{}{}, now)
		if e, _ := r.crashes.Get(suspect, now); len(e) > 0 && r != &t.parts {
			cleared = append(cleared, suspect)
		}
		r.crashes.Delete(suspect)
		if t.held[suspect] != nil {
			delete(t.held, suspect)
			released = append(released, suspect)
		}
	}
	return released, cleared
}

// recordServed adds the time for which a server has worked on a run that was stopped, and returns the
// suspects that servers have borne for long enough by now.
func (t *Table) recordServed(suspects []string, d time.Duration, now time.Time) (harmless []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspect := range suspects {
		served := t.records(suspect).served
		sum, _ := served.Get(suspect, now)
		served.Put(suspect, sum+d, now)
		if sum+d >= harmlessTime {
			harmless = append(harmless, suspect)
		}
	}
	return harmless
}

// RecordCrash records that a backend server, given by the hash of its id, ended under these runs.
func (t *Table) RecordCrash(server uint32, runs Runs, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endings = t.endings.record(server, runs, now)
	if t.explained(runs) {
		return
	}
	for suspect, lasted := range runs {
		r := t.records(suspect)
		r.count(suspect, []crash{{server, now, now.Add(-lasted)}}, now)
	}
}

// RecordReport records the end of a server that another gateway reports.
func (t *Table) RecordReport(report CrashReport, now time.Time) {
	t.RecordCrash(report.Server, report.Runs, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for suspect, counted := range report.Counted {
		if t.held[suspect] == nil && !t.completedLately(suspect, now) {
			t.records(suspect).count(suspect, reported(counted, now), now)
		}
	}
}

// count adds crashes to the evidence against a suspect.
func (r *records) count(suspect string, crashes []crash, now time.Time) {
	e, _ := r.crashes.Get(suspect, now)
	if merged := e.with(crashes, r.spacing); !slices.Equal(merged, e) {
		r.crashes.Put(suspect, merged, now)
	}
}

// Counted returns the ends of servers that count against suspects.
func (t *Table) Counted(suspects []string, now time.Time) map[string][]CountedCrash {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted := make(map[string][]CountedCrash)
	for _, suspect := range suspects {
		if e, _ := t.records(suspect).crashes.Get(suspect, now); len(e) > 0 {
			counted[suspect] = e.counted(now)
		}
	}
	return counted
}

// crashAges returns how long ago the servers have ended that count against a suspect.
func (t *Table) crashAges(suspect string, now time.Time) []time.Duration {
	var ages []time.Duration
	for _, c := range t.Counted([]string{suspect}, now)[suspect] {
		ages = append(ages, c.Age.Round(time.Millisecond))
	}
	return ages
}

// explained reports whether a held suspect is among the runs. The caller holds mu.
func (t *Table) explained(runs Runs) bool {
	for suspect := range runs {
		if t.held[suspect] != nil {
			return true
		}
	}
	return false
}

// Completed returns those of the suspects with which a run has completed a short time ago.
func (t *Table) Completed(suspects []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(suspects), func(suspect string) bool { return !t.completedLately(suspect, now) })
}

func (t *Table) completedLately(suspect string, now time.Time) bool {
	_, found := t.records(suspect).completed.Get(suspect, now)
	return found
}

// proved reports whether the evidence against a suspect is enough. The caller holds mu.
func (t *Table) proved(suspect string, now time.Time) bool {
	if now.Sub(t.startedAt) < minObservation {
		return false
	}
	return len(t.against(suspect, now)) >= minCrashes && !t.completedLately(suspect, now)
}

// against returns the crashes that a suspect may have caused. The caller holds mu.
func (t *Table) against(suspect string, now time.Time) evidence {
	e, _ := t.records(suspect).crashes.Get(suspect, now)
	return slices.DeleteFunc(slices.Clone(e), func(c crash) bool { return !t.endings.explains(suspect, c.at) })
}

// HoldSuspects holds those of the suspects that are proved to crash servers, and returns them. A
// request is held for one caller if this explains the crashes, and for all otherwise.
func (t *Table) HoldSuspects(suspects []string, now time.Time) (found []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, kind := range t.kinds() {
		proved := slices.DeleteFunc(slices.Clone(suspects), func(suspect string) bool {
			return t.records(suspect) != kind || t.held[suspect] != nil || !t.proved(suspect, now)
		})
		for _, suspect := range proved {
			t.hold(suspect, 0, now)
		}
		found = append(found, proved...)
	}
	return found
}

// hold holds a suspect with this number of failed trials. The crashes that it explains no longer count
// against others. The caller holds mu.
func (t *Table) hold(suspect string, failures int, now time.Time) {
	r := t.records(suspect)
	if len(t.held) >= maxSuspects {
		t.forgetOldest()
	}
	t.held[suspect] = newHold(r.backoff, failures, now)
	explained, _ := r.crashes.Get(suspect, now)
	for _, others := range t.kinds() {
		if others != r && t.ofItems(others) && t.ofItems(r) {
			continue // the trials show whether an item is guilty or its part
		}
		others.crashes.Update(func(other string, e evidence) (evidence, bool) {
			if t.held[other] == nil {
				e = others.unexplained(e, explained)
			}
			return e, len(e) > 0
		})
	}
}

// ofItems reports whether the suspects of a kind are items or parts of their prompts.
func (t *Table) ofItems(r *records) bool { return r == &t.items || r == &t.parts }

// forgetOldest forgets the held suspect whose trial has been due for the longest time. The caller holds mu.
func (t *Table) forgetOldest() {
	oldest := ""
	for suspect, h := range t.held {
		if oldest == "" || h.dueAt.Before(t.held[oldest].dueAt) {
			oldest = suspect
		}
	}
	delete(t.held, oldest)
}

// unexplained returns the evidence that is left once a held suspect explains some crashes. A request
// under which no other caller has ended a server yet stays one crash short of being held for all.
func (r *records) unexplained(e, explained evidence) evidence {
	left := e.without(explained)
	if r.sharedByCallers && len(left) == 0 && len(e) >= minCrashes {
		return e[:minCrashes-1]
	}
	return left
}

// Hold holds a suspect that another gateway has found, after this number of failed trials. It reports
// whether the suspect was not held yet.
func (t *Table) Hold(suspect string, failures int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.held[suspect]
	if h == nil {
		t.hold(suspect, failures, now)
		return true
	}
	if failures > h.failures { // the report of a trial was lost
		h.merge(HoldState{Failures: failures, NextIn: h.backoff.delay(failures)}, 0, now)
	}
	return false
}

// Release stops holding a suspect, and reports whether it was held.
func (t *Table) Release(suspect string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := t.held[suspect] != nil
	delete(t.held, suspect)
	return found
}

// Suspected reports whether servers have ended under runs with one of the suspects more than once.
// Such a request is not sent to a further server after its own run has broken off.
func (t *Table) Suspected(suspects []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(suspects, func(suspect string) bool {
		return len(t.against(suspect, now)) >= minCrashes-1 && !t.completedLately(suspect, now)
	})
}
