package peering

import "context"

// IsRelay reports whether this gateway reads from the log service for its peers.
func (p *Peering) IsRelay() bool {
	_, isRelay := p.relay()
	return isRelay
}

// ReadNewest requests the newest records of the relay at an address.
func (p *Peering) ReadNewest(ctx context.Context, address string) error {
	_, err := p.readNewest(ctx, address)
	return err
}

// MaxWaitingServices is maxWaitingServices.
const MaxWaitingServices = maxWaitingServices
