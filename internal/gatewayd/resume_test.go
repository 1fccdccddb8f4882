package gatewayd_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// beginStream reads the first events of a stream, disconnects and returns the id of the
// backend server that began it.
func (g *gateway) beginStream(t *testing.T, id string, events int) (server string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp := g.streamRequest(ctx, t, id, nil)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	lines := bufio.NewScanner(resp.Body)
	for last := fmt.Sprint("id: ", events); lines.Scan() && lines.Text() != last; {
	}
	assert.NilError(t, lines.Err())
	return resp.Header.Get("Response-Stamp")
}

func (g *gateway) streamRequest(ctx context.Context, t *testing.T, id string, header map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+"/stream/1", strings.NewReader("x"))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	return resp
}

func TestResumedStreamStaysAtItsVersionAtAnotherGateway(t *testing.T) {
	d := newDeployment(t, 0)
	version := make(map[string]string)
	for i := range 4 {
		b := d.addBackend(fmt.Sprint("i-", i), fmt.Sprint("v", 1+i%2))
		b.Events, b.EventInterval = 40, 10*time.Millisecond
		version[b.ID] = b.Version
	}
	first, second := d.start("a"), d.start("b")
	first.waitKnownTo(t, second)
	for i := range 10 {
		id := fmt.Sprint("r", i)
		began := first.beginStream(t, id, 3)
		resp := second.streamRequest(t.Context(), t, id+"-again", map[string]string{"Last-Event-Id": "3", "Resumes": id})
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, version[resp.Header.Get("Response-Stamp")], version[began])
		_ = resp.Body.Close()
	}
}

// waitKnownTo waits until another gateway finds out what began the streams of g. One that has just
// started refuses to resume them, as it knows of no other gateway yet.
func (g *gateway) waitKnownTo(t *testing.T, other *gateway) {
	t.Helper()
	tries := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		tries++
		id := fmt.Sprint("known", tries)
		g.beginStream(t, id, 3)
		resp := other.streamRequest(t.Context(), t, id+"-again", map[string]string{"Last-Event-Id": "3", "Resumes": id})
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond))
}

func TestStreamOfUnknownVersionIsNotResumed(t *testing.T) {
	d := newDeployment(t, 1)
	d.addBackend("next", "v2")
	g := d.start("a")
	for _, header := range []map[string]string{{"Last-Event-Id": "3", "Resumes": "never-seen"}, {"Last-Event-Id": "3"}} {
		resp := g.streamRequest(t.Context(), t, "r", header)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		_ = resp.Body.Close()
	}
	for _, b := range d.backends {
		assert.Equal(t, b.Runs("r"), 0)
	}
}
