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
)

// List implements jobs.Peers.
func (p *Peering) List(ctx context.Context, address, id string, after int, wait time.Duration) (jobs.Listing, error) {
	q := url.Values{"job": {id}, "after": {strconv.Itoa(after)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	raw, err := p.get(ctx, address, listPath+"?"+q.Encode())
	if err != nil {
		return jobs.Listing{}, err
	}
	var listing jobs.Listing
	return listing, errors.Wrap(cbor.Unmarshal(raw, &listing), "peering: decode listing")
}

// ItemBody implements jobs.Peers.
func (p *Peering) ItemBody(ctx context.Context, address, id, itemID string) (body []byte, found bool, err error) {
	raw, err := p.get(ctx, address, bodyPath+"?"+url.Values{"job": {id}, "item": {itemID}}.Encode())
	if err != nil {
		return nil, false, err
	}
	var resp bodyResponse
	if err := cbor.Unmarshal(raw, &resp); err != nil {
		return nil, false, errors.Wrap(err, "peering: decode item body")
	}
	return resp.Body, resp.Found, nil
}

// bodyResponse is the response with the body of an item. Found is false if there is no
// such item.
type bodyResponse struct {
	Found bool   `cbor:"1,keyasint"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

// submission is a job that is submitted to another gateway, submitResponse the response.
type submission struct {
	Job   *jobs.Job `cbor:"1,keyasint"`
	Quota int64     `cbor:"2,keyasint"`
}

type submitResponse struct {
	// Kind is empty for an accepted job.
	Kind    errkind.Kind    `cbor:"1,keyasint,omitempty"`
	Outcome errkind.Outcome `cbor:"2,keyasint,omitempty"`
	Message string          `cbor:"3,keyasint,omitempty"`
	// RetryMs is the delay after which the caller may retry.
	RetryMs int64 `cbor:"4,keyasint,omitempty"`
}

// Submit implements jobs.Peers. Without a response, it is unknown whether the job was
// accepted.
func (p *Peering) Submit(ctx context.Context, address string, job *jobs.Job, quota int64) error {
	body, err := cbor.Marshal(submission{job, quota})
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "job %s", job.ID)
	}
	raw, err := p.call(ctx, http.MethodPost, address, submitPath, body)
	if err != nil {
		return errkind.Wrap(err, errkind.Timeout, "job %s: no answer of a gateway that reaches the log", job.ID)
	}
	var resp submitResponse
	if err := cbor.Unmarshal(raw, &resp); err != nil {
		return errkind.Wrap(err, errkind.Timeout, "job %s", job.ID)
	}
	if resp.Kind == "" {
		return nil
	}
	return errkind.New(resp.Kind, "%s", resp.Message).WithOutcome(resp.Outcome).WithRetryAfter(time.Duration(resp.RetryMs) * time.Millisecond)
}

// get sends a GET request to a peer. path includes the query.
func (p *Peering) get(ctx context.Context, address, path string) ([]byte, error) {
	return p.call(ctx, http.MethodGet, address, path, nil)
}

func (p *Peering) call(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "peering: create request")
	}
	resp, err := p.opts.Client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "peering: send request")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "peering: read response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peering: unexpected status %d: %.200s", resp.StatusCode, raw)
	}
	return raw, nil
}
