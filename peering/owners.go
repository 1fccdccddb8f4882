package peering

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/jobs"
)

const (
	listPath        = "/listing"
	maxListingBytes = 4 << 20
)

// OwnerOf implements jobs.Peers: of several that call themselves the owner, the
// one with the highest epoch is.
func (p *Peering) OwnerOf(shard int) (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, _ := p.owner(shard)
	if peer == nil {
		return "", false
	}
	return peer.addr.String(), true
}

// Report implements jobs.Peers.
func (p *Peering) Report(shard int) (jobs.Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, report := p.owner(shard)
	return report, peer != nil
}

// owner returns the peer that was heard of late and reports the highest epoch
// of a shard. The caller holds the lock.
func (p *Peering) owner(shard int) (*peer, jobs.Report) {
	var best *peer
	var newest jobs.Report
	now := time.Now()
	for _, known := range p.peers {
		if !known.alive || now.Sub(known.heard) > TTL {
			continue
		}
		for _, report := range known.shards {
			if report.Shard == shard && (best == nil || report.Epoch > newest.Epoch) {
				best, newest = known, report
			}
		}
	}
	return best, newest
}

// List implements jobs.Peers.
func (p *Peering) List(ctx context.Context, address, id string, after int, wait time.Duration) (jobs.Listing, error) {
	q := url.Values{"job": {id}, "after": {strconv.Itoa(after)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+listPath+"?"+q.Encode(), nil)
	if err != nil {
		return jobs.Listing{}, errors.Wrap(err, "peering: list")
	}
	resp, err := p.opts.Client.Do(req)
	if err != nil {
		return jobs.Listing{}, errors.Wrap(err, "peering: list")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListingBytes))
	if err != nil {
		return jobs.Listing{}, errors.Wrap(err, "peering: list")
	}
	if resp.StatusCode != http.StatusOK {
		return jobs.Listing{}, errors.Errorf("peering: list: status %d: %.200s", resp.StatusCode, raw)
	}
	var listing jobs.Listing
	return listing, errors.Wrap(cbor.Unmarshal(raw, &listing), "peering: list")
}

// Lister answers for the shards that a process owns.
type Lister interface {
	ListOwn(ctx context.Context, id string, after int, wait time.Duration) (jobs.Listing, error)
}

// Handler returns what a gateway serves to its peers.
func Handler(l Lister) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, err1 := strconv.Atoi(q.Get("after"))
		waitMs, err2 := strconv.Atoi(q.Get("wait_ms"))
		if err1 != nil || err2 != nil {
			http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
			return
		}
		listing, err := l.ListOwn(r.Context(), q.Get("job"), after, time.Duration(waitMs)*time.Millisecond)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		raw, err := cbor.Marshal(listing)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(raw) // the peer sees a short body if its connection broke
	})
	return mux
}
