// Package ctl is the command-line tool of operators and callers. Commands on
// the desired state talk to the log service itself, so that they work with
// every entry down; the others talk to an entry.
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

// defaultTimeout bounds one command, except those that wait for a job or send
// load.
const defaultTimeout = 30 * time.Second

// DefaultPollInterval is the time between two looks at a batch job.
const DefaultPollInterval = time.Second

// Tool is the tool with what it is connected to.
type Tool struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// NewLog returns a client of the log service at an IP:port.
	NewLog func(addr string) commitlog.Log
	// PollInterval is the time between two looks at a batch job, by default
	// DefaultPollInterval.
	PollInterval time.Duration
}

// Run runs the command in args, which starts with the program's name, and
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

// setUsageError gives wrong flags their exit code, in subcommands too.
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
		Usage:                 "operate a catkinrudder deployment and send it work",
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
		&cli.StringSliceFlag{Name: flagEntry, Usage: "`URL` of an entry's listener for callers; repeat to spread load", Sources: cli.EnvVars("CATKINRUDDER_ENTRY")},
		&cli.StringFlag{Name: flagOperator, Usage: "`URL` of an entry's listener for operators", Sources: cli.EnvVars("CATKINRUDDER_OPERATOR")},
		&cli.StringFlag{Name: flagKey, Usage: "bearer `KEY` of a workspace", Sources: cli.EnvVars("CATKINRUDDER_KEY")},
		&cli.BoolFlag{Name: flagJSON, Usage: "write JSON"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "bound on one command that waits for nothing else"},
		&cli.BoolFlag{Name: flagVerbose, Usage: "log what the tool does"},
	}
}

func (t Tool) publisher(c *cli.Command) (*desired.Publisher, error) {
	addr := c.String(flagLog)
	if addr == "" {
		return nil, withCode(ExitUsage, errors.New("--log IP:PORT is needed"))
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
		return nil, withCode(ExitUsage, errors.New("--entry URL is needed"))
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
		return nil, withCode(ExitUsage, errors.New("--operator URL is needed"))
	}
	return load.NewClient(base, ""), nil
}

// bounded runs an action under the timeout of the command line.
func bounded(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return action(ctx, c)
	}
}

// oneArg returns the only argument of a command.
func oneArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", withCode(ExitUsage, errors.Errorf("%s: one %s is needed", c.Name, what))
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
