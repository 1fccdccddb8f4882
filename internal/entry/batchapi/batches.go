package batchapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/errkind"
)

const (
	maxBodyBytes          = 1 << 20
	defaultBatchPageSize  = 20
	maxBatchPageSize      = 100
	minWindow             = time.Minute
	maxWindow             = 7 * 24 * time.Hour
	maxMetadataPairs      = 16
	maxMetadataKeyBytes   = 64
	maxMetadataValueBytes = 512
)

// createRequest is the body of a request that creates a batch.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     uint32 `json:"total"`
	Completed uint32 `json:"completed"`
	Failed    uint32 `json:"failed"`
}

// Batch is the API representation of a batch. Times are Unix seconds and null
// if the batch has not reached that state.
type Batch struct {
	ID               string                 `json:"id"`
	Object           string                 `json:"object"`
	Endpoint         string                 `json:"endpoint"`
	Errors           *list[batch.LineError] `json:"errors"`
	InputFileID      string                 `json:"input_file_id"`
	CompletionWindow string                 `json:"completion_window"`
	Status           batch.Status           `json:"status"`
	OutputFileID     *string                `json:"output_file_id"`
	ErrorFileID      *string                `json:"error_file_id"`
	CreatedAt        int64                  `json:"created_at"`
	InProgressAt     *int64                 `json:"in_progress_at"`
	ExpiresAt        int64                  `json:"expires_at"`
	FinalizingAt     *int64                 `json:"finalizing_at"`
	CompletedAt      *int64                 `json:"completed_at"`
	FailedAt         *int64                 `json:"failed_at"`
	ExpiredAt        *int64                 `json:"expired_at"`
	CancellingAt     *int64                 `json:"cancelling_at"`
	CancelledAt      *int64                 `json:"cancelled_at"`
	RequestCounts    requestCounts          `json:"request_counts"`
	Metadata         map[string]string      `json:"metadata"`
}

// NewBatch returns the API representation of a job.
func NewBatch(v batch.JobView) Batch {
	b := Batch{
		ID: v.ID, Object: "batch", Endpoint: v.Endpoint, InputFileID: v.InputFile, CompletionWindow: v.Window,
		Status: v.Status, OutputFileID: nonEmpty(v.OutputFile), ErrorFileID: nonEmpty(v.ErrorFile),
		CreatedAt: v.Created, InProgressAt: nonZero(v.StartedAt), ExpiresAt: v.Deadline,
		FailedAt: nonZero(v.FailedAt), CancellingAt: nonZero(v.CancelledAt), Metadata: v.Metadata,
		RequestCounts: requestCounts{Total: v.Total, Completed: v.SucceededItems, Failed: v.FailedItems},
	}
	if len(v.Errors) > 0 {
		b.Errors = &list[batch.LineError]{Object: "list", Data: v.Errors}
	}
	switch v.Status {
	case batch.Completed:
		b.CompletedAt, b.FinalizingAt = nonZero(v.EndedAt), nonZero(v.EndedAt)
	case batch.Expired:
		b.ExpiredAt = nonZero(v.EndedAt)
	case batch.Cancelled:
		b.CancelledAt = nonZero(v.EndedAt)
	}
	return b
}

func nonEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

func nonZero(t int64) *int64 {
	if t == 0 {
		return nil
	}
	return &t
}

func (a *api) createBatch(ctx context.Context, c request) error {
	key, err := c.idempotencyKey()
	if err != nil {
		return err
	}
	req, err := c.readCreateRequest()
	if err != nil {
		return err
	}
	hash, err := req.hash()
	if err != nil {
		return err
	}
	if existing, ok, err := c.shard.Table.JobByKey(c.workspace, key, hash); ok || err != nil {
		return writeBatchObject(c, existing, err)
	}
	if err := a.checkPreconditions(ctx, c, req); err != nil {
		return err
	}
	j := a.newJob(c, req, key, hash)
	if err := a.commit(ctx, c, batch.KindJob, j); err != nil {
		return err
	}
	if existing, ok, err := c.shard.Table.JobByKey(c.workspace, key, hash); ok || err != nil {
		return writeBatchObject(c, existing, err)
	}
	v, err := c.shard.Table.Job(c.workspace, j.ID, a.Now())
	if errkind.Is(err, errkind.NotFound) {
		err = errkind.New(errkind.NotFound, "no such file: %s", req.InputFileID).WithParam("input_file_id")
	}
	return writeBatchObject(c, v, err)
}

func (a *api) newJob(c request, req createRequest, key, hash string) batch.Job {
	now := a.Now()
	window, _ := time.ParseDuration(req.CompletionWindow) // validated by readCreateRequest
	return batch.Job{
		ID: batch.NewID("batch_"), Workspace: c.workspace, InputFile: req.InputFileID, Endpoint: req.Endpoint,
		Window: req.CompletionWindow, Created: now.Unix(), Deadline: now.Add(window).Unix(),
		Metadata: req.Metadata, Key: key, KeyHash: hash,
	}
}

func writeBatchObject(c request, v batch.JobView, err error) error {
	if err != nil {
		return err
	}
	return c.writeJSON(NewBatch(v))
}

// readCreateRequest reads the body of a batch creation and validates its fields.
func (c request) readCreateRequest() (createRequest, error) {
	var req createRequest
	b, err := io.ReadAll(io.LimitReader(c.body(), maxBodyBytes+1))
	if err != nil {
		return req, errkind.Wrap(err, errkind.BadRequest, "the body did not arrive whole").WithParam("body")
	}
	if len(b) > maxBodyBytes {
		return req, errkind.New(errkind.TooLarge, "the body is larger than %d bytes", maxBodyBytes).WithParam("body")
	}
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(&req); err != nil {
		return req, jsonError(err)
	}
	return req, req.validate()
}

func jsonError(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return errkind.Wrap(err, errkind.BadRequest, "%s must not be a %s", typ.Field, typ.Value).WithParam(typ.Field)
	}
	var syn *json.SyntaxError
	if errors.As(err, &syn) {
		return errkind.Wrap(err, errkind.BadRequest, "malformed JSON at byte %d", syn.Offset).WithParam("body")
	}
	return errkind.Wrap(err, errkind.BadRequest, "malformed JSON").WithParam("body")
}

func (r createRequest) validate() error {
	invalid := func(param, format string, args ...any) error {
		return errkind.New(errkind.BadRequest, format, args...).WithParam(param)
	}
	if r.InputFileID == "" {
		return invalid("input_file_id", "input_file_id is missing")
	}
	if !batch.ValidEndpoint(r.Endpoint) {
		return invalid("endpoint", "endpoint must be %s or %s{service}/...", batch.EndpointChat, batch.EndpointServices)
	}
	if w, err := time.ParseDuration(r.CompletionWindow); err != nil || w < minWindow || w > maxWindow {
		return invalid("completion_window", "completion_window must be a duration from %s to %s, like \"24h\"", minWindow, maxWindow)
	}
	if len(r.Metadata) > maxMetadataPairs {
		return invalid("metadata", "metadata may have %d pairs", maxMetadataPairs)
	}
	for k, v := range r.Metadata {
		if len(k) > maxMetadataKeyBytes || len(v) > maxMetadataValueBytes {
			return invalid("metadata", "metadata key or value too long: %.64q", k)
		}
	}
	return nil
}

// hash returns a hash of all fields of the request.
func (r createRequest) hash() (string, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return "", errors.Wrap(err, "batchapi: hash request")
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// checkPreconditions checks a valid request against the stored files and jobs.
func (a *api) checkPreconditions(ctx context.Context, c request, req createRequest) error {
	f, err := lookupFresh(ctx, a, c, func() (batch.File, error) {
		return c.shard.Table.File(c.workspace, req.InputFileID, a.Now())
	})
	if err != nil {
		return errkind.From(err).WithParam("input_file_id")
	}
	if f.Purpose != batch.PurposeBatch {
		return errkind.New(errkind.BadRequest, "file %s has purpose %q, not %q", f.ID, f.Purpose, batch.PurposeBatch).WithParam("input_file_id")
	}
	if a.MaxJobs == nil {
		return nil
	}
	if limit := a.MaxJobs(c.workspace); limit > 0 && c.shard.Table.CountOpenJobs(c.workspace) >= limit {
		return errkind.New(errkind.RateLimited, "the workspace has %d open batches already", limit)
	}
	return nil
}

func (a *api) job(ctx context.Context, c request) (batch.JobView, error) {
	return lookupFresh(ctx, a, c, func() (batch.JobView, error) {
		return c.shard.Table.Job(c.workspace, c.Param("id"), a.Now())
	})
}

func (a *api) getBatch(ctx context.Context, c request) error {
	v, err := a.job(ctx, c)
	return writeBatchObject(c, v, err)
}

func (a *api) listBatches(_ context.Context, c request) error {
	q, err := c.listQuery(defaultBatchPageSize, maxBatchPageSize)
	if err != nil {
		return err
	}
	jobs, more, err := c.shard.Table.Jobs(c.workspace, q.after, q.limit, a.Now())
	if err != nil {
		return err
	}
	data := make([]Batch, len(jobs))
	for i, v := range jobs {
		data[i] = NewBatch(v)
	}
	return c.writeJSON(newList(data, more, func(b Batch) string { return b.ID }))
}

// cancelBatch requests the cancellation of a batch. Cancelling it again is no
// error; a batch that has ended in any other state cannot be cancelled.
func (a *api) cancelBatch(ctx context.Context, c request) error {
	v, err := a.job(ctx, c)
	if err != nil {
		return err
	}
	if !v.Status.Terminal() && v.Status != batch.Cancelling {
		err := a.commit(ctx, c, batch.KindCancel, batch.Cancel{Job: v.ID, Workspace: c.workspace, At: a.Now().Unix()})
		if err != nil {
			return err
		}
		if v, err = c.shard.Table.Job(c.workspace, v.ID, a.Now()); err != nil {
			return err
		}
	}
	if v.Status != batch.Cancelling && v.Status != batch.Cancelled {
		return errkind.New(errkind.Conflict, "batch %s is %s", v.ID, v.Status).WithParam("batch_id")
	}
	return c.writeJSON(NewBatch(v))
}
