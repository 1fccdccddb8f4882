package chaos

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

const (
	probeInterval = 50 * time.Millisecond
	// callTimeout is longer than any service's deadline.
	callTimeout       = 25 * time.Second
	dialTimeout       = time.Second
	dialRetryInterval = 50 * time.Millisecond
	dialRetryTimeout  = 5 * time.Second
)

var errNoEntry = errors.New("chaos: no ready entry accepts a connection")

// balancer stands in for the platform's load balancer: it probes the readiness of
// the entries, and connects to the next entry if one refuses a connection.
type balancer struct {
	nodes []*proctest.Node

	mu    sync.Mutex
	ready map[*proctest.Node]bool
}

func newBalancer(nodes []*proctest.Node) *balancer {
	return &balancer{nodes: nodes, ready: make(map[*proctest.Node]bool)}
}

// run probes the entries until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range b.nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				ok := n.Ready()
				b.mu.Lock()
				b.ready[n] = ok
				b.mu.Unlock()
				delay.Wait(ctx, probeInterval)
			}
		})
	}
	wg.Wait()
}

// readyFrom returns the ready entries in order, starting at an index.
func (b *balancer) readyFrom(index int) []*proctest.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*proctest.Node
	for i := range b.nodes {
		if n := b.nodes[(i+index)%len(b.nodes)]; b.ready[n] {
			out = append(out, n)
		}
	}
	return out
}

// dial connects to the first ready entry that accepts the connection.
func (b *balancer) dial(ctx context.Context, index int) (net.Conn, *proctest.Node, error) {
	d := net.Dialer{Timeout: dialTimeout}
	for end := time.Now().Add(dialRetryTimeout); time.Now().Before(end) && ctx.Err() == nil; delay.Wait(ctx, dialRetryInterval) {
		for _, n := range b.readyFrom(index) {
			if conn, err := d.DialContext(ctx, "tcp", n.CallerAddr()); err == nil {
				return conn, n, nil
			}
		}
	}
	return nil, nil, errNoEntry
}

// client returns an HTTP client for a single request. It never sends a request
// twice. via returns the entry that accepted the connection.
func (b *balancer) client(index int) (c *http.Client, via func() *proctest.Node) {
	var mu sync.Mutex
	var node *proctest.Node
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, n, err := b.dial(ctx, index)
		mu.Lock()
		node = n
		mu.Unlock()
		return conn, err
	}
	via = func() *proctest.Node {
		mu.Lock()
		defer mu.Unlock()
		return node
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}, via
}
