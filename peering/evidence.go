package peering

import (
	"cmp"
	"net"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Evidence receives what other gateways report about prompt parts that may crash servers.
type Evidence interface {
	// PeerCrash records the end of a backend server, given by balance.Key of its id, under runs
	// with these parts. It returns the parts with which a run has completed here.
	PeerCrash(server uint32, parts []string) (completed []string)
	// PeerCompleted records parts with which a run has completed.
	PeerCompleted(parts []string)
	// PeerHeld records parts that are held from now on.
	PeerHeld(parts []string)
}

// partReport is what a gateway reports about prompt parts. Only one of the lists is set.
type partReport struct {
	// Server is the server that has ended under runs with the parts Crashed.
	Server    uint32   `cbor:"1,keyasint,omitempty"`
	Crashed   []string `cbor:"2,keyasint,omitempty"`
	Completed []string `cbor:"3,keyasint,omitempty"`
	Held      []string `cbor:"4,keyasint,omitempty"`
}

// BroadcastCrash implements quarantine.Peers.
func (p *Peering) BroadcastCrash(server uint32, parts []string) {
	p.broadcastParts(partReport{Server: server, Crashed: parts})
}

// BroadcastHeld implements quarantine.Peers.
func (p *Peering) BroadcastHeld(parts []string) { p.broadcastParts(partReport{Held: parts}) }

// BroadcastCompleted implements quarantine.Peers.
func (p *Peering) BroadcastCompleted(parts []string) {
	p.broadcastParts(partReport{Completed: parts})
}

func (p *Peering) broadcastParts(r partReport) {
	p.mu.Lock()
	var to []netip.AddrPort
	for _, other := range p.peers {
		to = append(to, other.addr)
	}
	p.mu.Unlock()
	p.sendParts(r, to...)
}

func (p *Peering) sendParts(r partReport, to ...netip.AddrPort) {
	raw, err := cbor.Marshal(datagram{Parts: &r})
	if err != nil {
		return // can't happen: all fields are numbers and strings
	}
	for _, addr := range to {
		// A datagram that cannot be sent counts as lost.
		_, _ = p.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(addr))
	}
}

// applyParts applies a report about prompt parts. A report of a crash is answered with the
// parts that are innocent.
func (p *Peering) applyParts(r partReport, from net.Addr) {
	switch {
	case len(r.Completed) > 0:
		p.opts.Evidence.PeerCompleted(r.Completed)
	case len(r.Held) > 0:
		p.opts.Evidence.PeerHeld(r.Held)
	case len(r.Crashed) > 0:
		completed := p.opts.Evidence.PeerCrash(r.Server, r.Crashed)
		if sender, ok := from.(*net.UDPAddr); ok && len(completed) > 0 {
			p.sendParts(partReport{Completed: completed}, sender.AddrPort())
		}
	}
}

// FirstFor implements quarantine.Peers: one of all known gateways is the first for each key.
func (p *Peering) FirstFor(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{p.opts.Name}
	for name := range p.peers {
		names = append(names, name)
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }
	first := slices.MinFunc(names, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return first == p.opts.Name
}
