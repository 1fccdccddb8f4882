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
	// maxAttempts limits how many backend servers are tried for one request.
	maxAttempts     = 4
	defaultDeadline = 60 * time.Second
)

// call is one request to the backend servers of a service.
type call struct {
	id string
	// attemptID is the id of the only attempt of a claimed call. It is empty for
	// other calls, whose attempts get new ids.
	attemptID string
	workspace string
	service   string
	class     admission.Class
	job       string
	// model reports whether the call goes to a model engine; modelName is the model
	// that the caller requested.
	model        bool
	modelName    string
	method, path string
	headers      []*peerv1.Header
	body         []byte
	promptTokens int
	maxTokens    int
	// prefix is a hash of the beginning of the prompt, for cache affinity.
	prefix        uint64
	nonIdempotent bool
	// claimOffset is the log offset of the call's claim, zero if it has none.
	claimOffset uint64
	deadline    time.Time
	// resumeText is the output that earlier attempts delivered, resumeTokens its
	// number of tokens.
	resumeText   []byte
	resumeTokens int
	// prefer is the backend server whose cache holds the tokens of a preempted
	// attempt, empty if there is none.
	prefer string
}

// sink receives a response while it arrives. An error ends the attempt as if the
// caller had disconnected.
type sink interface {
	head(*peerv1.Head) error
	delta(*peerv1.Delta) error
}

// attemptStatus is the way in which one attempt ended.
type attemptStatus uint8

const (
	// completed: the explicit end of the response arrived.
	completed attemptStatus = iota
	// notStarted: it is proven that the backend server has not received the attempt.
	notStarted
	// preempted: a batch attempt was stopped in favour of online requests.
	preempted
	// interrupted: the attempt may have run, and its response is incomplete.
	interrupted
	// rejected: the backend server responded with an error.
	rejected
	// disconnected: the caller has closed its connection.
	disconnected
)

// result is the result of one attempt.
type result struct {
	status attemptStatus
	end    *peerv1.End
	err    *errkind.Error
}

// run executes a call. It makes attempts at other backend servers as long as
// that is safe and allowed by the retry budget and the deadline. The call holds
// the output that the sink has received, so that a later attempt resumes there.
func (e *Server) run(ctx context.Context, c *call, out sink) (*peerv1.End, *errkind.Error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	var exclude []string
	started := false
	last := errkind.New(errkind.NoBackend, "no backend server of %q takes work now", c.service)
	for try := 1; ; try++ {
		d, ok := e.fleet.pick(c.request(exclude))
		if !ok {
			return nil, e.finalError(c, started, last)
		}
		event.Log(e.logger, event.RequestRouted, "request", c.id, "service", c.service, "backend", d.Backend.Instance, "reason", d.Reason, "try", try)
		res := e.attempt(ctx, c, d.Backend, out)
		started = started || res.status == interrupted
		if done, end, err := e.conclude(ctx, c, started, res); done {
			return end, err
		}
		exclude = append(exclude, d.Backend.Instance)
		last = res.err
		if try == maxAttempts || !e.mayRetry(res) {
			return nil, e.finalError(c, started, last)
		}
		event.Log(e.logger, event.RequestRetried, "request", c.id, "backend", d.Backend.Instance, "err", res.err)
	}
}

// mayRetry takes one retry from the retry budget and reports whether there was one.
// A refusal by an instance that is leaving or loading is exempt, because it consumes
// no capacity.
func (e *Server) mayRetry(res result) bool {
	exempt := res.status == notStarted && (res.err.Kind == errkind.Draining || res.err.Kind == errkind.NoBackend)
	return exempt || e.limiter.retry()
}

// runOnce makes a single attempt, for callers that schedule retries themselves.
// It returns the name of the selected backend server, or "" if there is none.
func (e *Server) runOnce(ctx context.Context, c *call, exclude []string, out sink) (result, string) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	d, ok := e.fleet.pick(c.request(exclude))
	if !ok {
		err := errkind.New(errkind.NoBackend, "no backend server of %q takes work now", c.service)
		return result{status: notStarted, err: err}, ""
	}
	event.Log(e.logger, event.ItemPlaced, "request", c.id, "job", c.job, "service", c.service, "backend", d.Backend.Instance, "reason", d.Reason)
	return e.attempt(ctx, c, d.Backend, out), d.Backend.Instance
}

// conclude decides whether the end of an attempt is the end of the call; it returns
// false if another attempt may follow. started reports that this attempt or an
// earlier one may have started.
func (e *Server) conclude(ctx context.Context, c *call, started bool, res result) (bool, *peerv1.End, *errkind.Error) {
	switch res.status {
	case completed:
		return true, res.end, nil
	case rejected, disconnected, preempted:
		return true, nil, res.err
	}
	if ctx.Err() != nil || res.err.Kind == errkind.Timeout {
		return true, nil, e.timeoutError(c, started, res)
	}
	if res.status == interrupted && c.nonIdempotent {
		err := errkind.Wrap(res.err, errkind.OutcomeUnknown, "the call may have run; it is not sent again")
		return true, nil, err
	}
	return false, nil, nil
}

// timeoutError is the error of a call whose deadline has passed or whose caller
// has disconnected.
func (e *Server) timeoutError(c *call, started bool, res result) *errkind.Error {
	return e.finalError(c, started, errkind.Wrap(res.err, errkind.Timeout, "deadline passed"))
}

// finalError is the error of a call for which no further attempt is made. Its
// outcome is not_run only if no attempt has started.
func (e *Server) finalError(c *call, started bool, err *errkind.Error) *errkind.Error {
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

// attempt sends a call to one backend server's sidecar and forwards the response
// to out. It verifies the sequence numbers and the explicit end.
func (e *Server) attempt(ctx context.Context, c *call, b routing.Backend, out sink) result {
	// Returning resets the attempt's stream, which cancels the attempt at the sidecar.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	msg := c.message(b)
	e.placements.demand.add(c.modelName, c.promptTokens+c.maxTokens)
	if err := e.link.pace(ctx, b, c.class, msg); err != nil {
		kerr := errkind.Wrap(err, errkind.Timeout, "no room on the link to %s", b.Region)
		return result{status: notStarted, err: kerr.WithOutcome(errkind.NotRun)}
	}
	stream, err := e.clientFor(c, b.Addr).Run(ctx, connect.NewRequest(msg))
	if err != nil {
		return e.streamFailure(ctx, b, err, false)
	}
	defer func() { cancel(); _ = stream.Close() }()
	var next uint64
	for stream.Receive() {
		ev := stream.Msg()
		if ev.Seq != next {
			return e.streamFailure(ctx, b, errors.Errorf("event has sequence number %d, expected %d", ev.Seq, next), true)
		}
		next++
		if err := e.link.pace(ctx, b, c.class, ev); err != nil {
			return e.streamFailure(ctx, b, err, true)
		}
		if res, done := e.handleEvent(c, b, ev, out); done {
			return res
		}
	}
	err = stream.Err()
	if err == nil {
		err = errors.New("response stream ended without an End event")
	}
	return e.streamFailure(ctx, b, err, next > 0)
}

// handleEvent handles one event; done is true for the last one.
func (e *Server) handleEvent(c *call, b routing.Backend, ev *peerv1.RunEvent, out sink) (res result, done bool) {
	load := ev.Load
	switch ev := ev.Event.(type) {
	case *peerv1.RunEvent_Head:
		if err := out.head(ev.Head); err != nil {
			return callerDisconnected(err), true
		}
		return result{}, false
	case *peerv1.RunEvent_Delta:
		if err := out.delta(ev.Delta); err != nil {
			return callerDisconnected(err), true
		}
		c.appendOutput(ev.Delta)
		return result{}, false
	case *peerv1.RunEvent_End:
		res = result{status: completed, end: ev.End}
		e.fleet.recordResult(b.Instance, routing.OK)
	case *peerv1.RunEvent_Preempted:
		res = result{status: preempted, err: errkind.New(errkind.Overloaded, "preempted")}
		e.fleet.recordResult(b.Instance, routing.OK)
	case *peerv1.RunEvent_Refused:
		res = e.refusalResult(b, ev.Refused)
	default:
		e.fleet.observe(b.Instance, load)
		return result{}, false
	}
	e.fleet.observe(b.Instance, load)
	return res, true
}

func callerDisconnected(err error) result {
	return result{status: disconnected, err: errkind.Wrap(err, errkind.Cancelled, "the caller has gone")}
}

// appendOutput records delivered output, from which a later attempt resumes.
func (c *call) appendOutput(d *peerv1.Delta) {
	if c.model {
		c.resumeText = append(c.resumeText, d.Data...)
		c.resumeTokens += int(d.Tokens)
	}
}

// refusalResult converts a sidecar's refusal into a result.
func (e *Server) refusalResult(b routing.Backend, r *peerv1.Refused) result {
	err := errkind.New(errkind.Kind(r.Kind), "%s", r.Message).
		WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
	if !r.Started {
		e.fleet.recordResult(b.Instance, routing.Refused)
		return result{status: notStarted, err: err.WithOutcome(errkind.NotRun)}
	}
	if err.Kind == errkind.BackendRefused {
		e.fleet.recordResult(b.Instance, routing.OK)
		return result{status: rejected, err: err}
	}
	e.fleet.recordResult(b.Instance, routing.Failed)
	return result{status: interrupted, err: err}
}

// streamFailure is the result of an attempt whose stream broke. Only a failed
// dial proves that the sidecar has not received the attempt; received reports that
// the sidecar has already sent an event. The failure is recorded against the backend
// server only if the attempt was not cancelled and its deadline has not passed.
func (e *Server) streamFailure(ctx context.Context, b routing.Backend, err error, received bool) result {
	if ctx.Err() == nil {
		e.fleet.recordResult(b.Instance, routing.Failed)
	}
	var op *net.OpError
	if !received && errors.As(err, &op) && op.Op == "dial" {
		kerr := errkind.Wrap(err, errkind.NoBackend, "backend server %s is not reached", b.Instance)
		return result{status: notStarted, err: kerr.WithOutcome(errkind.NotRun)}
	}
	return result{status: interrupted, err: errkind.Wrap(err, errkind.BackendFailed, "answer of backend server %s was cut", b.Instance)}
}

func (e *Server) clientFor(c *call, addr string) peerv1connect.SidecarClient {
	if c.class == admission.Batch {
		return e.clients.Batch(addr)
	}
	return e.clients.Online(addr)
}

// message builds the request of one attempt at a backend server.
func (c *call) message(b routing.Backend) *peerv1.RunRequest {
	class := peerv1.Class_CLASS_ONLINE
	if c.class == admission.Batch {
		class = peerv1.Class_CLASS_BATCH
	}
	return &peerv1.RunRequest{
		AttemptId:     c.newAttemptID(),
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

// cachedAt estimates how many tokens of the call the cache of a backend server
// holds from a preempted attempt.
func (c *call) cachedAt(b routing.Backend) int {
	if c.prefer == "" || c.prefer != b.Instance {
		return 0
	}
	return c.promptTokens + c.resumeTokens
}

func (c *call) newAttemptID() string {
	if c.attemptID != "" {
		return c.attemptID
	}
	return uuid.NewString()
}
