package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// answer is the answer to one client attempt; status 0 is none.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
	err        error
}

// call makes one client attempt on a new channel.
func (d *deployment) call(g *gateway, method, path string, header map[string]string, body []byte, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.ip+":8144"+path, bytes.NewReader(body))
	must(err)
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{status: resp.StatusCode, body: raw, retryAfter: time.Duration(seconds * float64(time.Second))}
}

// item is one item of a batch job.
type item struct {
	ID      string `json:"Id"`
	Path    string
	Headers map[string]string
	Body    []byte
	Tokens  int64
}

// job is a batch job.
type job struct {
	id    string
	items []item
}

func newJob(id string, items, bodyBytes int, tokens int64) *job {
	j := &job{id: id}
	for i := range items {
		body := make([]byte, bodyBytes)
		for k := range body {
			body[k] = byte(i*31 + k*7 + k/251)
		}
		j.items = append(j.items, item{ID: fmt.Sprintf("%s-%03d", id, i), Path: fmt.Sprintf("%s%d/x", jobPrefix, i),
			Headers: map[string]string{"Model": "m", "Token-Counts": fmt.Sprintf("%d,%d", tokens/2, tokens-tokens/2), "Prompt-Prefix": fmt.Sprintf("9c2e41:100,%s%03d:250", "5d", i)}, Body: body, Tokens: tokens})
	}
	return j
}

func (j *job) encode() []byte {
	raw, err := json.Marshal(map[string]any{"Items": j.items})
	must(err)
	return raw
}

// submitOnce makes one attempt to submit a job.
func (d *deployment) submitOnce(g *gateway, j *job, limit time.Duration) answer {
	d.record.add("submit", "%s to %s", j.id, g.name)
	a := d.call(g, http.MethodPost, jobPrefix+j.id, map[string]string{"Request-Id": j.id, "Deadline-Ms": strconv.FormatInt(limit.Milliseconds(), 10), "Content-Type": "application/json"}, j.encode(), limit)
	d.record.add("answer", "%s from %s: %s", j.id, g.name, a)
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("none (%v)", a.err)
	}
	text := a.body
	if len(text) > 160 {
		text = text[:160]
	}
	return fmt.Sprintf("%d %s", a.status, text)
}

// listing is an answer to a read of a batch job.
type listing struct {
	Total, Next int
	Results     []struct{ ID, State, Text string }
}

func (d *deployment) list(g *gateway, id string, after int) (listing, answer) {
	a := d.call(g, http.MethodGet, "/api/lots/"+url.PathEscape(id)+"?After="+strconv.Itoa(after), nil, nil, 3*time.Second)
	var l listing
	if a.status == http.StatusOK {
		if err := json.Unmarshal(a.body, &l); err != nil {
			a.err = err
		}
	}
	return l, a
}

// itemsRun returns how many runs of a job's items have begun.
func (d *deployment) itemsRun(j *job) int {
	n := 0
	for _, w := range d.workers {
		for _, it := range j.items {
			n += w.runsOf(it.ID)
		}
	}
	return n
}

// callResult is what a client learns from the answer to a request with a single answer.
type callResult struct {
	status  int
	leaving bool
}

// callOnce sends one request with a single answer.
func callOnce(ctx context.Context, client *http.Client, g *gateway, prefix, id string) (callResult, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8144"+prefix+id, nil)
	must(err)
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	resp, err := client.Do(req)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return callResult{resp.StatusCode, resp.Header.Get("Server-Leaving") == "1"}, err
}
