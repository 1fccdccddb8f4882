package jobs

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// TestClaimDuringAReleaseLosesNoContent guards against a release that clears what a new claim of the shard has read.
func TestClaimDuringAReleaseLosesNoContent(t *testing.T) {
	s := New(Options{Log: keyedlogtest.New(), ContentTopic: "keyed.contents", Shards: 1, Logger: log.New(io.Discard)})
	sh := s.shards[0]
	assert.Assert(t, sh.claim(t.Context()))
	sh.becomeOwner(1, 0)

	s.table.mu.RLock() // holds the release back before it has cleared the jobs
	released := make(chan struct{})
	go func() { sh.release(0, "test"); close(released) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sh.owned() {
			return poll.Continue("the release has not begun")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	claimed := sh.claim(t.Context())
	s.table.mu.RUnlock()

	<-released
	assert.Assert(t, !claimed, "the shard is claimed while its release is about to clear the jobs")
	assert.Assert(t, sh.claim(t.Context()))
}
