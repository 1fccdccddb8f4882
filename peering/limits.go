package peering

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/ratelimit"
)

const (
	// nearPermitTimeout and farPermitTimeout bound the wait for the reply of a gateway of the own
	// region and of another one.
	nearPermitTimeout = 50 * time.Millisecond
	farPermitTimeout  = 150 * time.Millisecond
	// maxLimitsPerMessage bounds the size of a datagram.
	maxLimitsPerMessage = 300
)

// Limits handles the messages of other gateways about the limits that backend servers name.
type Limits interface {
	// HandleRequest decides on a request for a permit.
	HandleRequest(r ratelimit.Request) ratelimit.Reply
	// HandleReply records a reply whose request has ended.
	HandleReply(server string, batch bool, r ratelimit.Reply)
	// HandleLimits records limits. reported states that this gateway tells the others.
	HandleLimits(limits map[string]ratelimit.Limit, reported bool)
	// Known returns the limits that are in force.
	Known() map[string]ratelimit.Limit
}

// limitMessage is a message about limits. Only one of Announced, Reported, Request and Reply is set.
type limitMessage struct {
	Announced map[string]limitRecord `cbor:"1,keyasint,omitempty"`
	Reported  map[string]limitRecord `cbor:"2,keyasint,omitempty"`
	Request   *permitMessage         `cbor:"3,keyasint,omitempty"`
	Reply     *permitMessage         `cbor:"4,keyasint,omitempty"`
}

// limitRecord is a limit as the sender knows it.
type limitRecord struct {
	Named     bool    `cbor:"1,keyasint,omitempty"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// AgeMs is the time since the response that said so.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// permitMessage is a request for a permit, or the reply to it under the same ID.
type permitMessage struct {
	ID     uint64      `cbor:"1,keyasint"`
	Server string      `cbor:"2,keyasint"`
	Limit  limitRecord `cbor:"3,keyasint"`
	Batch  bool        `cbor:"4,keyasint,omitempty"`
	// Granted and WaitUs are those of the reply; WaitUs is in microseconds.
	Granted int   `cbor:"5,keyasint,omitempty"`
	WaitUs  int64 `cbor:"6,keyasint,omitempty"`
}

func encodeLimit(l ratelimit.Limit, now time.Time) limitRecord {
	return limitRecord{Named: l.Named, PerSecond: l.PerSecond, AgeMs: now.Sub(l.At).Milliseconds()}
}

func (r limitRecord) decode(now time.Time) ratelimit.Limit {
	return ratelimit.Limit{Named: r.Named, PerSecond: r.PerSecond, At: now.Add(-time.Duration(r.AgeMs) * time.Millisecond)}
}

// SetLeaving states that this process is about to stop. Other gateways take over what it does for
// all.
func (p *Peering) SetLeaving() { p.leaving.Store(true) }

// LimitOwner implements ratelimit.Peers: the first gateway, in an order that depends on the server,
// of the region in which the server runs, or of all if that has none.
func (p *Peering) LimitOwner(server, zone string) ratelimit.Owner {
	region := p.opts.RegionOf[zone]
	if owner, found := p.limitOwner(server, func(r string) bool { return r == region }); found {
		return owner
	}
	if owner, found := p.limitOwner(server, func(string) bool { return true }); found {
		return owner
	}
	return ratelimit.Owner{Name: p.opts.Name, Self: true, Share: 1}
}

// limitOwner returns the owner of a server among the gateways of the regions that in selects.
func (p *Peering) limitOwner(server string, in func(region string) bool) (owner ratelimit.Owner, found bool) {
	known, reached := 0, 0
	var first firstInOrder
	p.eachGateway(time.Now(), func(g seenGateway) {
		if !in(g.region) {
			return
		}
		known++
		if g.reached {
			reached++
			first.consider(server, g)
		}
	})
	owner.Name, owner.Far = first.gateway.name, first.gateway.far
	if owner.Self = first.found && owner.Name == p.opts.Name; owner.Self {
		owner.Share = float64(reached) / float64(known)
	}
	return owner, first.found
}

// RequestPermit implements ratelimit.Peers.
func (p *Peering) RequestPermit(ctx context.Context, owner ratelimit.Owner, r ratelimit.Request) (ratelimit.Reply, error) {
	p.mu.Lock()
	to := p.peers[owner.Name]
	if to == nil {
		p.mu.Unlock()
		return ratelimit.Reply{}, errors.Errorf("peering: gateway %s is gone", owner.Name)
	}
	address, timeout := to.addr, nearPermitTimeout
	if to.far {
		timeout = farPermitTimeout
	}
	p.mu.Unlock()
	id, reply := p.permitReplies.add()
	message := permitMessage{ID: id, Server: r.Server, Limit: encodeLimit(r.Limit, time.Now()), Batch: r.Batch}
	p.sendLimits(limitMessage{Request: &message}, address)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := p.permitReplies.await(ctx, id, reply)
	return answer, errors.Wrap(err, "peering: request permit")
}

// ReportLimits implements ratelimit.Peers.
func (p *Peering) ReportLimits(owner ratelimit.Owner, limits map[string]ratelimit.Limit) {
	p.mu.Lock()
	to := p.peers[owner.Name]
	p.mu.Unlock()
	if to != nil {
		p.sendLimits(limitMessage{Reported: encodeLimits(limits)}, to.addr)
	}
}

// AnnounceLimits implements ratelimit.Peers.
func (p *Peering) AnnounceLimits(limits map[string]ratelimit.Limit, all bool) {
	addresses := p.nearAddresses()
	if all {
		addresses = p.allAddresses()
	}
	p.announceLimits(limits, addresses...)
}

// introduceLimits tells a gateway of the own region that has started which limits are in force. It may
// be the one that hands out their permits from now on.
func (p *Peering) introduceLimits(to netip.AddrPort) { p.announceLimits(p.opts.Limits.Known(), to) }

func (p *Peering) announceLimits(limits map[string]ratelimit.Limit, addresses ...netip.AddrPort) {
	part := make(map[string]ratelimit.Limit, min(len(limits), maxLimitsPerMessage))
	for server, l := range limits {
		part[server] = l
		if len(part) == maxLimitsPerMessage {
			p.sendLimits(limitMessage{Announced: encodeLimits(part)}, addresses...)
			clear(part)
		}
	}
	if len(part) > 0 {
		p.sendLimits(limitMessage{Announced: encodeLimits(part)}, addresses...)
	}
}

func encodeLimits(limits map[string]ratelimit.Limit) map[string]limitRecord {
	now := time.Now()
	out := make(map[string]limitRecord, len(limits))
	for server, l := range limits {
		out[server] = encodeLimit(l, now)
	}
	return out
}

func decodeLimits(records map[string]limitRecord, now time.Time) map[string]ratelimit.Limit {
	out := make(map[string]ratelimit.Limit, len(records))
	for server, r := range records {
		out[server] = r.decode(now)
	}
	return out
}

// applyLimits applies a message about limits.
func (p *Peering) applyLimits(m limitMessage, from net.Addr, now time.Time) {
	switch {
	case m.Request != nil:
		p.answerPermitRequest(*m.Request, from, now)
	case m.Reply != nil:
		p.deliverPermitReply(*m.Reply, now)
	case m.Reported != nil:
		p.opts.Limits.HandleLimits(decodeLimits(m.Reported, now), true)
	case m.Announced != nil:
		p.opts.Limits.HandleLimits(decodeLimits(m.Announced, now), false)
	}
}

func (p *Peering) answerPermitRequest(m permitMessage, from net.Addr, now time.Time) {
	sender, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	reply := p.opts.Limits.HandleRequest(ratelimit.Request{Server: m.Server, Batch: m.Batch, Limit: m.Limit.decode(now)})
	message := permitMessage{ID: m.ID, Server: m.Server, Batch: m.Batch, Limit: encodeLimit(reply.Limit, now), Granted: reply.Granted, WaitUs: reply.Wait.Microseconds()}
	p.sendLimits(limitMessage{Reply: &message}, sender.AddrPort())
}

// deliverPermitReply passes a reply to its request, or keeps its permits if the request has ended.
func (p *Peering) deliverPermitReply(m permitMessage, now time.Time) {
	reply := ratelimit.Reply{Granted: m.Granted, Wait: time.Duration(m.WaitUs) * time.Microsecond, Limit: m.Limit.decode(now)}
	if p.permitReplies.deliver(m.ID, reply) {
		return
	}
	p.opts.Limits.HandleReply(m.Server, m.Batch, reply)
}

func (p *Peering) sendLimits(m limitMessage, to ...netip.AddrPort) {
	p.sendDatagram(datagram{Limits: &m}, to...)
}
