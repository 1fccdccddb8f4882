package peering

// IsRelay reports whether this gateway reads from the log service for its peers.
func (p *Peering) IsRelay() bool {
	_, isRelay := p.relay()
	return isRelay
}
