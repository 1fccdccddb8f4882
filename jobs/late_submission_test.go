package jobs_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

const (
	// lateSubmissionSeeds is how many plays of late submissions a run of the tests has.
	lateSubmissionSeeds = 12
	// maxFaults bounds the appends of a play that are lost or executed late.
	maxFaults = 12
)

// TestSubmissionsThatAreExecutedLateLeaveTheJobReadable guards against accepted jobs that can't be read, or are not those
// that were submitted, after appends of content and summaries were lost or executed late in any order.
func TestSubmissionsThatAreExecutedLateLeaveTheJobReadable(t *testing.T) {
	for seed := range uint64(lateSubmissionSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLateSubmissions(t, seed) })
	}
}

// playLateSubmissions submits a job again and again, at two processes that store it in different ways, while the log
// loses and delays appends, until it is accepted.
func playLateSubmissions(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 52))
	c := newCluster(t, 2)
	renamed := c.route
	renamed.Name = renamedRoute
	c.otherRoutes = []catalog.Route{renamed}
	c.olderRelease = rng.IntN(4) == 0
	nodes := []*node{c.start("a"), c.start("b")}
	j := submission{items: 1 + rng.IntN(60), body: rng.IntN(3000), headers: rng.IntN(20)}.job("j")

	c.log.SetFault(lateAppends(seed))
	for accepted := false; !accepted; {
		submitted := again(j, []string{"b", renamedRoute}[rng.IntN(2)], rng.Int64N(3000))
		accepted = nodes[rng.IntN(2)].SubmitLocal(t.Context(), submitted, 0) == nil
		if rng.IntN(4) == 0 {
			c.log.RunDelayed()
		}
	}
	c.log.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	results := c.waitComplete(nodes[rng.IntN(2)], j)
	c.checkComplete(j, results)
	c.log.RunDelayed()
	c.checkStaysReadable(j, results)
}

// lateAppends returns a function that loses or delays many of the first appends of content and of summaries.
func lateAppends(seed uint64) func(call string, p keyedlog.Partition) keyedlogtest.Fault {
	var mu sync.Mutex
	left := maxFaults
	rng := rand.New(rand.NewPCG(seed, 53))
	faults := []keyedlogtest.Fault{
		keyedlogtest.None, keyedlogtest.None, keyedlogtest.None, keyedlogtest.None, keyedlogtest.None,
		keyedlogtest.Delay, keyedlogtest.Delay, keyedlogtest.DropResponse, keyedlogtest.DropRequest,
	}
	return func(call string, p keyedlog.Partition) keyedlogtest.Fault {
		if call != "append" || p.Topic == "keyed.results" {
			return keyedlogtest.None
		}
		mu.Lock()
		defer mu.Unlock()
		fault := faults[rng.IntN(len(faults))]
		if left == 0 || fault == keyedlogtest.None {
			return keyedlogtest.None
		}
		left--
		return fault
	}
}
