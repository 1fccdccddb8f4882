package peering

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	listPath       = "/listing"
	snapshotPath   = "/snapshot"
	submitPath     = "/job"
	bodyPath       = "/body"
	maxAnswerBytes = 8 << 20
	// storeFresh is the age up to which a peer counts as reaching the store.
	storeFresh = 800 * time.Millisecond
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

// Body implements jobs.Peers.
func (p *Peering) Body(ctx context.Context, address, id, itemID string) (body []byte, found bool, err error) {
	raw, err := p.get(ctx, address, bodyPath+"?"+url.Values{"job": {id}, "item": {itemID}}.Encode())
	if err != nil {
		return nil, false, err
	}
	var answer bodyAnswer
	if err := cbor.Unmarshal(raw, &answer); err != nil {
		return nil, false, errors.Wrap(err, "peering: body")
	}
	return answer.Body, answer.Found, nil
}

// bodyAnswer is the body of an item, if there is such an item.
type bodyAnswer struct {
	Found bool   `cbor:"1,keyasint"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

// serveBody answers for items of the process's own shards.
func serveBody(h Host) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := h.BodyOwn(r.URL.Query().Get("job"), r.URL.Query().Get("item"))
		switch {
		case err == nil:
			writeCBOR(w, bodyAnswer{true, body})
		case errkind.Is(err, errkind.NotFound):
			writeCBOR(w, bodyAnswer{})
		default:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

// Host is the process that peers call.
type Host interface {
	// ListOwn answers for the shards that the process owns.
	ListOwn(ctx context.Context, id string, after int, wait time.Duration) (jobs.Listing, error)
	// BodyOwn returns the body of an item of such a shard.
	BodyOwn(id, itemID string) ([]byte, error)
	// SubmitHere accepts a job.
	SubmitHere(ctx context.Context, job *jobs.Job, quota int64) error
}

// WithStore implements jobs.Peers. Peers of the own region go first.
func (p *Peering) WithStore() (address string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	far := true
	for _, peer := range p.peers {
		if !peer.alive || time.Since(peer.heard) > TTL || peer.storeAge > storeFresh {
			continue
		}
		if !known || far && !peer.far {
			address, known, far = peer.addr.String(), true, peer.far
		}
	}
	return address, known
}

// NearestRTT implements jobs.Peers.
func (p *Peering) NearestRTT() (rtt time.Duration, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		if !peer.alive || time.Since(peer.heard) > TTL || peer.storeAge > storeFresh || peer.storeRTT <= 0 {
			continue
		}
		if !known || peer.storeRTT < rtt {
			rtt, known = peer.storeRTT, true
		}
	}
	return rtt, known
}

// Alive implements jobs.Peers.
func (p *Peering) Alive() int { return len(p.alive()) }

// submission is a job on its way to another gateway, and its answer.
type submission struct {
	Job   *jobs.Job `cbor:"1,keyasint"`
	Quota int64     `cbor:"2,keyasint"`
}

type submitAnswer struct {
	// Kind is empty for an accepted job.
	Kind    errkind.Kind    `cbor:"1,keyasint,omitempty"`
	Outcome errkind.Outcome `cbor:"2,keyasint,omitempty"`
	Message string          `cbor:"3,keyasint,omitempty"`
	// RetryMs is when the caller should come back.
	RetryMs int64 `cbor:"4,keyasint,omitempty"`
}

// Submit implements jobs.Peers. Without an answer it is not known whether the
// job was accepted.
func (p *Peering) Submit(ctx context.Context, address string, job *jobs.Job, quota int64) error {
	body, err := cbor.Marshal(submission{job, quota})
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "job %s", job.ID)
	}
	raw, err := p.call(ctx, http.MethodPost, address, submitPath, body)
	if err != nil {
		return errkind.Wrap(err, errkind.Timeout, "job %s: no answer of a gateway that reaches the log", job.ID)
	}
	var a submitAnswer
	if err := cbor.Unmarshal(raw, &a); err != nil {
		return errkind.Wrap(err, errkind.Timeout, "job %s", job.ID)
	}
	if a.Kind == "" {
		return nil
	}
	return errkind.New(a.Kind, "%s", a.Message).WithOutcome(a.Outcome).WithRetryAfter(time.Duration(a.RetryMs) * time.Millisecond)
}

// serveSubmit accepts a job for a peer.
func serveSubmit(h Host) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes))
		var s submission
		if err == nil {
			err = cbor.Unmarshal(raw, &s)
		}
		if err != nil || s.Job == nil {
			http.Error(w, "no job", http.StatusBadRequest)
			return
		}
		if err := h.SubmitHere(r.Context(), s.Job, s.Quota); err != nil {
			e := errkind.From(err)
			writeCBOR(w, submitAnswer{e.Kind, e.Answer().Outcome, e.Message, e.Answer().RetryAfter.Milliseconds()})
			return
		}
		writeCBOR(w, submitAnswer{})
	}
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
	return p.call(ctx, http.MethodGet, address, path, nil)
}

func (p *Peering) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
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
func Handler(l Host, snapshot func() Snapshot) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+bodyPath, serveBody(l))
	mux.HandleFunc("POST "+submitPath, serveSubmit(l))
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
