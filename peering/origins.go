package peering

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/origins"
)

const (
	// A gateway that begins a stream tells its origin to nearHolders gateways of its region
	// and to farHolders of other regions, which are chosen by the id of the stream. Callers
	// that lose their gateway reach another one, often of the same region.
	nearHolders = 2
	farHolders  = 1
	// nearLookups and farLookups are how many gateways are asked for an origin. They exceed
	// the holders, as gateways that have just started or gone change the order.
	nearLookups = 4
	farLookups  = 2
	// originTimeout bounds the wait for an origin: a connection to another region and a
	// round trip on it.
	originTimeout = 400 * time.Millisecond

	originPath = "/origin"
)

// streamOrigin is the software that began a stream. ID is the id of the caller's attempt that
// brought the first event.
type streamOrigin struct {
	ID      string `cbor:"1,keyasint,omitempty"`
	Service string `cbor:"2,keyasint,omitempty"`
	Version string `cbor:"3,keyasint,omitempty"`
}

func (o streamOrigin) software() catalog.Software {
	return catalog.Software{Service: o.Service, Version: o.Version}
}

// AnnounceOrigin records the software that began a stream, here and at the gateways that are
// chosen by its id. Lost datagrams are not repeated, since several gateways get one.
func (p *Peering) AnnounceOrigin(id string, s catalog.Software) {
	p.opts.Origins.Record(id, s, time.Now())
	p.sendDatagram(datagram{Origin: &streamOrigin{id, s.Service, s.Version}}, p.holders(id, nearHolders, farHolders)...)
}

// FindOrigin returns the software that began a stream, as recorded here or at another gateway.
func (p *Peering) FindOrigin(ctx context.Context, id string) (s catalog.Software, known bool) {
	if s, known = p.opts.Origins.Lookup(id, time.Now()); known || id == "" {
		return s, known
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	addresses := p.holders(id, nearLookups, farLookups)
	responses := make(chan streamOrigin, len(addresses))
	for _, addr := range addresses {
		go func() { responses <- p.fetchOrigin(ctx, addr.String(), id) }()
	}
	for range addresses {
		if s := (<-responses).software(); s.Known() {
			p.opts.Origins.Record(id, s, time.Now())
			return s, true
		}
	}
	return catalog.Software{}, false
}

// fetchOrigin queries one gateway. A gateway that fails to respond counts as one that does not
// know the stream.
func (p *Peering) fetchOrigin(ctx context.Context, address, id string) streamOrigin {
	raw, err := p.get(ctx, address, originPath+"?"+url.Values{"id": {id}}.Encode())
	if err != nil {
		return streamOrigin{}
	}
	var o streamOrigin
	if err := cbor.Unmarshal(raw, &o); err != nil {
		return streamOrigin{}
	}
	return o
}

// serveOrigin serves the origins of streams that this process knows.
func serveOrigin(streams *origins.Table) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get("id")
		s, _ := streams.Lookup(id, time.Now())
		writeCBOR(w, streamOrigin{id, s.Service, s.Version})
	}
}

// holders returns the addresses of the first gateways of the own region and of the others in
// an order that depends on id and is the same at every gateway.
func (p *Peering) holders(id string, near, far int) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var nearest, others []holder
	for name, other := range p.peers {
		h := holder{other.addr, xxhash.Sum64String(name + "\x00" + id)}
		switch {
		case other.far:
			others = append(others, h) // far gateways may report too rarely to count as reachable
		case other.reachable:
			nearest = append(nearest, h)
		}
	}
	return append(firstAddresses(nearest, near), firstAddresses(others, far)...)
}

// holder is a gateway that may hold the origin of a stream, with its rank for this stream.
type holder struct {
	addr netip.AddrPort
	rank uint64
}

// firstAddresses returns the addresses of the n holders with the lowest ranks.
func firstAddresses(holders []holder, n int) []netip.AddrPort {
	slices.SortFunc(holders, func(a, b holder) int { return cmp.Compare(a.rank, b.rank) })
	var out []netip.AddrPort
	for _, h := range holders[:min(n, len(holders))] {
		out = append(out, h.addr)
	}
	return out
}
