package ctl

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/load"
)

const (
	flagEndpoint       = "endpoint"
	flagWindow         = "window"
	flagIdempotencyKey = "idempotency-key"
	flagWait           = "wait"
	flagOutput         = "output"
	flagErrors         = "errors"

	// submitTries bounds the tries of one submission; all carry one
	// idempotency key.
	submitTries = 4
)

func (t Tool) batchCommand() *cli.Command {
	wait := &cli.BoolFlag{Name: flagWait, Usage: "wait until the job is finished"}
	return &cli.Command{
		Name:  "batch",
		Usage: "submit batch jobs and read their results",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a JSONL file as one job", ArgsUsage: "FILE", Action: t.submit,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagEndpoint, Value: "/v1/chat/completions", Usage: "call that each line makes"},
					&cli.StringFlag{Name: flagWindow, Value: "24h", Usage: "time in which the job should be done"},
					&cli.StringFlag{Name: flagIdempotencyKey, Usage: "`KEY` under which a repeated submission returns the same job (default: a new one)"},
					wait,
				},
			},
			{Name: "status", Usage: "show a job", ArgsUsage: "ID", Flags: []cli.Flag{wait}, Action: t.batchStatus},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Action: bounded(t.cancel)},
			{
				Name: "results", Usage: "write a job's results as JSONL", ArgsUsage: "ID", Action: t.results,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagOutput, Usage: "`FILE` to write to (default: standard output)"},
					&cli.BoolFlag{Name: flagErrors, Usage: "write the error file instead of the output file"},
				},
			},
		},
	}
}

func (t Tool) submit(ctx context.Context, c *cli.Command) error {
	file, err := oneArg(c, "file")
	if err != nil {
		return err
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	client, err := t.entry(c)
	if err != nil {
		return err
	}
	options := load.SubmitOptions{
		Endpoint: c.String(flagEndpoint), Window: c.String(flagWindow), IdempotencyKey: c.String(flagIdempotencyKey),
	}
	if options.IdempotencyKey == "" {
		options.IdempotencyKey = uuid.NewString()
	}
	id, err := client.Upload(ctx, filepath.Base(file), content, options.IdempotencyKey)
	if err != nil {
		return reach(err)
	}
	b, err := t.create(ctx, client, id, options)
	if err != nil {
		return errors.Wrapf(err, "submission with --%s %s", flagIdempotencyKey, options.IdempotencyKey)
	}
	return t.follow(ctx, c, client, b)
}

// create repeats a submission whose outcome is not known.
func (t Tool) create(ctx context.Context, client *load.Client, file string, o load.SubmitOptions) (load.Batch, error) {
	for try := 1; ; try++ {
		b, err := client.CreateBatch(ctx, file, o)
		err = reach(err)
		code := ExitOK
		if err != nil {
			code = exitCode(err)
		}
		if code != ExitUnavailable && code != ExitUnknown {
			return b, err
		}
		if try == submitTries || !sleep(ctx, t.PollInterval) {
			return b, withCode(ExitUnknown, err)
		}
	}
}

func (t Tool) batchStatus(ctx context.Context, c *cli.Command) error {
	client, b, err := t.onJob(c, func(client *load.Client, id string) (load.Batch, error) { return client.GetBatch(ctx, id) })
	if err != nil {
		return err
	}
	return t.follow(ctx, c, client, b)
}

// onJob makes one call about the job that the command names.
func (t Tool) onJob(c *cli.Command, call func(client *load.Client, id string) (load.Batch, error)) (*load.Client, load.Batch, error) {
	id, err := oneArg(c, "job")
	if err != nil {
		return nil, load.Batch{}, err
	}
	client, err := t.entry(c)
	if err != nil {
		return nil, load.Batch{}, err
	}
	b, err := call(client, id)
	if err != nil {
		return nil, load.Batch{}, reach(err)
	}
	return client, b, nil
}

// follow prints a job, at its end if --wait is set.
func (t Tool) follow(ctx context.Context, c *cli.Command, client *load.Client, b load.Batch) error {
	if !c.Bool(flagWait) {
		return t.printBatch(c, b)
	}
	b, err := t.await(ctx, client, b)
	if err != nil {
		return err
	}
	if err := t.printBatch(c, b); err != nil {
		return err
	}
	if b.Status != "completed" || b.RequestCounts.Failed > 0 {
		return withCode(ExitIncomplete, errors.Errorf("job %s is %s, %d of %d items failed", b.ID, b.Status, b.RequestCounts.Failed, b.RequestCounts.Total))
	}
	return nil
}

// await polls a job until it is finished; the job goes on if ctx ends.
func (t Tool) await(ctx context.Context, client *load.Client, b load.Batch) (load.Batch, error) {
	bar := t.newProgress(b)
	defer bar.close()
	for !b.Finished() {
		if !sleep(ctx, t.PollInterval) {
			return b, errors.Wrapf(ctx.Err(), "job %s goes on", b.ID)
		}
		next, err := client.GetBatch(ctx, b.ID)
		if code := apiFailure(err); code != ExitOK && code != ExitUnavailable {
			return b, err
		}
		if err == nil {
			b = next
			bar.set(b)
		}
	}
	return b, nil
}

func apiFailure(err error) int {
	if err == nil {
		return ExitOK
	}
	return exitCode(reach(err))
}

func (t Tool) cancel(ctx context.Context, c *cli.Command) error {
	_, b, err := t.onJob(c, func(client *load.Client, id string) (load.Batch, error) { return client.CancelBatch(ctx, id) })
	if err != nil {
		return err
	}
	return t.printBatch(c, b)
}

func (t Tool) printBatch(c *cli.Command, b load.Batch) error {
	if c.Bool(flagJSON) {
		return t.writeJSON(b)
	}
	n := b.RequestCounts
	t.printf("%s %s: %d of %d completed, %d failed\n", b.ID, b.Status, n.Completed, n.Total, n.Failed)
	return nil
}

func (t Tool) results(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "job")
	if err != nil {
		return err
	}
	client, err := t.entry(c)
	if err != nil {
		return err
	}
	b, err := client.GetBatch(ctx, id)
	if err != nil {
		return reach(err)
	}
	file := b.OutputFileID
	if c.Bool(flagErrors) {
		file = b.ErrorFileID
	}
	if file == "" {
		return withCode(ExitIncomplete, errors.Errorf("job %s is %s and has no such file", b.ID, b.Status))
	}
	return t.copyResults(ctx, c, client, file)
}

func (t Tool) copyResults(ctx context.Context, c *cli.Command, client *load.Client, file string) error {
	path := c.String(flagOutput)
	if path == "" {
		return reach(client.CopyFile(ctx, t.Stdout, file))
	}
	out, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "results")
	}
	if err := client.CopyFile(ctx, out, file); err != nil {
		_ = out.Close()
		return reach(err)
	}
	return errors.Wrap(out.Close(), "results")
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
