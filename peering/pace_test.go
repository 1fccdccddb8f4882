package peering

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

func TestPacesOfAReport(t *testing.T) {
	paces := map[uint32]balance.Pace{1: {Factor: 2.5, Age: 120 * time.Millisecond}, 2: {Factor: 1}}
	assert.DeepEqual(t, decodePaces(encodePaces(paces)), paces)
	assert.Assert(t, encodePaces(nil) == nil, "a report without paces has no field for them")
	nonsense := map[uint32][2]int64{1: {0, 0}, 2: {-5, 0}, 3: {1 << 40, 0}, 4: {1000, -1}, 5: {1000, 1 << 60}}
	assert.Equal(t, len(decodePaces(nonsense)), 0)
}

// TestReportedPaceCounts checks that a gateway avoids a backend server which has stated a slow pace to
// another gateway, and that a report of an older release changes nothing.
func TestReportedPaceCounts(t *testing.T) {
	now := time.Now()
	table := balance.New(balance.Options{Zone: "a", PeerTTL: ReportTTL, Seed: 1})
	p := New(Options{Name: "self", Region: "r", Zone: "a", Logger: log.New(io.Discard), Table: table})
	servers := []catalog.Backend{{ID: "sound", Zone: "a", Slots: 8, State: catalog.Ready}, {ID: "slow", Zone: "a", Slots: 8, State: catalog.Ready}}
	for _, b := range servers {
		table.ObserveFirstByte(balance.Choice{Backend: b, Reason: balance.FreeSlot}, 40*time.Millisecond, now)
	}
	chosen := func() map[string]int {
		counts := make(map[string]int)
		for range 40 {
			c, ok := table.Pick(servers, balance.Requirements{}, now)
			assert.Assert(t, ok)
			counts[c.Backend.ID]++
			table.Release(c.Backend.ID, balance.Online)
		}
		return counts
	}
	peer := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	p.apply(report{From: "peer", Boot: 1, Seq: 1, Region: "r", Zone: "a"}, peer, now)
	assert.Assert(t, chosen()["slow"] > 10)
	p.apply(report{From: "peer", Boot: 1, Seq: 2, Region: "r", Zone: "a", Paces: map[uint32][2]int64{balance.Key("slow"): {8000, 5}}}, peer, now)
	assert.Equal(t, chosen()["slow"], 0)
}
