// Command catkinrudderd is the daemon. It runs an entry or a sidecar, depending
// on its settings, or a complete small deployment for development.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/catkinrudder/catkinrudder/internal/dev"
	"github.com/catkinrudder/catkinrudder/internal/entry"
	"github.com/catkinrudder/catkinrudder/internal/sidecar"
	"github.com/catkinrudder/catkinrudder/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "catkinrudderd:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	settingsFlag := &cli.StringFlag{Name: "settings", Usage: "TOML `FILE` with the settings of the process", Required: true}
	logFlag := &cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"}
	return &cli.Command{
		Name:                  "catkinrudderd",
		Usage:                 "serve online and batch inference on one fleet",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run an entry or a sidecar", Flags: []cli.Flag{settingsFlag, logFlag}, Action: serve},
			{Name: "check-settings", Usage: "check a settings file", Flags: []cli.Flag{settingsFlag}, Action: checkSettings},
			{
				Name:  "dev",
				Usage: "run stand-ins, one entry and sidecars in one process",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8180", Usage: "`ADDR` that serves clients"},
					&cli.BoolFlag{Name: "once", Usage: "run the demonstration and exit"},
					&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "debug, info, warn or error"},
				},
				Action: runDev,
			},
		},
	}
}

func newLogger(c *cli.Command) (*log.Logger, error) {
	level, err := log.ParseLevel(c.String("log-level"))
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(os.Stderr, log.Options{
		Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	}), nil
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	logger, err := newLogger(c)
	if err != nil {
		return err
	}
	if s.Role == settings.RoleEntry {
		return entry.New(s, logger).Serve(ctx)
	}
	return sidecar.New(s, logger).Serve(ctx)
}

func checkSettings(_ context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid settings of %s %s\n", c.String("settings"), s.Role, s.Instance)
	return nil
}

func runDev(ctx context.Context, c *cli.Command) error {
	logger, err := newLogger(c)
	if err != nil {
		return err
	}
	d, err := dev.New(c.String("listen"), logger)
	if err != nil {
		return err
	}
	return d.Demonstrate(ctx, os.Stdout, c.Bool("once"))
}
