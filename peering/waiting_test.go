package peering_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/waiting"
)

// TestWaitingRequestsAreReported sends the number of requests that wait at one gateway to
// another one; more services than are reported at most are cut off.
func TestWaitingRequestsAreReported(t *testing.T) {
	counts := make(map[uint32]waiting.Count)
	for service := range uint32(peering.MaxWaitingServices + 10) {
		counts[service] = waiting.Count{All: 3, InTime: 2}
	}
	a, b := startGateway(t, "a", "127.0.0.1:0", "r"), startGateway(t, "b", "127.0.0.1:0", "r")
	b.addPeer(t, a, "r")
	a.addPeer(t, b, "r")
	b.setWaiting(counts)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := a.crowd.Of(5, time.Now()); got != (waiting.Elsewhere{Gateways: 1, WaitingAt: 1, Waiting: 3, InTimeAt: 1}) {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, a.crowd.Of(peering.MaxWaitingServices+5, time.Now()).Waiting, 0)
}
