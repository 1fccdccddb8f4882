package jobs

import (
	"context"
	"time"
)

// maxListing bounds the bytes of text in one listing.
const maxListing = 900 << 10

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
// to wait for one. It returns false if the job is not known.
func (t *Table) List(ctx context.Context, id string, after int, wait time.Duration) (Listing, bool) {
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
