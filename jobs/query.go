package jobs

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
)

const (
	// maxListing bounds the bytes of text in one listing.
	maxListing = 900 << 10
	// listingAge is how old the knowledge may be that a job has no more
	// results; refreshTimeout bounds the read that renews it.
	listingAge     = 600 * time.Millisecond
	refreshTimeout = 300 * time.Millisecond
)

// ListedResult is one result of a listing.
type ListedResult struct {
	ItemID    string
	Completed bool
	Text      []byte
}

// Listing is a part of a job's results.
type Listing struct {
	Total   int
	Next    int
	Results []ListedResult
}

// List returns the results from a position on. If there is none yet it waits up
// to wait for one, and then makes sure that what is known of the job's shard is
// not old. It returns false if the job is not known.
func (s *Service) List(ctx context.Context, id string, after int, wait time.Duration) (Listing, bool) {
	listing, known := s.table.await(ctx, id, after, wait)
	if !known || len(listing.Results) > 0 || listing.Next >= listing.Total {
		return listing, known
	}
	sh := s.shards[shardOf(id, len(s.shards))]
	if age, confirmed := sh.follow.Age(time.Now()); confirmed && age < listingAge {
		return listing, known
	}
	if err := sh.refresh(ctx); err != nil {
		event.Log(s.opts.Logger, event.LogDown, "call", "refresh", "shard", sh.part.Index, "cause", err)
	}
	listing, _, known = s.table.list(id, after)
	return listing, known
}

// refresh folds what the log holds beyond the follower.
func (sh *shard) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	h, err := sh.s.opts.Log.Read(ctx, sh.part, sh.follow.Next(), 0)
	if err != nil {
		return err
	}
	view{sh.s.table, sh.part}.Apply(h.Records)
	return nil
}

// await returns the results from a position on, or waits for one.
func (t *Table) await(ctx context.Context, id string, after int, wait time.Duration) (Listing, bool) {
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

// list returns a channel to wait on if there is no result to list yet but one
// may come.
func (t *Table) list(id string, after int) (Listing, <-chan struct{}, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil || e.job == nil {
		return Listing{}, nil, false
	}
	listing := Listing{Total: len(e.job.Items), Next: after}
	ready := e.ready()
	size := 0
	for i := after; i >= 0 && i < len(ready); i++ {
		r := ready[i]
		size += len(r.Text)
		if size > maxListing && len(listing.Results) > 0 {
			break
		}
		listing.Results = append(listing.Results, ListedResult{e.job.Items[r.Item].ID, r.Completed, r.Text})
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

// Body returns the body of an item of an open job that is not listed yet.
// known tells whether the job is.
func (t *Table) Body(id, itemID string) (body []byte, found, known bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.byID[id]
	if e == nil || e.job == nil {
		return nil, false, false
	}
	for i := range e.job.Items {
		if e.job.Items[i].ID == itemID {
			return e.job.Items[i].Body, !e.listed[i] && !e.ended, true
		}
	}
	return nil, false, true
}

// WaitingTokens sums the tokens of the unfinished items on a route.
func (t *Table) WaitingTokens(route string) int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var sum int64
	for _, e := range t.byID {
		if e.job == nil || e.job.Route != route || e.ended {
			continue
		}
		for i := range e.job.Items {
			if !e.listed[i] {
				sum += e.job.Items[i].Tokens
			}
		}
	}
	return sum
}
