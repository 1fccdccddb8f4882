package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	// settleInterval and settleAttempts bound how often and how long a request waits for an owner
	// that has just started.
	settleInterval = 25 * time.Millisecond
	settleAttempts = 12
	// freshWait is the longest time that a request waits for the next permit of an owner that has
	// just started.
	freshWait = 150 * time.Millisecond
	// unansweredRetry and unansweredSpread are the least time and the random addition after
	// which a request that found no owner may come back: by then another one has taken over.
	unansweredRetry  = 500 * time.Millisecond
	unansweredSpread = 500 * time.Millisecond
	// leastWait is the least time after which a refused request may come back.
	leastWait = time.Millisecond
	// assumedGateways is the number of gateways while the directory is unknown.
	assumedGateways = 100
)

// Peers are the other gateways.
type Peers interface {
	// QuotaView returns what is known of the gateways for a workspace.
	QuotaView(workspace string) View
	// RequestQuota requests permits of the owner with the given name.
	RequestQuota(ctx context.Context, owner string, r Request) (Reply, error)
	// SendExchanges sends messages to another owner.
	SendExchanges(to string, messages []Exchange)
}

// Options are the settings of a Limiter.
type Options struct {
	// StartedAt is when the process has started.
	StartedAt time.Time
	Bounds    Bounds
	// Peers returns the other gateways.
	Peers func() Peers
	// Configured returns the quota of a workspace in the configuration in force and the version of
	// that. known is false if it has no such workspace.
	Configured func(workspace string) (l Limit, version int64, known bool)
	// Observer counts what the limiter does.
	Observer Observer
	Logger   *log.Logger
}

// Limiter admits the requests of workspaces, and hands out the permits of those that it owns. It is
// safe for concurrent use.
type Limiter struct {
	opts Options

	mu       sync.Mutex
	accounts map[string]*account
	holdings map[string]*holding
	// lastTick is when the last round of exchanges began. resumedAt is when the process went on
	// after it stood still.
	lastTick, resumedAt time.Time
	lastEpoch           uint32
}

// NewLimiter returns a limiter that has handed out nothing yet.
func NewLimiter(opts Options) *Limiter {
	return &Limiter{
		opts: opts, accounts: make(map[string]*account), holdings: make(map[string]*holding),
		lastTick: time.Now(), resumedAt: opts.StartedAt, lastEpoch: rand.Uint32(),
	}
}

// Admit admits a request of a workspace, or returns a *Refusal or the error of ctx. limit is the quota in
// the version of the configuration by which the request is served. The permit is nil if there is no limit.
func (l *Limiter) Admit(ctx context.Context, workspace string, limit Limit, version int64) (*Permit, error) {
	if limit.RequestsPerSecond <= 0 {
		return nil, nil
	}
	permit := &Permit{l, workspace}
	refusal := &Refusal{Workspace: workspace, Limit: limit}
	if l.admitHere(refusal) {
		return permit, nil
	}
	if refusal.Wait > 0 {
		return nil, refusal
	}
	reply, err := l.requestSettled(ctx, workspace, limit, version, refusal)
	switch {
	case ctx.Err() != nil:
		if reply.Granted > 0 {
			permit.Return()
		}
		return nil, errors.WithStack(ctx.Err())
	case err != nil:
		return permit, l.admitByMargin(refusal)
	}
	if reply.Granted == 0 {
		refusal.By, refusal.Wait = ByOwner, max(reply.Denial.Wait, leastWait)
		l.opts.Observer.Permits(Denied, 1)
		return nil, refusal
	}
	return permit, nil
}

// admitHere admits a request by a permit that this gateway holds. If it knows that the owner has none,
// it sets the wait of the refusal.
func (l *Limiter) admitHere(r *Refusal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	h := l.holding(r.Workspace, now)
	h.pace.count(now)
	if h.use(now) {
		return true
	}
	if wait, denied := h.deny(r.Limit.RequestsPerSecond, now); denied {
		r.By, r.Owner, r.Wait = ByDenial, h.owner, max(wait, leastWait)
		l.opts.Observer.Permits(Denied, 1)
	}
	return false
}

var (
	// errNoOwner reports that no owner can be asked, errUnsettled that it has just started.
	errNoOwner   = errors.New("quota: no owner answers")
	errUnsettled = errors.New("quota: the owner has just started")
)

// requestSettled requests permits. If the owner has just started, it is asked again after a short time,
// in which it learns of the others or gets another permit: where all gateways start, requests wait rather
// than being refused.
func (l *Limiter) requestSettled(ctx context.Context, workspace string, limit Limit, version int64, refusal *Refusal) (Reply, error) {
	denied := false
	for range settleAttempts {
		reply, err := l.request(ctx, workspace, limit, version, refusal)
		switch wait := reply.Denial.Wait; {
		case errors.Is(err, errUnsettled):
			delay.Wait(ctx, settleInterval)
		case err == nil && reply.Fresh && reply.Granted == 0 && wait <= freshWait && !denied:
			denied = true
			delay.Wait(ctx, wait)
		default:
			return reply, err
		}
	}
	return Reply{}, errUnsettled
}

// request requests permits of the owner, which may be this gateway.
func (l *Limiter) request(ctx context.Context, workspace string, limit Limit, version int64, refusal *Refusal) (Reply, error) {
	view := l.opts.Peers().QuotaView(workspace)
	refusal.Owner = view.Owner
	r, wait := l.prepare(workspace, limit, version)
	var reply Reply
	err := errNoOwner
	switch {
	case view.Self:
		reply, err = l.HandleRequest(r), nil
	case wait:
		reply, err = l.ask(ctx, r, refusal)
	}
	if err == nil && reply.decided() {
		l.finish(workspace, refusal.Owner, reply)
		return reply, nil
	}
	l.keepUsage(workspace, r.Usage)
	if reply.Unsettled {
		return Reply{}, errUnsettled
	}
	return Reply{}, errNoOwner
}

// ask requests permits of another gateway, and of the one that this one names if it is not the owner.
func (l *Limiter) ask(ctx context.Context, r Request, refusal *Refusal) (Reply, error) {
	reply, err := l.opts.Peers().RequestQuota(ctx, refusal.Owner, r)
	if err == nil && reply.Owner != "" && reply.Owner != refusal.Owner {
		l.opts.Observer.Asked(Redirected)
		refusal.Owner = reply.Owner
		reply, err = l.opts.Peers().RequestQuota(ctx, refusal.Owner, r)
	}
	switch {
	case ctx.Err() != nil:
		return Reply{}, errors.WithStack(ctx.Err())
	case err == nil && reply.Unsettled:
	case err != nil || !reply.decided():
		l.unanswered(r.Workspace, refusal.Owner, err)
	default:
		l.opts.Observer.Asked(Answered)
	}
	return reply, err
}

// prepare returns the request for permits, and whether the owner is to be waited for.
func (l *Limiter) prepare(workspace string, limit Limit, version int64) (r Request, wait bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	h := l.holding(workspace, now)
	r = Request{Workspace: workspace, Want: h.want(), Version: version, Usage: h.takeUsage(now)}
	if version > h.ownerVersion {
		r.Limit = limit
	}
	l.opts.Observer.Permits(Lapsed, r.Usage.Returned)
	return r, !now.Before(h.unansweredUntil)
}

// finish applies the reply to a request that waits for it.
func (l *Limiter) finish(workspace, owner string, reply Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	h := l.holding(workspace, now)
	h.owner, h.ownerVersion = owner, reply.Version
	h.unansweredUntil = time.Time{}
	if reply.Granted == 0 {
		if !reply.Fresh {
			h.denied(reply.Denial, now)
		}
		return
	}
	h.deniedUntil = time.Time{}
	h.add(reply.Granted-1, now)
	l.opts.Observer.Permits(Granted, reply.Granted)
}

// HandleReply records the permits of a reply that came too late for its request.
func (l *Limiter) HandleReply(workspace string, reply Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.holding(workspace, now).add(reply.Granted, now)
	l.opts.Observer.Permits(Granted, reply.Granted)
}

// keepUsage keeps what could not be said to the owner. Permits that came back are left out: it may have
// heard of them.
func (l *Limiter) keepUsage(workspace string, u Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holding(workspace, time.Now())
	h.usage.Spent += u.Spent
	h.usage.Denied += u.Denied
}

// unanswered records that the owner has not answered in time.
func (l *Limiter) unanswered(workspace, owner string, cause error) {
	l.opts.Observer.Asked(Unanswered)
	event.Log(l.opts.Logger, event.QuotaUnanswered, "workspace", workspace, "owner", owner, "cause", cause)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.holding(workspace, now).unansweredUntil = now.Add(unansweredTime)
}

// admitByMargin admits a request whose owner doesn't answer, or refuses it.
func (l *Limiter) admitByMargin(r *Refusal) error {
	gateways := l.opts.Peers().QuotaView(r.Workspace).Gateways
	if gateways == 0 {
		gateways = assumedGateways
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.holding(r.Workspace, now).spend(r.Limit, l.opts.Bounds, gateways, now) {
		l.opts.Observer.Permits(Spent, 1)
		return nil
	}
	l.opts.Observer.Permits(Denied, 1)
	r.By, r.Wait = ByMargin, unansweredRetry+rand.N(unansweredSpread)
	return r
}

// holding returns what is known of a workspace. The caller holds mu.
func (l *Limiter) holding(workspace string, now time.Time) *holding {
	h := l.holdings[workspace]
	if h == nil {
		h = &holding{}
		l.holdings[workspace] = h
	}
	h.usedAt = now
	return h
}
