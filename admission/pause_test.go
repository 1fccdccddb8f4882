package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/admission"
)

func newPausingCore() *admission.Core {
	p := testPolicy
	p.TBTTarget = 50 * time.Millisecond
	return admission.New(p, admission.WithPause(), admission.WithKVCapacity(10_000))
}

func TestBatchPausesUntilOnlineHasItsFirstToken(t *testing.T) {
	c := newPausingCore()
	assert.Equal(t, kinds(c.Tick(0, arrive("b", admission.Batch))), "0:b ")
	c.Tick(1, admission.Token{ID: "b"})
	assert.Equal(t, kinds(c.Tick(2, arrive("o", admission.Online))), "4:b 0:o ")
	assert.Equal(t, kinds(c.Tick(3)), "")
	assert.Equal(t, kinds(c.Tick(4, admission.Token{ID: "o"})), "0:b ")
}

func TestLongPromptStartsInSlices(t *testing.T) {
	c := newPausingCore()
	a := arrive("b", admission.Batch)
	a.Attempt.PromptTokens = 300
	assert.Equal(t, c.Tick(0, a)[0].PrefillTokens, 128)
	assert.Equal(t, c.Tick(1, admission.SlicePrefilled{ID: "b"})[0].PrefillTokens, 256)
	assert.Equal(t, c.Tick(2, admission.SlicePrefilled{ID: "b"})[0].PrefillTokens, 0)
}

func TestNonIdempotentBatchIsNeverSliced(t *testing.T) {
	c := newPausingCore()
	a := arrive("b", admission.Batch)
	a.Attempt.PromptTokens, a.Attempt.NonIdempotent = 300, true
	out := c.Tick(0, a)
	assert.Equal(t, kinds(out), "0:b ")
	assert.Equal(t, out[0].PrefillTokens, 0)
	assert.Equal(t, kinds(c.Tick(1, arrive("o", admission.Online))), "0:o ")
}

func TestLongPausedBatchIsPreempted(t *testing.T) {
	c := newPausingCore()
	c.Tick(0, arrive("b", admission.Batch))
	c.Tick(1, arrive("o", admission.Online))
	assert.Equal(t, kinds(c.Tick(time.Minute)), "2:b ")
	assert.Equal(t, kinds(c.Tick(time.Minute, admission.Finish{ID: "b"})), "")
	assert.Equal(t, c.Load().RunningBatch, 0)
}

func TestCancelStopsPausedBatch(t *testing.T) {
	c := newPausingCore()
	c.Tick(0, arrive("b", admission.Batch))
	c.Tick(1, arrive("o", admission.Online))
	assert.Equal(t, kinds(c.Tick(2, admission.Cancel{ID: "b"})), "3:b ")
	assert.Equal(t, kinds(c.Tick(3, admission.Token{ID: "o"})), "")
}
