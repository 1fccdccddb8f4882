package keyedlog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/boottime"
)

const (
	// confirmTimeout bounds the reads of one confirmation.
	confirmTimeout = 400 * time.Millisecond
	// maxConfirmReads bounds how many they are: others may append records all the time.
	maxConfirmReads = 4
)

var errNotConfirmed = errors.New("keyedlog: the view did not reach the end of the log")

// confirmation is a read that callers wait for.
type confirmation struct {
	done chan struct{}
	err  error
}

func (c *confirmation) finish(err error) {
	c.err = err
	close(c.done)
}

// confirmations are those of one follower.
type confirmations struct {
	log Reader

	mu sync.Mutex
	// asked is the next confirmation, whose reads have not begun; nil if nobody waits.
	asked *confirmation
	// interrupt ends the step that is in progress.
	interrupt context.CancelFunc
}

// ask returns the next confirmation, which all callers share until its reads begin.
func (c *confirmations) ask() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked == nil {
		c.asked = &confirmation{done: make(chan struct{})}
	}
	if c.interrupt != nil {
		c.interrupt()
	}
	return c.asked
}

// begin begins a step of the follower, which interrupt ends early. It returns the confirmation that the step
// has to make, if one is asked for.
func (c *confirmations) begin(interrupt context.CancelFunc) *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := c.asked
	c.asked, c.interrupt = nil, interrupt
	return asked
}

// Confirm returns nil once the view holds all records that the log service held when Confirm was called. It
// reads from the service itself, not from a relay, and shares its reads with other callers.
func (f *Follower) Confirm(ctx context.Context) error {
	c := f.confirmations.ask()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "keyedlog: confirm the view")
	}
}

// confirm reads to the end of the log.
func (f *Follower) confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for range maxConfirmReads {
		began := boottime.Now()
		h, err := f.confirmations.log.Read(ctx, f.part, f.next.Load(), 0)
		if err != nil {
			return err
		}
		if complete, err := f.apply(h, began); complete || err != nil {
			return err
		}
	}
	return errNotConfirmed
}
