package peering

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/quota"
)

const (
	// quotaRepeat is the time after which a request for the permits of a workspace is sent once
	// more, and quotaTimeout bounds the wait for the reply.
	quotaRepeat  = 30 * time.Millisecond
	quotaTimeout = 80 * time.Millisecond
)

// Quotas handles the messages of other gateways about the quotas of workspaces.
type Quotas interface {
	// HandleRequest decides on a request for permits.
	HandleRequest(r quota.Request) quota.Reply
	// HandleReply records a reply whose request has ended.
	HandleReply(workspace string, r quota.Reply)
	// HandleExchanges applies the messages of another owner.
	HandleExchanges(from string, messages []quota.Exchange)
}

// quotaMessage is a message about quotas. Only one of Request, Reply and Exchanges is set.
type quotaMessage struct {
	Request   *quotaRequest   `cbor:"1,keyasint,omitempty"`
	Reply     *quotaReply     `cbor:"2,keyasint,omitempty"`
	Exchanges []quotaExchange `cbor:"3,keyasint,omitempty"`
	// From is the sender of Exchanges.
	From string `cbor:"4,keyasint,omitempty"`
}

// quotaRequest is a quota.Request.
type quotaRequest struct {
	ID        uint64  `cbor:"1,keyasint"`
	Workspace string  `cbor:"2,keyasint"`
	Want      int     `cbor:"3,keyasint,omitempty"`
	Version   int64   `cbor:"4,keyasint,omitempty"`
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
	Burst     float64 `cbor:"6,keyasint,omitempty"`
	Returned  int     `cbor:"7,keyasint,omitempty"`
	Spent     int     `cbor:"8,keyasint,omitempty"`
	Denied    int     `cbor:"9,keyasint,omitempty"`
}

// quotaReply is the quota.Reply to the request with the same ID.
type quotaReply struct {
	ID        uint64 `cbor:"1,keyasint"`
	Granted   int    `cbor:"2,keyasint,omitempty"`
	WaitUs    int64  `cbor:"3,keyasint,omitempty"`
	NextUs    int64  `cbor:"4,keyasint,omitempty"`
	Unsettled bool   `cbor:"5,keyasint,omitempty"`
	Owner     string `cbor:"6,keyasint,omitempty"`
	Version   int64  `cbor:"7,keyasint,omitempty"`
	// Workspace is set if permits are granted, in case the reply is late.
	Workspace string `cbor:"8,keyasint,omitempty"`
	Fresh     bool   `cbor:"9,keyasint,omitempty"`
}

// permitsPerMilli is the unit of levels in messages.
const permitsPerMilli = 1000

// quotaExchange is a quota.Exchange.
type quotaExchange struct {
	Workspace   string  `cbor:"1,keyasint"`
	Epoch       uint32  `cbor:"2,keyasint"`
	AgeMs       int64   `cbor:"3,keyasint,omitempty"`
	Granted     uint64  `cbor:"4,keyasint,omitempty"`
	Returned    uint64  `cbor:"5,keyasint,omitempty"`
	SeenEpoch   uint32  `cbor:"6,keyasint,omitempty"`
	Seen        uint64  `cbor:"7,keyasint,omitempty"`
	LevelMillis int64   `cbor:"8,keyasint,omitempty"`
	KnownMs     int64   `cbor:"9,keyasint,omitempty"`
	Urgent      bool    `cbor:"10,keyasint,omitempty"`
	EchoMs      int64   `cbor:"11,keyasint,omitempty"`
	Version     int64   `cbor:"12,keyasint,omitempty"`
	PerSecond   float64 `cbor:"13,keyasint,omitempty"`
	Burst       float64 `cbor:"14,keyasint,omitempty"`
}

// RequestQuota implements quota.Peers.
func (p *Peering) RequestQuota(ctx context.Context, owner string, r quota.Request) (quota.Reply, error) {
	address, known := p.addressOf(owner)
	if !known {
		return quota.Reply{}, errors.Errorf("peering: gateway %s is gone", owner)
	}
	id, replied := p.quotaReplies.add()
	message := encodeQuotaRequest(id, r)
	p.sendQuotas(quotaMessage{Request: &message}, address)
	message.Returned, message.Spent, message.Denied = 0, 0, 0
	repeat := time.AfterFunc(quotaRepeat, func() { p.sendQuotas(quotaMessage{Request: &message}, address) })
	defer repeat.Stop()
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply, err := p.quotaReplies.await(ctx, id, replied)
	return reply, errors.Wrap(err, "peering: request quota")
}

func (p *Peering) addressOf(name string) (address netip.AddrPort, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.peers[name]
	if to == nil {
		return netip.AddrPort{}, false
	}
	return to.addr, true
}

func encodeQuotaRequest(id uint64, r quota.Request) quotaRequest {
	return quotaRequest{
		ID: id, Workspace: r.Workspace, Want: r.Want, Version: r.Version, PerSecond: r.Limit.RequestsPerSecond, Burst: r.Limit.Burst,
		Returned: r.Usage.Returned, Spent: r.Usage.Spent, Denied: r.Usage.Denied,
	}
}

func (r quotaRequest) decode() quota.Request {
	return quota.Request{
		Workspace: r.Workspace, Want: r.Want, Version: r.Version,
		Limit: quota.Limit{RequestsPerSecond: r.PerSecond, Burst: r.Burst},
		Usage: quota.Usage{Returned: r.Returned, Spent: r.Spent, Denied: r.Denied},
	}
}

// SendExchanges implements quota.Peers.
func (p *Peering) SendExchanges(to string, messages []quota.Exchange) {
	address, known := p.addressOf(to)
	if !known {
		return
	}
	out := quotaMessage{From: p.opts.Name}
	for _, m := range messages {
		out.Exchanges = append(out.Exchanges, quotaExchange{
			Workspace: m.Workspace, Epoch: m.Epoch, AgeMs: m.Age.Milliseconds(), Granted: m.Granted, Returned: m.Returned,
			SeenEpoch: m.SeenEpoch, Seen: m.Seen, LevelMillis: int64(m.Level * permitsPerMilli), KnownMs: m.Known.Milliseconds(), Urgent: m.Urgent, EchoMs: m.Echo.Milliseconds(),
			Version: m.Version, PerSecond: m.Limit.RequestsPerSecond, Burst: m.Limit.Burst,
		})
	}
	p.sendQuotas(out, address)
}

func (m quotaExchange) decode() quota.Exchange {
	return quota.Exchange{
		Workspace: m.Workspace, Epoch: m.Epoch, Age: time.Duration(m.AgeMs) * time.Millisecond, Granted: m.Granted, Returned: m.Returned,
		SeenEpoch: m.SeenEpoch, Seen: m.Seen, Level: float64(m.LevelMillis) / permitsPerMilli, Known: time.Duration(m.KnownMs) * time.Millisecond, Urgent: m.Urgent, Echo: time.Duration(m.EchoMs) * time.Millisecond,
		Version: m.Version, Limit: quota.Limit{RequestsPerSecond: m.PerSecond, Burst: m.Burst},
	}
}

// applyQuotas applies a message about quotas.
func (p *Peering) applyQuotas(m quotaMessage, from net.Addr) {
	switch {
	case p.opts.Quotas == nil:
	case m.Request != nil:
		p.answerQuotaRequest(*m.Request, from)
	case m.Reply != nil:
		p.deliverQuotaReply(*m.Reply)
	default:
		messages := make([]quota.Exchange, 0, len(m.Exchanges))
		for _, e := range m.Exchanges {
			messages = append(messages, e.decode())
		}
		p.opts.Quotas.HandleExchanges(m.From, messages)
	}
}

func (p *Peering) answerQuotaRequest(m quotaRequest, from net.Addr) {
	sender, ok := from.(*net.UDPAddr)
	if !ok {
		return
	}
	r := p.opts.Quotas.HandleRequest(m.decode())
	reply := quotaReply{
		ID: m.ID, Granted: r.Granted, WaitUs: r.Denial.Wait.Microseconds(), NextUs: r.Denial.Next.Microseconds(),
		Unsettled: r.Unsettled, Owner: r.Owner, Version: r.Version, Fresh: r.Fresh,
	}
	if r.Granted > 0 {
		reply.Workspace = m.Workspace
	}
	p.sendQuotas(quotaMessage{Reply: &reply}, sender.AddrPort())
}

// deliverQuotaReply passes a reply to its request, or keeps its permits if the request has ended.
func (p *Peering) deliverQuotaReply(m quotaReply) {
	reply := quota.Reply{
		Granted:   m.Granted,
		Denial:    quota.Denial{Wait: time.Duration(m.WaitUs) * time.Microsecond, Next: time.Duration(m.NextUs) * time.Microsecond},
		Unsettled: m.Unsettled, Owner: m.Owner, Version: m.Version, Fresh: m.Fresh,
	}
	if !p.quotaReplies.deliver(m.ID, reply) && m.Granted > 0 {
		p.opts.Quotas.HandleReply(m.Workspace, reply)
	}
}

func (p *Peering) sendQuotas(m quotaMessage, to ...netip.AddrPort) {
	p.sendDatagram(datagram{Quotas: &m}, to...)
}
