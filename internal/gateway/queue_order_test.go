package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLateWaitersYieldToThoseInTime(t *testing.T) {
	var q queue
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	early, late := q.waiter("s", at(100)), q.waiter("s", at(250))
	other := q.waiter("other", at(100))

	for _, w := range []*waiter{early, late, other} {
		assert.Assert(t, !w.yields(begin))
		w.join(begin)
	}
	assert.Assert(t, early.yields(at(150)), "the other one can still be in time")
	assert.Assert(t, !late.yields(at(150)))
	assert.Assert(t, !other.yields(at(150)), "services do not compete")
	assert.Assert(t, !late.yields(at(300)), "nobody is in time")
	assert.Assert(t, !early.yields(at(300)))

	late.leave()
	early.leave()
	other.leave()
	assert.Equal(t, len(q.inTime), 0)
}
