package chaos

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

// engineRunning returns the instance whose engine runs the prompt of an operation.
func engineRunning(r *Round, id string) *proctest.Node {
	for _, n := range r.cluster.Engines {
		for _, g := range n.Engine.Generations() {
			if g.Prompt == prompt(id) {
				return n
			}
		}
	}
	return nil
}

func TestStreamResumesAtAnotherBackendAfterKill(t *testing.T) {
	r := newTestRound(t, Plan{})
	op := Op{Kind: ChatStream, ID: "kill", Tokens: 120}
	q := r.chatRequest(op, op.ID)
	q.onEvent = func(n int) {
		if n == 10 {
			engineRunning(r, op.ID).Kill()
		}
	}
	got := r.record(t.Context(), op, q)
	assert.Assert(t, got.complete, "%+v", got)
	assert.Equal(t, got.body, echo(prompt(op.ID), op.Tokens))
	started, resumed := 0, 0
	for _, list := range r.backendHistory().Generations {
		for _, g := range list {
			if g.DeliveredTokens > 0 {
				resumed++
			} else {
				started++
			}
		}
	}
	assert.Equal(t, started, 1)
	assert.Equal(t, resumed, 1)
}

// sendAndInterrupt sends a non-idempotent call, calls strike while it runs, and returns
// the record of the last send.
func sendAndInterrupt(t *testing.T, r *Round, op Op, strike func(*proctest.Node)) Record {
	t.Helper()
	var wg sync.WaitGroup
	wg.Go(func() { r.runOp(t.Context(), op) })
	var at *proctest.Node
	eventually(t, "the call to run", func() bool {
		for _, n := range r.cluster.Plain {
			for _, e := range n.Plain.Executions() {
				if e.Body == op.ID {
					at = n
				}
			}
		}
		return at != nil
	})
	strike(at)
	wg.Wait()
	recs := r.recordsOf(op.ID)
	return recs[len(recs)-1]
}

func TestInterruptedNonIdempotentCallIsNotRepeated(t *testing.T) {
	for name, strike := range map[string]func(*proctest.Node){
		"link cut":       func(n *proctest.Node) { n.Links().Peer.Cut() },
		"sidecar killed": func(n *proctest.Node) { n.Kill() },
	} {
		for _, kind := range []OpKind{Post, KeyedPost} {
			t.Run(fmt.Sprintf("%s/%s", name, kind), func(t *testing.T) {
				t.Parallel()
				testInterruptedCall(t, kind, strike)
			})
		}
	}
}

// testInterruptedCall injects a fault while a call runs. The outcome is unknown, the
// call never runs again, and a call with a key stays unknown when it is sent again.
func testInterruptedCall(t *testing.T, kind OpKind, strike func(*proctest.Node)) {
	op := Op{Kind: kind, ID: "call", Delay: 700 * time.Millisecond, Sends: []Send{{}}}
	r := newTestRound(t, Plan{Ops: []Op{op}})
	rec := sendAndInterrupt(t, r, op, strike)
	assert.Assert(t, !rec.Complete, "%+v", rec)
	assert.Equal(t, rec.Outcome, errkind.Unknown, "%+v", rec)
	if kind == KeyedPost {
		for range entries {
			r.runOp(t.Context(), op)
		}
	}
	for _, rec := range r.recordsOf(op.ID) {
		assert.Equal(t, rec.Outcome, errkind.Unknown, "%+v", rec)
	}
	assert.Equal(t, r.countExecutions(op.ID), 1)
	r.checkHistory(t)
}

func TestSuspendedSidecarsDoNotRepeatCallsAfterResume(t *testing.T) {
	t.Parallel()
	r := newTestRound(t, Plan{})
	for _, n := range r.cluster.Plain {
		n.Freeze()
	}
	var wg sync.WaitGroup
	for i := range 4 {
		op := Op{Kind: Post, ID: fmt.Sprintf("f%d", i)}
		if i%2 == 0 {
			op.Kind, op.Sends = KeyedPost, []Send{{}, {After: 100 * time.Millisecond}}
		}
		r.plan.Ops = append(r.plan.Ops, op)
		wg.Go(func() { r.runOp(t.Context(), op) })
	}
	wg.Wait()
	for _, n := range r.cluster.Plain {
		n.Resume()
	}
	assert.NilError(t, r.awaitSettled(t.Context()))
	for _, op := range r.plan.Ops {
		if op.Kind == KeyedPost {
			r.runOp(t.Context(), op)
		}
	}
	r.checkHistory(t)
}

func TestOnlineRequestsCompleteDuringLogOutage(t *testing.T) {
	r := newTestRound(t, Plan{Profile: Planned})
	r.log.update(func(l *standin.LogFaults) { l.Down = true })
	for i := range 12 {
		kind := []OpKind{ChatStream, ChatWhole, Get, Post}[i%4]
		op := Op{Kind: kind, ID: fmt.Sprintf("down%d", i), Tokens: 10}
		r.plan.Ops = append(r.plan.Ops, op)
		r.runOp(t.Context(), op)
	}
	for _, rec := range r.history.Records {
		assert.Assert(t, rec.Complete, "%+v", rec)
	}
	r.log.update(func(l *standin.LogFaults) { l.Down = false })
	r.checkHistory(t)
}

// TestKeyedRetryAtPartitionedEntryDoesNotReturnNotRun sends a call again to an entry that
// can't read from the log that the call ran before. The response must not say not_run.
func TestKeyedRetryAtPartitionedEntryDoesNotReturnNotRun(t *testing.T) {
	t.Parallel()
	r := newTestRound(t, Plan{})
	op := Op{Kind: KeyedPost, ID: "cutoff"}
	r.plan.Ops = append(r.plan.Ops, op)
	partitioned := r.cluster.Entries[0]
	partitioned.Links().Log.Cut()
	q := r.plainRequest(op, "cutoff/0")
	q.key, q.entryIndex = op.ID, 1
	got := r.record(t.Context(), op, q)
	assert.Assert(t, got.complete, "%+v", got)
	q = r.plainRequest(op, "cutoff/1")
	q.key, q.entryIndex = op.ID, 0
	got = r.record(t.Context(), op, q)
	assert.Equal(t, got.entry, partitioned)
	assert.Assert(t, !got.complete, "%+v", got)
	r.checkHistory(t)
}

// TestStoredResponseAtLaggingEntryIsNotReportedMissing reads a stored response at an entry
// that is cut off from the log and can't have read the response's record. That entry must
// not respond that the stored response does not exist.
func TestStoredResponseAtLaggingEntryIsNotReportedMissing(t *testing.T) {
	r := newTestRound(t, Plan{})
	op := Op{Kind: StoredChat, ID: "kept", Tokens: 5}
	behind := r.cluster.Entries[0]
	behind.Links().Log.Cut()
	q := r.chatRequest(op, op.ID)
	q.body, q.entryIndex = storedChatBody(prompt(op.ID), op.Tokens), 1
	got := r.record(t.Context(), op, q)
	assert.Assert(t, got.complete && got.recorded, "%+v", got)
	read := request{method: http.MethodGet, path: chatPath + "/" + apiObject{}.idOf(got.body)}
	reread := r.do(t.Context(), read)
	assert.Equal(t, reread.entry, behind)
	assert.Equal(t, reread.status, http.StatusGatewayTimeout, "%+v", reread)
	assert.Equal(t, reread.outcome, errkind.Complete, "%+v", reread)
	behind.Links().Log.Restore()
	reread = r.do(t.Context(), read)
	assert.Equal(t, reread.status, http.StatusOK, "%+v", reread)
	assert.Equal(t, reread.body, got.body)
}

func TestReplacingEveryInstanceInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	r := newTestRound(t, Plan{Profile: Planned})
	ctx, stop := context.WithCancel(t.Context())
	var load, stops sync.WaitGroup
	for i := range 6 {
		load.Go(func() { r.loadUntil(ctx, i) })
	}
	for _, group := range [][]*proctest.Node{r.cluster.Entries, r.cluster.Engines, r.cluster.Plain} {
		stops.Go(func() {
			for _, n := range group {
				r.replace(n)
			}
		})
	}
	stops.Wait()
	stop()
	load.Wait()
	assert.NilError(t, r.firstError())
	assert.Equal(t, len(r.history.Stops), entries+engines+plainServices)
	r.checkHistory(t)
	assert.Assert(t, len(r.history.Records) > 100, "%d requests", len(r.history.Records))
}

// loadUntil sends one request after the other until ctx ends. The end of ctx does not
// cancel the last request.
func (r *Round) loadUntil(ctx context.Context, caller int) {
	kinds := []OpKind{ChatStream, Get, ChatWhole, Post}
	for i := 0; ctx.Err() == nil; i++ {
		op := Op{Kind: kinds[(i+caller)%len(kinds)], ID: fmt.Sprintf("c%d-%d", caller, i), Tokens: 40, Delay: 50 * time.Millisecond}
		r.runOp(context.WithoutCancel(ctx), op)
	}
}

func TestWorkspacesAreIsolated(t *testing.T) {
	r := newTestRound(t, Plan{})
	op := Op{Kind: Batch, ID: "own", Items: 3, Tokens: 4}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	rec := JobRecord{Op: op}
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	r.probeCrossWorkspace(t.Context(), op, file, id)
	for _, f := range r.history.CrossAccesses {
		assert.Equal(t, f.Status, http.StatusNotFound, f.Request)
	}
	// The same key in two workspaces identifies two calls.
	for ws := range workspaces {
		call := Op{Kind: KeyedPost, ID: fmt.Sprintf("of-%d", ws), Workspace: ws}
		q := r.plainRequest(call, call.ID)
		q.key = "same"
		got := r.record(t.Context(), call, q)
		assert.Assert(t, got.complete, "%+v", got)
		assert.Equal(t, r.countExecutions(call.ID), 1)
	}
}
