package load

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	maxCallAttempts = 20
	retryDelay      = 250 * time.Millisecond
)

// failover retries a call at the next entry in rotation.
type failover struct {
	clients []*Client
	next    int
}

// try calls the current entry and moves on to the next one while the call gets
// no response, a response with a Retry-After header or a server error. It waits
// retryDelay between calls and gives up after maxCallAttempts.
func (t *failover) try(ctx context.Context, call func(c *Client) error) error {
	var err error
	for range maxCallAttempts {
		err = call(t.clients[t.next%len(t.clients)])
		if err == nil || !retryable(err) {
			return err
		}
		t.next++
		if !sleep(ctx, retryDelay) {
			return err
		}
	}
	return err
}

func retryable(err error) bool {
	var api *APIError
	if !errors.As(err, &api) {
		return true
	}
	return api.RetryAfter > 0 || api.Status >= http.StatusInternalServerError
}

// sleep waits for d and reports whether ctx is still active afterwards.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
