package proctest

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newPeers returns two UDP sockets and a link between them.
func newPeers(t *testing.T) (sides [2]*net.UDPConn, l *PeerLink) {
	t.Helper()
	var addrs [2]string
	for i := range sides {
		var err error
		sides[i], err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		assert.NilError(t, err)
		addrs[i] = sides[i].LocalAddr().String()
		t.Cleanup(func() { _ = sides[i].Close() })
	}
	l, err := NewPeerLink(addrs[0], addrs[1])
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return sides, l
}

// sendDatagram sends a datagram from one side to the other and returns its source
// address as received, or an empty string if none arrives within d.
func sendDatagram(t *testing.T, sides [2]*net.UDPConn, l *PeerLink, from int, d time.Duration) string {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", l.Addrs[from])
	assert.NilError(t, err)
	_, err = sides[from].WriteToUDP([]byte("x"), to)
	assert.NilError(t, err)
	_ = sides[1-from].SetReadDeadline(time.Now().Add(d))
	_, source, err := sides[1-from].ReadFromUDP(make([]byte, 1))
	if err != nil {
		return ""
	}
	return source.String()
}

func TestPeerLinkKeepsSourceAddresses(t *testing.T) {
	sides, l := newPeers(t)
	assert.Equal(t, sendDatagram(t, sides, l, 0, time.Minute), l.Addrs[1])
	assert.Equal(t, sendDatagram(t, sides, l, 1, time.Minute), l.Addrs[0])
}

func TestPeerLinkDropsOneDirection(t *testing.T) {
	sides, l := newPeers(t)
	l.DropFrom(0)
	assert.Equal(t, sendDatagram(t, sides, l, 0, shortTimeout), "")
	assert.Equal(t, sendDatagram(t, sides, l, 1, time.Minute), l.Addrs[0])
	l.Cut()
	assert.Equal(t, sendDatagram(t, sides, l, 1, shortTimeout), "")
	l.Restore()
	assert.Equal(t, sendDatagram(t, sides, l, 0, time.Minute), l.Addrs[1])
}
