// Command chaos runs rounds of a workload with injected faults against real
// processes and prints a verdict.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/internal/chaos/soak"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
)

const (
	defaultParallel = 2
	// findingsPerBreach and findingBytes limit the output of one round.
	findingsPerBreach = 4
	findingBytes      = 300
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	proctest.RemovePrograms()
	if err != nil {
		fmt.Fprintln(os.Stderr, "chaos:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "chaos",
		Usage: "run rounds of load with injected faults and check the system's invariants",
		Description: "A seed determines the schedule of operations and faults but not the interleaving,\n" +
			"which depends on the real processes and the machine.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the first round; each further round adds one"},
			&cli.IntFlag{Name: "rounds", Value: 1, Usage: "`NUMBER` of rounds"},
			&cli.IntFlag{Name: "parallel", Value: defaultParallel, Usage: "`NUMBER` of concurrent rounds"},
			&cli.StringFlag{Name: "keep", Usage: "`DIR` in which the settings and logs of each round are kept"},
			&cli.BoolFlag{Name: "gateways", Usage: "test gateways on the users' platform, which has no sidecars, instead of entries and sidecars"},
			&cli.BoolFlag{Name: "plan", Usage: "print the schedules and run nothing"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	first, rounds := c.Uint64("seed"), uint64(c.Int("rounds"))
	newRound := entryRound
	if c.Bool("gateways") {
		newRound = gatewayRound
	}
	if c.Bool("plan") {
		for seed := first; seed < first+rounds; seed++ {
			newRound(seed).Print(os.Stdout)
		}
		return nil
	}
	s := &session{newRound: newRound, total: chaos.NewVerdict(nil), keep: c.String("keep")}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(c.Int("parallel"))
	for seed := first; seed < first+rounds; seed++ {
		g.Go(func() error { return s.round(ctx, seed) })
	}
	err := g.Wait()
	s.total.Print(os.Stdout)
	if err != nil {
		return err
	}
	if !s.total.OK() || len(s.failed) > 0 {
		return errors.Errorf("failed seeds: %v", s.failed)
	}
	return nil
}

// round is the plan of one round with the function that runs it.
type round struct {
	plan
	profile string
	run     func(ctx context.Context, dir string) (*chaos.Verdict, error)
}

// plan is a schedule of operations and faults.
type plan interface {
	Print(w io.Writer)
	FaultNames() string
}

func entryRound(seed uint64) round {
	p := chaos.NewPlan(seed)
	return round{p, string(p.Profile), func(ctx context.Context, dir string) (*chaos.Verdict, error) { return chaos.Run(ctx, p, dir) }}
}

func gatewayRound(seed uint64) round {
	p := soak.NewPlan(seed)
	return round{p, string(p.Profile), func(ctx context.Context, dir string) (*chaos.Verdict, error) { return soak.Run(ctx, p, dir) }}
}

// session collects the verdicts of concurrent rounds.
type session struct {
	newRound func(seed uint64) round
	keep     string

	mu     sync.Mutex
	total  *chaos.Verdict
	failed []uint64
}

func (s *session) round(ctx context.Context, seed uint64) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	dir := ""
	if s.keep != "" {
		dir = filepath.Join(s.keep, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return errors.Wrap(err, "keep")
		}
	}
	started := time.Now()
	r := s.newRound(seed)
	v, err := r.run(ctx, dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.total.AbortedRounds++
		s.failed = append(s.failed, seed)
		fmt.Printf("seed %d: could not run: %v\n", seed, err)
		return nil
	}
	s.total.Merge(v)
	result := "pass"
	if !v.OK() {
		result = "FAIL"
		s.failed = append(s.failed, seed)
	}
	fmt.Printf("seed %d: %s  %s  %d requests, %d items, %.1fs  %s\n",
		seed, result, r.profile, v.Requests, v.Items, time.Since(started).Seconds(), r.FaultNames())
	printFindings(v)
	return nil
}

// printFindings prints the first findings of each breach.
func printFindings(v *chaos.Verdict) {
	printed := make(map[chaos.Breach]int)
	for _, f := range v.Findings {
		if printed[f.Breach]++; printed[f.Breach] <= findingsPerBreach {
			fmt.Printf("  %s: %.*s\n", f.Breach, findingBytes, f.Text)
		}
	}
}
