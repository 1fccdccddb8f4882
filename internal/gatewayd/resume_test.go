package gatewayd_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
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

// TestStreamIsNotJoinedAfterAllGatewaysWereLost covers gateways that are lost together while a
// version leaves service: those that start know only the version that has stayed, and the callers
// of the other one do not name the attempt that they resume.
func TestStreamIsNotJoinedAfterAllGatewaysWereLost(t *testing.T) {
	d := newDeployment(t, 0)
	old := d.addSlowBackend("old", "v1")
	gateways := []*gateway{d.start("a"), d.start("b")}
	gateways[0].beginStream(t, "r", 3)
	next := d.addSlowBackend("next", "v2")
	gateways[1].waitServedBy(t, next.ID)
	d.deregister(old)
	for _, g := range gateways {
		g.stop()
		assert.NilError(t, <-g.done)
	}
	for _, name := range []string{"a", "b"} {
		g := d.start(name)
		resp := g.streamRequest(t.Context(), t, "r-again-"+name, map[string]string{"Last-Event-Id": "3"})
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, next.Runs("r-again-"+name), 0)
	}
}

// TestStreamOfTheOnlyVersionIsResumedAfterAllGatewaysWereLost is the same without a second version.
func TestStreamOfTheOnlyVersionIsResumedAfterAllGatewaysWereLost(t *testing.T) {
	d := newDeployment(t, 0)
	d.addSlowBackend("only", "v1")
	g := d.start("a")
	g.beginStream(t, "r", 3)
	d.waitSoftwareRecorded("v1")
	g.stop()
	assert.NilError(t, <-g.done)
	g = d.start("a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp := g.streamRequest(t.Context(), t, "r-again", map[string]string{"Last-Event-Id": "3"})
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d", resp.StatusCode)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond))
}

// addSlowBackend adds a backend server whose streams last long enough to be cut.
func (d *deployment) addSlowBackend(id, version string) *platformtest.Backend {
	d.t.Helper()
	b := d.addBackend(id, version)
	b.Events, b.EventInterval = 40, 10*time.Millisecond
	return b
}

// deregister removes the registration of a backend server.
func (d *deployment) deregister(b *platformtest.Backend) {
	d.t.Helper()
	_, err := d.store.Log.Append(d.t.Context(), keyedlog.Partition{Topic: platform.BackendTopic}, []keyedlog.Record{{Key: b.ID}}, keyedlog.Condition{})
	assert.NilError(d.t, err)
}

// waitServedBy waits until a backend server begins streams of g.
func (g *gateway) waitServedBy(t *testing.T, id string) {
	t.Helper()
	tries := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		tries++
		if by := g.beginStream(t, fmt.Sprint("probe", tries), 1); by != id {
			return poll.Continue("served by %s", by)
		}
		return poll.Success()
	}, poll.WithDelay(20*time.Millisecond))
}

// waitSoftwareRecorded waits until the store holds that a version has been in service.
func (d *deployment) waitSoftwareRecorded(version string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		page, err := d.store.Log.Newest(d.t.Context(), keyedlog.Partition{Topic: platform.KeyedTopic("software")}, "")
		if err == nil && slices.ContainsFunc(page.Records, func(r keyedlog.Record) bool { return strings.Contains(string(r.Value), version) }) {
			return poll.Success()
		}
		return poll.Continue("%d records, %v", len(page.Records), err)
	})
}

// TestStreamIsNotResumedOnAStaleViewOfTheServers covers a gateway that reaches the store but does not
// read the registrations: another gateway may have begun the stream at a version it does not know.
func TestStreamIsNotResumedOnAStaleViewOfTheServers(t *testing.T) {
	d := newDeployment(t, 0)
	known := d.addSlowBackend("known", "v1")
	g := d.start("a")
	g.beginStream(t, "r", 3)
	d.waitSoftwareRecorded("v1")
	d.store.Log.SetFault(func(_ string, p keyedlog.Partition) keyedlogtest.Fault {
		if p.Topic == platform.BackendTopic {
			return keyedlogtest.DropRequest
		}
		return keyedlogtest.None
	})
	tries := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		tries++
		id := fmt.Sprint("again", tries)
		resp := g.streamRequest(t.Context(), t, id, map[string]string{"Last-Event-Id": "3"})
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			return poll.Continue("status %d", resp.StatusCode)
		}
		assert.Equal(t, known.Runs(id), 0)
		return poll.Success()
	}, poll.WithDelay(100*time.Millisecond), poll.WithTimeout(6*time.Second))
}
