// Package ctl implements the command-line tool for operators and clients.
// Commands on the desired state connect to the log service directly, so that
// they work while every entry is down. The other commands connect to an entry.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/load"
)

// defaultTimeout is the timeout of a command, except those that wait for a job
// or send load.
const defaultTimeout = 30 * time.Second

// DefaultPollInterval is the default time between two polls of a batch job.
const DefaultPollInterval = time.Second

// Tool is the command-line tool with its input, outputs and log service client.
type Tool struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// NewLog returns a client of the log service at an IP:port.
	NewLog func(addr string) commitlog.Log
	// PollInterval is the time between two polls of a batch job. The default is
	// DefaultPollInterval.
	PollInterval time.Duration
}

// Run runs the command in args, whose first element is the program's name, and
// returns the exit code.
func (t Tool) Run(ctx context.Context, args []string) int {
	if t.PollInterval <= 0 {
		t.PollInterval = DefaultPollInterval
	}
	root := t.command()
	setUsageError(root)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(t.Stderr, "catkinrudderctl:", err)
	return exitCode(err)
}

// setUsageError makes c and its subcommands return ExitUsage for invalid flags.
func setUsageError(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return withCode(ExitUsage, err)
	}
	for _, sub := range c.Commands {
		setUsageError(sub)
	}
}

func (t Tool) command() *cli.Command {
	return &cli.Command{
		Name:                  "catkinrudderctl",
		Usage:                 "operate a catkinrudder deployment and send requests to it",
		Description:           exitHelp,
		EnableShellCompletion: true,
		Reader:                t.Stdin,
		Writer:                t.Stdout,
		ErrWriter:             t.Stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return withCode(ExitUsage, errors.Errorf("unknown command %q; see --help", c.Args().First()))
			}
			return cli.ShowRootCommandHelp(c)
		},
		Flags: globalFlags(),
		Commands: append(append(t.desiredCommands(), t.operatorCommands()...),
			t.batchCommand(), t.chatCommand(), t.loadCommand(), t.explainCommand()),
	}
}

// Names of the flags that all commands share.
const (
	flagLog      = "log"
	flagEntry    = "entry"
	flagOperator = "operator"
	flagKey      = "key"
	flagJSON     = "json"
	flagTimeout  = "timeout"
	flagVerbose  = "verbose"
)

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagLog, Usage: "log service, `IP:PORT`", Sources: cli.EnvVars("CATKINRUDDER_LOG")},
		&cli.StringSliceFlag{Name: flagEntry, Usage: "`URL` of an entry's listener for clients; repeat the flag to spread load", Sources: cli.EnvVars("CATKINRUDDER_ENTRY")},
		&cli.StringFlag{Name: flagOperator, Usage: "`URL` of an entry's listener for operators", Sources: cli.EnvVars("CATKINRUDDER_OPERATOR")},
		&cli.StringFlag{Name: flagKey, Usage: "bearer `KEY` of a workspace", Sources: cli.EnvVars("CATKINRUDDER_KEY")},
		&cli.BoolFlag{Name: flagJSON, Usage: "write JSON"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "timeout of a command that does not wait for a job or send load"},
		&cli.BoolFlag{Name: flagVerbose, Usage: "write the tool's log to standard error"},
	}
}

func (t Tool) publisher(c *cli.Command) (*desired.Publisher, error) {
	addr := c.String(flagLog)
	if addr == "" {
		return nil, withCode(ExitUsage, errors.New("--log IP:PORT is required"))
	}
	level := log.FatalLevel
	if c.Bool(flagVerbose) {
		level = log.DebugLevel
	}
	logger := log.NewWithOptions(t.Stderr, log.Options{Level: level, Formatter: log.LogfmtFormatter})
	return desired.NewPublisher(t.NewLog(addr), logger), nil
}

func (t Tool) entries(c *cli.Command) ([]*load.Client, error) {
	var clients []*load.Client
	for _, base := range c.StringSlice(flagEntry) {
		clients = append(clients, load.NewClient(base, c.String(flagKey)))
	}
	if len(clients) == 0 {
		return nil, withCode(ExitUsage, errors.New("--entry URL is required"))
	}
	return clients, nil
}

func (t Tool) entry(c *cli.Command) (*load.Client, error) {
	clients, err := t.entries(c)
	if err != nil {
		return nil, err
	}
	return clients[0], nil
}

func (t Tool) operator(c *cli.Command) (*load.Client, error) {
	base := c.String(flagOperator)
	if base == "" {
		return nil, withCode(ExitUsage, errors.New("--operator URL is required"))
	}
	return load.NewClient(base, ""), nil
}

// withTimeout returns an action that runs with the command line's timeout.
func withTimeout(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return action(ctx, c)
	}
}

// oneArg returns the only argument of a command. The error names the argument.
func oneArg(c *cli.Command, argument string) (string, error) {
	if c.Args().Len() != 1 {
		return "", withCode(ExitUsage, errors.Errorf("%s: exactly one %s is required", c.Name, argument))
	}
	return c.Args().First(), nil
}

func (t Tool) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Stdout, format, args...)
}

func (t Tool) writeJSON(v any) error {
	enc := json.NewEncoder(t.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "write JSON")
}
