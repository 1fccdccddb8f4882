package commitlog

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/delay"
)

const (
	appendTimeout = 5 * time.Second
	// foldedResponseTimeout is how long an append still waits for its response
	// after its record has been folded. A response that has not arrived by then
	// is treated as lost.
	foldedResponseTimeout = 200 * time.Millisecond
	minBackoff            = 20 * time.Millisecond
	maxBackoff            = 2 * time.Second
)

// enqueue adds a commit to the buffer, or rejects it as a whole.
func (s *Stream) enqueue(entries []Entry, maxBytes int) (*commit, error) {
	c := &commit{entries: entries, done: make(chan struct{})}
	for _, e := range entries {
		c.size += len(e.Body)
	}
	if c.size > maxBytes || len(entries) > maxEntries {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes in %d entries", c.size, len(entries))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, ErrStopped
	}
	if len(s.pending) >= s.opts.MaxPending || s.pendingBytes+c.size > s.opts.MaxPendingBytes {
		return nil, ErrFull
	}
	s.pending = append(s.pending, c)
	s.pendingBytes += c.size
	s.signal()
	return c, nil
}

// signal wakes the append loop; the channel buffers at most one signal.
func (s *Stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// abandon withdraws a commit whose caller no longer waits for it. It returns the
// commit's result if there is one already, ErrUnconfirmed if the commit has been
// sent, and otherwise ErrNotAppended.
func (s *Stream) abandon(c *commit) (Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-c.done:
		return c.pos, c.err
	default:
	}
	if c.sent {
		return Position{}, ErrUnconfirmed
	}
	for i, p := range s.pending {
		if p == c {
			s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
			s.pendingBytes -= c.size
			break
		}
	}
	return Position{}, ErrNotAppended
}

// appendLoop sends one group commit at a time. It repeats a sequence number until
// the log responds or the entry has been folded, so the sequence numbers of a
// writer reach the log in order. The exception is an append that was repeated: one
// of its copies may take effect late, after higher sequence numbers.
func (s *Stream) appendLoop(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for s.hasPending() {
			if !delay.Wait(ctx, s.opts.Interval) || !s.waitBudget(ctx) {
				return
			}
			g, payload := s.nextGroup()
			if g != nil && !s.appendUntilKnown(ctx, g, payload) {
				return
			}
		}
	}
}

func (s *Stream) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// waitBudget blocks until the budget permits an append. It returns false if ctx
// ends first.
func (s *Stream) waitBudget(ctx context.Context) bool {
	return s.opts.Budget == nil || s.opts.Budget.Wait(ctx) == nil
}

// nextGroup removes as many pending commits as fit into one record. It returns
// nil if there are none or if they cannot be encoded.
func (s *Stream) nextGroup() (*group, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	commits, entries := s.takePending()
	if len(commits) == 0 {
		return nil, nil
	}
	s.nextSeq++
	g := &group{seq: s.nextSeq, commits: commits, done: make(chan struct{})}
	s.inflight[g.seq] = g
	env := envelope{Version: formatVersion, Writer: s.opts.Writer, Seq: g.seq, Entries: entries}
	payload, err := env.marshal()
	if err != nil {
		s.finishSeq(g.seq, Position{}, err)
		return nil, nil
	}
	return g, payload
}

// takePending removes the commits of the next record. The caller holds mu.
func (s *Stream) takePending() ([]*commit, []Entry) {
	var commits []*commit
	var entries []Entry
	size := 0
	for len(s.pending) > 0 {
		c := s.pending[0]
		full := size+c.size > s.opts.MaxRecordBytes || len(entries)+len(c.entries) > maxEntries
		if full && len(commits) > 0 {
			break
		}
		s.pending[0] = nil
		s.pending = s.pending[1:]
		s.pendingBytes -= c.size
		c.sent = true
		commits = append(commits, c)
		entries = append(entries, c.entries...)
		size += c.size
	}
	return commits, entries
}

// appendUntilKnown repeats the append of one record until the log responds or the
// record has been folded. It returns false if ctx ends first.
func (s *Stream) appendUntilKnown(ctx context.Context, g *group, payload []byte) bool {
	wait := newBackoff()
	for {
		err := s.appendOnce(ctx, g, payload)
		if err == nil {
			s.setAppendDown(nil)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if g.folded() {
			return true
		}
		s.setAppendDown(err)
		if !g.sleep(ctx, wait.NextBackOff()) {
			return false
		}
		if g.folded() {
			return true
		}
		if !s.waitBudget(ctx) {
			return false
		}
	}
}

// appendOnce sends the record once. It stops waiting for the response soon after
// the record has been folded.
func (s *Stream) appendOnce(ctx context.Context, g *group, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	go func() {
		if g.sleep(ctx, appendTimeout) && g.folded() && delay.Wait(ctx, foldedResponseTimeout) {
			cancel()
		}
	}()
	_, err := s.log.Append(ctx, s.name, payload)
	return err
}

func (g *group) folded() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// sleep waits for d, or until the group has been folded. It returns false if ctx
// ends first.
func (g *group) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-g.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	return b
}
