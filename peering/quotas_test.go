package peering_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/quota"
)

// quotaLimit is the quota of the only workspace.
var quotaLimit = quota.Limit{RequestsPerSecond: 40, Burst: 10}

const quotaWorkspace = "workspace-1"

// uncounted is a quota.Observer.
type uncounted struct{}

func (uncounted) Permits(quota.PermitOutcome, int) {}
func (uncounted) Asked(quota.AskOutcome)           {}

func newQuotas(g *gateway) *quota.Limiter {
	return quota.NewLimiter(quota.Options{
		StartedAt: time.Now(), Bounds: quota.Bounds{Window: time.Second, Overshoot: 0.1, Slack: 4},
		Peers: func() quota.Peers { return g }, Observer: uncounted{}, Logger: log.New(io.Discard),
		Configured: func(string) (quota.Limit, int64, bool) { return quotaLimit, 1, true },
	})
}

// TestAllGatewaysStayWithinAQuota has gateways of two regions that always want to send.
func TestAllGatewaysStayWithinAQuota(t *testing.T) {
	all := fleet(t, "near", "near", "near", "far", "far")
	for _, g := range all {
		g.Rebuild(nil) // the directory has been read
	}
	begin := time.Now()
	admitted := make(map[string]int)
	pace := time.NewTicker(4 * time.Millisecond)
	defer pace.Stop()
	for now := begin; now.Sub(begin) < 3*time.Second; now = <-pace.C {
		for _, g := range all {
			if _, err := g.quotas.Admit(t.Context(), quotaWorkspace, quotaLimit, 1); err == nil {
				admitted[g.region]++
			}
		}
	}
	total := float64(admitted["near"] + admitted["far"])
	may := quotaLimit.RequestsPerSecond*time.Since(begin).Seconds() + quotaLimit.Burst
	assert.Assert(t, total <= 1.1*may+4, "%v admitted of %v", admitted, may)
	assert.Assert(t, total >= 0.7*may, "%v admitted of %v", admitted, may)
	assert.Assert(t, admitted["near"] >= 10 && admitted["far"] >= 10, "%v", admitted)
}

// lossyConn drops the first datagram about the workspace, and keeps the size of the longest one.
type lossyConn struct {
	net.PacketConn
	sent    atomic.Int64
	longest atomic.Int64
}

// WriteTo implements net.PacketConn.
func (c *lossyConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if bytes.Contains(p, []byte(quotaWorkspace)) {
		c.longest.Store(max(c.longest.Load(), int64(len(p))))
		if c.sent.Add(1) == 1 {
			return len(p), nil
		}
	}
	return c.PacketConn.WriteTo(p, to)
}

// TestLostRequestForAPermitIsRepeated also bounds the size of requests and replies.
func TestLostRequestForAPermitIsRepeated(t *testing.T) {
	var conns []*lossyConn
	var all []*gateway
	for _, name := range []string{"a", "b"} {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		conns = append(conns, &lossyConn{PacketConn: conn})
		all = append(all, startGatewayOn(t, conns[len(conns)-1], name, "near"))
	}
	for i, g := range all {
		g.addPeer(t, all[1-i], "near")
		g.Rebuild(nil)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, g := range all {
			if !g.QuotaView(quotaWorkspace).MostOfRegion {
				return poll.Continue("%s does not reach the other", g.name)
			}
		}
		return poll.Success()
	})
	owner := all[0].QuotaView(quotaWorkspace).Owner
	for i, g := range all {
		if g.name == owner {
			conns[i].sent.Store(1) // nothing of it is dropped
		}
	}
	for i, g := range all {
		if g.name == owner {
			continue
		}
		reply, err := g.RequestQuota(t.Context(), owner, quota.Request{Workspace: quotaWorkspace, Want: 1, Version: 1})
		assert.NilError(t, err)
		assert.Equal(t, reply.Granted, 1)
		assert.Equal(t, conns[i].sent.Load(), int64(2))
	}
	for _, c := range conns {
		assert.Assert(t, c.longest.Load() <= 50, "a datagram of %d bytes", c.longest.Load())
	}
}

// TestViewBeforeTheDirectoryIsReadIsNoBasis covers a view that is used for a while after it was taken.
func TestViewBeforeTheDirectoryIsReadIsNoBasis(t *testing.T) {
	g, other := startGateway(t, "a", "127.0.0.1:0", "near"), startGateway(t, "b", "127.0.0.1:0", "near")
	g.addPeer(t, other, "near")
	assert.Equal(t, g.QuotaView(quotaWorkspace).Gateways, 0)
	g.addRecord(t, "third", peering.Peer{Address: "127.0.0.1:9", Region: "near"})
	g.Rebuild(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n := g.QuotaView(quotaWorkspace).Gateways
		assert.Assert(t, n == 0 || n == 3, "%d gateways", n)
		if n == 3 {
			return poll.Success()
		}
		return poll.Continue("the directory is not used")
	}, poll.WithDelay(5*time.Millisecond))
}

// TestFarGatewaysThatReportRarelyAreReached has so many gateways in another region that they report to
// this one every 20 s only. Their workspaces' quotas are not halved in between.
func TestFarGatewaysThatReportRarelyAreReached(t *testing.T) {
	const far = 900
	g := startGateway(t, "a", "127.0.0.1:0", "near")
	for i := range far {
		sendRaw(t, g, map[int]any{1: fmt.Sprint("far", i), 2: 1, 3: 1, 4: map[uint32][2]int{}, 6: "far", 12: "z-far"})
	}
	reached := func() quota.View { return g.QuotaView("w") }
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if v := reached(); v.Gateways < far*9/10 || v.Share < 0.9 {
			return poll.Continue("%d gateways, share %v", v.Gateways, v.Share)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond))
	for deadline := time.Now().Add(2 * peering.ReportTTL); time.Now().Before(deadline); {
		v := reached()
		assert.Assert(t, v.Share > 0.9 && len(v.Others) == 1, "share %v, other owners %v", v.Share, v.Others)
		<-time.After(50 * time.Millisecond)
	}
}
