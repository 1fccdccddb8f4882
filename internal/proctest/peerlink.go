package proctest

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// datagramBytes is the longest datagram that a link passes on.
const datagramBytes = 64 << 10

// PeerLink is the way between two processes that speak to each other in datagrams
// and over TCP at one port each. Each process reaches the other at an address of
// the link, and the other's datagrams come from there.
type PeerLink struct {
	// Addrs are the addresses at which side 0 reaches side 1, and side 1 side 0.
	Addrs [2]string

	real [2]netip.AddrPort
	udp  [2]*net.UDPConn
	tcp  [2]*Forwarder
	// silent drops what a side sends.
	silent [2]atomic.Bool
	wg     sync.WaitGroup
}

// NewPeerLink returns a link between the processes at two addresses, IP:port. It
// passes everything.
func NewPeerLink(a, b string) (*PeerLink, error) {
	l := &PeerLink{}
	for side, addr := range []string{a, b} {
		var err error
		if l.real[side], err = netip.ParseAddrPort(addr); err != nil {
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
		l.wg.Go(func() { l.pass(side) })
	}
	return l, nil
}

// listen opens the address at which a side reaches the other.
func (l *PeerLink) listen(side int) error {
	ip, err := FreeIP()
	if err != nil {
		return err
	}
	other := l.real[1-side]
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

// pass sends the datagrams of a side on to the other, until the link is closed.
func (l *PeerLink) pass(side int) {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := l.udp[side].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || l.silent[side].Load() {
			continue
		}
		// A datagram that is not sent is like one that is lost.
		_, _ = l.udp[1-side].WriteToUDPAddrPort(buf[:n], l.real[1-side])
	}
}

// Cut passes nothing until Restore.
func (l *PeerLink) Cut() {
	for side := range l.Addrs {
		l.silent[side].Store(true)
		l.tcp[side].Cut()
	}
}

// Silence holds back what a side sends until Restore; what the other sends passes.
func (l *PeerLink) Silence(side int) {
	l.silent[side].Store(true)
	l.tcp[side].StallOneWay(ToTarget)
	l.tcp[1-side].StallOneWay(FromTarget)
}

// Restore passes everything again.
func (l *PeerLink) Restore() {
	for side := range l.Addrs {
		l.silent[side].Store(false)
		l.tcp[side].Restore()
	}
}

// Close ends the link.
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
