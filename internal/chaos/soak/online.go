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
	// deadline is how long a caller waits by its own word, patience how long it
	// really does.
	deadline = 4 * time.Second
	patience = 8 * time.Second

	connectTimeout = time.Second
	// anyGateway stands for the address at which callers are shared out.
	anyGateway = "gateways.test"

	probeInterval = 200 * time.Millisecond
	// missedProbes takes a gateway out of rotation.
	missedProbes = 2
)

// caller keeps its connections open and uses them until the gateway closes them.
type caller struct {
	client   *http.Client
	rotation *rotation
}

func newCaller(r *rotation) *caller {
	return &caller{rotation: r, client: &http.Client{Transport: &http.Transport{DialContext: r.dial}}}
}

// rotation is the platform's belief of which gateways take new connections.
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
				r.note(g, g.Ready())
				delay.Wait(ctx, probeInterval)
			}
		})
	}
	wg.Wait()
}

func (r *rotation) note(g *proctest.Gateway, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missed[g]++
	if ready {
		r.missed[g] = 0
	}
}

// pick returns the gateway of a new connection: all of them if none is ready.
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

// dial connects to a gateway that takes new connections, whatever the address.
func (r *rotation) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, network, r.pick().CallerLink.Addr)
}

// named returns the name of the gateway behind an address for callers.
func (r *rotation) named(addr net.Addr) string {
	for _, g := range r.gateways {
		if g.CallerLink.Addr == addr.String() {
			return g.Name
		}
	}
	return ""
}

// paths of the kinds of request.
var paths = map[OpKind]string{
	Stream: "/stream/", FinalStream: "/final/", SafeCall: "/call-safe/", UnsafeCall: "/call-once/",
}

// send makes one attempt of a request and records what the caller saw.
func (c *caller) send(ctx context.Context, op Op) Record {
	rec := Record{Op: op, Start: time.Now()}
	limit := patience
	if op.LeaveAfter > 0 {
		limit = op.LeaveAfter
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := c.exchange(ctx, &rec)
	rec.End = time.Now()
	rec.Left = err != nil && op.LeaveAfter > 0 && ctx.Err() != nil
	if err != nil {
		rec.Err = err.Error()
	}
	return rec
}

func (c *caller) exchange(ctx context.Context, rec *Record) error {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { rec.Gateway = c.rotation.named(i.Conn.RemoteAddr()) },
	})
	req, err := newRequest(ctx, http.MethodPost, anyGateway, paths[rec.Op.Kind]+rec.Op.ID, rec.Op.ID, "body of "+rec.Op.ID)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	rec.Status, rec.Stamp = resp.StatusCode, resp.Header.Get("Response-Stamp")
	body, err := io.ReadAll(resp.Body)
	rec.Body, rec.Whole = string(body), err == nil
	return errors.WithStack(err)
}

func newRequest(ctx context.Context, method, address, path, id, body string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return req, nil
}

// wanted is the whole answer to a request.
func wanted(op Op) string {
	if op.Kind == SafeCall || op.Kind == UnsafeCall {
		return "answer " + op.ID
	}
	var b strings.Builder
	for n := 1; n <= streamSize; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, platformtest.EventData(op.ID, n))
	}
	return b.String()
}
