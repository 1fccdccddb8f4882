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

// Run sends the load to the clients in turn and reports on it. It returns
// after the last answer; a cancelled ctx ends it early with what is known.
func Run(ctx context.Context, cfg Config, clients []*Client) (Report, error) {
	if err := cfg.Validate(); err != nil {
		return Report{}, err
	}
	if len(clients) == 0 {
		return Report{}, errors.New("load: an entry is needed")
	}
	g := &generator{cfg: cfg, clients: clients, rec: newRecorder(), start: time.Now()}
	g.run(ctx)
	return g.rec.report(cfg, time.Since(g.start)), nil
}

type generator struct {
	cfg     Config
	clients []*Client
	rec     *recorder
	start   time.Time
	wg      sync.WaitGroup
}

func (g *generator) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.cfg.Seed, 1))
	batchRNG := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	online := arrivals(rng, g.cfg.Rate, g.cfg.Duration)
	jobs := arrivals(batchRNG, g.cfg.BatchRate/float64(g.cfg.BatchItems), g.cfg.Duration)
	if g.cfg.BatchRate > 0 && len(jobs) == 0 {
		jobs = []time.Duration{0}
	}
	g.wg.Go(func() {
		g.each(ctx, online, func(i int, planned time.Time) {
			req := g.cfg.request(rng)
			g.wg.Go(func() { g.online(ctx, i, req, planned) })
		})
	})
	g.wg.Go(func() {
		g.each(ctx, jobs, func(i int, _ time.Time) {
			items := make([]ChatRequest, g.cfg.BatchItems)
			for j := range items {
				items[j] = g.cfg.request(batchRNG)
			}
			g.wg.Go(func() { g.job(ctx, i, items) })
		})
	})
	g.wg.Wait()
}

// each calls f at each planned start, late ones at once.
func (g *generator) each(ctx context.Context, starts []time.Duration, f func(i int, planned time.Time)) {
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

// online sends one request. An entry that takes no connection is passed over,
// as a balancer does; once a request was sent it is not repeated.
func (g *generator) online(ctx context.Context, first int, req ChatRequest, planned time.Time) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	var a ChatResponse
	var err error
	for i := range g.clients {
		a, err = g.clients[(first+i)%len(g.clients)].Stream(ctx, req, "", nil)
		if !notConnected(err) {
			break
		}
	}
	if err == nil {
		err = g.cfg.checkOnline(req, a)
	}
	g.rec.online(planned, a, err)
}

// notConnected reports whether a request failed before a connection was made.
func notConnected(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// job submits one batch job, waits for its end and checks each result. A call
// that fails is repeated at the next entry, as behind a balancer.
func (g *generator) job(ctx context.Context, first int, items []ChatRequest) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, g.start.Add(g.cfg.Duration+g.cfg.BatchTimeout))
	defer cancel()
	at := &turn{clients: g.clients, next: first}
	lines, err := g.runJob(ctx, at, items)
	if err != nil {
		g.rec.jobFailed(len(items), err)
		return
	}
	g.rec.job(time.Since(began), checkResults(g.cfg, items, lines))
}

func (g *generator) runJob(ctx context.Context, at *turn, items []ChatRequest) ([]resultLine, error) {
	content, err := inputFile(items)
	if err != nil {
		return nil, err
	}
	options := SubmitOptions{Endpoint: chatEndpoint, Window: batchWindow, IdempotencyKey: uuid.NewString()}
	var b Batch
	err = at.try(ctx, func(c *Client) error {
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
		err = at.try(ctx, func(c *Client) error {
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
	err = at.try(ctx, func(c *Client) error {
		var err error
		lines, err = c.results(ctx, b)
		return err
	})
	return lines, err
}
