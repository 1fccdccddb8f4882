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
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	poisonSuffix  = "-poison"
	failingSuffix = "-failing"

	// submitTimeout bounds each submission, submitTries their number.
	submitTimeout = 3 * time.Second
	submitTries   = 5
	resendDelay   = 150 * time.Millisecond
	readInterval  = 300 * time.Millisecond
	// readTimeout is longer than the second for which a listing may block.
	readTimeout = 2500 * time.Millisecond
	// propagationTime is how soon an accepted job is visible at every undisturbed gateway.
	propagationTime = time.Second
	// finishTime is how long after the faults all items must have their results.
	finishTime = 18 * time.Second
)

// itemID returns the id of a job's i-th item. A suffix marks items that always fail.
func itemID(op Op, i int) string {
	id := fmt.Sprintf("%s-item%d", op.ID, i)
	switch i {
	case op.Poison:
		return id + poisonSuffix
	case op.Failing:
		return id + failingSuffix
	}
	return id
}

func itemBody(op Op, i int) string { return "body of " + itemID(op, i) }

// itemText returns the complete output of an item.
func itemText(id string) string {
	lines := make([]string, streamEvents)
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

// runJob submits a job, reads it during the faults, and reads all results at each gateway
// after them.
func (r *Round) runJob(ctx context.Context, op Op) {
	rec := &JobRecord{Op: op}
	defer r.history.update(func(h *History) { h.Jobs = append(h.Jobs, rec) })
	r.submit(ctx, rec)
	if rec.Accepted.IsZero() {
		return
	}
	r.watchJob(ctx, rec)
	for _, g := range r.gateways {
		r.readAll(ctx, rec, g)
	}
}

// submit submits a job, each time at another gateway, until it is accepted.
func (r *Round) submit(ctx context.Context, rec *JobRecord) {
	document, err := jobDocument(rec.Op)
	if err != nil {
		r.recordError(err)
		return
	}
	rec.Refused = true
	for range submitTries {
		status, _, err := r.jobCall(ctx, http.MethodPost, r.rotation.pick(), "/batch/"+rec.Op.ID, rec.Op.ID, document, key(workspaceOf(rec.Op)), submitTimeout)
		if err == nil && status == http.StatusAccepted {
			rec.Accepted = time.Now()
			rec.Refused = false
			return
		}
		rec.Refused = rec.Refused && err == nil && statusMeansNotRun(status)
		delay.Wait(ctx, resendDelay)
	}
}

// statusMeansNotRun reports whether a status promises that a request has not run and
// never will.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// jobCall sends a request about a job on a new connection.
func (r *Round) jobCall(ctx context.Context, method string, g *proctest.Gateway, path, id, body, key string, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := newRequest(ctx, method, g.CallerLink.Addr, path, id, body, key)
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

// watchJob reads the listing page by page and item bodies, and ends the job if that is
// planned, until every fault has ended and every item has its result.
func (r *Round) watchJob(ctx context.Context, rec *JobRecord) {
	after := 0
	for ctx.Err() == nil && !r.overdue() {
		if rec.Op.EndAfter > 0 && rec.EndAcked.IsZero() && time.Since(rec.Accepted) >= rec.Op.EndAfter {
			r.endJob(ctx, rec)
		}
		g := r.rotation.pick()
		if l, ok := r.listResults(ctx, rec, g, after); ok {
			after = l.From + len(l.Results)
			rec.Listings = append(rec.Listings, l)
		}
		r.readBody(ctx, rec, g)
		r.readAsOther(ctx, rec, g)
		if r.faultsEnded() && (after >= rec.Op.Items || !rec.EndAcked.IsZero()) {
			return
		}
		delay.Wait(ctx, readInterval)
	}
}

func (r *Round) endJob(ctx context.Context, rec *JobRecord) {
	if rec.EndRequested.IsZero() {
		rec.EndRequested = time.Now()
	}
	status, _, err := r.jobCall(ctx, http.MethodDelete, r.rotation.pick(), platform.JobPath+rec.Op.ID, "end", "", key(workspaceOf(rec.Op)), submitTimeout)
	if err == nil && status == http.StatusOK {
		rec.EndAcked = time.Now()
	}
}

// listResults reads a page of results.
func (r *Round) listResults(ctx context.Context, rec *JobRecord, g *proctest.Gateway, after int) (Listing, bool) {
	sent := time.Now()
	path := fmt.Sprintf("%s%s?After=%d", platform.JobPath, rec.Op.ID, after)
	status, raw, err := r.jobCall(ctx, http.MethodGet, g, path, "read", "", key(workspaceOf(rec.Op)), readTimeout)
	if err != nil {
		return Listing{}, false
	}
	if status == http.StatusNotFound || status == http.StatusGone {
		r.recordMissing(rec, sent, g, path, status)
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

// recordMissing records that an accepted job was not found, if the job had to be visible
// at the gateway by then.
func (r *Round) recordMissing(rec *JobRecord, sent time.Time, g *proctest.Gateway, path string, status int) {
	known := rec.Accepted.Add(propagationTime)
	if sent.Before(known) || !r.undisturbedDuring(g.Name, known, time.Now()) {
		return
	}
	rec.Missing = append(rec.Missing, fmt.Sprintf("%s at %s: status %d, %s after the acceptance", path, g.Name, status, sent.Sub(rec.Accepted)))
}

// readBody requests the body of an item that may not be listed yet. A 404 is correct once
// the item is listed.
func (r *Round) readBody(ctx context.Context, rec *JobRecord, g *proctest.Gateway) {
	i := len(rec.Listings) % rec.Op.Items
	sent := time.Now()
	path := fmt.Sprintf("/api/items/%s?Id=%s", rec.Op.ID, itemID(rec.Op, i))
	status, raw, err := r.jobCall(ctx, http.MethodGet, g, path, "read", "", key(workspaceOf(rec.Op)), readTimeout)
	switch {
	case err != nil:
	case status == http.StatusOK && string(raw) != itemBody(rec.Op, i):
		rec.WrongBodies = append(rec.WrongBodies, fmt.Sprintf("%s at %s: %q", path, g.Name, raw))
	case status == http.StatusNotFound && sent.After(rec.Accepted.Add(propagationTime)) && rec.EndRequested.IsZero():
		rec.MissingBodies = append(rec.MissingBodies, MissingBody{itemID(rec.Op, i), g.Name, sent})
	}
}

// readAsOther reads the job with a key of another workspace.
func (r *Round) readAsOther(ctx context.Context, rec *JobRecord, g *proctest.Gateway) {
	if !r.plan.Workspaces {
		return
	}
	for _, path := range []string{platform.JobPath + rec.Op.ID, fmt.Sprintf("/api/items/%s?Id=%s", rec.Op.ID, itemID(rec.Op, 0))} {
		status, raw, err := r.jobCall(ctx, http.MethodGet, g, path, "other", "", otherKey(rec.Op), readTimeout)
		if err == nil && status == http.StatusOK {
			rec.ShownToOthers = append(rec.ShownToOthers, fmt.Sprintf("%s at %s: %q", path, g.Name, raw))
		}
	}
}

// readAll reads all results at one gateway after the faults.
func (r *Round) readAll(ctx context.Context, rec *JobRecord, g *proctest.Gateway) {
	whole := Listing{Gateway: g.Name}
	for ctx.Err() == nil {
		l, ok := r.listResults(ctx, rec, g, len(whole.Results))
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
