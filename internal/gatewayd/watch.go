package gatewayd

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"time"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/platform"
)

const (
	// dropReportInterval is the time between two reports of dropped log lines.
	dropReportInterval = 5 * time.Second
	// settingsCheckInterval is the time between two checks of the settings file, which
	// may change without a signal.
	settingsCheckInterval = 2 * time.Second
)

// runSink writes log lines until stop is called and all lines are written.
func (d *Daemon) runSink() (stop context.CancelFunc, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		d.sink.Run(ctx)
		close(finished)
	}()
	return cancel, finished
}

// reportDroppedLines reports dropped log lines.
func (d *Daemon) reportDroppedLines(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var budget, reader int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b, r := d.lineLimiter.Suppressed(), d.sink.Dropped()
		if b != budget || r != reader {
			event.Log(d.log, event.LinesLeftOut, "budget", b-budget, "reader", r-reader)
			d.gateway.Metrics.LinesSuppressed(b-budget, r-reader)
		}
		budget, reader = b, r
	}
}

// watchSettings reloads the settings after SIGHUP and when the file has changed. The
// listen addresses of the process stay the same until its next start; the address of
// the store changes at once.
func (d *Daemon) watchSettings(ctx context.Context) {
	defer signal.Stop(d.hup)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	path := os.Getenv(platform.SettingsEnv)
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.hup:
			d.reload(path, "signal")
		case <-ticker.C:
			if at := modTime(path); !at.Equal(last) {
				d.reload(path, "file changed")
			}
		}
		last = modTime(path)
	}
}

// modTime returns the modification time of the file, or zero if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (d *Daemon) reload(path, why string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		event.Log(d.log, event.Reloaded, "why", why, "cause", err)
		return
	}
	d.store.SetAddress(s.Store.Address)
	event.Log(d.log, event.Reloaded, "why", why, "store", s.Store.Address, "changed", !reflect.DeepEqual(s, d.settings))
}
