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

// batchShards is the number of streams that hold files and jobs. It is part of
// the stored format.
const batchShards = 16

// recoverShardTimeout limits how long a new owner waits for a former owner's
// attempts to end.
const recoverShardTimeout = 5 * time.Second

// itemKeyPrefix separates the keys of batch items from those of callers, whose
// header values cannot contain it.
const itemKeyPrefix = "\x00item/"

// batches holds the batch shards and runs those that this entry owns.
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
		RecoverShard: e.recoverShard,
		Owner:        func(shard int) bool { return e.ready() && e.fleet.owns(batchTask(shard)) },
		Logger:       e.logger,
	})
	return b
}

// recoverShard waits until the sidecars hold no attempt of the shard's jobs.
// The attempts of an owner that has failed end when their streams break. The
// attempts of an instance that wrongly considers itself the owner may go on, so
// recoverShard waits at most recoverShardTimeout for them: running an item twice
// wastes work but does no harm.
func (e *Server) recoverShard(ctx context.Context, shard int) error {
	ctx, cancel := context.WithTimeout(ctx, recoverShardTimeout)
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
		WriteError:   e.writeStoredError,
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

// services gives the batch runner access to the desired state.
type services struct{ e *Server }

// service returns a service of the configuration in force, or an empty one if
// there is none of that name.
func (s services) service(name string) *desired.Service {
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
func (s services) HasService(name string) bool { return s.service(name).Kind == desired.Plain }

// MaxTries implements batch.Services.
func (s services) MaxTries(service string) int { return s.service(service).MaxTries }

// ResultRetention implements batch.Services.
func (s services) ResultRetention(service string) time.Duration {
	return s.service(service).ResultRetention.Std()
}

// dispatcher runs batch items as attempts of the batch class.
type dispatcher struct{ e *Server }

// FreeSlots implements batch.Dispatcher.
func (d *dispatcher) FreeSlots(service string) int { return d.e.fleet.freeBatchSlots(service) }

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
		return errorResponse(it, errkind.From(err)), nil
	}
	c.forItem(it)
	c.prefer = d.e.cacheHints.take(it.Key)
	out := &textSink{}
	res, backend := d.e.runOnce(ctx, c, excludedBackends(it), out)
	if res.status == preempted {
		d.e.cacheHints.put(it.Key, backend)
	}
	if res.status != completed {
		return d.failedAttempt(it, c, res, backend)
	}
	body, err := json.Marshal(newCompletion(c, string(c.resumeText), res.end))
	return batch.Response{Status: http.StatusOK, RequestID: c.id, Body: body, Backend: backend}, err
}

func (d *dispatcher) plain(ctx context.Context, doc *desired.Document, it batch.Item) (batch.Response, error) {
	svc, ok := doc.Service(it.Service)
	if !ok {
		return errorResponse(it, errkind.New(errkind.UnknownService, "no service is called %q", it.Service)), nil
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
		return d.runClaimed(ctx, svc, it, c)
	}
	out := &plainSink{limit: d.e.settings.Limits.MaxBodyBytes}
	res, backend := d.e.runOnce(ctx, c, excludedBackends(it), out)
	if res.status != completed {
		return d.failedAttempt(it, c, res, backend)
	}
	return batch.Response{Status: out.status, RequestID: c.id, Body: out.body.Bytes(), Backend: backend}, nil
}

// runClaimed runs a non-idempotent item under the item's own key. An unknown
// outcome is the item's final result. Each attempt has the service's deadline,
// so that a key held by an entry that failed is settled in time, and a graceful
// shutdown waits for it as it does for a caller's request.
func (d *dispatcher) runClaimed(ctx context.Context, svc *desired.Service, it batch.Item, c *call) (batch.Response, error) {
	c.nonIdempotent = true
	if attemptDeadline := time.Now().Add(deadlineOf(svc)); attemptDeadline.Before(c.deadline) {
		c.deadline = attemptDeadline
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
		return errorResponse(it, kerr), nil
	}
	// The key makes another attempt safe, and this attempt does not count as a try.
	retry := errkind.Wrap(err, kerr.Kind, "the item was not settled").WithRetryAfter(kerr.Response().RetryAfter)
	return batch.Response{}, retry.WithOutcome(errkind.NotRun)
}

// forItem turns a call into one attempt at a batch item.
func (c *call) forItem(it batch.Item) {
	c.id = it.Attempt
	c.class = admission.Batch
	c.job = it.Job
	c.deadline = it.Deadline
	c.resumeText = []byte(it.ResumeText)
	c.resumeTokens = it.ResumeTokens
}

func excludedBackends(it batch.Item) []string {
	if it.AvoidBackend == "" {
		return nil
	}
	return []string{it.AvoidBackend}
}

// failedAttempt converts a failed attempt into the response or error that the
// batch runner expects.
func (d *dispatcher) failedAttempt(it batch.Item, c *call, res result, backend string) (batch.Response, error) {
	switch {
	case res.status == preempted:
		return batch.Response{}, &batch.PreemptedError{ResumeText: string(c.resumeText), ResumeTokens: c.resumeTokens}
	case res.status == rejected:
		return errorResponse(it, res.err), nil
	case res.status == interrupted && res.err.Kind == errkind.BackendFailed:
		return batch.Response{}, &batch.BackendLostError{Backend: backend}
	}
	return batch.Response{}, res.err
}

// errorResponse is the final response to an item that cannot succeed.
func errorResponse(it batch.Item, err *errkind.Error) batch.Response {
	body, _ := json.Marshal(newErrorBody(err))
	return batch.Response{Status: err.Response().Status, RequestID: it.Attempt, Body: body}
}
