package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/ejection"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// ErrAborted says that an answer was broken off after a part of it was sent. It
// must not look complete to the caller.
var ErrAborted = errors.New("gateway: answer broken off")

const (
	// patiencePart is the part of the objective for which a request waits for
	// room before it is refused: a caller that is refused early comes back in
	// time.
	patiencePart = 0.2
	// refusedPause is the pause after every backend server has refused.
	refusedPause = 20 * time.Millisecond
	// returnAfter and returnSpread space the callers that were refused.
	returnAfter  = 300 * time.Millisecond
	returnSpread = 500 * time.Millisecond
	// silencePart is the part of the objective for which an idempotent request
	// waits for the head of an answer before it is tried elsewhere.
	silencePart = 2
	minSilence  = 600 * time.Millisecond
)

// online is one online request on its way through attempts.
type online struct {
	g       *Gateway
	r       *serving.Request
	route   *catalog.Route
	service string
	w       http.ResponseWriter
	// deadline is when the caller or the route stops waiting.
	deadline time.Time

	// excluded lists backend servers not to be tried again for now.
	excluded map[string]bool
	// attempts counts the backend servers that may have run the request.
	attempts int
	// firstByte is when the first byte of the answer went to the caller.
	firstByte time.Time
	// headSent says that a part of the answer has gone to the caller.
	headSent bool
	// lastEvent is the id of the last event that has gone to the caller.
	lastEvent string
	// worst is the last failure, told if no attempt is left.
	worst *errkind.Error
}

// ServeOnline answers an online request. It returns nil if the caller has its
// whole answer, ErrAborted if it was broken off, and otherwise an
// *errkind.Error while nothing was sent.
func (g *Gateway) ServeOnline(ctx context.Context, w http.ResponseWriter, r *serving.Request, route *catalog.Route) error {
	o := &online{
		g: g, r: r, route: route, w: w,
		service:   route.PickService(rand.Float64()),
		deadline:  r.ReceivedAt.Add(route.Timeout),
		excluded:  make(map[string]bool),
		lastEvent: r.LastEventID,
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(o.deadline) {
		o.deadline = r.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	err := o.run(ctx)
	g.Metrics.ended(route.Kind.String(), err)
	if err != nil {
		o.logFailure(err)
	}
	return err
}

func (o *online) run(ctx context.Context) error {
	for {
		choice, err := o.place(ctx)
		if err != nil {
			return o.giveUp(err)
		}
		again, err := o.attempt(ctx, choice)
		if !again {
			return err
		}
	}
}

// place waits for a backend server with room and counts the attempt there.
func (o *online) place(ctx context.Context) (balance.Choice, error) {
	patience := time.Duration(float64(o.route.FirstByteObjective) * patiencePart)
	until := time.Now().Add(patience)
	if !o.started() {
		until = o.r.ReceivedAt.Add(patience)
	}
	for {
		changed := o.g.Table.CapacityChanged()
		now := time.Now()
		candidates := o.g.Backends.OfService(o.service)
		if o.g.Backends.Len() == 0 && now.Sub(o.r.ReceivedAt) < learnTime && ctx.Err() == nil {
			o.await(ctx, changed, learnTime)
			continue
		}
		if len(candidates) == 0 {
			return balance.Choice{}, errkind.New(errkind.NoBackend, "service %s has no backend server", o.service)
		}
		need := balance.Requirements{Class: balance.Online, PromptPart: sharedPart(o.r.Prompt), Exclude: o.excluded, AllowOverload: o.started()}
		if choice, ok := o.g.Table.Pick(candidates, need, now); ok {
			o.logChoice(choice, now)
			return choice, nil
		}
		if err := ctx.Err(); err != nil {
			return balance.Choice{}, o.expired(err)
		}
		if now.After(until) {
			return balance.Choice{}, o.overloaded(o.g.Table.Availability(candidates, need, now))
		}
		o.await(ctx, changed, until.Sub(now))
	}
}

// await waits for a change, but no longer than d, and lets backend servers that
// refused be tried again.
func (o *online) await(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(min(d, refusedPause) + time.Millisecond)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
	if o.attempts == 0 {
		clear(o.excluded)
	}
}

// started reports whether a backend server may have run a part of the request.
func (o *online) started() bool { return o.attempts > 0 }

// sharedPart returns the last prompt part that other requests share: the last
// part of all belongs to the request itself.
func sharedPart(p serving.Prompt) string {
	if len(p.Parts) < 2 {
		return ""
	}
	return p.Parts[len(p.Parts)-2].ID
}

func (o *online) overloaded(r balance.Availability) *errkind.Error {
	return errkind.New(errkind.Overloaded, "no backend server has room: %d known, %d leaving, %d tried, %d avoided, least load %d online and %d batch",
		r.Candidates, r.Draining, r.Excluded, r.Ejected, r.LeastLoaded.Online, r.LeastLoaded.Batch).
		WithRetryAfter(returnAfter + rand.N(returnSpread))
}

// expired returns the failure of a request whose time is up or whose caller has
// gone.
func (o *online) expired(err error) *errkind.Error {
	if errors.Is(err, context.Canceled) {
		return errkind.Wrap(err, errkind.Cancelled, "the caller has gone")
	}
	if o.started() {
		return errkind.Wrap(err, errkind.Timeout, "no answer in time")
	}
	return errkind.Wrap(err, errkind.DeadlineTooShort, "no backend server had room in time")
}

// giveUp turns the last failure into what the caller is told.
func (o *online) giveUp(err error) error {
	if o.headSent {
		return errors.Wrap(ErrAborted, err.Error())
	}
	if o.worst != nil && o.started() {
		return o.worst
	}
	return err
}

// attempt sends the request to the chosen backend server. It returns true if
// another may be tried.
func (o *online) attempt(ctx context.Context, choice balance.Choice) (again bool, err error) {
	b := choice.Backend
	defer o.g.Table.Release(b.ID, balance.Online)
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := o.watchSilence(b, cancel)
	answer, err := o.g.Pool.Do(actx, o.r, serving.Attempt{
		BackendID: b.ID, Address: b.Address, Deadline: o.deadline, ResumeAfter: o.lastEvent,
	})
	if err != nil {
		quiet.Stop()
		return o.noAnswer(ctx, b, err)
	}
	defer answer.Close()
	if answer.Info.HasLoad {
		o.g.Table.ObserveLoad(b.ID, answer.Info.Load, time.Now())
	}
	if answer.Info.NotRun {
		quiet.Stop()
		return o.refused(b, answer)
	}
	o.attempts++
	o.excluded[b.ID] = true
	if answer.Status >= http.StatusInternalServerError && o.mayRepeat() {
		quiet.Stop()
		o.avoid(b, false)
		o.worst = errkind.New(errkind.BackendFailed, "backend server answered %d", answer.Status)
		o.logRetry(b, o.worst)
		return true, nil
	}
	return o.relay(ctx, b, answer, quiet)
}

// mayRepeat reports whether another attempt is allowed after one that may have
// run.
func (o *online) mayRepeat() bool {
	return o.route.Idempotent && o.attempts < o.route.MaxAttempts
}

// watchSilence cancels an attempt that may be repeated once the backend server
// has been silent for too long. Others wait, as silence is no proof that the
// request did not run; it counts against the backend server, unless that is known to
// be full and the request waits for a slot.
func (o *online) watchSilence(b catalog.Backend, cancel context.CancelFunc) *silence {
	limit := max(silencePart*o.route.FirstByteObjective, minSilence)
	if !o.route.Idempotent || o.attempts+1 >= o.route.MaxAttempts {
		note := func() {
			if !o.g.Table.Full(b, time.Now()) {
				o.avoid(b, false)
			}
		}
		return &silence{timer: time.AfterFunc(limit, note), limit: limit}
	}
	return &silence{timer: time.AfterFunc(limit, cancel), limit: limit}
}

// silence is the timer of an attempt.
type silence struct {
	timer *time.Timer
	limit time.Duration
}

// Stop ends the watch.
func (s *silence) Stop() { s.timer.Stop() }

// Reset restarts the watch after a sign of life.
func (s *silence) Reset() { s.timer.Reset(s.limit) }

// noAnswer decides after an attempt that brought no head of an answer.
func (o *online) noAnswer(ctx context.Context, b catalog.Backend, err error) (again bool, _ error) {
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() != nil {
			return false, o.giveUp(o.expired(ctx.Err()))
		}
		o.avoid(b, true)
		o.excluded[b.ID] = true
		o.logRetry(b, err)
		return true, nil
	}
	o.attempts++
	o.excluded[b.ID] = true
	if ctx.Err() != nil {
		return false, o.giveUp(o.expired(ctx.Err()))
	}
	o.avoid(b, false)
	o.worst = errkind.Wrap(err, errkind.BackendFailed, "backend server %s gave no answer", b.ID)
	if !o.mayRepeat() {
		return false, o.giveUp(o.worst)
	}
	o.logRetry(b, err)
	return true, nil
}

// refused goes on elsewhere after a backend server's word that it did not run
// the request.
func (o *online) refused(b catalog.Backend, answer *upstream.Response) (again bool, _ error) {
	o.excluded[b.ID] = true
	if answer.Info.Misdirected {
		o.avoid(b, true)
	}
	answer.Discard()
	o.logRetry(b, errors.Errorf("refused with %d", answer.Status))
	return true, nil
}

func (o *online) avoid(b catalog.Backend, unreachable bool) {
	ejection.Ejector{Table: o.g.Table, Pool: o.g.Pool, Log: o.g.Log}.RecordFailure(b, unreachable)
}

func (o *online) logChoice(c balance.Choice, now time.Time) {
	o.g.Metrics.routed(c.Reason)
	event.Log(o.g.Log, event.RequestRouted, "request", o.r.ID, "route", o.route.Name, "service", o.service,
		"backend", c.Backend.ID, "reason", c.Reason, "online", c.Load.Online, "batch", c.Load.Batch, "slots", c.Backend.Slots,
		"attempt", o.attempts+1, "waited", now.Sub(o.r.ReceivedAt), "store_age", o.g.StoreAge())
}

func (o *online) logRetry(b catalog.Backend, cause error) {
	event.Log(o.g.Log, event.RequestRetried, "request", o.r.ID, "backend", b.ID, "cause", cause,
		"attempts", o.attempts, "resume_after", o.lastEvent)
}

func (o *online) logFailure(err error) {
	if errors.Is(err, ErrAborted) {
		event.Log(o.g.Log, event.RequestRefused, "request", o.r.ID, "route", o.route.Name, "kind", "aborted",
			"cause", err, "attempts", o.attempts, "after", time.Since(o.r.ReceivedAt), "last_event", o.lastEvent)
		return
	}
	e := errkind.From(err)
	o.g.Metrics.failed(e.Kind)
	event.Log(o.g.Log, event.RequestRefused, "request", o.r.ID, "route", o.route.Name, "kind", e.Kind,
		"cause", e, "attempts", o.attempts, "after", time.Since(o.r.ReceivedAt), "retry_after", e.Response().RetryAfter)
}
