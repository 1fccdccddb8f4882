package peering

// IsRelay reports whether this gateway reads the service for others.
func (p *Peering) IsRelay() bool {
	_, own := p.relay()
	return own
}
