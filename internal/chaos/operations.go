package chaos

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// run carries out one operation.
func (r *Round) run(ctx context.Context, op Op) {
	switch op.Kind {
	case ChatStream, ChatWhole:
		r.chat(ctx, op)
	case Get, Post:
		r.record(ctx, op, r.plainRequest(op, op.ID))
	case KeyedPost:
		r.keyedPost(ctx, op)
	case Batch:
		r.batch(ctx, op)
	case ConfigRace:
		r.configRace(ctx, op)
	}
}

// saltOf chooses the entry that a request goes to.
func saltOf(s string) int { return int(xxhash.Sum64String(s) % entries) }

func (r *Round) chat(ctx context.Context, op Op) {
	q := request{
		method: http.MethodPost, path: "/v1/chat/completions", workspace: op.Workspace, salt: saltOf(op.ID), send: op.ID,
		body: chatBody(prompt(op.ID), op.Tokens, op.Kind == ChatStream),
	}
	q.onEvent = func(n int) {
		if n == strikeAfter {
			r.strike(op, nil)
		}
	}
	r.record(ctx, op, q)
}

func (r *Round) plainRequest(op Op, send string) request {
	q := request{method: http.MethodGet, workspace: op.Workspace, salt: saltOf(send), send: send}
	if op.Kind == Get {
		q.path = fmt.Sprintf("/services/%s/tuners/%s?delay_ms=%d", plainService, op.ID, op.Delay.Milliseconds())
		return q
	}
	q.method = http.MethodPost
	q.path = fmt.Sprintf("/services/%s/bookings?delay_ms=%d", plainService, op.Delay.Milliseconds())
	q.body = op.ID
	return q
}

// keyedPost sends one call several times under one key.
func (r *Round) keyedPost(ctx context.Context, op Op) {
	var wg sync.WaitGroup
	for i, s := range op.Sends {
		wg.Go(func() {
			pause(ctx, s.After)
			q := r.plainRequest(op, fmt.Sprintf("%s/%d", op.ID, i))
			q.key, q.giveUp = op.ID, s.GiveUp
			r.record(ctx, op, q)
		})
	}
	wg.Wait()
}
