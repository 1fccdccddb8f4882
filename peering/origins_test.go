package peering_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/peering"
)

var began = catalog.Software{Service: "s", Version: "v2"}

// fleet starts gateways that know one another and serve calls of peers.
func fleet(t *testing.T, regions ...string) []*gateway {
	t.Helper()
	var all []*gateway
	for i, region := range regions {
		ln, conn := listenBoth(t)
		g := startGatewayOn(t, conn, fmt.Sprint("g", i), region)
		server := &http.Server{Handler: peering.Handler(testHost{}, func() peering.Snapshot { return peering.Snapshot{} }, keyedlog.NewRelay(nil, nil), g.origins)}
		go func() { _ = server.Serve(ln) }() // ends with the listener
		stop := g.stop
		g.stop = func() { _ = server.Close(); stop() }
		t.Cleanup(g.stop)
		all = append(all, g)
	}
	for _, g := range all {
		for _, other := range all {
			g.addPeer(t, other, other.region)
		}
	}
	for _, g := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := g.ReachableCount(); n < len(all)-1 {
				return poll.Continue("%s reaches %d gateways", g.name, n)
			}
			return poll.Success()
		})
	}
	return all
}

func TestOriginSurvivesTheGatewayThatBeganTheStream(t *testing.T) {
	all := fleet(t, "near", "near", "near", "near", "far")
	for i := range 8 {
		all[0].AnnounceOrigin(fmt.Sprint("stream", i), began)
	}
	all[0].stop()
	for _, g := range all[1:] {
		for i := range 8 {
			s, known := g.FindOrigin(t.Context(), fmt.Sprint("stream", i))
			assert.Assert(t, known, "%s does not find stream %d", g.name, i)
			assert.Equal(t, s, began)
		}
	}
}

func TestOriginOfUnknownStreamIsNotFound(t *testing.T) {
	all := fleet(t, "near", "near", "far")
	_, known := all[0].FindOrigin(t.Context(), "never")
	assert.Assert(t, !known)
	_, known = all[0].FindOrigin(t.Context(), "")
	assert.Assert(t, !known)
}

// TestOriginIsSentToFewGateways guards the cost of a stream, which must not grow with the fleet.
func TestOriginIsSentToFewGateways(t *testing.T) {
	all := fleet(t, "near", "near", "near", "near", "near", "near", "far", "far")
	all[0].AnnounceOrigin("stream", began)
	_, known := all[1].FindOrigin(t.Context(), "stream")
	assert.Assert(t, known)
	holding := 0
	for _, g := range all[2:] {
		if _, known := g.origins.Lookup("stream", time.Now()); known {
			holding++
		}
	}
	assert.Assert(t, holding <= 3, "%d gateways hold the origin", holding)
}

func TestGatewayOfAnOlderReleaseIgnoresOrigins(t *testing.T) {
	all := fleet(t, "near", "near")
	ln, conn := listenBoth(t)
	defer func() { _ = conn.Close() }()
	old := netip.MustParseAddrPort(conn.LocalAddr().String())
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(ln) }() // ends with the server
	defer func() { _ = server.Close() }()
	all[0].addRecord(t, "old", peering.Peer{Address: old.String(), Region: "far"})
	_, known := all[0].FindOrigin(t.Context(), "stream")
	assert.Assert(t, !known)
	all[1].AnnounceOrigin("stream", began)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, known := all[0].FindOrigin(t.Context(), "stream"); !known {
			return poll.Continue("not found")
		}
		return poll.Success()
	})
}
