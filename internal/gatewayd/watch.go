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
	// leftOutInterval is the time between two reports of lines left out.
	leftOutInterval = 5 * time.Second
	// settingsInterval is the time between two looks at the settings file,
	// which may change without a signal.
	settingsInterval = 2 * time.Second
)

// runSink writes log lines until stop is called and everything is written.
func (d *Daemon) runSink() (stop context.CancelFunc, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() {
		d.sink.Run(ctx)
		close(finished)
	}()
	return cancel, finished
}

// watchLog tells of log lines that were left out.
func (d *Daemon) watchLog(ctx context.Context) {
	ticker := time.NewTicker(leftOutInterval)
	defer ticker.Stop()
	var budget, reader int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b, r := d.budget.Suppressed(), d.sink.Dropped()
		if b != budget || r != reader {
			event.Log(d.log, event.LinesLeftOut, "budget", b-budget, "reader", r-reader)
			d.gateway.Metrics.LinesSuppressed(b-budget, r-reader)
		}
		budget, reader = b, r
	}
}

// watchSettings reads the settings again after SIGHUP and when the file has
// changed. Addresses of the process itself hold until its next start; the
// store's address changes at once.
func (d *Daemon) watchSettings(ctx context.Context) {
	defer signal.Stop(d.hup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	path := os.Getenv(platform.SettingsEnv)
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.hup:
			d.reload(path, "signal")
		case <-ticker.C:
			if at := modified(path); !at.Equal(last) {
				d.reload(path, "file changed")
			}
		}
		last = modified(path)
	}
}

// modified returns when the file was last written, or zero if that can't be told.
func modified(path string) time.Time {
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
