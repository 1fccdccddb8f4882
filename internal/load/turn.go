package load

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	callTries  = 20
	retryPause = 250 * time.Millisecond
)

// turn calls entries in turn until one answers.
type turn struct {
	clients []*Client
	next    int
}

// try repeats a call at the next entry while it fails without an answer or with
// one that says to come back.
func (t *turn) try(ctx context.Context, call func(c *Client) error) error {
	var err error
	for range callTries {
		err = call(t.clients[t.next%len(t.clients)])
		if err == nil || !worthRetry(err) {
			return err
		}
		t.next++
		if !sleep(ctx, retryPause) {
			return err
		}
	}
	return err
}

func worthRetry(err error) bool {
	var api *APIError
	if !errors.As(err, &api) {
		return true
	}
	return api.RetryAfter > 0 || api.Status >= http.StatusInternalServerError
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
