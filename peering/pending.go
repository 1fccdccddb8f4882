package peering

import (
	"context"
	"sync"
)

// pendingReplies are the requests in datagrams that wait for their replies, by their ids.
type pendingReplies[R any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan R
}

// newPendingReplies returns an empty table whose ids follow last. Those of two starts of a process
// should differ.
func newPendingReplies[R any](last uint64) *pendingReplies[R] {
	return &pendingReplies[R]{last: last, waiting: make(map[uint64]chan R)}
}

// add adds a request and returns its id.
func (p *pendingReplies[R]) add() (id uint64, reply chan R) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	reply = make(chan R, 1)
	p.waiting[p.last] = reply
	return p.last, reply
}

// await waits for the reply to a request and removes it.
func (p *pendingReplies[R]) await(ctx context.Context, id uint64, reply chan R) (R, error) {
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	_, waiting := p.waiting[id]
	delete(p.waiting, id)
	p.mu.Unlock()
	if !waiting {
		return <-reply, nil // it has just been delivered
	}
	var none R
	return none, ctx.Err()
}

// deliver passes a reply to its request. It returns false if none waits for it.
func (p *pendingReplies[R]) deliver(id uint64, r R) bool {
	p.mu.Lock()
	reply, waiting := p.waiting[id]
	delete(p.waiting, id)
	p.mu.Unlock()
	if waiting {
		reply <- r
	}
	return waiting
}
