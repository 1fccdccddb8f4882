package peering_test

import (
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// sendRaw sends a datagram to a gateway from an address of its own.
func sendRaw(t *testing.T, to *gateway, message map[int]any) {
	t.Helper()
	raw, err := cbor.Marshal(message)
	assert.NilError(t, err)
	sendBytes(t, to, raw)
}

func sendBytes(t *testing.T, to *gateway, raw []byte) {
	t.Helper()
	c, err := net.Dial("udp", to.address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write(raw)
	assert.NilError(t, err)
}

// within fails the test if f takes longer than the time for which callers may be held up.
func within(t *testing.T, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() { f(); close(done) }()
	select {
	case <-done:
	case <-time.After(time.Second / 2):
		t.Fatal("one message holds the process up")
	}
}

// TestReportOfImpossibleLoadHoldsNothingUp covers one malformed report: its counts of attempts used
// to be taken one by one under the lock that every request needs.
func TestReportOfImpossibleLoadHoldsNothingUp(t *testing.T) {
	for name, load := range map[string][2]int{
		"huge batch": {0, math.MaxInt64 / 2}, "huge online": {math.MaxInt64 / 2, 1}, "negative": {-5, -5},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, "a", "127.0.0.1:0", "near")
			b := catalog.Backend{ID: "s", Zone: "z", Slots: 8, State: catalog.Ready}
			report := func(from string, load [2]int) {
				sendRaw(t, g, map[int]any{1: from, 2: 1, 3: 1, 4: map[uint32][2]int{balance.Key("s"): load}, 6: "near"})
			}
			report("malformed", load)
			report("sound", [2]int{2, 0}) // arrives after the malformed one
			within(t, func() {
				g.waitForLoad(t, "s", 2)
				assert.Equal(t, g.table.ExcessBatch("a", b, time.Now()), 0)
			})
		})
	}
}

// TestRandomMessagesEndNothing sends datagrams that are malformed at random places.
func TestRandomMessagesEndNothing(t *testing.T) {
	g := startGateway(t, "a", "127.0.0.1:0", "near")
	rng := rand.New(rand.NewPCG(7, 7))
	valid := []map[int]any{
		{1: "x", 2: 1, 3: 1, 4: map[uint32][2]int{1: {1, 1}}, 5: []map[int]any{{1: 1, 2: 2, 3: 3, 4: map[string]int64{"r": 1}}}, 9: map[uint32]uint32{1: 1}, 10: map[uint32]uint64{1: 1}},
		{11: map[int]any{1: "far", 2: map[uint32][2]int{1: {1, 1}}}},
		{13: map[int]any{1: "id", 2: "service", 3: "v1"}},
		{14: map[int]any{1: 1, 2: []string{"part"}, 5: []int64{1}}},
		{16: map[int]any{1: map[string]any{"s": map[int]any{1: true, 2: 1.5, 3: 1}}}},
		{16: map[int]any{3: map[int]any{1: 1, 2: "s", 3: map[int]any{1: true, 2: math.NaN()}}}},
	}
	for range 3000 {
		raw, err := cbor.Marshal(valid[rng.IntN(len(valid))])
		assert.NilError(t, err)
		for range rng.IntN(4) {
			raw[rng.IntN(len(raw))] = byte(rng.Uint32())
		}
		sendBytes(t, g, raw[:1+rng.IntN(len(raw))])
	}
	other := startGateway(t, "b", "127.0.0.1:0", "near")
	other.addPeer(t, g, "near")
	beginAttempt(t, other, "healthy")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.ReachableCount() > 0 {
			return poll.Success()
		}
		return poll.Continue("the gateway hears nobody")
	}, poll.WithDelay(5*time.Millisecond))
	within(t, func() { g.waitForLoad(t, "healthy", 1) })
}
