package peering

// IsRelay reports whether this gateway reads from the service for its peers.
func (p *Peering) IsRelay() bool {
	_, isRelay := p.relay()
	return isRelay
}
