package ctl

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/load"
)

const (
	flagRate         = "rate"
	flagBatchRate    = "batch-rate"
	flagBatchItems   = "batch-items"
	flagDuration     = "duration"
	flagReqTimeout   = "request-timeout"
	flagBatchTimeout = "batch-timeout"
	flagPromptWords  = "prompt-words"
	flagEcho         = "echo"
	flagSeed         = "seed"
	flagReport       = "report"
)

func (t Tool) loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send open-loop load and report latencies and outcomes", Action: t.load,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagModel, Usage: "`MODEL` that the requests name", Required: true},
			&cli.FloatFlag{Name: flagRate, Value: 10, Usage: "online requests per second"},
			&cli.FloatFlag{Name: flagBatchRate, Usage: "batch items per second"},
			&cli.IntFlag{Name: flagBatchItems, Value: 50, Usage: "items in one batch job"},
			&cli.DurationFlag{Name: flagDuration, Value: 30 * time.Second, Usage: "time during which requests are started"},
			&cli.DurationFlag{Name: flagReqTimeout, Value: time.Minute, Usage: "timeout of one online request"},
			&cli.DurationFlag{Name: flagBatchTimeout, Value: 5 * time.Minute, Usage: "timeout for jobs to finish after the last one was started"},
			&cli.IntFlag{Name: flagPromptWords, Value: 16, Usage: "words in each prompt"},
			&cli.IntFlag{Name: flagMaxTokens, Value: 64, Usage: "tokens of each response"},
			&cli.BoolFlag{Name: flagEcho, Usage: "the engine repeats the prompt: check that each response belongs to its request"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of arrival times and prompts"},
			&cli.StringFlag{Name: flagReport, Usage: "`FILE` for a JSON report in addition to the table"},
		},
	}
}

func (t Tool) load(ctx context.Context, c *cli.Command) error {
	clients, err := t.entries(c)
	if err != nil {
		return err
	}
	cfg := loadConfig(c)
	if err := cfg.Validate(); err != nil {
		return withCode(ExitUsage, err)
	}
	r, err := load.Run(ctx, cfg, clients)
	if err != nil {
		return err
	}
	if err := t.writeReport(c, r); err != nil {
		return err
	}
	if n := r.InvalidCount(); n > 0 {
		return withCode(ExitIncomplete, errors.Errorf("%d responses were truncated, wrong, missing or duplicate", n))
	}
	return nil
}

func loadConfig(c *cli.Command) load.Config {
	return load.Config{
		Model: c.String(flagModel), Rate: c.Float(flagRate), BatchRate: c.Float(flagBatchRate),
		BatchItems: c.Int(flagBatchItems), Duration: c.Duration(flagDuration),
		Timeout: c.Duration(flagReqTimeout), BatchTimeout: c.Duration(flagBatchTimeout),
		PromptWords: c.Int(flagPromptWords), MaxTokens: c.Int(flagMaxTokens),
		Echo: c.Bool(flagEcho), Seed: c.Uint64(flagSeed),
	}
}

func (t Tool) writeReport(c *cli.Command, r load.Report) error {
	if path := c.String(flagReport); path != "" {
		out, err := os.Create(path)
		if err != nil {
			return errors.Wrap(err, "report")
		}
		if err := r.WriteJSON(out); err != nil {
			_ = out.Close()
			return err
		}
		if err := out.Close(); err != nil {
			return errors.Wrap(err, "report")
		}
	}
	if c.Bool(flagJSON) {
		return r.WriteJSON(t.Stdout)
	}
	return r.WriteTable(t.Stdout)
}
