package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/entry/batchapi"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

// batchShards is how many streams hold files and jobs. It is part of the
// stored format.
const batchShards = 16

// settleShardTime bounds the wait of a new owner for a former one's attempts.
const settleShardTime = 5 * time.Second

// itemKeyPrefix keeps the keys of batch items apart from those of callers,
// whose header values can't hold it.
const itemKeyPrefix = "\x00item/"

// batches is an entry's share of the batch work.
type batches struct {
	shards  batch.Shards
	streams []*commitlog.Stream
	runner  *batch.Runner
}

func (e *Server) newBatches() *batches {
	b := &batches{}
	for i := range batchShards {
		table := batch.NewTable()
		stream := e.stream(batch.StreamName(i), table)
		b.streams = append(b.streams, stream)
		b.shards = append(b.shards, batch.Shard{ID: i, Stream: stream, Table: table})
	}
	b.runner = batch.NewRunner(batch.RunnerOptions{
		Incarnation:  e.incarnation,
		Shards:       b.shards,
		Dispatcher:   &dispatcher{e},
		Services:     services{e},
		RecoverShard: e.settleShard,
		Owner:        func(shard int) bool { return e.ready() && e.fleet.owns(batchDuty(shard)) },
		Logger:       e.logger,
	})
	return b
}

// settleShard waits until the sidecars hold no attempt of the shard's jobs.
// Attempts of an owner that is lost end by themselves as their streams break;
// those of one that only believes to be the owner are waited for a while, as a
// second run costs work and harms nothing.
func (e *Server) settleShard(ctx context.Context, shard int) error {
	ctx, cancel := context.WithTimeout(ctx, settleShardTime)
	defer cancel()
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		if !e.fleet.holdsAny(e.batches.shards[shard].Table.OpenJobs()) {
			return nil
		}
	}
}

func (e *Server) batchRoutes(h *server.Hertz) {
	batchapi.Register(h, batchapi.Deps{
		Shards:       e.batches.shards,
		WriteError:   e.failKept,
		Workspace:    e.workspace,
		MaxJobs:      e.maxJobs,
		MaxFileBytes: int64(e.settings.Limits.MaxFileBytes),
	})
}

func (e *Server) maxJobs(workspace string) int {
	doc, err := e.document()
	if err != nil {
		return 0
	}
	ws, _ := doc.Workspace(workspace)
	return ws.Limits.MaxJobs
}

// services tells the batch runner what the desired state says.
type services struct{ e *Server }

func (s services) find(name string) *desired.Service {
	if doc, err := s.e.document(); err == nil {
		if svc, ok := doc.Service(name); ok {
			return svc
		}
	}
	return &desired.Service{}
}

// ServiceForModel implements batch.Catalog.
func (s services) ServiceForModel(model string) (string, bool) {
	doc, err := s.e.document()
	if err != nil {
		return "", false
	}
	svc, ok := doc.ServiceForModel(model)
	if !ok {
		return "", false
	}
	return svc.Name, true
}

// HasService implements batch.Catalog.
func (s services) HasService(name string) bool { return s.find(name).Kind == desired.Plain }

// MaxTries implements batch.Services.
func (s services) MaxTries(service string) int { return s.find(service).MaxTries }

// ResultRetention implements batch.Services.
func (s services) ResultRetention(service string) time.Duration {
	return s.find(service).ResultRetention.Std()
}

// dispatcher runs batch items as attempts of the batch class.
type dispatcher struct{ e *Server }

// Room implements batch.Dispatcher.
func (d *dispatcher) FreeSlots(service string) int { return d.e.fleet.batchRoom(service) }

// Dispatch implements batch.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, it batch.Item) (batch.Response, error) {
	doc, err := d.e.document()
	if err != nil {
		return batch.Response{}, err
	}
	if it.Model != "" {
		return d.chat(ctx, doc, it)
	}
	return d.plain(ctx, doc, it)
}

func (d *dispatcher) chat(ctx context.Context, doc *desired.Document, it batch.Item) (batch.Response, error) {
	c, _, err := newChatCall(doc, it.Workspace, it.Body)
	if err != nil {
		return badItem(it, errkind.From(err)), nil
	}
	c.forItem(it)
	c.prefer = d.e.keptAt.take(it.Key)
	out := &textSink{}
	res, worker := d.e.runOnce(ctx, c, avoid(it), out)
	if res.ending == preempted {
		d.e.keptAt.put(it.Key, worker)
	}
	if res.ending != whole {
		return d.failed(it, c, res, worker)
	}
	body, err := json.Marshal(newCompletion(c, string(c.resumeText), res.end))
	return batch.Response{Status: http.StatusOK, RequestID: c.id, Body: body, Backend: worker}, err
}

func (d *dispatcher) plain(ctx context.Context, doc *desired.Document, it batch.Item) (batch.Response, error) {
	svc, ok := doc.Service(it.Service)
	if !ok {
		return badItem(it, errkind.New(errkind.UnknownService, "no service is called %q", it.Service)), nil
	}
	c := &call{
		workspace: it.Workspace,
		service:   svc.Name,
		method:    it.Method,
		path:      strings.TrimPrefix(it.Path, batch.EndpointServices+svc.Name),
		body:      it.Body,
		headers:   []*peerv1.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	c.forItem(it)
	path, _, _ := strings.Cut(c.path, "?")
	if svc.NonIdempotent(it.Method, path) {
		return d.claimed(ctx, svc, it, c)
	}
	out := &plainSink{limit: d.e.settings.Limits.MaxBodyBytes}
	res, worker := d.e.runOnce(ctx, c, avoid(it), out)
	if res.ending != whole {
		return d.failed(it, c, res, worker)
	}
	return batch.Response{Status: out.status, RequestID: c.id, Body: out.body.Bytes(), Backend: worker}, nil
}

// claimed runs an item that may not be repeated, under the item's own key. An
// unknown outcome is the item's final result. Each attempt has the service's
// deadline, so that a key that a lost entry holds is settled in time, and a
// planned stop waits for it as for a caller's request.
func (d *dispatcher) claimed(ctx context.Context, svc *desired.Service, it batch.Item, c *call) (batch.Response, error) {
	c.nonIdempotent = true
	if own := time.Now().Add(deadlineOf(svc)); own.Before(c.deadline) {
		c.deadline = own
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	d.e.inProgress.Add(1)
	defer d.e.inProgress.Add(-1)
	rec, _, err := d.e.claims.run(ctx, c, svc, itemKeyPrefix+it.Key)
	if err == nil {
		return batch.Response{Status: rec.Status, RequestID: c.id, Body: rec.Body}, nil
	}
	kerr := errkind.From(err)
	if kerr.Kind == errkind.OutcomeUnknown {
		return badItem(it, kerr), nil
	}
	// The key makes another attempt safe, and this one used up no try.
	retry := errkind.Wrap(err, kerr.Kind, "the item was not settled").WithRetryAfter(kerr.Response().RetryAfter)
	return batch.Response{}, retry.WithOutcome(errkind.NotRun)
}

// forItem makes a call one attempt at a batch item.
func (c *call) forItem(it batch.Item) {
	c.id = it.Attempt
	c.class = admission.Batch
	c.job = it.Job
	c.deadline = it.Deadline
	c.resumeText = []byte(it.ResumeText)
	c.resumeTokens = it.ResumeTokens
}

func avoid(it batch.Item) []string {
	if it.AvoidBackend == "" {
		return nil
	}
	return []string{it.AvoidBackend}
}

// failed turns an attempt that was not whole into what the runner acts on.
func (d *dispatcher) failed(it batch.Item, c *call, res result, worker string) (batch.Response, error) {
	switch {
	case res.ending == preempted:
		return batch.Response{}, &batch.PreemptedError{ResumeText: string(c.resumeText), ResumeTokens: c.resumeTokens}
	case res.ending == rejected:
		return badItem(it, res.err), nil
	case res.ending == broken && res.err.Kind == errkind.BackendFailed:
		return batch.Response{}, &batch.BackendLostError{Backend: worker}
	}
	return batch.Response{}, res.err
}

// badItem is the answer to an item that can never be done.
func badItem(it batch.Item, err *errkind.Error) batch.Response {
	body, _ := json.Marshal(newErrorBody(err))
	return batch.Response{Status: err.Response().Status, RequestID: it.Attempt, Body: body}
}
