package soak

import (
	"net/http"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	completed    = "completed"
	deadLettered = "dead_lettered"
	// finishSlack is the tolerance for a 404 for an item's body: the 404 is wrong if the
	// item started later than this after the request for the body.
	finishSlack = 200 * time.Millisecond
)

// checkJob checks a batch job.
func (c *checker) checkJob(j *JobRecord) {
	v, id := c.verdict, j.Op.ID
	if j.Accepted.IsZero() {
		c.checkRefusedJob(j)
		return
	}
	for _, text := range j.Missing {
		v.AddFinding(chaos.Lost, "job %s: %s", id, text)
	}
	for _, text := range j.WrongBodies {
		v.AddFinding(chaos.WrongResponse, "job %s: %s", id, text)
	}
	c.checkBodies(j)
	known := make(map[int]Result)
	for _, l := range append(append([]Listing(nil), j.Listings...), j.Final...) {
		c.checkListing(j, l, known)
	}
	c.checkPositions(j, known)
	c.checkEnd(j)
	for i := range j.Op.Items {
		c.checkAttempts(j, i)
	}
}

func (c *checker) checkRefusedJob(j *JobRecord) {
	for i := range j.Op.Items {
		if runs := c.started(itemID(j.Op, i)); j.Refused && len(runs) > 0 {
			c.verdict.AddFinding(chaos.FalseNotRun, "job %s was refused, and %s ran at %s", j.Op.ID, itemID(j.Op, i), runs[0].backend)
		}
	}
}

// checkBodies checks the bodies for which a gateway returned 404. That is correct only
// if the item had its result by then.
func (c *checker) checkBodies(j *JobRecord) {
	for _, m := range j.MissingBodies {
		for _, r := range c.started(m.ItemID) {
			if r.At.After(m.At.Add(finishSlack)) {
				c.verdict.AddFinding(chaos.Lost, "body of %s at %s: 404 although it ran %s later", m.ItemID, m.Gateway, r.At.Sub(m.At))
				break
			}
		}
	}
}

// checkListing checks a listing against all earlier ones. The result at a position never
// changes.
func (c *checker) checkListing(j *JobRecord, l Listing, known map[int]Result) {
	v := c.verdict
	if l.Total != j.Op.Items {
		v.AddFinding(chaos.WrongResponse, "job %s at %s: listing of %d items, want %d", j.Op.ID, l.Gateway, l.Total, j.Op.Items)
	}
	for i, result := range l.Results {
		at := l.From + i
		before, read := known[at]
		if read && before != result {
			v.AddFinding(chaos.Duplicate, "job %s at %s: position %d holds %s %s, was %s %s", j.Op.ID, l.Gateway, at, result.ID, result.State, before.ID, before.State)
		}
		if !read {
			known[at] = result
			c.checkResult(j, result)
			c.checkTextOrder(result, l.Gateway)
		}
	}
}

// checkResult checks a result against what ran.
func (c *checker) checkResult(j *JobRecord, r Result) {
	switch {
	case r.State == completed && r.Text != itemText(r.ID):
		c.verdict.AddFinding(chaos.WrongResponse, "item %s: wrong text %q", r.ID, r.Text)
	case r.State == deadLettered && !c.mayDeadLetter(j, r.ID):
		c.verdict.AddFinding(chaos.Lost, "item %s was dead-lettered after %d runs", r.ID, len(c.started(r.ID)))
	case r.State != completed && r.State != deadLettered:
		c.verdict.AddFinding(chaos.WrongResponse, "item %s: unknown state %q", r.ID, r.State)
	}
}

// mayDeadLetter reports whether an item was unprocessable, has failed often enough, or
// belongs to a job that was ended.
func (c *checker) mayDeadLetter(j *JobRecord, id string) bool {
	failed := 0
	for _, r := range c.started(id) {
		if r.Fault == platformtest.Unprocessable {
			return true
		}
		if r.Fault == platformtest.Fail {
			failed++
		}
	}
	return failed >= maxAttempts || !j.EndRequested.IsZero()
}

// checkPositions checks that each item has one result, and that each gateway lists all of
// them after the faults.
func (c *checker) checkPositions(j *JobRecord, known map[int]Result) {
	positions := make(map[string]int)
	for at, r := range known {
		if other, twice := positions[r.ID]; twice {
			c.verdict.AddFinding(chaos.Duplicate, "item %s is listed at positions %d and %d", r.ID, other, at)
		}
		positions[r.ID] = at
	}
	for _, l := range j.Final {
		if len(l.Results) < len(known) {
			c.verdict.AddFinding(chaos.Lost, "job %s: %s lists %d of the %d results that were read", j.Op.ID, l.Gateway, len(l.Results), len(known))
		}
		if j.EndRequested.IsZero() && len(l.Results) < j.Op.Items {
			c.verdict.AddFinding(chaos.Lost, "job %s: %s lists %d of %d items %s after the faults", j.Op.ID, l.Gateway, len(l.Results), j.Op.Items, finishTime)
		}
	}
}

// checkEnd checks that no item starts later than endBound after the end of its job.
func (c *checker) checkEnd(j *JobRecord) {
	if j.EndAcked.IsZero() {
		return
	}
	from := j.EndAcked
	if c.history.FaultsEnded.After(from) {
		from = c.history.FaultsEnded
	}
	for i := range j.Op.Items {
		for _, r := range c.started(itemID(j.Op, i)) {
			if r.At.After(from.Add(endBound)) {
				c.verdict.AddFinding(chaos.RanAfterCancel, "%s started %s after the end of its job", r.ID, r.At.Sub(j.EndAcked))
			}
		}
	}
}

// checkAttempts checks the number of attempts of an item that always fails.
func (c *checker) checkAttempts(j *JobRecord, i int) {
	failed, unprocessable := 0, 0
	for _, r := range c.started(itemID(j.Op, i)) {
		switch r.Fault {
		case platformtest.Fail:
			failed++
		case platformtest.Unprocessable:
			unprocessable++
		}
	}
	if i == j.Op.Failing && failed > 3*maxAttempts || unprocessable > 3 {
		c.verdict.AddFinding(chaos.AttemptLimitExceeded, "item %s: %d responses with status %d, %d with status %d", itemID(j.Op, i), failed, http.StatusInternalServerError, unprocessable, http.StatusUnprocessableEntity)
	}
}
