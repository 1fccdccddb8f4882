// Command bench simulates a workload in virtual time and measures the admission
// and routing policies.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/bench"
)

const defaultDuration = 5 * time.Minute

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the admission and routing policies in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the workload and the policies"},
			&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "virtual time of each run"},
			&cli.StringFlag{Name: "deployment", Usage: "run only this deployment"},
			&cli.BoolFlag{Name: "ratios", Usage: "run only the policies that the reported ratios need"},
			&cli.BoolFlag{Name: "account", Usage: "print a breakdown of the idle capacity"},
			&cli.StringFlag{Name: "json", Usage: "write the figures to `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "plot the figures to `FILE` (svg or png)"},
		},
		Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	results, err := bench.Run(bench.Options{
		Seed: c.Uint64("seed"), Duration: c.Duration("duration"), Deployment: c.String("deployment"),
		RatiosOnly: c.Bool("ratios"),
	})
	if err != nil {
		return err
	}
	if path := c.String("json"); path != "" {
		if err := bench.WriteJSON(path, results); err != nil {
			return err
		}
	}
	if path := c.String("plot"); path != "" {
		if err := bench.WritePlot(path, results); err != nil {
			return err
		}
	}
	if c.Bool("account") {
		if err := bench.WriteAccount(os.Stdout, results); err != nil {
			return err
		}
	}
	return bench.WriteTable(os.Stdout, results)
}
