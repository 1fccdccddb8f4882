package peering

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// sendDatagram sends a datagram to each of the addresses.
func (p *Peering) sendDatagram(d datagram, to ...netip.AddrPort) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		return // can't happen: all fields are numbers, strings, and lists and maps of them
	}
	for _, addr := range to {
		// A datagram that cannot be sent counts as lost.
		_, _ = p.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(addr))
	}
}

// nearAddresses returns the addresses of the other gateways of the own region.
func (p *Peering) nearAddresses() []netip.AddrPort {
	return p.addresses(func(other *peer) bool { return !other.far })
}

// allAddresses returns the addresses of all other gateways.
func (p *Peering) allAddresses() []netip.AddrPort {
	return p.addresses(func(*peer) bool { return true })
}

func (p *Peering) addresses(include func(*peer) bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.AddrPort
	for _, other := range p.peers {
		if include(other) {
			out = append(out, other.addr)
		}
	}
	return out
}
