package peering

import (
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// recordingConn records where datagrams are sent to.
type recordingConn struct {
	net.PacketConn
	ports []int
}

func (c *recordingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.ports = append(c.ports, to.(*net.UDPAddr).Port)
	return len(b), nil
}

// TestReportsGoWhereTheyAreNeeded checks who gets the reports of a gateway in a large
// region: those that share its backend servers, and the owners of shards, which stop batch
// items for its requests.
func TestReportsGoWhereTheyAreNeeded(t *testing.T) {
	conn := &recordingConn{}
	p := New(Options{
		Name: "self", Region: "r", Zone: "a", Conn: conn, Logger: log.New(io.Discard),
		Table: balance.New(balance.Options{Zone: "a", PeerTTL: ReportTTL}),
	})
	now := time.Now()
	for port, peer := range map[int]Peer{1: {Region: "r", Zone: "a"}, 2: {Region: "r", Zone: "b"}, 3: {Region: "r", Zone: "b"}, 4: {Region: "q", Zone: "c"}} {
		peer.Address = fmt.Sprint("127.0.0.1:", port)
		value, err := EncodePeer(peer)
		assert.NilError(t, err)
		p.Apply([]keyedlog.Record{{Key: fmt.Sprint("peer", port), Value: value}})
	}
	owner := report{From: "peer3", Boot: 1, Seq: 1, Region: "r", Zone: "b", Shards: []jobs.ShardReport{{Shard: 1, Epoch: 1}}}
	p.apply(owner, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 3}, now)
	for _, c := range []struct {
		to    recipients
		ports []int
		near  int
	}{
		{recipients{}, []int{1, 3}, 2},
		{recipients{otherZones: true}, []int{1, 2, 3}, 3},
		{recipients{far: true}, []int{1, 3, 4}, 2},
		{recipients{ownersWait: true}, []int{1}, 1},
	} {
		conn.ports = nil
		near := p.send(report{From: "self", Seq: 1}, c.to)
		slices.Sort(conn.ports)
		assert.DeepEqual(t, conn.ports, c.ports)
		assert.Equal(t, near, c.near)
	}
}

// TestReportsOfLargeRegionsAreBounded checks that the datagrams that a gateway sends do not
// grow with its region once it reports to a part of it.
func TestReportsOfLargeRegionsAreBounded(t *testing.T) {
	for _, receivers := range []int{10, 34, 60, 130, 400} {
		perSecond := float64(receivers) / largeInterval(receivers).Seconds()
		assert.Assert(t, perSecond <= largeReportsPerSecond, "%d receivers: %.0f", receivers, perSecond)
	}
}
