package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errStopping is the cause of the end of a request that this process can't complete before it ends.
var errStopping = errors.New("the process stops")

// Shutdown ends the requests that are not answered when the process has to end. It is safe for concurrent
// use; a nil Shutdown never begins.
type Shutdown struct {
	ended context.Context
	end   context.CancelFunc
	// answerBy is when requests without an answer are ended; nil until Begin.
	answerBy atomic.Pointer[time.Time]
}

// NewShutdown returns a shutdown that has not begun.
func NewShutdown() *Shutdown {
	ended, end := context.WithCancel(context.Background())
	return &Shutdown{ended: ended, end: end}
}

// Begin sets when the requests that have no answer yet get one that says what is known about them.
func (s *Shutdown) Begin(answerBy time.Time) {
	s.answerBy.Store(&answerBy)
	time.AfterFunc(time.Until(answerBy), s.end)
}

// limit returns the deadline of a request that arrives now.
func (s *Shutdown) limit(deadline time.Time) time.Time {
	if s == nil {
		return deadline
	}
	if answerBy := s.answerBy.Load(); answerBy != nil && answerBy.Before(deadline) {
		return *answerBy
	}
	return deadline
}

// bind returns a context that ends with the shutdown, unless release is called before.
func (s *Shutdown) bind(ctx context.Context) (bound context.Context, release func() bool) {
	if s == nil {
		return ctx, func() bool { return true }
	}
	bound, cancel := context.WithCancelCause(ctx)
	return bound, context.AfterFunc(s.ended, func() { cancel(errStopping) })
}
