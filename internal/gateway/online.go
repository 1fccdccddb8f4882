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
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/ejection"
	"github.com/catkinrudder/catkinrudder/quarantine"
	"github.com/catkinrudder/catkinrudder/serving"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// ErrAborted reports that a response was cut off after a part of it was sent. The
// response must not look complete to the caller.
var ErrAborted = errors.New("gateway: response aborted")

// onlineRequest is the state of one online request.
type onlineRequest struct {
	g       *Gateway
	r       *serving.Request
	route   *catalog.Route
	service string
	w       http.ResponseWriter
	// deadline is when the caller or the route times out.
	deadline time.Time

	// priority is the rank of the request; 0 is the most urgent.
	priority int
	// spent is the time that the caller has probably spent at other gateways before.
	spent time.Duration
	// judged is what was last decided about the request when it found no slot.
	judged judgement

	// parts are the ids of the prompt parts that other requests share.
	parts []string
	// identities are those of the request; see identify.
	identities []string
	// excluded holds the backend servers that are currently not to be tried.
	excluded map[string]bool
	// refused states that a backend server has refused the request.
	refused bool
	// attemptBegan is when the last attempt began.
	attemptBegan time.Time
	// attempts counts the attempts that may have run the request.
	attempts int
	// firstByte is when the first byte of the response was sent to the caller.
	firstByte time.Time
	// headSent reports whether the response head was sent to the caller.
	headSent bool
	// lastEvent is the id of the last event that was sent to the caller.
	lastEvent string
	// sequence decides which event may come next.
	sequence eventstream.Sequence
	// origin is the software that began the stream, once the caller has an event of it. Only
	// servers that run it may go on.
	origin catalog.Software
	// lastFailure is the last failure; it is returned if no attempt is left.
	lastFailure *errkind.Error
	// onTrial states that the next attempt is one with a held suspect, and examination is that of the
	// backend server that has broken off the last attempt; nil if none has.
	onTrial     bool
	examination *quarantine.Examination
	// outliveShutdown keeps the end of the grace period from ending the request.
	outliveShutdown func() bool
}

// ServeOnline serves an online request. It returns nil if the caller has received the
// complete response, an error that wraps ErrAborted if the response was cut off, and
// an *errkind.Error if nothing was sent.
func (g *Gateway) ServeOnline(ctx context.Context, w http.ResponseWriter, r *serving.Request, route *catalog.Route) error {
	o := &onlineRequest{
		g: g, r: r, route: route, w: w,
		service:   route.PickService(rand.Float64()),
		deadline:  r.ReceivedAt.Add(route.Timeout),
		excluded:  make(map[string]bool),
		lastEvent: r.LastEventID,
		sequence:  eventstream.After(r.LastEventID),
		parts:     r.Prompt.SharedParts(),
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(o.deadline) {
		o.deadline = r.Deadline
	}
	o.deadline = g.Shutdown.limit(o.deadline)
	o.priority = g.priority(r, route)
	o.spent = g.queue.spent(route.Name, o.deadline.Sub(r.ReceivedAt), r.ReceivedAt)
	ctx, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	ctx, o.outliveShutdown = g.Shutdown.bind(ctx)
	defer o.outliveShutdown()
	err := o.runWithinQuota(ctx)
	g.Metrics.requestEnded(route.Kind.String(), err)
	if err != nil {
		o.logFailure(err)
	}
	return err
}

func (o *onlineRequest) run(ctx context.Context) error {
	if o.resumes() {
		if err := o.findOrigin(ctx); err != nil {
			return err
		}
	}
	for {
		verdict := o.g.Quarantine.Check(o.suspectsIfNeeded(0), balance.Online)
		if verdict.Soon() && delay.Wait(ctx, verdict.Wait) {
			continue
		}
		if verdict.Refuses() {
			return o.finalError(quarantinedError(verdict))
		}
		o.onTrial = verdict.Held()
		choice, err := o.pickBackend(ctx)
		if err != nil {
			return o.finalError(err)
		}
		trial, ok := o.g.Quarantine.Begin(o.suspectsIfNeeded(0), choice.Backend, balance.Online)
		if !ok {
			o.releaseSlot(choice.Backend)
			if !delay.Wait(ctx, trialPollInterval) {
				return o.finalError(o.expiredError(ctx))
			}
			continue // the trial is announced, or another run is tried
		}
		retry, err := o.tryOnce(ctx, choice, trial)
		if !retry {
			return err
		}
	}
}

// mayHaveRun reports whether a backend server may have run a part of the request.
func (o *onlineRequest) mayHaveRun() bool { return o.attempts > 0 }

// lastSharedPart returns the id of the last prompt part that other requests share.
func (o *onlineRequest) lastSharedPart() string {
	if len(o.parts) == 0 {
		return ""
	}
	return o.parts[len(o.parts)-1]
}

// expiredError returns the error of a request whose ctx has ended: its deadline has passed, its caller
// has disconnected, or this process stops.
func (o *onlineRequest) expiredError(ctx context.Context) *errkind.Error {
	cause := context.Cause(ctx)
	stopping := errors.Is(cause, errStopping)
	switch {
	case errors.Is(cause, context.Canceled):
		return errkind.Wrap(cause, errkind.Cancelled, "the caller has gone")
	case o.mayHaveRun():
		return errkind.Wrap(cause, errkind.Timeout, "no answer in time")
	case stopping || o.g.Stopping():
		return errkind.Wrap(cause, errkind.Draining, "no backend server had room before this process stops").WithRetryAfter(stoppingRetryAfter)
	}
	return errkind.Wrap(cause, errkind.DeadlineTooShort, "no backend server had room in time")
}

// stoppingRetryAfter is the Retry-After of a request that another gateway may still serve.
const stoppingRetryAfter = 50 * time.Millisecond

// finalError returns the error for the caller after the last attempt.
func (o *onlineRequest) finalError(err error) error {
	if o.headSent {
		return errors.Wrap(ErrAborted, err.Error())
	}
	if o.lastFailure != nil && o.mayHaveRun() {
		return o.lastFailure
	}
	return err
}

// tryOnce makes an attempt and ends its trial.
func (o *onlineRequest) tryOnce(ctx context.Context, choice balance.Choice, trial *quarantine.Trial) (retry bool, err error) {
	o.examination = nil
	before := o.attempts
	retry, err = o.attempt(ctx, choice)
	if o.attempts == before {
		trial.NotRun()
	} else {
		trial.End(o.examination)
	}
	return retry, err
}

func (o *onlineRequest) releaseSlot(b catalog.Backend) {
	o.g.queue.slotReleased(o.service)
	o.g.Table.Release(b.ID, balance.Online)
}

// attempt sends the request to the chosen backend server. It returns true if another
// attempt may be made.
func (o *onlineRequest) attempt(ctx context.Context, choice balance.Choice) (retry bool, err error) {
	b := choice.Backend
	defer o.releaseSlot(b)
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := o.startIdleTimer(b, cancel)
	o.attemptBegan = time.Now()
	response, err := o.g.Pool.Do(actx, o.r, serving.Attempt{
		BackendID: b.ID, StartedMs: b.StartedMs, Address: b.Address, Deadline: o.deadline, ResumeAfter: o.lastEvent, Crossing: string(choice.Crossing),
	})
	if err != nil {
		idle.Stop()
		return o.handleNoResponse(ctx, b, err)
	}
	defer response.Close()
	if response.Info.HasLoad {
		o.g.Table.ObserveLoad(b.ID, response.Info.Load, time.Now())
	}
	if !response.Info.NotRun {
		now := time.Now()
		o.g.Table.ObserveFirstByte(choice, now.Sub(o.attemptBegan), now)
	}
	if response.Info.NotRun {
		idle.Stop()
		return o.handleRefusal(b, response)
	}
	o.attempts++
	o.excluded[b.ID] = true
	if response.Status >= http.StatusInternalServerError && o.mayRepeat() {
		idle.Stop()
		o.reportFailure(b, false)
		o.lastFailure = errkind.New(errkind.BackendFailed, "backend server answered %d", response.Status)
		o.logRetry(b, o.lastFailure)
		return true, nil
	}
	return o.relay(ctx, b, response, idle)
}

// mayRepeat reports whether another attempt is allowed after one that may have run
// the request.
func (o *onlineRequest) mayRepeat() bool {
	return o.route.Idempotent && o.attempts < o.route.MaxAttempts
}

// handleNoResponse handles an attempt that ended without a response head.
func (o *onlineRequest) handleNoResponse(ctx context.Context, b catalog.Backend, err error) (retry bool, _ error) {
	notPermitted := errors.Is(err, upstream.ErrNoPermit)
	if notPermitted || errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() != nil {
			return false, o.finalError(o.expiredError(ctx))
		}
		if notPermitted {
			event.Log(o.g.Log, event.PermitDenied, "request", o.r.ID, "backend", b.ID, "cause", err)
			return true, nil
		}
		o.reportFailure(b, true)
		o.excluded[b.ID] = true
		o.logRetry(b, err)
		return true, nil
	}
	o.attempts++
	o.excluded[b.ID] = true
	if ctx.Err() != nil {
		return false, o.finalError(o.expiredError(ctx))
	}
	o.reportFailure(b, false)
	examination := o.examineInterruption(b)
	o.lastFailure = errkind.Wrap(err, errkind.BackendFailed, "backend server %s gave no answer", b.ID)
	if !o.mayRepeat() || o.suspected(ctx, examination) {
		return false, o.finalError(o.lastFailure)
	}
	o.logRetry(b, err)
	return true, nil
}

// handleRefusal prepares another attempt after the backend server has confirmed that it
// did not run the request.
func (o *onlineRequest) handleRefusal(b catalog.Backend, response *upstream.Response) (retry bool, _ error) {
	o.excluded[b.ID] = true
	o.refused = true
	if response.Info.Misdirected {
		o.reportFailure(b, true)
	}
	response.Discard()
	o.logRetry(b, errors.Errorf("backend server refused the request with status %d", response.Status))
	return true, nil
}

func (o *onlineRequest) reportFailure(b catalog.Backend, unreachable bool) {
	ejection.Ejector{Table: o.g.Table, Pool: o.g.Pool, Log: o.g.Log}.RecordFailure(b, unreachable)
}
