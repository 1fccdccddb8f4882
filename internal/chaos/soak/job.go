package soak

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	poisonMark  = "-poison"
	failingMark = "-failing"

	// submitTimeout bounds one submission and submitTries their number.
	submitTimeout = 3 * time.Second
	submitTries   = 5
	resendDelay   = 150 * time.Millisecond
	readInterval  = 300 * time.Millisecond
	// readTimeout is over the second that a listing may wait.
	readTimeout = 2500 * time.Millisecond
	// settleTime is how soon every gateway in touch knows an accepted job.
	settleTime = time.Second
	// finishTime is how long after the faults every item must have its result.
	finishTime = 18 * time.Second
)

// itemID names the item at a place of a job; what is wrong with it is in its name.
func itemID(op Op, i int) string {
	id := fmt.Sprintf("%s-item%d", op.ID, i)
	switch i {
	case op.Poison:
		return id + poisonMark
	case op.Failing:
		return id + failingMark
	}
	return id
}

func itemBody(op Op, i int) string { return "body of " + itemID(op, i) }

// itemText is the whole output of an item.
func itemText(id string) string {
	lines := make([]string, streamSize)
	for n := range lines {
		lines[n] = platformtest.EventData(id, n+1)
	}
	return strings.Join(lines, "\n")
}

func jobDocument(op Op) (string, error) {
	type item struct {
		ID      string `json:"Id"`
		Path    string
		Headers map[string]string
		Body    string
		Tokens  int
	}
	var items []item
	for i := range op.Items {
		items = append(items, item{
			ID: itemID(op, i), Path: "/batch/" + itemID(op, i), Headers: map[string]string{"Model": "m"},
			Body: base64.StdEncoding.EncodeToString([]byte(itemBody(op, i))), Tokens: 10,
		})
	}
	raw, err := json.Marshal(map[string]any{"Items": items})
	return string(raw), err
}

// job submits a job, reads it while the faults strike, and reads the whole of it
// at each gateway after them.
func (r *Round) job(ctx context.Context, op Op) {
	rec := &JobRecord{Op: op}
	defer r.history.add(func(h *History) { h.Jobs = append(h.Jobs, rec) })
	r.submit(ctx, rec)
	if rec.Accepted.IsZero() {
		return
	}
	r.watchJob(ctx, rec)
	for _, g := range r.gateways {
		r.readWhole(ctx, rec, g)
	}
}

// submit sends a job again, at another gateway, until it is accepted.
func (r *Round) submit(ctx context.Context, rec *JobRecord) {
	document, err := jobDocument(rec.Op)
	if err != nil {
		r.fail(err)
		return
	}
	rec.Refused = true
	for range submitTries {
		status, _, err := r.jobCall(ctx, http.MethodPost, r.rotation.pick(), "/batch/"+rec.Op.ID, rec.Op.ID, document, submitTimeout)
		if err == nil && status == http.StatusAccepted {
			rec.Accepted = time.Now()
			rec.Refused = false
			return
		}
		rec.Refused = rec.Refused && err == nil && promisesNotRun(status)
		delay.Wait(ctx, resendDelay)
	}
}

// promisesNotRun reports whether a status says that a request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// jobCall makes a call about a job on a connection of its own.
func (r *Round) jobCall(ctx context.Context, method string, g *proctest.Gateway, path, id, body string, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := newRequest(ctx, method, g.CallerLink.Addr, path, id, body)
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Wait-Ms", "1000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, errors.WithStack(err)
}

// watchJob reads on from what was read, asks for bodies and ends the job if that
// is planned, until every fault has ended and every item has its result.
func (r *Round) watchJob(ctx context.Context, rec *JobRecord) {
	after := 0
	for ctx.Err() == nil && !r.overdue() {
		if rec.Op.EndAfter > 0 && rec.EndAcked.IsZero() && time.Since(rec.Accepted) >= rec.Op.EndAfter {
			r.end(ctx, rec)
		}
		g := r.rotation.pick()
		if l, ok := r.list(ctx, rec, g, after); ok {
			after = l.From + len(l.Results)
			rec.Listings = append(rec.Listings, l)
		}
		r.body(ctx, rec, g)
		if r.isHealed() && (after >= rec.Op.Items || !rec.EndAcked.IsZero()) {
			return
		}
		delay.Wait(ctx, readInterval)
	}
}

func (r *Round) end(ctx context.Context, rec *JobRecord) {
	if rec.EndAsked.IsZero() {
		rec.EndAsked = time.Now()
	}
	status, _, err := r.jobCall(ctx, http.MethodDelete, r.rotation.pick(), "/api/lots/"+rec.Op.ID, "end", "", submitTimeout)
	if err == nil && status == http.StatusOK {
		rec.EndAcked = time.Now()
	}
}

// list reads one page of results.
func (r *Round) list(ctx context.Context, rec *JobRecord, g *proctest.Gateway, after int) (Listing, bool) {
	sent := time.Now()
	path := fmt.Sprintf("/api/lots/%s?After=%d", rec.Op.ID, after)
	status, raw, err := r.jobCall(ctx, http.MethodGet, g, path, "read", "", readTimeout)
	if err != nil {
		return Listing{}, false
	}
	if status == http.StatusNotFound || status == http.StatusGone {
		r.missing(rec, sent, g, path, status)
	}
	if status != http.StatusOK {
		return Listing{}, false
	}
	var page struct {
		Total, Next int
		Results     []struct {
			ID          string `json:"Id"`
			State, Text string
		}
	}
	if err := json.Unmarshal(raw, &page); err != nil {
		rec.Missing = append(rec.Missing, fmt.Sprintf("%s at %s: %v", path, g.Name, err))
		return Listing{}, false
	}
	l := Listing{At: sent, Gateway: g.Name, From: after, Total: page.Total}
	for _, result := range page.Results {
		l.Results = append(l.Results, Result(result))
	}
	return l, true
}

// missing notes that an accepted job was said not to be there, once every
// gateway in touch must know it.
func (r *Round) missing(rec *JobRecord, sent time.Time, g *proctest.Gateway, path string, status int) {
	known := rec.Accepted.Add(settleTime)
	if sent.Before(known) || !r.inTouch(g.Name, known, time.Now()) {
		return
	}
	rec.Missing = append(rec.Missing, fmt.Sprintf("%s at %s: status %d, %s after the acceptance", path, g.Name, status, sent.Sub(rec.Accepted)))
}

// body asks for the body of an item that may not be listed yet. A 404 is right
// once the item is listed.
func (r *Round) body(ctx context.Context, rec *JobRecord, g *proctest.Gateway) {
	i := len(rec.Listings) % rec.Op.Items
	sent := time.Now()
	path := fmt.Sprintf("/api/items/%s?Id=%s", rec.Op.ID, itemID(rec.Op, i))
	status, raw, err := r.jobCall(ctx, http.MethodGet, g, path, "read", "", readTimeout)
	switch {
	case err != nil:
	case status == http.StatusOK && string(raw) != itemBody(rec.Op, i):
		rec.WrongBodies = append(rec.WrongBodies, fmt.Sprintf("%s at %s: %q", path, g.Name, raw))
	case status == http.StatusNotFound && sent.After(rec.Accepted.Add(settleTime)) && rec.EndAsked.IsZero():
		rec.MissingBodies = append(rec.MissingBodies, MissingBody{itemID(rec.Op, i), g.Name, sent})
	}
}

// readWhole reads every result at one gateway after the faults.
func (r *Round) readWhole(ctx context.Context, rec *JobRecord, g *proctest.Gateway) {
	whole := Listing{Gateway: g.Name}
	for ctx.Err() == nil {
		l, ok := r.list(ctx, rec, g, len(whole.Results))
		if !ok && r.overdue() {
			break
		}
		if !ok {
			delay.Wait(ctx, readInterval)
			continue
		}
		whole.At, whole.Total = l.At, l.Total
		whole.Results = append(whole.Results, l.Results...)
		if len(l.Results) == 0 || len(whole.Results) >= l.Total {
			break
		}
	}
	rec.Final = append(rec.Final, whole)
}
