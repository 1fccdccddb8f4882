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

// ItemBody implements jobs.Peers.
func (p *Peering) ItemBody(ctx context.Context, address, id, itemID string) (body []byte, found bool, err error) {
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
