package capacity

import (
	"context"
	"io"
	"runtime"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/internal/peer"
	"github.com/catkinrudder/catkinrudder/internal/sidecar"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
)

// idleWindow is how long the traffic of idle connections is counted: several
// times the interval of the health checks of internal/peer.
const idleWindow = 9 * time.Second

// connections holds open connections of the online class from entries to one
// sidecar.
type connections struct {
	*loopback
	open []*peer.Clients
}

func openConnections(ctx context.Context, n int) (*connections, error) {
	path, h := peerv1connect.NewSidecarHandler(sidecar.New(sidecarSettings(unusedAddr), log.New(io.Discard)))
	l, err := newLoopback(ctx, path, h)
	if err != nil {
		return nil, err
	}
	c := &connections{loopback: l}
	for range n {
		clients := peer.NewClients()
		c.open = append(c.open, clients)
		if err := reportOnline(ctx, clients, l.addr); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// reportOnline makes a Report call on the connection of the online class, which
// opens it.
func reportOnline(ctx context.Context, clients *peer.Clients, addr string) error {
	_, err := clients.Online(addr).Report(ctx, connect.NewRequest(&peerv1.ReportRequest{}))
	return errors.Wrap(err, "capacity: report")
}

func (c *connections) close() {
	for _, clients := range c.open {
		clients.Close()
	}
	c.stop()
}

func measureConnections(ctx context.Context) ([]Quantity, error) {
	memory, err := measureSizes(Quantity{ID: "connection.memory", Help: "heap and stacks of both sides", Unit: Bytes, Per: "connection"},
		[]int{25, 50, 200}, func(n int) (float64, error) { return connectionMemory(ctx, n) })
	if err != nil {
		return nil, err
	}
	idle, err := idleTraffic(ctx, []int{10, 20, 80})
	return []Quantity{memory, idle}, err
}

func connectionMemory(ctx context.Context, n int) (float64, error) {
	before := liveMemory()
	c, err := openConnections(ctx, n)
	if err != nil {
		return 0, err
	}
	defer c.close()
	return float64(liveMemory()) - float64(before), nil
}

// liveMemory returns the bytes of live heap objects and of stacks in use.
func liveMemory() uint64 {
	heap := liveHeap()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + m.StackInuse
}

// idleTraffic measures the bytes per second on idle connections. All sizes are
// measured at the same time.
func idleTraffic(ctx context.Context, sizes []int) (Quantity, error) {
	q := Quantity{
		ID: "connection.idle", Help: "health checks, both directions", Unit: BytesPerSecond, Per: "connection",
		Points: make([]Point, len(sizes)),
	}
	var g errgroup.Group
	for i, n := range sizes {
		g.Go(func() error {
			c, err := openConnections(ctx, n)
			if err != nil {
				return err
			}
			defer c.close()
			before := c.bytes.Load()
			time.Sleep(idleWindow)
			q.Points[i] = Point{float64(n), float64(c.bytes.Load()-before) / idleWindow.Seconds()}
			return nil
		})
	}
	err := g.Wait()
	q.Line = Fit(q.Points)
	return q, err
}
