package peering

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
)

// TestPeerWhoseClockJumpedBackIsHeardAfterItsRestart covers a gateway that restarts after
// its time of day has jumped back: its reports bear an earlier start time than those of its
// former process, and are newer all the same.
func TestPeerWhoseClockJumpedBackIsHeardAfterItsRestart(t *testing.T) {
	p := New(Options{Name: "a", Region: "r", Table: balance.New(balance.Options{Zone: "z", PeerTTL: ReportTTL}), Logger: log.New(io.Discard)})
	former, present := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2}
	now := time.Now()
	p.apply(report{From: "b", Boot: 1000, Seq: 50}, former, now)

	p.apply(report{From: "b", Boot: 900, Seq: 70}, present, now.Add(datagramDelay/2))
	assert.Equal(t, p.peers["b"].addr, former.AddrPort(), "a delayed report of an earlier start")
	p.apply(report{From: "b", Boot: 400, Seq: 1}, present, now.Add(2*datagramDelay))
	assert.Equal(t, p.peers["b"].addr, present.AddrPort())
	p.apply(report{From: "b", Boot: 400, Seq: 2}, present, now.Add(2*datagramDelay+time.Millisecond))
	assert.Equal(t, p.peers["b"].seq, uint64(2))
}
