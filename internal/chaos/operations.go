package chaos

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	chatPath = "/v1/chat/completions"
	// callPath is the plain service's call that may not be repeated.
	callPath = "/bookings"
)

// run carries out one operation.
func (r *Round) run(ctx context.Context, op Op) {
	switch op.Kind {
	case ChatStream, ChatWhole:
		r.chat(ctx, op)
	case Get, Post:
		r.record(ctx, op, r.plainRequest(op, op.ID))
	case StoredChat:
		r.storedChat(ctx, op)
	case KeyedPost:
		r.keyed(ctx, op, r.plainRequest)
	case KeyedChat:
		r.keyed(ctx, op, r.chatRequest)
	case Batch:
		r.batch(ctx, op)
	case ConfigRace:
		r.configRace(ctx, op)
	}
}

// saltOf chooses the entry that a request goes to.
func saltOf(s string) int { return int(xxhash.Sum64String(s) % entries) }

func (r *Round) chat(ctx context.Context, op Op) {
	q := r.chatRequest(op, op.ID)
	q.onEvent = func(n int) {
		if n == strikeAfter {
			r.strike(op, nil)
		}
	}
	r.record(ctx, op, q)
}

func (r *Round) chatRequest(op Op, send string) request {
	return request{
		method: http.MethodPost, path: chatPath, workspace: op.Workspace, salt: saltOf(send), send: send,
		body: chatBody(prompt(op.ID), op.Tokens, op.Kind == ChatStream),
	}
}

// storedChat asks for an answer that is kept and reads it again at every entry
// after the faults, and once from the other workspace.
func (r *Round) storedChat(ctx context.Context, op Op) {
	q := r.chatRequest(op, op.ID)
	q.body = storedBody(prompt(op.ID), op.Tokens)
	a := r.record(ctx, op, q)
	if !a.whole || !a.recorded || !await(ctx, r.aged) {
		return
	}
	id := fileObject{}.idOf(a.body)
	again := request{method: http.MethodGet, path: chatPath + "/" + id, workspace: op.Workspace}
	for salt := range entries {
		again.salt = salt
		b, _ := r.until(ctx, again, http.StatusOK, http.StatusNotFound)
		r.history.add(func(h *History) {
			h.Rereads = append(h.Rereads, Reread{ID: id, Want: a.body, Got: b.body, Status: b.status})
		})
	}
	again.workspace = (op.Workspace + 1) % len(workspaces)
	b := r.do(ctx, again)
	r.history.add(func(h *History) { h.Foreign = append(h.Foreign, Foreign{What: again.path, Status: b.status}) })
}

func (r *Round) plainRequest(op Op, send string) request {
	q := request{method: http.MethodGet, workspace: op.Workspace, salt: saltOf(send), send: send}
	if op.Kind == Get {
		q.path = fmt.Sprintf("/services/%s/tuners/%s?delay_ms=%d", plainService, op.ID, op.Delay.Milliseconds())
		return q
	}
	q.method = http.MethodPost
	q.path = fmt.Sprintf("/services/%s%s?delay_ms=%d", plainService, callPath, op.Delay.Milliseconds())
	q.body = op.ID
	return q
}

// keyed sends one request several times under one key.
func (r *Round) keyed(ctx context.Context, op Op, build func(op Op, send string) request) {
	var wg sync.WaitGroup
	for i, s := range op.Sends {
		wg.Go(func() {
			delay.Wait(ctx, s.After)
			q := build(op, fmt.Sprintf("%s/%d", op.ID, i))
			q.key, q.giveUp = op.ID, s.GiveUp
			r.record(ctx, op, q)
		})
	}
	wg.Wait()
	if r.plan.Profile == Expiring && await(ctx, r.aged) {
		q := build(op, op.ID+"/late")
		q.key = op.ID
		r.record(ctx, op, q)
	}
}
