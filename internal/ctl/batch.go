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

	// submitAttempts bounds the attempts of one submission. All attempts use the
	// same idempotency key.
	submitAttempts = 4
)

func (t Tool) batchCommand() *cli.Command {
	wait := &cli.BoolFlag{Name: flagWait, Usage: "wait until the job has finished"}
	return &cli.Command{
		Name:  "batch",
		Usage: "submit batch jobs and read their results",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a JSONL file as one job", ArgsUsage: "FILE", Action: t.submit,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagEndpoint, Value: "/v1/chat/completions", Usage: "API path that each line requests"},
					&cli.StringFlag{Name: flagWindow, Value: "24h", Usage: "completion window of the job"},
					&cli.StringFlag{Name: flagIdempotencyKey, Usage: "`KEY` under which a repeated submission returns the same job (default: a generated key)"},
					wait,
				},
			},
			{Name: "status", Usage: "show a job", ArgsUsage: "ID", Flags: []cli.Flag{wait}, Action: t.batchStatus},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Action: withTimeout(t.cancel)},
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
		return withTransportCode(err)
	}
	b, err := t.createBatch(ctx, client, id, options)
	if err != nil {
		return errors.Wrapf(err, "submission with --%s %s", flagIdempotencyKey, options.IdempotencyKey)
	}
	return t.reportBatch(ctx, c, client, b)
}

// createBatch creates the job. It retries while the entry is unavailable or the
// outcome is unknown. If it gives up, the exit code is ExitUnknown, because an attempt
// may have created the job.
func (t Tool) createBatch(ctx context.Context, client *load.Client, file string, o load.SubmitOptions) (load.Batch, error) {
	for attempt := 1; ; attempt++ {
		b, err := client.CreateBatch(ctx, file, o)
		err = withTransportCode(err)
		code := ExitOK
		if err != nil {
			code = exitCode(err)
		}
		if code != ExitUnavailable && code != ExitUnknown {
			return b, err
		}
		if attempt == submitAttempts || !sleep(ctx, t.PollInterval) {
			return b, withCode(ExitUnknown, err)
		}
	}
}

func (t Tool) batchStatus(ctx context.Context, c *cli.Command) error {
	client, b, err := t.callJob(c, func(client *load.Client, id string) (load.Batch, error) { return client.GetBatch(ctx, id) })
	if err != nil {
		return err
	}
	return t.reportBatch(ctx, c, client, b)
}

// callJob sends one request for the job given on the command line.
func (t Tool) callJob(c *cli.Command, call func(client *load.Client, id string) (load.Batch, error)) (*load.Client, load.Batch, error) {
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
		return nil, load.Batch{}, withTransportCode(err)
	}
	return client, b, nil
}

// reportBatch prints a job. With --wait it first waits until the job has finished.
func (t Tool) reportBatch(ctx context.Context, c *cli.Command, client *load.Client, b load.Batch) error {
	if !c.Bool(flagWait) {
		return t.printBatch(c, b)
	}
	b, err := t.waitBatch(ctx, client, b)
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

// waitBatch polls a job until it has finished and ignores polls that fail because
// the entry is unavailable. The job continues if ctx is done first.
func (t Tool) waitBatch(ctx context.Context, client *load.Client, b load.Batch) (load.Batch, error) {
	bar := t.newProgress(b)
	defer bar.close()
	for !b.Finished() {
		if !sleep(ctx, t.PollInterval) {
			return b, errors.Wrapf(ctx.Err(), "stopped waiting, job %s continues", b.ID)
		}
		next, err := client.GetBatch(ctx, b.ID)
		if code := pollExitCode(err); code != ExitOK && code != ExitUnavailable {
			return b, err
		}
		if err == nil {
			b = next
			bar.set(b)
		}
	}
	return b, nil
}

// pollExitCode returns the exit code for the error of a poll, ExitOK for nil.
func pollExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	return exitCode(withTransportCode(err))
}

func (t Tool) cancel(ctx context.Context, c *cli.Command) error {
	_, b, err := t.callJob(c, func(client *load.Client, id string) (load.Batch, error) { return client.CancelBatch(ctx, id) })
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
		return withTransportCode(err)
	}
	file := b.OutputFileID
	if c.Bool(flagErrors) {
		file = b.ErrorFileID
	}
	if file == "" {
		return withCode(ExitIncomplete, errors.Errorf("job %s is %s and does not have the requested file", b.ID, b.Status))
	}
	return t.copyResults(ctx, c, client, file)
}

func (t Tool) copyResults(ctx context.Context, c *cli.Command, client *load.Client, file string) error {
	path := c.String(flagOutput)
	if path == "" {
		return withTransportCode(client.CopyFile(ctx, t.Stdout, file))
	}
	out, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*.part")
	if err != nil {
		return errors.Wrap(err, "results")
	}
	defer func() { _ = os.Remove(out.Name()) }() // does nothing after the rename
	if err := client.CopyFile(ctx, out, file); err != nil {
		_ = out.Close()
		return withTransportCode(err)
	}
	if err := out.Close(); err != nil {
		return errors.Wrap(err, "results")
	}
	return errors.Wrap(os.Rename(out.Name(), path), "results")
}

// sleep waits for d and reports whether it ended before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
