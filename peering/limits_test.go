package peering_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/ratelimit"
	"github.com/catkinrudder/catkinrudder/serving"
)

// owners returns the names of the gateways that take themselves for the owner of a server, and the
// sum of the shares of its limit that they hand out.
func owners(all []*gateway, server, zone string) (names []string, share float64) {
	for _, g := range all {
		if o := g.LimitOwner(server, zone); o.Self {
			names = append(names, g.name)
			share += o.Share
		}
	}
	return names, share
}

func TestLimitHasOneOwnerInTheRegionOfItsServer(t *testing.T) {
	all := fleet(t, "near", "near", "near", "far", "far")
	owned := make(map[string]int)
	for i := range 30 {
		server := fmt.Sprint("i-", i)
		names, share := owners(all, server, "z-near")
		assert.Equal(t, len(names), 1, server)
		assert.Equal(t, share, 1.0)
		for _, g := range all {
			o := g.LimitOwner(server, "z-near")
			assert.Equal(t, o.Name, names[0])
			assert.Equal(t, o.Far, g.region == "far")
		}
		owned[names[0]]++
	}
	assert.Equal(t, len(owned), 3, "%v", owned)
	names, _ := owners(all, "i-1", "zone without a region")
	assert.Equal(t, len(names), 1)
}

// TestPartsOfAPartitionShareTheLimit stops all gateways but one, which can't tell that from a
// partition.
func TestPartsOfAPartitionShareTheLimit(t *testing.T) {
	all := fleet(t, "near", "near", "near", "near")
	for _, g := range all[1:] {
		g.stop()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i := range 10 {
			o := all[0].LimitOwner(fmt.Sprint("i-", i), "z-near")
			if !o.Self || o.Share != 0.25 {
				return poll.Continue("owner %v", o)
			}
		}
		return poll.Success()
	})
}

func TestLeavingGatewayHandsItsLimitsOver(t *testing.T) {
	all := fleet(t, "near", "near", "near")
	all[0].SetLeaving()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i := range 20 {
			if names, share := owners(all, fmt.Sprint("i-", i), "z-near"); len(names) != 1 || names[0] == all[0].name || share != 1 {
				return poll.Continue("owners %v with a share of %v", names, share)
			}
		}
		return poll.Success()
	})
}

func TestLimitHasOneOwnerWhileAllGatewaysStop(t *testing.T) {
	all := fleet(t, "near", "near", "near", "far")
	for _, g := range all {
		g.SetLeaving()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i := range 20 {
			if names, share := owners(all, fmt.Sprint("i-", i), "z-near"); len(names) != 1 || share != 1 {
				return poll.Continue("owners %v with a share of %v", names, share)
			}
		}
		return poll.Success()
	})
}

// TestLimitOfOneResponseIsKnownEverywhere covers a limit that one gateway sees begin and end.
func TestLimitOfOneResponseIsKnownEverywhere(t *testing.T) {
	all := fleet(t, "near", "near", "far")
	waitFor := func(admitted int, observe serving.RateLimit) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			all[1].limits.Observe("i-1", observe) // one that contradicts another within a short time counts as reordered
			n := 0
			for _, g := range all {
				if g.limits.Admit(t.Context(), "i-1", false) == nil {
					n++
				}
			}
			if n == admitted {
				return poll.Success()
			}
			return poll.Continue("%d gateways send to the server", n)
		}, poll.WithTimeout(3*time.Second))
	}
	waitFor(0, serving.RateLimit{Named: true, PerSecond: 0})
	waitFor(3, serving.RateLimit{})
}

// TestPermitsOfAllGatewaysStayWithinTheLimit has three gateways that always want to send: each one
// gets some of the permits, and together they stay within the limit.
func TestPermitsOfAllGatewaysStayWithinTheLimit(t *testing.T) {
	all := fleet(t, "near", "near", "far")
	const perSecond = 20
	all[2].limits.Observe("i-1", serving.RateLimit{Named: true, PerSecond: perSecond})
	begin := time.Now()
	admitted := make(map[string]int)
	total := 0
	pace := time.NewTicker(5 * time.Millisecond)
	defer pace.Stop()
	for now := begin; now.Sub(begin) < 2*time.Second; now = <-pace.C {
		for _, g := range all {
			if time.Now().After(g.deniedUntil()) && g.limits.Admit(t.Context(), "i-1", false) == nil {
				admitted[g.name]++
				total++
			}
		}
	}
	allowed := perSecond*time.Since(begin).Seconds() + perSecond + 1
	assert.Assert(t, float64(total) <= allowed, "%d admitted", total)
	assert.Assert(t, float64(total) >= perSecond, "%d admitted", total)
	assert.Equal(t, len(admitted), 3, "%v", admitted)
}

func TestRequestToAGatewayThatIsGoneIsDenied(t *testing.T) {
	all := fleet(t, "near", "near")
	all[1].stop()
	begin := time.Now()
	_, err := all[0].RequestPermit(t.Context(), ratelimit.Owner{Name: all[1].name}, ratelimit.Request{Server: "i-1"})
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(begin) < 300*time.Millisecond)
}

// cutConn drops what is sent to some addresses.
type cutConn struct {
	net.PacketConn
	mu   sync.Mutex
	gone map[string]bool
}

// WriteTo implements net.PacketConn.
func (c *cutConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone[to.String()] {
		return len(p), nil
	}
	return c.PacketConn.WriteTo(p, to)
}

func (c *cutConn) cut(to ...*gateway) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.gone)
	for _, g := range to {
		c.gone[g.address] = true
	}
}

// TestSumStaysWithinTheLimitWhileGatewaysAreCutOff has gateways that always want to send to one server,
// while they are cut into two parts, joined again, stopped, started and listed although they are gone.
func TestSumStaysWithinTheLimitWhileGatewaysAreCutOff(t *testing.T) {
	const perSecond, window = 10.0, 4 * time.Second
	const burst = 1 + perSecond // what the owner's bucket holds
	var all []*gateway
	var conns []*cutConn
	for i := range 4 {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		conns = append(conns, &cutConn{PacketConn: conn, gone: make(map[string]bool)})
		all = append(all, startGatewayOn(t, conns[i], fmt.Sprint("g", i), "near"))
	}
	for _, g := range all {
		for _, other := range all {
			g.addPeer(t, other, "near")
		}
		g.addRecord(t, "gone", peering.Peer{Address: "127.0.0.1:9", Region: "near"}) // a stale entry of the directory
	}
	all[0].limits.Observe("i-1", serving.RateLimit{Named: true, PerSecond: perSecond})
	running := len(all)
	steps := map[time.Duration]func(){
		2 * time.Second: func() {
			conns[0].cut(all[2], all[3])
			conns[1].cut(all[2], all[3])
			conns[2].cut(all[0], all[1])
			conns[3].cut(all[0], all[1])
		},
		5 * time.Second: func() {
			for _, c := range conns {
				c.cut()
			}
		},
		7 * time.Second: func() { running = 3; all[3].stop() },
	}
	var sent []time.Time
	begin := time.Now()
	pace := time.NewTicker(4 * time.Millisecond)
	defer pace.Stop()
	for now := begin; now.Sub(begin) < 10*time.Second; now = <-pace.C {
		for at, step := range steps {
			if now.Sub(begin) >= at {
				step()
				delete(steps, at)
			}
		}
		for i, g := range all {
			if i >= running {
				continue
			}
			if now.After(g.deniedUntil()) && g.limits.Admit(t.Context(), "i-1", false) == nil {
				sent = append(sent, time.Now())
			}
		}
	}
	for i, first := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		assert.Assert(t, float64(n) <= perSecond*window.Seconds()+burst, "%d requests in %v", n, window)
	}
	assert.Assert(t, float64(len(sent)) >= 3*perSecond, "%d requests in all", len(sent))
}

// TestStartingGatewayLearnsTheLimits covers a gateway that starts while limits are in force: it sends
// nothing without a permit, also to the servers whose permits it hands out from now on.
func TestStartingGatewayLearnsTheLimits(t *testing.T) {
	all := fleet(t, "near", "near", "near")
	const servers = 20
	for i := range servers {
		for _, g := range all {
			g.limits.Observe(fmt.Sprint("i-", i), serving.RateLimit{Named: true, PerSecond: 0})
		}
	}
	late := startGateway(t, "late", "127.0.0.1:0", "near")
	for _, g := range all {
		g.addPeer(t, late, "near")
		late.addPeer(t, g, "near")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if known := late.limits.Known(); len(known) < servers {
			return poll.Continue("%d limits are known", len(known))
		}
		return poll.Success()
	})
	owned := 0
	for i := range servers {
		server := fmt.Sprint("i-", i)
		assert.Assert(t, late.limits.Admit(t.Context(), server, false) != nil)
		if late.LimitOwner(server, "z-near").Self {
			owned++
		}
	}
	assert.Assert(t, owned > 0)
}
