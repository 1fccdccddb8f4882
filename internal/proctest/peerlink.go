package proctest

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxDatagramBytes is the size of the longest datagram that a link relays.
const maxDatagramBytes = 64 << 10

// PeerLink is a link between two processes that exchange datagrams and TCP
// connections at one port each. Each process reaches the other at an address of the
// link, and receives the other's datagrams from that address.
type PeerLink struct {
	// Addrs[0] is where side 0 reaches side 1; Addrs[1] is where side 1 reaches side 0.
	Addrs [2]string

	target [2]netip.AddrPort
	udp    [2]*net.UDPConn
	tcp    [2]*Forwarder
	// dropping drops the datagrams that a side sends.
	dropping [2]atomic.Bool
	wg       sync.WaitGroup
}

// NewPeerLink returns a link between the processes at two addresses, each written
// IP:port. The link relays everything.
func NewPeerLink(a, b string) (*PeerLink, error) {
	l := &PeerLink{}
	for side, addr := range []string{a, b} {
		var err error
		if l.target[side], err = netip.ParseAddrPort(addr); err != nil {
			return nil, errors.Wrap(err, "proctest: peer link")
		}
	}
	for side := range l.Addrs {
		if err := l.listen(side); err != nil {
			l.Close()
			return nil, err
		}
	}
	for side := range l.Addrs {
		l.wg.Go(func() { l.relay(side) })
	}
	return l, nil
}

// listen opens the address at which a side reaches the other one.
func (l *PeerLink) listen(side int) error {
	ip, err := FreeIP()
	if err != nil {
		return err
	}
	other := l.target[1-side]
	at := netip.AddrPortFrom(netip.MustParseAddr(ip), other.Port())
	if l.udp[side], err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return errors.Wrap(err, "proctest: peer link")
	}
	ln, err := net.Listen("tcp", at.String())
	if err != nil {
		return errors.Wrap(err, "proctest: peer link")
	}
	l.tcp[side] = forward(ln, other.String())
	l.Addrs[side] = at.String()
	return nil
}

// relay relays the datagrams of a side to the other one until the link is closed.
func (l *PeerLink) relay(side int) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.udp[side].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || l.dropping[side].Load() {
			continue
		}
		// A failed send is equivalent to a lost datagram.
		_, _ = l.udp[1-side].WriteToUDPAddrPort(buf[:n], l.target[1-side])
	}
}

// Cut drops all datagrams and cuts the connections until Restore.
func (l *PeerLink) Cut() {
	for side := range l.Addrs {
		l.dropping[side].Store(true)
		l.tcp[side].Cut()
	}
}

// DropFrom drops the datagrams of a side and stalls its bytes on connections until
// Restore. Traffic of the other side is relayed.
func (l *PeerLink) DropFrom(side int) {
	l.dropping[side].Store(true)
	l.tcp[side].StallDirection(ToTarget)
	l.tcp[1-side].StallDirection(FromTarget)
}

// Restore ends every cut and drop.
func (l *PeerLink) Restore() {
	for side := range l.Addrs {
		l.dropping[side].Store(false)
		l.tcp[side].Restore()
	}
}

// Close closes the link's sockets and forwarders.
func (l *PeerLink) Close() {
	for side := range l.Addrs {
		if l.udp[side] != nil {
			_ = l.udp[side].Close()
		}
		if l.tcp[side] != nil {
			l.tcp[side].Close()
		}
	}
	l.wg.Wait()
}
