package peering_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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

// TestLimitOfOneResponseIsKnownEverywhere covers a limit that one gateway sees begin and end.
func TestLimitOfOneResponseIsKnownEverywhere(t *testing.T) {
	all := fleet(t, "near", "near", "far")
	waitFor := func(admitted int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
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
	all[0].limits.Observe("i-1", serving.RateLimit{Named: true, PerSecond: 0})
	waitFor(0)
	time.Sleep(300 * time.Millisecond) // a contradiction within a shorter time counts as reordered
	all[1].limits.Observe("i-1", serving.RateLimit{})
	waitFor(3)
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
	for time.Since(begin) < 2*time.Second {
		for _, g := range all {
			if time.Now().After(g.deniedUntil()) && g.limits.Admit(t.Context(), "i-1", false) == nil {
				admitted[g.name]++
				total++
			}
		}
		time.Sleep(5 * time.Millisecond)
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
