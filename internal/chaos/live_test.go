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

// holderOf returns the backend server that runs a prompt.
func holderOf(r *Round, id string) *proctest.Node {
	for _, n := range r.cluster.Engines {
		for _, g := range n.Engine.Generations() {
			if g.Prompt == prompt(id) {
				return n
			}
		}
	}
	return nil
}

func TestStreamResumesElsewhereWhenItsBackendIsKilled(t *testing.T) {
	r := newTestRound(t, Plan{})
	op := Op{Kind: ChatStream, ID: "kill", Tokens: 120}
	q := r.chatRequest(op, op.ID)
	q.onEvent = func(n int) {
		if n == 10 {
			holderOf(r, op.ID).Kill()
		}
	}
	a := r.record(t.Context(), op, q)
	assert.Assert(t, a.whole, "%+v", a)
	assert.Equal(t, a.body, echo(prompt(op.ID), op.Tokens))
	started, resumed := 0, 0
	for _, list := range r.observe().Generations {
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

// sendDuring sends a call that may not be repeated, calls strike once it runs,
// and returns what the caller was told.
func sendDuring(t *testing.T, r *Round, op Op, strike func(*proctest.Node)) Record {
	t.Helper()
	var wg sync.WaitGroup
	wg.Go(func() { r.run(t.Context(), op) })
	var at *proctest.Node
	eventually(t, "the call runs", func() bool {
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

func TestCallThatMayNotBeRepeatedIsInterrupted(t *testing.T) {
	for name, strike := range map[string]func(*proctest.Node){
		"link cut":       func(n *proctest.Node) { n.Links().Peer.Cut() },
		"sidecar killed": func(n *proctest.Node) { n.Kill() },
	} {
		for _, kind := range []OpKind{Post, KeyedPost} {
			t.Run(fmt.Sprintf("%s/%s", name, kind), func(t *testing.T) {
				t.Parallel()
				interrupt(t, kind, strike)
			})
		}
	}
}

// interrupt strikes while a call runs. Its outcome is unknown, it is never run
// again, and a call with a key stays unknown when it is sent again.
func interrupt(t *testing.T, kind OpKind, strike func(*proctest.Node)) {
	op := Op{Kind: kind, ID: "call", Delay: 700 * time.Millisecond, Sends: []Send{{}}}
	r := newTestRound(t, Plan{Ops: []Op{op}})
	rec := sendDuring(t, r, op, strike)
	assert.Assert(t, !rec.Whole, "%+v", rec)
	assert.Equal(t, rec.Outcome, errkind.Unknown, "%+v", rec)
	if kind == KeyedPost {
		for range entries {
			r.run(t.Context(), op)
		}
	}
	for _, rec := range r.recordsOf(op.ID) {
		assert.Equal(t, rec.Outcome, errkind.Unknown, "%+v", rec)
	}
	assert.Equal(t, r.executions(op.ID), 1)
	r.judge(t)
}

func TestSidecarFrozenAndWokenLate(t *testing.T) {
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
		wg.Go(func() { r.run(t.Context(), op) })
	}
	wg.Wait()
	for _, n := range r.cluster.Plain {
		n.Wake()
	}
	assert.NilError(t, r.awaitSettled(t.Context()))
	for _, op := range r.plan.Ops {
		if op.Kind == KeyedPost {
			r.run(t.Context(), op)
		}
	}
	r.judge(t)
}

func TestLiveRequestsAreAnsweredWhileTheLogIsDown(t *testing.T) {
	r := newTestRound(t, Plan{Profile: Planned})
	r.log.change(func(l *standin.LogFaults) { l.Down = true })
	for i := range 12 {
		kind := []OpKind{ChatStream, ChatWhole, Get, Post}[i%4]
		op := Op{Kind: kind, ID: fmt.Sprintf("down%d", i), Tokens: 10}
		r.plan.Ops = append(r.plan.Ops, op)
		r.run(t.Context(), op)
	}
	for _, rec := range r.history.Records {
		assert.Assert(t, rec.Whole, "%+v", rec)
	}
	r.log.change(func(l *standin.LogFaults) { l.Down = false })
	r.judge(t)
}

// TestKeyedCallAtAnEntryCutOffFromTheLog sends a call again to an entry that
// can't know that it ran before. It must not be told not_run.
func TestKeyedCallAtAnEntryCutOffFromTheLog(t *testing.T) {
	t.Parallel()
	r := newTestRound(t, Plan{})
	op := Op{Kind: KeyedPost, ID: "cutoff"}
	r.plan.Ops = append(r.plan.Ops, op)
	blind := r.cluster.Entries[0]
	blind.Links().Log.Cut()
	q := r.plainRequest(op, "cutoff/0")
	q.key, q.salt = op.ID, 1
	a := r.record(t.Context(), op, q)
	assert.Assert(t, a.whole, "%+v", a)
	q = r.plainRequest(op, "cutoff/1")
	q.key, q.salt = op.ID, 0
	a = r.record(t.Context(), op, q)
	assert.Equal(t, a.via, blind)
	assert.Assert(t, !a.whole, "%+v", a)
	r.judge(t)
}

// TestKeptReplyAtAnEntryThatIsBehind reads a kept reply at an entry that can't
// have folded it. That entry must not say that there is no such reply.
func TestKeptReplyAtAnEntryThatIsBehind(t *testing.T) {
	r := newTestRound(t, Plan{})
	op := Op{Kind: StoredChat, ID: "kept", Tokens: 5}
	behind := r.cluster.Entries[0]
	behind.Links().Log.Cut()
	q := r.chatRequest(op, op.ID)
	q.body, q.salt = storedBody(prompt(op.ID), op.Tokens), 1
	a := r.record(t.Context(), op, q)
	assert.Assert(t, a.whole && a.recorded, "%+v", a)
	read := request{method: http.MethodGet, path: chatPath + "/" + fileObject{}.idOf(a.body)}
	b := r.do(t.Context(), read)
	assert.Equal(t, b.via, behind)
	assert.Equal(t, b.status, http.StatusServiceUnavailable, "%+v", b)
	behind.Links().Log.Restore()
	b = r.do(t.Context(), read)
	assert.Equal(t, b.status, http.StatusOK, "%+v", b)
	assert.Equal(t, b.body, a.body)
}

func TestEveryInstanceReplacedUnderLoad(t *testing.T) {
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
	assert.NilError(t, r.failure())
	assert.Equal(t, len(r.history.Stops), entries+engines+plains)
	r.judge(t)
	assert.Assert(t, len(r.history.Records) > 100, "%d requests", len(r.history.Records))
}

// loadUntil sends one request after the other until ctx ends; none is cut off
// by that.
func (r *Round) loadUntil(ctx context.Context, caller int) {
	kinds := []OpKind{ChatStream, Get, ChatWhole, Post}
	for i := 0; ctx.Err() == nil; i++ {
		op := Op{Kind: kinds[(i+caller)%len(kinds)], ID: fmt.Sprintf("c%d-%d", caller, i), Tokens: 40, Delay: 50 * time.Millisecond}
		r.run(context.WithoutCancel(ctx), op)
	}
}

func TestWorkspacesKeepApart(t *testing.T) {
	r := newTestRound(t, Plan{})
	op := Op{Kind: Batch, ID: "own", Items: 3, Tokens: 4}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	rec := JobRecord{Op: op}
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	r.trespass(t.Context(), op, file, id)
	for _, f := range r.history.Foreign {
		assert.Equal(t, f.Status, http.StatusNotFound, f.What)
	}
	// One key in two workspaces is two keys.
	for ws := range workspaces {
		call := Op{Kind: KeyedPost, ID: fmt.Sprintf("of-%d", ws), Workspace: ws}
		q := r.plainRequest(call, call.ID)
		q.key = "same"
		a := r.record(t.Context(), call, q)
		assert.Assert(t, a.whole, "%+v", a)
		assert.Equal(t, r.executions(call.ID), 1)
	}
}
