package gatewayd_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// addStalling registers a backend server of service svc with many slots that sends head, in which %s is the id of
// the request, and rest, and then nothing more.
func (d *deployment) addStalling(id, head string, rest []byte) {
	d.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go stall(c, head, rest)
		}
	}()
	d.write(platform.BackendTopic, id, fmt.Sprintf(
		`{"Service":"svc","Address":"%s","Zone":"z","Version":"v1","Slots":1000,"State":"ready","ColdRemainingMs":0,"Seq":1,"born":1}`, ln.Addr()))
}

func stall(c net.Conn, head string, rest []byte) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, head, req.Header.Get("Request-Id")) // a broken connection is detected by the next write
	if _, err := c.Write(rest); err != nil {
		return
	}
	_, _ = r.Peek(int(max(req.ContentLength, 0)) + 1) // until the connection is closed
}

// addOther adds a service with a sound backend server, and a route to it.
func (d *deployment) addOther() {
	d.t.Helper()
	d.write(platform.ConfigTopic, platform.ConfigKey, strings.NewReplacer(
		`"Version":3,"Routes":[`, `"Version":4,"Routes":[{"Name":"o","Host":"h.example","PathPrefix":"/other/","RouteType":"stream","TimeoutMs":5000,"TargetLatencyMs":300,"Service":"other","MaxAttempts":2,"Resumable":true},`,
		`"Services":[`, `"Services":[{"Name":"other","HealthPath":"/health","MaxConnections":100},`,
		`"MaxConnections":100}],"Limits"`, `"MaxConnections":2000}],"Limits"`).Replace(config))
	b := platformtest.NewBackend(d.t, "other-0")
	d.write(platform.BackendTopic, b.ID, fmt.Sprintf(
		`{"Service":"other","Address":"%s","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Seq":1,"born":%d}`, b.Address, b.Born))
}

// keptHeap returns the median of what the process has on its heap while f runs, beyond what it has before. At
// single moments there is garbage, too.
func keptHeap(f func()) int64 {
	live := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := live()
	var samples []int64
	done := make(chan struct{})
	go func() { f(); close(done) }()
	sample := time.NewTicker(50 * time.Millisecond)
	defer sample.Stop()
	for {
		select {
		case <-done:
			slices.Sort(samples)
			return samples[len(samples)/2]
		case <-sample.C:
			samples = append(samples, live()-before)
		}
	}
}

// TestEventsWithoutEndUseABoundedMemoryTogether covers a faulty server under many requests at once, each of which
// stays within its own bounds.
func TestEventsWithoutEndUseABoundedMemoryTogether(t *testing.T) {
	const (
		callers = 400
		// budget is that of a process of unknown memory, callerBytes what a request needs otherwise.
		budget      = 8 << 20
		callerBytes = 64 << 10
		head        = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	event := []byte("id: 1\ndata: " + strings.Repeat("x", 250<<10))
	d := newDeployment(t, 0)
	d.addOther()
	d.addStalling("i-0", head, event)
	d.addStalling("i-1", head, event)
	g := d.startWith("front-1", io.Discard, func(*platform.Settings) {})
	kept := keptHeap(func() {
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() { g.sendRaw(t, fmt.Sprint(i)) })
		}
		for i := range 10 {
			id := fmt.Sprint("other-", i)
			resp, body := g.send(t, http.MethodPost, "/other/1", id, "")
			assert.Check(t, resp.StatusCode == http.StatusOK && strings.Contains(body, platformtest.EventData(id, 5)), "%d %s", resp.StatusCode, body)
		}
		wg.Wait()
	})
	assert.Assert(t, kept <= budget+callers*callerBytes, "%d bytes", kept)
}

// sendRaw makes a stream request for 3 s and reads what comes, with little memory of its own.
func (g *gateway) sendRaw(t *testing.T, id string) {
	c, err := net.Dial("tcp", g.address)
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
	buf := make([]byte, 512)
	for err == nil {
		_, err = c.Read(buf)
	}
}

// manyEvents returns n events of eventBytes bytes of data.
func manyEvents(n, eventBytes int) []byte {
	var out bytes.Buffer
	data := strings.Repeat("x", eventBytes)
	for i := range n {
		_, _ = fmt.Fprintf(&out, "id: %d\ndata: %s\n\n", i+1, data)
	}
	return out.Bytes()
}

// TestItemsWithoutEndUseABoundedMemoryTogether covers faulty servers that send output without end to many items, and
// the items once the servers have gone.
func TestItemsWithoutEndUseABoundedMemoryTogether(t *testing.T) {
	const (
		items = 40
		// budget is that of a process of unknown memory. itemBytes is what an item needs otherwise, with its
		// progress on the log, which is in this process.
		budget    = 8 << 20
		itemBytes = 512 << 10
		head      = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	output := manyEvents(3800, 1000)
	d := newDeployment(t, 0)
	d.addOther()
	d.addStalling("i-0", head, output)
	d.addStalling("i-1", head, output)
	g := d.startWith("front-1", io.Discard, func(*platform.Settings) {})
	kept := keptHeap(func() {
		resp, _ := g.send(t, http.MethodPost, "/batch/j", "job-1", batchJob(items))
		assert.Check(t, resp.StatusCode == http.StatusAccepted)
		begin := time.Now()
		for i := 0; time.Since(begin) < 6*time.Second; i++ {
			id := fmt.Sprint("other-", i)
			resp, body := g.send(t, http.MethodPost, "/other/1", id, "")
			assert.Check(t, resp.StatusCode == http.StatusOK && strings.Contains(body, platformtest.EventData(id, 5)), "%d %s", resp.StatusCode, body)
		}
	})
	assert.Check(t, kept <= budget+items*itemBytes, "%d bytes", kept)
	sound := d.addBackend("i-2", "v1")
	d.remove("i-0")
	d.remove("i-1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := g.countComplete(t, "job-1"); n < items {
			return poll.Continue("%d items are complete", n)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	assert.Assert(t, len(sound.Requests()) >= items)
}

// countComplete returns how many items of a job are complete, from all pages of its listing.
func (g *gateway) countComplete(t *testing.T, job string) int {
	t.Helper()
	complete := 0
	for after := 0; ; {
		var l listing
		resp, body := g.send(t, http.MethodGet, fmt.Sprintf("/api/lots/%s?After=%d", job, after), "read", "")
		if resp.StatusCode != http.StatusOK || json.Unmarshal([]byte(body), &l) != nil || len(l.Results) == 0 {
			return complete
		}
		for _, r := range l.Results {
			if r.State == "completed" {
				complete++
			}
		}
		after += len(l.Results)
	}
}

// remove removes the registration of a backend server.
func (d *deployment) remove(id string) {
	d.t.Helper()
	_, err := d.store.Log.Append(d.t.Context(), keyedlog.Partition{Topic: platform.BackendTopic}, []keyedlog.Record{{Key: id}}, keyedlog.Condition{})
	assert.NilError(d.t, err)
}
