package entry

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
	"github.com/catkinrudder/catkinrudder/routing"
)

const (
	// maxTries bounds the backend servers that one request sees.
	maxTries        = 4
	defaultDeadline = 60 * time.Second
)

// call is one request towards the backend servers of a service.
type call struct {
	id string
	// attemptID names the only attempt of a claimed call; empty for others,
	// whose attempts get new ids.
	attemptID     string
	workspace     string
	service       string
	class         admission.Class
	job           string
	model         bool
	modelName     string
	method, path  string
	headers       []*peerv1.Header
	body          []byte
	promptTokens  int
	maxTokens     int
	prefix        uint64
	nonIdempotent bool
	claimOffset   uint64
	deadline      time.Time
	resumeText    []byte
	resumeTokens  int
	// prefer is the backend server that holds the kept tokens of a preempted
	// attempt, empty if none does.
	prefer string
}

// sink takes an answer as it arrives. An error means that nobody listens.
type sink interface {
	head(*peerv1.Head) error
	delta(*peerv1.Delta) error
}

// ending is how one attempt ended.
type ending uint8

const (
	// whole: the explicit end arrived.
	whole ending = iota
	// notStarted: with proof, the backend server has not seen the attempt.
	notStarted
	// preempted: a batch attempt made way.
	preempted
	// broken: the attempt may have run, and its answer is not whole.
	broken
	// rejected: the backend server answered with a refusal.
	rejected
	// gone: the caller no longer listens.
	gone
)

// result is the end of one attempt.
type result struct {
	ending ending
	end    *peerv1.End
	err    *errkind.Error
}

// run carries a call to its end: attempts elsewhere while that is safe, within
// the retry budget and the deadline. What the sink has got is kept in the call,
// so that a later attempt resumes there.
func (e *Server) run(ctx context.Context, c *call, out sink) (*peerv1.End, *errkind.Error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var exclude []string
	started := false
	last := errkind.New(errkind.NoBackend, "no backend server of %q takes work now", c.service)
	for try := 1; ; try++ {
		d, ok := e.fleet.pick(c.request(exclude))
		if !ok {
			return nil, e.giveUp(c, started, last)
		}
		event.Log(e.logger, event.RequestRouted, "request", c.id, "service", c.service, "backend", d.Backend.Instance, "reason", d.Reason, "try", try)
		res := e.attempt(ctx, c, d.Backend, out)
		started = started || res.ending == broken
		if done, end, err := e.conclude(ctx, c, started, res); done {
			return end, err
		}
		exclude = append(exclude, d.Backend.Instance)
		last = res.err
		if try == maxTries || !e.mayRetry(res) {
			return nil, e.giveUp(c, started, last)
		}
		event.Log(e.logger, event.RequestRetried, "request", c.id, "backend", d.Backend.Instance, "err", res.err)
	}
}

// mayRetry takes from the retry budget, but for a refusal by an instance that
// leaves or loads: that costs the fleet nothing.
func (e *Server) mayRetry(res result) bool {
	free := res.ending == notStarted && (res.err.Kind == errkind.Draining || res.err.Kind == errkind.NoBackend)
	return free || e.limiter.retry()
}

// runOnce makes a single attempt, for callers that schedule tries themselves.
// It returns the backend server that was chosen, if any.
func (e *Server) runOnce(ctx context.Context, c *call, exclude []string, out sink) (result, string) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	d, ok := e.fleet.pick(c.request(exclude))
	if !ok {
		err := errkind.New(errkind.NoBackend, "no backend server of %q takes work now", c.service)
		return result{ending: notStarted, err: err}, ""
	}
	event.Log(e.logger, event.ItemPlaced, "request", c.id, "job", c.job, "service", c.service, "backend", d.Backend.Instance, "reason", d.Reason)
	return e.attempt(ctx, c, d.Backend, out), d.Backend.Instance
}

// conclude decides whether an attempt's end is the call's end. started says
// that this attempt or an earlier one may have started.
func (e *Server) conclude(ctx context.Context, c *call, started bool, res result) (bool, *peerv1.End, *errkind.Error) {
	switch res.ending {
	case whole:
		return true, res.end, nil
	case rejected, gone, preempted:
		return true, nil, res.err
	}
	if ctx.Err() != nil || res.err.Kind == errkind.Timeout {
		return true, nil, e.deadline(c, started, res)
	}
	if res.ending == broken && c.nonIdempotent {
		err := errkind.Wrap(res.err, errkind.OutcomeUnknown, "the call may have run; it is not sent again")
		return true, nil, err
	}
	return false, nil, nil
}

// deadline is the answer to a call whose time is up or whose caller has gone.
func (e *Server) deadline(c *call, started bool, res result) *errkind.Error {
	return e.giveUp(c, started, errkind.Wrap(res.err, errkind.Timeout, "deadline passed"))
}

// giveUp is the final answer to a call that finds no backend server. It says
// not_run only if no attempt has started.
func (e *Server) giveUp(c *call, started bool, err *errkind.Error) *errkind.Error {
	if !started && c.resumeTokens == 0 {
		return errkind.Wrap(err, err.Kind, "%s", err.Message).WithOutcome(errkind.NotRun).WithRetryAfter(err.RetryAfter)
	}
	return errkind.Wrap(err, err.Kind, "%s", err.Message).WithOutcome(errkind.Unknown).WithRetryAfter(err.RetryAfter)
}

func (c *call) request(exclude []string) routing.Request {
	return routing.Request{
		Service:   c.service,
		Model:     c.modelName,
		Workspace: c.workspace,
		Class:     c.class,
		Prefix:    c.prefix,
		Tokens:    c.promptTokens + c.maxTokens,
		Exclude:   exclude,
		Prefer:    c.prefer,
	}
}

// attempt sends a call to one backend server's sidecar and passes its answer
// on, checking sequence numbers and the explicit end.
func (e *Server) attempt(ctx context.Context, c *call, b routing.Backend, out sink) result {
	// Leaving the attempt resets its stream, which cancels it at the sidecar.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	msg := c.message(b)
	e.placements.demand.add(c.modelName, c.promptTokens+c.maxTokens)
	if err := e.link.pace(ctx, b, c.class, msg); err != nil {
		kerr := errkind.Wrap(err, errkind.Timeout, "no room on the link to %s", b.Region)
		return result{ending: notStarted, err: kerr.WithOutcome(errkind.NotRun)}
	}
	stream, err := e.clientFor(c, b.Addr).Run(ctx, connect.NewRequest(msg))
	if err != nil {
		return e.noAnswer(ctx, b, err, false)
	}
	defer func() { cancel(); _ = stream.Close() }()
	var next uint64
	for stream.Receive() {
		ev := stream.Msg()
		if ev.Seq != next {
			return e.noAnswer(ctx, b, errors.Errorf("event %d where %d was due", ev.Seq, next), true)
		}
		next++
		if err := e.link.pace(ctx, b, c.class, ev); err != nil {
			return e.noAnswer(ctx, b, err, true)
		}
		if res, done := e.take(c, b, ev, out); done {
			return res
		}
	}
	err = stream.Err()
	if err == nil {
		err = errors.New("answer without an end")
	}
	return e.noAnswer(ctx, b, err, next > 0)
}

// take handles one event; done is true for the last one.
func (e *Server) take(c *call, b routing.Backend, ev *peerv1.RunEvent, out sink) (res result, done bool) {
	load := ev.Load
	switch ev := ev.Event.(type) {
	case *peerv1.RunEvent_Head:
		if err := out.head(ev.Head); err != nil {
			return callerGone(err), true
		}
		return result{}, false
	case *peerv1.RunEvent_Delta:
		if err := out.delta(ev.Delta); err != nil {
			return callerGone(err), true
		}
		c.keep(ev.Delta)
		return result{}, false
	case *peerv1.RunEvent_End:
		res = result{ending: whole, end: ev.End}
		e.fleet.done(b.Instance, routing.OK)
	case *peerv1.RunEvent_Preempted:
		res = result{ending: preempted, err: errkind.New(errkind.Overloaded, "preempted")}
		e.fleet.done(b.Instance, routing.OK)
	case *peerv1.RunEvent_Refused:
		res = e.refused(b, ev.Refused)
	default:
		e.fleet.observe(b.Instance, load)
		return result{}, false
	}
	e.fleet.observe(b.Instance, load)
	return res, true
}

func callerGone(err error) result {
	return result{ending: gone, err: errkind.Wrap(err, errkind.Cancelled, "the caller has gone")}
}

// keep remembers what has been delivered, to resume from there.
func (c *call) keep(d *peerv1.Delta) {
	if c.model {
		c.resumeText = append(c.resumeText, d.Data...)
		c.resumeTokens += int(d.Tokens)
	}
}

// refused turns a sidecar's refusal into a result.
func (e *Server) refused(b routing.Backend, r *peerv1.Refused) result {
	err := errkind.New(errkind.Kind(r.Kind), "%s", r.Message).
		WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
	if !r.Started {
		e.fleet.done(b.Instance, routing.Refused)
		return result{ending: notStarted, err: err.WithOutcome(errkind.NotRun)}
	}
	if err.Kind == errkind.BackendRefused {
		e.fleet.done(b.Instance, routing.OK)
		return result{ending: rejected, err: err}
	}
	e.fleet.done(b.Instance, routing.Failed)
	return result{ending: broken, err: err}
}

// noAnswer is the result of an attempt whose stream broke. Only a dial that
// failed proves that the sidecar has not seen the attempt.
func (e *Server) noAnswer(ctx context.Context, b routing.Backend, err error, seen bool) result {
	if ctx.Err() == nil {
		e.fleet.done(b.Instance, routing.Failed)
	}
	var op *net.OpError
	if !seen && errors.As(err, &op) && op.Op == "dial" {
		kerr := errkind.Wrap(err, errkind.NoBackend, "backend server %s is not reached", b.Instance)
		return result{ending: notStarted, err: kerr.WithOutcome(errkind.NotRun)}
	}
	return result{ending: broken, err: errkind.Wrap(err, errkind.BackendFailed, "answer of backend server %s was cut", b.Instance)}
}

func (e *Server) clientFor(c *call, addr string) peerv1connect.SidecarClient {
	if c.class == admission.Batch {
		return e.clients.Batch(addr)
	}
	return e.clients.Online(addr)
}

// message builds the attempt for one backend server.
func (c *call) message(b routing.Backend) *peerv1.RunRequest {
	class := peerv1.Class_CLASS_ONLINE
	if c.class == admission.Batch {
		class = peerv1.Class_CLASS_BATCH
	}
	return &peerv1.RunRequest{
		AttemptId:     c.nextAttempt(),
		Incarnation:   b.Incarnation,
		Class:         class,
		Service:       c.service,
		Workspace:     c.workspace,
		DeadlineMs:    uint32(max(time.Until(c.deadline).Milliseconds(), 1)),
		Method:        c.method,
		Path:          c.path,
		Headers:       c.headers,
		Body:          c.body,
		Model:         c.model,
		ModelName:     c.modelName,
		PromptTokens:  uint32(c.promptTokens),
		MaxTokens:     uint32(c.maxTokens),
		Prefix:        c.prefix,
		ResumeText:    string(c.resumeText),
		ResumeTokens:  uint32(c.resumeTokens),
		CachedTokens:  uint32(c.cachedAt(b)),
		Job:           c.job,
		NonIdempotent: c.nonIdempotent,
		ClaimOffset:   c.claimOffset,
	}
}

// cachedAt estimates how many tokens of the call a backend server's cache
// holds from a preempted attempt.
func (c *call) cachedAt(b routing.Backend) int {
	if c.prefer == "" || c.prefer != b.Instance {
		return 0
	}
	return c.promptTokens + c.resumeTokens
}

func (c *call) nextAttempt() string {
	if c.attemptID != "" {
		return c.attemptID
	}
	return uuid.NewString()
}
