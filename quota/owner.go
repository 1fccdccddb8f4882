package quota

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
)

const (
	// stallTime is the time without a round of exchanges after which a process has stood still.
	// Others may have taken over what it owned.
	stallTime = 700 * time.Millisecond
	// settleTime is the time after its start in which a process hands out permits only if it
	// reaches most of the gateways that it knows, and reportTime that in which it learns of each
	// gateway that runs.
	settleTime = time.Second
	reportTime = 300 * time.Millisecond
	// idleTime is the time after which what is known of a workspace without requests is dropped.
	idleTime = 30 * time.Second
	// maxExchanges bounds the size of a datagram.
	maxExchanges = 300
)

// settled reports whether this process knows enough of the others to hand out permits. Of several that
// have just started and don't know each other yet, each one would take itself for the owner.
func (l *Limiter) settled(v View, now time.Time) bool {
	running := now.Sub(l.opts.StartedAt)
	switch {
	case v.Gateways == 0:
		return false
	case running >= settleTime:
		return true
	}
	return v.Wide && (v.MostOfRegion || running >= reportTime)
}

// HandleRequest decides on a request for permits as the owner.
func (l *Limiter) HandleRequest(r Request) Reply {
	view := l.opts.Peers().QuotaView(r.Workspace)
	limit, version, known := l.newest(r.Workspace, r.Limit, r.Version)
	if !view.Self {
		return Reply{Owner: view.Owner, Version: version}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.checkStall(now)
	switch {
	case !l.settled(view, now):
		return Reply{Unsettled: true, Version: version}
	case known && limit.RequestsPerSecond <= 0:
		return Reply{Granted: r.Want, Version: version}
	}
	a := l.account(r.Workspace, limit, version, view, now)
	if known {
		a.setLimit(limit, version)
	}
	a.settle(r.Usage, view, now)
	granted, denial := a.take(r.Want, view, now)
	return Reply{Granted: granted, Denial: denial, Fresh: a.fresh(now), Version: a.version}
}

// newest returns the newer one of the quota that is configured here and that in a message, which may be
// left out.
func (l *Limiter) newest(workspace string, other Limit, otherVersion int64) (limit Limit, version int64, known bool) {
	limit, version, known = l.opts.Configured(workspace)
	if otherVersion > version && other != (Limit{}) {
		return other, otherVersion, true
	}
	return limit, version, known
}

// account returns the account of a workspace. The caller holds mu.
func (l *Limiter) account(workspace string, limit Limit, version int64, v View, now time.Time) *account {
	a := l.accounts[workspace]
	if a != nil && v.Wide && !a.wide {
		a = nil // those with which it is reunited know more
	}
	if a == nil {
		l.lastEpoch++
		if v.Since.Before(l.resumedAt) {
			v.Since = l.resumedAt
		}
		a = newAccount(l.lastEpoch, limit, version, l.opts.Bounds, v, now)
		l.accounts[workspace] = a
		event.Log(l.opts.Logger, event.QuotaOwner, "workspace", workspace, "owner", true, "share", v.Share, "regions", len(v.Others)+1, "level", a.bucket.Level)
	}
	a.wide = v.Wide
	return a
}

// checkStall drops what this process has handed out if it stood still since. The caller holds mu.
func (l *Limiter) checkStall(now time.Time) {
	if now.Sub(l.lastTick) < stallTime {
		return
	}
	l.lastTick, l.resumedAt = now, now
	clear(l.accounts)
}

// HandleExchanges applies the messages of another owner.
func (l *Limiter) HandleExchanges(from string, messages []Exchange) {
	for _, m := range messages {
		l.handleExchange(from, m)
	}
}

func (l *Limiter) handleExchange(from string, m Exchange) {
	view := l.opts.Peers().QuotaView(m.Workspace)
	limit, version, known := l.newest(m.Workspace, m.Limit, m.Version)
	if !view.Self || !known || limit.RequestsPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.checkStall(now)
	a := l.account(m.Workspace, limit, version, view, now)
	a.setLimit(limit, version)
	a.apply(m, from, view, now)
}

// Run exchanges counts with the other owners until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.exchange(time.Now())
		}
	}
}

// exchange sends what the other owners have to know.
func (l *Limiter) exchange(now time.Time) {
	for to, messages := range l.dueExchanges(now) {
		for len(messages) > 0 {
			n := min(len(messages), maxExchanges)
			l.opts.Peers().SendExchanges(to, messages[:n])
			messages = messages[n:]
		}
	}
}

// dueExchanges returns the messages that are due, by receivers.
func (l *Limiter) dueExchanges(now time.Time) map[string][]Exchange {
	l.mu.Lock()
	l.checkStall(now)
	l.lastTick = now
	l.dropIdle(now)
	owned := make(map[string]*account, len(l.accounts))
	for workspace, a := range l.accounts {
		owned[workspace] = a
	}
	l.mu.Unlock()

	due := make(map[string][]Exchange)
	for workspace, a := range owned {
		view := l.opts.Peers().QuotaView(workspace)
		l.mu.Lock()
		l.addDue(due, workspace, a, view, now)
		l.mu.Unlock()
	}
	return due
}

// addDue adds the messages about one account. An owner that is one no longer tells its successor. The
// caller holds mu.
func (l *Limiter) addDue(due map[string][]Exchange, workspace string, a *account, v View, now time.Time) {
	if v.Wide && !a.wide {
		delete(l.accounts, workspace) // those with which it is reunited know more
		return
	}
	a.wide = v.Wide
	a.markLost(v, now)
	for _, name := range v.Others {
		if a.due(name, v, now) || !v.Self {
			due[name] = append(due[name], a.message(workspace, name, v, now))
		}
	}
	if v.Self {
		return
	}
	due[v.Owner] = append(due[v.Owner], a.message(workspace, v.Owner, v, now))
	delete(l.accounts, workspace)
	event.Log(l.opts.Logger, event.QuotaOwner, "workspace", workspace, "owner", false, "successor", v.Owner, "level", a.bucket.Level)
}

// dropIdle drops what is known of workspaces without requests. The caller holds mu.
func (l *Limiter) dropIdle(now time.Time) {
	for workspace, a := range l.accounts {
		if now.Sub(a.usedAt) > idleTime {
			delete(l.accounts, workspace)
		}
	}
	for workspace, h := range l.holdings {
		if now.Sub(h.usedAt) > idleTime {
			delete(l.holdings, workspace)
		}
	}
}
