package ratelimit

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/serving"
)

const (
	// settleTime is the time after its start in which a process grants no permits: it does not
	// know yet which gateways there are.
	settleTime = time.Second
	// announceInterval is the time between two announcements of the limits that are in force, for
	// gateways that have started or have missed a change.
	announceInterval = time.Second
	// minDenial and maxDenial bound the time for which a gateway requests no further permit after
	// a denial: longer than a round trip, and not longer than the demand of others stays alike.
	minDenial = 20 * time.Millisecond
	maxDenial = time.Second
	// unansweredDenial is this time after a request that was not answered.
	unansweredDenial = 250 * time.Millisecond
	// farReplyTime is this time after a request to a gateway of another region.
	farReplyTime = 150 * time.Millisecond
)

// Owner is the gateway that hands out the permits of a server.
type Owner struct {
	// Name is the name of the gateway.
	Name string
	// Self states that this process is the owner, Far that the owner is in another region.
	Self, Far bool
	// Share is the part of the limit that an owner hands out: the part of the gateways that it
	// reaches. It is only set if Self is true.
	Share float64
}

// Request is a request for a permit. It holds the limit as the sender knows it.
type Request struct {
	Server string
	Batch  bool
	Limit  Limit
}

// Reply is the reply of the owner.
type Reply struct {
	// Granted is the number of permits; 0 is a denial. Wait is the time after which the next
	// one is probably left for the sender.
	Granted int
	Wait    time.Duration
	// Limit is the limit as the owner knows it.
	Limit Limit
}

// Peers are the other gateways.
type Peers interface {
	// LimitOwner returns the owner of a server in an availability zone.
	LimitOwner(server, zone string) Owner
	// RequestPermit requests a permit from an owner.
	RequestPermit(ctx context.Context, owner Owner, r Request) (Reply, error)
	// ReportLimits sends limits to an owner.
	ReportLimits(owner Owner, limits map[string]Limit)
	// AnnounceLimits sends limits to the gateways of the own region or, if all is set, to all.
	AnnounceLimits(limits map[string]Limit, all bool)
}

// Options are the settings of a Limiter.
type Options struct {
	// StartedAt is when the process has started.
	StartedAt time.Time
	// Peers returns the other gateways.
	Peers func() Peers
	// Zone returns the availability zone of a backend server.
	Zone func(server string) string
	// Denied is called when a server takes no request of a class until the time until; it
	// probably takes the next one at the time expected.
	Denied func(server string, batch bool, until, expected time.Time)
	// Freed is called when a server takes requests of a class again.
	Freed  func(server string, batch bool)
	Logger *log.Logger
}

// Limiter follows the limits that backend servers name and admits requests to these servers.
type Limiter struct {
	opts  Options
	table *Table
}

// NewLimiter returns a limiter that knows no limits.
func NewLimiter(opts Options) *Limiter { return &Limiter{opts: opts, table: NewTable()} }

// Observe records what a response says about the limit of its backend server.
func (l *Limiter) Observe(server string, named serving.RateLimit) {
	if named.Malformed {
		if l.table.ObserveMalformed(server, named) {
			event.Log(l.opts.Logger, event.LimitMalformed, "backend", server, "value", named.Text)
		}
		return
	}
	limit := Limit{Named: named.Named, PerSecond: named.PerSecond, At: time.Now()}
	if !l.table.Observe(server, limit) {
		return
	}
	l.changed(server, limit, "own")
	l.report(server, limit)
}

// report tells the owner of a server, or as the owner all gateways, that its limit has changed.
func (l *Limiter) report(server string, limit Limit) {
	limits := map[string]Limit{server: limit}
	if owner := l.owner(server); !owner.Self {
		l.opts.Peers().ReportLimits(owner, limits)
		return
	}
	l.opts.Peers().AnnounceLimits(limits, true)
}

func (l *Limiter) owner(server string) Owner {
	return l.opts.Peers().LimitOwner(server, l.opts.Zone(server))
}

// Admit returns nil if a request may be sent to a backend server now, and otherwise an error that
// says why it may not.
func (l *Limiter) Admit(ctx context.Context, server string, batch bool) error {
	limit, known := l.table.Lookup(server)
	if !known || !limit.Named || l.table.UsePermit(server, batch, time.Now()) {
		return nil
	}
	owner := l.owner(server)
	r := Request{Server: server, Batch: batch, Limit: limit}
	if owner.Self {
		return l.finish(r, l.grant(r, owner.Share))
	}
	l.table.DropBucket(server)
	if owner.Far {
		l.deny(r, farReplyTime)
		go l.requestFar(owner, r)
		return errors.Errorf("ratelimit: permit requested of %s", owner.Name)
	}
	reply, err := l.request(ctx, owner, r)
	if err != nil {
		return err
	}
	return l.finish(r, reply)
}

// requestFar requests a permit in another region for a later request: one that waited for the
// reply could be served elsewhere meanwhile.
func (l *Limiter) requestFar(owner Owner, r Request) {
	reply, err := l.request(context.Background(), owner, r)
	switch {
	case err != nil:
		return
	case reply.Granted == 0:
		l.deny(r, reply.Wait)
		return
	}
	l.table.AddPermits(r.Server, r.Batch, reply.Granted, time.Now())
	l.opts.Freed(r.Server, r.Batch)
}

// request requests a permit of another gateway.
func (l *Limiter) request(ctx context.Context, owner Owner, r Request) (Reply, error) {
	reply, err := l.opts.Peers().RequestPermit(ctx, owner, r)
	if err != nil {
		l.deny(r, unansweredDenial)
		return Reply{}, errors.Wrapf(err, "ratelimit: no permit of %s", owner.Name)
	}
	if l.table.Merge(r.Server, reply.Limit) {
		l.changed(r.Server, reply.Limit, "peer")
	}
	return reply, nil
}

// finish applies the reply to a request for a permit.
func (l *Limiter) finish(r Request, reply Reply) error {
	if limit, known := l.table.Lookup(r.Server); !known || !limit.Named {
		return nil // it has ended meanwhile
	}
	if reply.Granted > 0 {
		l.table.AddPermits(r.Server, r.Batch, reply.Granted-1, time.Now())
		return nil
	}
	l.deny(r, reply.Wait)
	return errors.Errorf("ratelimit: next permit in %v at a limit of %v a second", reply.Wait, r.Limit.PerSecond)
}

func (l *Limiter) deny(r Request, wait time.Duration) {
	now := time.Now()
	l.opts.Denied(r.Server, r.Batch, now.Add(min(max(wait, minDenial), maxDenial)), now.Add(wait))
}

// grant decides on a request for a permit as the owner.
func (l *Limiter) grant(r Request, share float64) Reply {
	now := time.Now()
	if unsettled := settleTime - now.Sub(l.opts.StartedAt); unsettled > 0 {
		return Reply{Wait: unsettled, Limit: r.Limit}
	}
	granted, wait := l.table.Grant(r.Server, r.Batch, share, now)
	limit, _ := l.table.Lookup(r.Server)
	return Reply{Granted: granted, Wait: wait, Limit: limit}
}

// HandleRequest replies to another gateway. It denies the permit if this gateway is not the owner,
// or if the limit has ended, which the reply says.
func (l *Limiter) HandleRequest(r Request) Reply {
	if l.table.Merge(r.Server, r.Limit) {
		l.changed(r.Server, r.Limit, "peer")
	}
	limit, _ := l.table.Lookup(r.Server)
	owner := l.owner(r.Server)
	if !owner.Self {
		l.table.DropBucket(r.Server)
		return Reply{Wait: unansweredDenial, Limit: limit}
	}
	if !limit.Named {
		return Reply{Limit: limit}
	}
	return l.grant(r, owner.Share)
}

// HandleReply records the permits of a reply that came too late for its request.
func (l *Limiter) HandleReply(server string, batch bool, reply Reply) {
	l.table.AddPermits(server, batch, reply.Granted, time.Now())
}

// HandleLimits records limits that another gateway knows. reported states that it has observed them
// and that this gateway, as the owner, tells the others.
func (l *Limiter) HandleLimits(limits map[string]Limit, reported bool) {
	for server, limit := range limits {
		if !l.table.Merge(server, limit) {
			continue
		}
		l.changed(server, limit, "peer")
		if reported && l.owner(server).Self {
			l.opts.Peers().AnnounceLimits(map[string]Limit{server: limit}, true)
		}
	}
}

// Run announces the limits of the servers that this gateway owns until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.announce(now)
		}
	}
}

func (l *Limiter) announce(now time.Time) {
	limits := l.table.Named(now)
	for server := range limits {
		if !l.owner(server).Self {
			delete(limits, server)
		}
	}
	if len(limits) > 0 {
		l.opts.Peers().AnnounceLimits(limits, false)
	}
}

// Known returns the limits that are in force.
func (l *Limiter) Known() map[string]Limit { return l.table.Named(time.Now()) }

// Remove drops the state of a backend server that is no longer registered.
func (l *Limiter) Remove(server string) { l.table.Remove(server) }

// changed logs a limit that has changed, and frees the server if it has ended.
func (l *Limiter) changed(server string, limit Limit, by string) {
	value := any("")
	if limit.Named {
		value = limit.PerSecond
	}
	event.Log(l.opts.Logger, event.BackendLimited, "backend", server, "limit", value, "by", by)
	if !limit.Named {
		l.opts.Freed(server, false)
		l.opts.Freed(server, true)
	}
}
