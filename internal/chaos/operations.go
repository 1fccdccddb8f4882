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
	// callPath is the path of the plain service's non-idempotent call.
	callPath = "/bookings"
)

// runOp runs an operation.
func (r *Round) runOp(ctx context.Context, op Op) {
	switch op.Kind {
	case ChatStream, ChatWhole:
		r.runChat(ctx, op)
	case Get, Post:
		r.record(ctx, op, r.plainRequest(op, op.ID))
	case StoredChat:
		r.runStoredChat(ctx, op)
	case KeyedPost:
		r.runKeyed(ctx, op, r.plainRequest)
	case KeyedChat:
		r.runKeyed(ctx, op, r.chatRequest)
	case Batch:
		r.runBatch(ctx, op)
	case ConfigRace:
		r.runConfigRace(ctx, op)
	}
}

// entryIndexOf maps an id to the index of the entry that a request is sent to.
func entryIndexOf(s string) int { return int(xxhash.Sum64String(s) % entries) }

func (r *Round) runChat(ctx context.Context, op Op) {
	q := r.chatRequest(op, op.ID)
	q.onEvent = func(n int) {
		if n == strikeAfterEvents {
			r.injectStrike(op, nil)
		}
	}
	r.record(ctx, op, q)
}

func (r *Round) chatRequest(op Op, send string) request {
	return request{
		method: http.MethodPost, path: chatPath, workspace: op.Workspace, entryIndex: entryIndexOf(send), sendID: send,
		body: chatBody(prompt(op.ID), op.Tokens, op.Kind == ChatStream),
	}
}

// runStoredChat requests a response that is stored, and reads it after the faults at
// every entry and once from the other workspace.
func (r *Round) runStoredChat(ctx context.Context, op Op) {
	q := r.chatRequest(op, op.ID)
	q.body = storedChatBody(prompt(op.ID), op.Tokens)
	got := r.record(ctx, op, q)
	if !got.complete || !got.recorded || !awaitPhase(ctx, r.expired) {
		return
	}
	id := apiObject{}.idOf(got.body)
	again := request{method: http.MethodGet, path: chatPath + "/" + id, workspace: op.Workspace}
	for index := range entries {
		again.entryIndex = index
		reread, _ := r.retryUntil(ctx, again, http.StatusOK, http.StatusNotFound)
		r.history.update(func(h *History) {
			h.Rereads = append(h.Rereads, Reread{ID: id, Want: got.body, Got: reread.body, Status: reread.status})
		})
	}
	again.workspace = (op.Workspace + 1) % len(workspaces)
	foreign := r.do(ctx, again)
	r.history.update(func(h *History) {
		h.CrossAccesses = append(h.CrossAccesses, CrossAccess{Request: again.path, Status: foreign.status})
	})
}

func (r *Round) plainRequest(op Op, send string) request {
	q := request{method: http.MethodGet, workspace: op.Workspace, entryIndex: entryIndexOf(send), sendID: send}
	if op.Kind == Get {
		q.path = fmt.Sprintf("/services/%s/tuners/%s?delay_ms=%d", plainService, op.ID, op.Delay.Milliseconds())
		return q
	}
	q.method = http.MethodPost
	q.path = fmt.Sprintf("/services/%s%s?delay_ms=%d", plainService, callPath, op.Delay.Milliseconds())
	q.body = op.ID
	return q
}

// runKeyed sends a request several times under one key.
func (r *Round) runKeyed(ctx context.Context, op Op, build func(op Op, send string) request) {
	var wg sync.WaitGroup
	for i, s := range op.Sends {
		wg.Go(func() {
			delay.Wait(ctx, s.After)
			q := build(op, fmt.Sprintf("%s/%d", op.ID, i))
			q.key, q.disconnectAfter = op.ID, s.GiveUp
			r.record(ctx, op, q)
		})
	}
	wg.Wait()
	if r.plan.Profile == Expiring && awaitPhase(ctx, r.expired) {
		q := build(op, op.ID+"/late")
		q.key = op.ID
		r.record(ctx, op, q)
	}
}
