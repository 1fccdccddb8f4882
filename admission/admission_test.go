package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
)

var testPolicy = admission.Policy{Slots: 4, OnlineWeight: 1, BatchWeight: 1, MaxQueue: 6}

func arrive(id string, class admission.Class) admission.Arrive {
	return admission.Arrive{Attempt: admission.Attempt{ID: id, Class: class, PromptTokens: 100, MaxTokens: 100}}
}

func kinds(out []admission.Action) string {
	s := ""
	for _, a := range out {
		s += fmt.Sprintf("%d:%s ", a.Kind, a.ID)
	}
	return s
}

func TestOnlinePreemptsBatchAtOnce(t *testing.T) {
	p := testPolicy
	p.Slots = 1
	c := admission.New(p)
	assert.Equal(t, kinds(c.Tick(0, arrive("b", admission.Batch))), "0:b ")
	assert.Equal(t, kinds(c.Tick(1, arrive("o", admission.Online))), "2:b 0:o ")
	assert.Equal(t, c.Load().RunningBatch, 0)
}

func TestNonIdempotentBatchIsNotPreempted(t *testing.T) {
	p := testPolicy
	p.Slots = 1
	c := admission.New(p)
	a := arrive("b", admission.Batch)
	a.Attempt.NonIdempotent = true
	c.Tick(0, a)
	assert.Equal(t, kinds(c.Tick(1, arrive("o", admission.Online))), "")
	assert.Equal(t, kinds(c.Tick(2, admission.Finish{ID: "b"})), "0:o ")
}

func TestRefusesOnArrivalWhenWaitExceedsDeadline(t *testing.T) {
	p := testPolicy
	p.Slots = 1
	c := admission.New(p)
	c.Tick(0, arrive("a", admission.Online))
	c.Tick(10*time.Second, admission.Finish{ID: "a"})
	c.Tick(10*time.Second, arrive("b", admission.Online))
	late := arrive("c", admission.Online)
	late.Attempt.Deadline = time.Second
	out := c.Tick(10*time.Second, late)
	assert.Equal(t, kinds(out), "1:c ")
	assert.Equal(t, out[0].Err, errkind.DeadlineTooShort)
	assert.Equal(t, out[0].RetryAfter, 10*time.Second)
}

func TestExpiresQueued(t *testing.T) {
	p := testPolicy
	p.Slots = 1
	c := admission.New(p)
	c.Tick(0, arrive("a", admission.Online))
	b := arrive("b", admission.Online)
	b.Attempt.Deadline = time.Second
	c.Tick(0, b)
	assert.Equal(t, kinds(c.Tick(time.Second-1)), "")
	assert.Equal(t, kinds(c.Tick(time.Second)), "1:b ")
}

func TestPlainBatchFillsIdleSlots(t *testing.T) {
	c := admission.New(testPolicy)
	for i := range 5 {
		a := arrive(fmt.Sprint(i), admission.Batch)
		a.Attempt.PromptTokens, a.Attempt.MaxTokens = 0, 0
		c.Tick(0, a)
	}
	assert.Equal(t, c.Load().RunningBatch, 4)
}

func TestCancelledBatchLeavesNoHoles(t *testing.T) {
	p := testPolicy
	p.Slots = 1
	c := admission.New(p)
	c.Tick(0, arrive("o", admission.Online))
	c.Tick(0, arrive("front", admission.Batch))
	for i := range 1000 {
		id := fmt.Sprint(i)
		c.Tick(0, arrive(id, admission.Batch))
		c.Tick(0, admission.Cancel{ID: id})
	}
	assert.Equal(t, c.Load().QueuedBatch, 1)
	assert.Equal(t, kinds(c.Tick(1, admission.Finish{ID: "o"})), "0:front ")
}

func TestDrainRefuses(t *testing.T) {
	c := admission.New(testPolicy)
	out := c.Tick(0, admission.Drain{}, arrive("a", admission.Online))
	assert.Equal(t, out[0].Err, errkind.Draining)
	assert.Equal(t, c.Load().BatchRoom, 0)
}

// referenceModel is a simple model of the attempts' states, against which the
// core's actions are checked.
type referenceModel struct {
	class         map[string]admission.Class
	nonIdempotent map[string]bool
	state         map[string]string
	answered      map[string]int
}

func newReferenceModel() *referenceModel {
	return &referenceModel{
		class: map[string]admission.Class{}, nonIdempotent: map[string]bool{},
		state: map[string]string{}, answered: map[string]int{},
	}
}

func (n *referenceModel) count(class admission.Class, state string) int {
	k := 0
	for id, s := range n.state {
		if s == state && n.class[id] == class {
			k++
		}
	}
	return k
}

// apply checks each action against the current state of its attempt.
func (n *referenceModel) apply(t *rapid.T, out []admission.Action) {
	for _, a := range out {
		switch a.Kind {
		case admission.Start:
			assert.Equal(t, n.state[a.ID], "queued", "started %s", a.ID)
			n.state[a.ID] = "running"
		case admission.Refuse:
			assert.Equal(t, n.state[a.ID], "queued", "refused %s", a.ID)
			n.end(t, a.ID)
		case admission.Preempt:
			assert.Equal(t, n.state[a.ID], "running", "preempted %s", a.ID)
			assert.Equal(t, n.class[a.ID], admission.Batch)
			assert.Assert(t, !n.nonIdempotent[a.ID])
			n.state[a.ID] = "stopping"
		case admission.Stop:
			assert.Equal(t, n.state[a.ID], "running", "stopped %s", a.ID)
			n.state[a.ID] = "stopping"
		}
	}
}

func (n *referenceModel) end(t *rapid.T, id string) {
	n.state[id] = "ended"
	n.answered[id]++
	assert.Equal(t, n.answered[id], 1, "answered %s twice", id)
}

// check compares the core's counts and its priority order with the reference
// model.
func (n *referenceModel) check(t *rapid.T, c *admission.Core, slots int) {
	l := c.Load()
	assert.Equal(t, l.RunningOnline, n.count(admission.Online, "running"))
	assert.Equal(t, l.RunningBatch, n.count(admission.Batch, "running"))
	assert.Equal(t, l.QueuedOnline, n.count(admission.Online, "queued"))
	assert.Equal(t, l.QueuedBatch, n.count(admission.Batch, "queued"))
	if l.QueuedOnline == 0 {
		return
	}
	assert.Assert(t, l.RunningOnline+l.RunningBatch >= slots, "online attempt waits while a slot is free")
	for id, s := range n.state {
		if s == "running" && n.class[id] == admission.Batch {
			assert.Assert(t, n.nonIdempotent[id], "online attempt waits while batch attempt %s runs", id)
		}
	}
}

func TestCoreMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPolicy
		p.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		p.TBTTarget = time.Duration(rapid.IntRange(0, 30).Draw(t, "target")) * time.Millisecond
		c, n := admission.New(p), newReferenceModel()
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			n.apply(t, c.Tick(now, draw(t, n, i)...))
			n.check(t, c, p.Slots)
		}
		drainAll(t, c, n, now)
	})
}

// draw draws one input and updates the reference model.
func draw(t *rapid.T, n *referenceModel, i int) []admission.Input {
	id := fmt.Sprintf("a%d", rapid.IntRange(0, max(i-1, 0)).Draw(t, "id"))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1, 2:
		return []admission.Input{drawArrival(t, n, fmt.Sprintf("a%d", i))}
	case 3:
		return []admission.Input{admission.Token{ID: id}}
	case 4:
		if s := n.state[id]; s == "running" || s == "stopping" {
			n.end(t, id)
			return []admission.Input{admission.Finish{ID: id}}
		}
	case 5:
		if n.state[id] == "queued" {
			n.end(t, id)
		}
		return []admission.Input{admission.Cancel{ID: id}}
	}
	return nil
}

func drawArrival(t *rapid.T, n *referenceModel, id string) admission.Arrive {
	a := arrive(id, admission.Class(rapid.IntRange(0, 1).Draw(t, "class")))
	a.Attempt.PromptTokens = 100 * rapid.IntRange(0, 1).Draw(t, "prompt")
	a.Attempt.NonIdempotent = rapid.IntRange(0, 4).Draw(t, "pinned") == 0
	a.Attempt.Deadline = time.Duration(rapid.IntRange(0, 400).Draw(t, "deadline")) * time.Millisecond
	n.class[id], n.nonIdempotent[id], n.state[id] = a.Attempt.Class, a.Attempt.NonIdempotent, "queued"
	return a
}

// drainAll finishes running attempts until none is left: no attempt may be lost.
func drainAll(t *rapid.T, c *admission.Core, n *referenceModel, now time.Duration) {
	for range 10 * len(n.state) {
		now += time.Second
		var in []admission.Input
		for id, s := range n.state {
			if s == "running" || s == "stopping" {
				n.end(t, id)
				in = append(in, admission.Finish{ID: id})
			}
		}
		n.apply(t, c.Tick(now, in...))
	}
	for id, s := range n.state {
		assert.Equal(t, s, "ended", "%s is lost", id)
	}
}

func BenchmarkTickToken(b *testing.B) {
	c := admission.New(admission.Policy{Slots: 32, OnlineWeight: 1, BatchWeight: 1})
	var in []admission.Input
	for i := range 32 {
		id := fmt.Sprintf("a%d", i)
		c.Tick(0, arrive(id, admission.Class(i%2)))
		in = append(in, admission.Token{ID: id})
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		c.Tick(now, in[i%len(in):i%len(in)+1]...)
	}
}

// BenchmarkLifecycle measures one attempt from arrival to end: three
// transitions.
func BenchmarkLifecycle(b *testing.B) {
	c := admission.New(testPolicy)
	in, end := arrive("a", admission.Online), admission.Finish{ID: "a"}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		c.Tick(now, in)
		c.Tick(now, end)
	}
}
