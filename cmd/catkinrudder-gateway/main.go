// Command catkinrudder-gateway is the daemon for a platform on which gateways
// connect to backend servers directly, without sidecars. It reads the platform's
// settings file.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/gatewayd"
	"github.com/catkinrudder/catkinrudder/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "catkinrudder-gateway:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return err
	}
	sink := event.NewSink(os.Stdout)
	logger := log.NewWithOptions(sink, log.Options{
		Level: log.InfoLevel, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	}).With("node", settings.Instance)
	daemon, err := gatewayd.New(settings, logger, sink)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
