package load

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const (
	pollInterval = 500 * time.Millisecond
	batchWindow  = "24h"
	chatEndpoint = "/v1/chat/completions"
)

// Run sends the load to the clients in rotation and returns a report. It returns
// after the last response; if ctx is cancelled, it returns early with a partial
// report.
func Run(ctx context.Context, cfg Config, clients []*Client) (Report, error) {
	if err := cfg.Validate(); err != nil {
		return Report{}, err
	}
	if len(clients) == 0 {
		return Report{}, errors.New("load: no entry given")
	}
	g := &generator{cfg: cfg, clients: clients, rec: newRecorder(), start: time.Now()}
	g.run(ctx)
	return g.rec.report(cfg, time.Since(g.start)), nil
}

// generator runs one load test.
type generator struct {
	cfg     Config
	clients []*Client
	rec     *recorder
	start   time.Time
	wg      sync.WaitGroup
}

func (g *generator) run(ctx context.Context) {
	// Online requests and batch jobs draw from separate sequences, so that neither
	// changes what the other draws.
	rng := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	batchRNG := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	online := arrivals(rng, g.cfg.Rate, g.cfg.Duration)
	jobs := arrivals(batchRNG, g.cfg.BatchRate/float64(g.cfg.BatchItems), g.cfg.Duration)
	// A run with a batch rate submits at least one job.
	if g.cfg.BatchRate > 0 && len(jobs) == 0 {
		jobs = []time.Duration{0}
	}
	g.wg.Go(func() {
		g.callAtStarts(ctx, online, func(i int, planned time.Time) {
			req := g.cfg.request(rng)
			g.wg.Go(func() { g.online(ctx, i, req, planned) })
		})
	})
	g.wg.Go(func() {
		g.callAtStarts(ctx, jobs, func(i int, _ time.Time) {
			items := make([]ChatRequest, g.cfg.BatchItems)
			for j := range items {
				items[j] = g.cfg.request(batchRNG)
			}
			g.wg.Go(func() { g.job(ctx, i, items) })
		})
	})
	g.wg.Wait()
}

// callAtStarts calls f at each planned start. It calls f at once for a start
// that has already passed.
func (g *generator) callAtStarts(ctx context.Context, starts []time.Duration, f func(i int, planned time.Time)) {
	for i, s := range starts {
		planned := g.start.Add(s)
		select {
		case <-time.After(time.Until(planned)):
			f(i, planned)
		case <-ctx.Done():
			return
		}
	}
}

// online sends one request, to the client with the index first. It tries the next
// entry only if the connection can't be established, as a load balancer does; a
// request that may have been sent is not repeated.
func (g *generator) online(ctx context.Context, first int, req ChatRequest, planned time.Time) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	var resp ChatResponse
	var err error
	for i := range g.clients {
		resp, err = g.clients[(first+i)%len(g.clients)].Stream(ctx, req, "", nil)
		if !isDialError(err) {
			break
		}
	}
	if err == nil {
		err = g.cfg.checkOnline(req, resp)
	}
	g.rec.online(planned, resp, err)
}

// isDialError reports whether a request failed before a connection was
// established.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// job submits one batch job, waits until it is finished and checks each result.
// It starts with the client with the index first. A failed call is retried at the
// next entry, as behind a load balancer.
func (g *generator) job(ctx context.Context, first int, items []ChatRequest) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, g.start.Add(g.cfg.Duration+g.cfg.BatchTimeout))
	defer cancel()
	entries := &failover{clients: g.clients, next: first}
	lines, err := g.runJob(ctx, entries, items)
	if err != nil {
		g.rec.jobFailed(len(items), err)
		return
	}
	g.rec.job(time.Since(start), checkResults(g.cfg, items, lines))
}

// runJob submits a job, polls it until it is finished and returns its results.
// Repeated submissions of the job have the same idempotency key.
func (g *generator) runJob(ctx context.Context, entries *failover, items []ChatRequest) ([]resultLine, error) {
	content, err := inputFile(items)
	if err != nil {
		return nil, err
	}
	options := SubmitOptions{Endpoint: chatEndpoint, Window: batchWindow, IdempotencyKey: uuid.NewString()}
	var b Batch
	err = entries.try(ctx, func(c *Client) error {
		file, err := c.Upload(ctx, "load.jsonl", content, "")
		if err != nil {
			return err
		}
		b, err = c.CreateBatch(ctx, file, options)
		return err
	})
	for err == nil && !b.Finished() {
		if !sleep(ctx, pollInterval) {
			return nil, errors.Wrapf(ctx.Err(), "job %s is %s", b.ID, b.Status)
		}
		err = entries.try(ctx, func(c *Client) error {
			next, err := c.GetBatch(ctx, b.ID)
			if err == nil {
				b = next
			}
			return err
		})
	}
	if err != nil {
		return nil, err
	}
	var lines []resultLine
	err = entries.try(ctx, func(c *Client) error {
		var err error
		lines, err = c.results(ctx, b)
		return err
	})
	return lines, err
}
