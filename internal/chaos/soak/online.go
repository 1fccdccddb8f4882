package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	// deadline is the deadline that a caller sends, callerTimeout how long it really
	// waits.
	deadline      = 4 * time.Second
	callerTimeout = 8 * time.Second

	connectTimeout = time.Second
	// anyGateway is the host name whose connections are balanced over the gateways.
	anyGateway = "gateways.test"

	probeInterval = 200 * time.Millisecond
	// missedProbes is the number of failed probes that takes a gateway out of rotation.
	missedProbes = 2
)

// caller is a client that keeps its connections open until the gateway closes them.
type caller struct {
	client   *http.Client
	rotation *rotation
}

func newCaller(r *rotation) *caller {
	return &caller{rotation: r, client: &http.Client{Transport: &http.Transport{DialContext: r.dial}}}
}

// rotation stands in for the platform's load balancer. It probes the gateways and selects
// one for each new connection.
type rotation struct {
	gateways []*proctest.Gateway

	mu     sync.Mutex
	missed map[*proctest.Gateway]int
	next   int
}

// run probes the gateways until ctx ends.
func (r *rotation) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range r.gateways {
		wg.Go(func() {
			for ctx.Err() == nil {
				r.record(g, g.Ready())
				delay.Wait(ctx, probeInterval)
			}
		})
	}
	wg.Wait()
}

func (r *rotation) record(g *proctest.Gateway, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missed[g]++
	if ready {
		r.missed[g] = 0
	}
}

// pick returns the gateway for a new connection. If none is ready, it picks from all.
func (r *rotation) pick() *proctest.Gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	for i := range r.gateways {
		g := r.gateways[(r.next+i)%len(r.gateways)]
		if r.missed[g] < missedProbes {
			return g
		}
	}
	return r.gateways[r.next%len(r.gateways)]
}

// dial connects to the gateway that pick returns, whatever the address.
func (r *rotation) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, network, r.pick().CallerLink.Addr)
}

// gatewayName returns the name of the gateway whose callers connect to an address.
func (r *rotation) gatewayName(addr net.Addr) string {
	for _, g := range r.gateways {
		if g.CallerLink.Addr == addr.String() {
			return g.Name
		}
	}
	return ""
}

// paths are the path prefixes of the kinds of requests.
var paths = map[OpKind]string{
	Stream: "/stream/", FinalStream: "/final/", SafeCall: "/call-safe/", UnsafeCall: "/call-once/",
}

// send sends a request once and records what the caller received.
func (c *caller) send(ctx context.Context, op Op) Record {
	rec := Record{Op: op, Start: time.Now()}
	limit := callerTimeout
	if op.LeaveAfter > 0 {
		limit = op.LeaveAfter
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := c.exchange(ctx, &rec)
	rec.End = time.Now()
	rec.Disconnected = err != nil && op.LeaveAfter > 0 && ctx.Err() != nil
	if err != nil {
		rec.Err = err.Error()
	}
	return rec
}

func (c *caller) exchange(ctx context.Context, rec *Record) error {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { rec.Gateway = c.rotation.gatewayName(i.Conn.RemoteAddr()) },
	})
	req, err := newRequest(ctx, http.MethodPost, anyGateway, paths[rec.Op.Kind]+rec.Op.ID, rec.Op.ID, "body of "+rec.Op.ID, key(workspaceOf(rec.Op)))
	if err != nil {
		return err
	}
	if op := rec.Op; op.Resumes != "" {
		req.Header.Set("Resumes", op.Resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(op.ResumeAfter))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	rec.Status, rec.Backend = resp.StatusCode, resp.Header.Get("Response-Stamp")
	body, err := io.ReadAll(resp.Body)
	rec.Body, rec.Complete = string(body), err == nil
	return errors.WithStack(err)
}

// resumedSuffix is the suffix of the id of an attempt that resumes a stream.
const resumedSuffix = "-resumed"

// resume returns the operation that goes on with a stream that was broken off, or false if there
// is nothing to go on with.
func (r Record) resume() (Op, bool) {
	events := strings.Count(r.Body, "\n\n")
	if r.Op.Kind != Stream || r.Op.Resumes != "" || r.Complete || r.Disconnected || events == 0 {
		return Op{}, false
	}
	op := r.Op
	op.ID, op.Resumes, op.ResumeAfter = r.Op.ID+resumedSuffix, r.Op.ID, events
	return op, true
}

func newRequest(ctx context.Context, method, address, path, id, body, key string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Tenant", forgedWorkspace)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return req, nil
}

// wantBody returns the body of the complete response to a request.
func wantBody(op Op) string {
	if op.Kind == SafeCall || op.Kind == UnsafeCall {
		return "answer " + op.ID
	}
	var b strings.Builder
	for n := op.ResumeAfter + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, platformtest.EventData(op.ID, n))
	}
	return b.String()
}
