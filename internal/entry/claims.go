package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/routing"
)

const (
	// settleTimeout limits how long after a call's deadline its claim may still
	// be settled and its response recorded.
	settleTimeout = 5 * time.Second
	vetoTimeout   = time.Second
	// logTimeout is how long an online call waits for the log, logDownTimeout
	// how long while the log is known to be down.
	logTimeout     = 3 * time.Second
	logDownTimeout = 250 * time.Millisecond
)

// errReleased reports that the attempt that held a key is proven not to have
// run, so that the key may be claimed again.
var errReleased = errors.New("entry: claim released")

// claims runs non-idempotent calls with an idempotency key, each at most once.
type claims struct {
	entry   *Server
	fold    *claim.Fold
	stream  *commitlog.Stream
	claimer *claim.Claimer
}

func (e *Server) newClaims() *claims {
	fold := claim.NewFold()
	stream := e.stream(claim.StreamName, fold)
	return &claims{
		entry:   e,
		fold:    fold,
		stream:  stream,
		claimer: claim.NewClaimer(stream, fold, vetoer{e}),
	}
}

// run executes a call with an idempotency key and returns its recorded response.
// recorded is false if the response is not in the log and the service allows that.
func (k *claims) run(ctx context.Context, c *call, svc *desired.Service, key string) (rec claim.Response, recorded bool, err error) {
	hash := requestHash(c)
	var exclude []string
	for try := 1; try <= maxAttempts; try++ {
		d, ok := k.entry.fleet.pick(c.request(exclude))
		if !ok {
			d = routing.Decision{} // the key may already be settled
		}
		c.attemptID = uuid.NewString()
		st, err := k.acquire(ctx, c, svc, key, hash, d.Backend)
		if err != nil {
			return claim.Response{}, false, err
		}
		if st.Result != claim.Won {
			rec, recorded, err := k.existingResult(ctx, c, st)
			if errors.Is(err, errReleased) {
				continue
			}
			return rec, recorded, err
		}
		event.Log(k.entry.logger, event.RequestRouted, "request", c.id, "service", c.service, "backend", d.Backend.Instance, "reason", d.Reason, "try", try, "claim", st.Row.Claimed.Next)
		rec, recorded, retry, err := k.dispatch(ctx, c, svc, st.Row, d.Backend)
		if !retry {
			return rec, recorded, err
		}
		exclude = append(exclude, d.Backend.Instance)
	}
	return claim.Response{}, false, errkind.New(errkind.NoBackend, "no backend server of %q took the call", c.service)
}

// acquire claims the key for one attempt at one incarnation of a sidecar. If there is
// no backend server (b is empty), it returns an error unless the key is already held
// or settled.
func (k *claims) acquire(ctx context.Context, c *call, svc *desired.Service, key, hash string, b routing.Backend) (claim.Acquisition, error) {
	if b.Instance == "" {
		if err := k.checkKeyClaimed(ctx, c, key); err != nil {
			return claim.Acquisition{}, err
		}
	}
	ctx, cancel := k.withLogTimeout(ctx, c)
	defer cancel()
	st, err := k.claimer.Acquire(ctx, claim.Claim{
		Workspace:        c.workspace,
		Key:              key,
		RequestHash:      hash,
		Attempt:          c.attemptID,
		Instance:         b.Instance,
		Incarnation:      b.Incarnation,
		Service:          c.service,
		At:               time.Now().Unix(),
		RetentionSeconds: int64(retentionOf(svc).Seconds()),
	})
	if err != nil {
		return st, claimError(err)
	}
	return st, nil
}

// withLogTimeout limits the wait for the log: it ends well before the call's
// deadline, and early if the log is known to be down.
func (k *claims) withLogTimeout(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	wait := logTimeout
	if k.stream.Down() {
		wait = logDownTimeout
	}
	if until := time.Now().Add(wait); until.Before(c.deadline) {
		return context.WithDeadline(ctx, until)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// checkKeyClaimed rejects a call for which there is no backend server, unless
// its key is held or settled. It first reads everything that is in the log,
// because an earlier send of the call may have run through another entry.
func (k *claims) checkKeyClaimed(ctx context.Context, c *call, key string) error {
	if err := k.stream.CatchUp(ctx); err != nil {
		return claimError(err)
	}
	if row, ok := k.claimer.Lookup(c.workspace, key); !ok || row.Phase.Open() {
		return errkind.New(errkind.NoBackend, "no backend server of %q takes work now", c.service)
	}
	return nil
}

// claimError is the error of a send whose claim the log has not confirmed. This
// send was not run, but it is unknown here whether an earlier one was.
func claimError(cause error) *errkind.Error {
	return errkind.Wrap(cause, errkind.LogUnavailable, "the call could not be claimed in the log; this time it was not sent, earlier sends under its key may have run").
		WithOutcome(errkind.Unknown)
}

// existingResult returns the result of a call whose key is held or was settled
// by another attempt. It returns errReleased if the key may be claimed again.
func (k *claims) existingResult(ctx context.Context, c *call, st claim.Acquisition) (claim.Response, bool, error) {
	row := st.Row
	switch st.Result {
	case claim.KeyReused:
		return claim.Response{}, false, errkind.New(errkind.KeyReused, "the idempotency key was used for another request").WithParam(idempotencyKeyHeader)
	case claim.HeldByOther:
		var err error
		if row, err = k.await(ctx, c, row); err != nil {
			return claim.Response{}, false, err
		}
	}
	switch row.Phase {
	case claim.Complete:
		return k.recordedResponse(ctx, row)
	case claim.Unknown:
		return claim.Response{}, false, unknownOutcomeError(nil)
	}
	return claim.Response{}, false, errReleased
}

func (k *claims) recordedResponse(ctx context.Context, row claim.Row) (claim.Response, bool, error) {
	rec, err := k.claimer.LoadResponse(ctx, row)
	if err != nil {
		return rec, false, errkind.Wrap(err, errkind.LogUnavailable, "the recorded answer can't be read now").WithOutcome(errkind.Complete)
	}
	return rec, true, nil
}

// await waits for the attempt that holds the key. That attempt cannot outlast
// its service's deadline, which began before this call's. After the deadline the
// claim is settled by a veto or as unknown.
func (k *claims) await(ctx context.Context, c *call, row claim.Row) (claim.Row, error) {
	key := row.Claim.Key
	row, err := k.claimer.Wait(ctx, c.workspace, key)
	if err == nil {
		return row, nil
	}
	if errors.Is(err, context.Canceled) {
		return row, errkind.Wrap(err, errkind.InProgress, "cancelled while another request holds the key")
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	row, err = k.claimer.Resolve(sctx, c.workspace, key)
	if err != nil {
		return row, errkind.Wrap(err, errkind.InProgress, "another request holds the key and its outcome is not settled")
	}
	return row, nil
}

// dispatch sends a claimed call to the sidecar that the claim names. retry
// reports that the call is proven not to have run and that its claim is released.
func (k *claims) dispatch(ctx context.Context, c *call, svc *desired.Service, row claim.Row, b routing.Backend) (rec claim.Response, recorded, retry bool, err error) {
	if ctx.Err() != nil {
		return rec, false, false, k.withdraw(ctx, row)
	}
	c.claimOffset = uint64(row.Claimed.Next)
	out := &plainSink{limit: k.entry.settings.Limits.MaxBodyBytes}
	// From here on a disconnected caller does not stop the non-idempotent call.
	actx, stop := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer stop()
	res := k.entry.attempt(actx, c, b, out)
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	switch res.status {
	case completed:
		rec, recorded, err = k.complete(sctx, svc, row, out.response())
		return rec, recorded, false, err
	case notStarted:
		_, released, relErr := k.claimer.Release(sctx, row, claim.ProofRefused)
		if relErr != nil || !released {
			return rec, false, false, res.err
		}
		return rec, false, true, nil
	}
	row, resErr := k.claimer.Resolve(sctx, c.workspace, row.Claim.Key)
	switch {
	case resErr != nil:
		return rec, false, false, unknownOutcomeError(res.err)
	case row.Phase == claim.Released:
		return rec, false, true, nil
	case row.Phase == claim.Complete:
		rec, recorded, err = k.recordedResponse(sctx, row)
		return rec, recorded, false, err
	}
	return rec, false, false, unknownOutcomeError(res.err)
}

// withdraw releases the claim of a call that will not be sent.
func (k *claims) withdraw(ctx context.Context, row claim.Row) error {
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	_, _, err := k.claimer.Release(sctx, row, claim.ProofNeverSent)
	return errkind.Wrap(err, errkind.Cancelled, "cancelled before it was sent").WithOutcome(errkind.NotRun)
}

// complete records a complete response before it is sent to the caller.
func (k *claims) complete(ctx context.Context, svc *desired.Service, row claim.Row, rec claim.Response) (claim.Response, bool, error) {
	ended, err := k.claimer.Complete(ctx, row, rec)
	if err == nil && ended.Phase == claim.Complete {
		return rec, true, nil
	}
	if svc.LogDown == desired.AnswerUnrecorded {
		return rec, false, nil
	}
	return claim.Response{}, false, unknownOutcomeError(err)
}

func unknownOutcomeError(cause error) *errkind.Error {
	return errkind.Wrap(cause, errkind.OutcomeUnknown, "nobody knows whether the call was run; it is never sent again")
}

// requestHash identifies the request, to detect different requests under one key.
func requestHash(c *call) string {
	h := sha256.New()
	for _, part := range []string{c.service, c.method, c.path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

func retentionOf(svc *desired.Service) time.Duration {
	if svc.ResultRetention > 0 {
		return svc.ResultRetention.Std()
	}
	return desired.DefaultResultRetention
}

// vetoer sends vetoes to sidecars, whose addresses it finds in the fleet table. A veto
// prevents the start of an attempt, or reports that the attempt has already started.
type vetoer struct{ e *Server }

// Veto implements claim.Vetoer.
func (v vetoer) Veto(ctx context.Context, held claim.Row) claim.VetoVerdict {
	addr, ok := v.e.fleet.sidecarAddr(held.Claim.Instance)
	if !ok {
		return claim.VetoUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, vetoTimeout)
	defer cancel()
	req := &peerv1.VetoRequest{
		AttemptId:   held.Claim.Attempt,
		Incarnation: held.Claim.Incarnation,
		ClaimOffset: uint64(held.Claimed.Next),
	}
	resp, err := v.e.clients.Control(addr).Veto(ctx, connect.NewRequest(req))
	if err != nil {
		return claim.VetoUnreachable
	}
	switch resp.Msg.Verdict {
	case peerv1.VetoResponse_VERDICT_NEVER_STARTED:
		return claim.VetoNeverStarted
	case peerv1.VetoResponse_VERDICT_STARTED:
		return claim.VetoStarted
	case peerv1.VetoResponse_VERDICT_OTHER_INCARNATION:
		return claim.VetoOtherIncarnation
	}
	return claim.VetoUnreachable
}
