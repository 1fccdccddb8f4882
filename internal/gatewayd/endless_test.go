package gatewayd_test

import (
	"bufio"
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
