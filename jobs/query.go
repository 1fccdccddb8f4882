package jobs

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
)

const (
	// maxListingBytes bounds the bytes of text in one listing.
	maxListingBytes = 900 << 10
	// ownerTimeout bounds the owner's response time, beyond the time that the owner
	// may wait for a result.
	ownerTimeout = 400 * time.Millisecond
	// ownerRetryAfter is the Retry-After of a request that found no owner.
	ownerRetryAfter = 300 * time.Millisecond
)

// ListedResult is one result of a listing.
type ListedResult struct {
	ItemID    string `cbor:"1,keyasint"`
	Completed bool   `cbor:"2,keyasint,omitempty"`
	Text      []byte `cbor:"3,keyasint,omitempty"`
}

// Listing is a part of a job's results. Total is the number of the job's items, Next the
// position after the last result in Results.
type Listing struct {
	Total   int            `cbor:"1,keyasint"`
	Next    int            `cbor:"2,keyasint"`
	Results []ListedResult `cbor:"3,keyasint,omitempty"`
}

// List returns the results from a position on. If there is none yet, it waits up to
// wait for one. Only the owner of a job's shard has the job's results; other
// processes query the owner. The job must be known.
func (s *Service) List(ctx context.Context, id string, after int, wait time.Duration) (Listing, error) {
	index := shardOf(id, len(s.shards))
	if s.shards[index].owned() {
		return s.ListLocal(ctx, id, after, wait)
	}
	address, known := s.opts.Peers.OwnerOf(index)
	if !known {
		return Listing{}, errkind.New(errkind.LogUnavailable, "shard %d has no owner", index).WithRetryAfter(ownerRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+ownerTimeout)
	defer cancel()
	listing, err := s.opts.Peers.List(ctx, address, id, after, wait)
	if err != nil {
		return Listing{}, errkind.Wrap(err, errkind.LogUnavailable, "the owner of shard %d does not answer", index).WithRetryAfter(ownerRetryAfter)
	}
	return listing, nil
}

// ListLocal returns results from a shard that this process owns. That there is none after a position is only said by a
// confirmed owner: another one could have listed it. The listing is that of one ownership.
func (s *Service) ListLocal(ctx context.Context, id string, after int, wait time.Duration) (Listing, error) {
	sh := s.shards[shardOf(id, len(s.shards))]
	epoch := sh.currentEpoch()
	listing, known := s.table.waitResults(ctx, id, after, wait)
	if known && len(listing.Results) == 0 && !sh.confirmed() {
		if err := sh.verifyFor(ctx); err != nil {
			return Listing{}, err
		}
	}
	if epoch == notOwnedEpoch || sh.currentEpoch() != epoch {
		return Listing{}, errkind.New(errkind.LogUnavailable, "shard %d is not owned here", sh.part.Index).WithRetryAfter(ownerRetryAfter)
	}
	if !known {
		return Listing{}, errkind.New(errkind.LogUnavailable, "batch job %s is not known to the owner yet", id).WithRetryAfter(ownerRetryAfter)
	}
	return listing, nil
}

// verifyFor is verify for a caller who waits.
func (sh *shard) verifyFor(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	if err := sh.verify(ctx); err != nil {
		event.Log(sh.s.opts.Logger, event.LogDown, "call", "verify ownership", "shard", sh.part.Index, "cause", err)
		return errkind.Wrap(err, errkind.LogUnavailable, "shard %d may have another owner", sh.part.Index).WithRetryAfter(ownerRetryAfter)
	}
	return nil
}

// waitResults returns the results from a position on, and waits up to wait for one if
// there is none. It returns false if the job or its content is not known.
func (t *Table) waitResults(ctx context.Context, id string, after int, wait time.Duration) (Listing, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		listing, changed, known := t.list(id, after)
		if !known {
			return Listing{}, false
		}
		if changed == nil || wait <= 0 {
			return listing, true
		}
		select {
		case <-ctx.Done():
			return listing, true
		case <-timer.C:
			return listing, true
		case <-changed:
		}
	}
}

// list returns the results from a position on. If there is none yet but one may
// come, it also returns a channel that is closed at the next change. It returns false if
// the job or its content is not known.
func (t *Table) list(id string, after int) (Listing, <-chan struct{}, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil || e.job == nil || e.items == nil {
		return Listing{}, nil, false
	}
	listing := Listing{Total: len(e.job.Tokens), Next: after}
	ready := e.contiguousResults()
	size := 0
	for i := after; i >= 0 && i < len(ready); i++ {
		r := ready[i]
		if r.Item >= len(e.items) {
			break // the record does not belong to this job
		}
		size += len(r.Text)
		if size > maxListingBytes && len(listing.Results) > 0 {
			break
		}
		listing.Results = append(listing.Results, ListedResult{e.items[r.Item].ID, r.Completed, r.Text})
	}
	listing.Next = after + len(listing.Results)
	if len(listing.Results) > 0 || !e.open() {
		return listing, nil, true
	}
	return listing, e.changed, true
}

// Known reports whether the job was accepted.
func (t *Table) Known(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	return e != nil && e.job != nil
}

// ItemBody returns the body of an item of a job that is not cancelled.
func (s *Service) ItemBody(ctx context.Context, id, itemID string) ([]byte, error) {
	index := shardOf(id, len(s.shards))
	if s.shards[index].owned() {
		return s.ItemBodyLocal(id, itemID)
	}
	address, known := s.opts.Peers.OwnerOf(index)
	if !known {
		return nil, errkind.New(errkind.LogUnavailable, "shard %d has no owner", index).WithRetryAfter(ownerRetryAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	body, found, err := s.opts.Peers.ItemBody(ctx, address, id, itemID)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.LogUnavailable, "the owner of shard %d does not answer", index).WithRetryAfter(ownerRetryAfter)
	}
	if !found {
		return nil, errkind.New(errkind.NotFound, "no open item %s in batch job %s", itemID, id)
	}
	return body, nil
}

// ItemBodyLocal returns an item's body from a shard that this process owns.
func (s *Service) ItemBodyLocal(id, itemID string) ([]byte, error) {
	body, found, known := s.table.itemBody(id, itemID)
	if !known || !s.shards[shardOf(id, len(s.shards))].owned() {
		return nil, errkind.New(errkind.LogUnavailable, "the content of batch job %s is not known here", id).WithRetryAfter(ownerRetryAfter)
	}
	if !found {
		return nil, errkind.New(errkind.NotFound, "no open item %s in batch job %s", itemID, id)
	}
	return body, nil
}

// itemBody returns the body of an item; known reports whether the job's content is
// available.
func (t *Table) itemBody(id, itemID string) (body []byte, found, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil || e.job == nil || e.items == nil {
		return nil, false, false
	}
	for i := range e.items {
		if e.items[i].ID == itemID {
			return e.items[i].Body, !e.cancelled, true
		}
	}
	return nil, false, true
}
