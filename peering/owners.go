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
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	listPath       = "/listing"
	snapshotPath   = "/snapshot"
	maxAnswerBytes = 8 << 20
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
	raw, err := p.get(ctx, address, listPath+"?"+q.Encode())
	if err != nil {
		return jobs.Listing{}, err
	}
	var listing jobs.Listing
	return listing, errors.Wrap(cbor.Unmarshal(raw, &listing), "peering: list")
}

// Lister answers for the shards that a process owns.
type Lister interface {
	ListOwn(ctx context.Context, id string, after int, wait time.Duration) (jobs.Listing, error)
}

// Snapshot is what a gateway knows of the configuration and of the backend
// servers, for one that starts while the store is away.
type Snapshot struct {
	Config   []keyedlog.Record `cbor:"1,keyasint,omitempty"`
	Backends []keyedlog.Record `cbor:"2,keyasint,omitempty"`
}

// FetchSnapshot asks the peers that were heard of late, one after the other, for
// what they know.
func (p *Peering) FetchSnapshot(ctx context.Context) (Snapshot, bool) {
	for _, address := range p.alive() {
		raw, err := p.get(ctx, address, snapshotPath)
		if err != nil {
			continue // the next one may answer
		}
		var s Snapshot
		if err := cbor.Unmarshal(raw, &s); err == nil && len(s.Config) > 0 {
			return s, true
		}
	}
	return Snapshot{}, false
}

// alive returns the addresses of the peers that were heard of late.
func (p *Peering) alive() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, known := range p.peers {
		if known.alive && time.Since(known.heard) <= TTL {
			addresses = append(addresses, known.addr.String())
		}
	}
	return addresses
}

// get reads what a peer serves under a path with its query.
func (p *Peering) get(ctx context.Context, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "peering")
	}
	resp, err := p.opts.Client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "peering")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Wrap(err, "peering")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peering: status %d: %.200s", resp.StatusCode, raw)
	}
	return raw, nil
}

// Handler returns what a gateway serves to its peers.
func Handler(l Lister, snapshot func() Snapshot) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, _ *http.Request) { writeCBOR(w, snapshot()) })
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
		writeCBOR(w, listing)
	})
	return mux
}

func writeCBOR(w http.ResponseWriter, v any) {
	raw, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // the peer sees a short body if its connection broke
}
