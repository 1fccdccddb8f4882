package ratelimit

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/serving"
)

// Options are the settings of a Limiter.
type Options struct {
	Logger *log.Logger
}

// Limiter follows the limits that backend servers name.
type Limiter struct {
	opts  Options
	table *Table
}

// NewLimiter returns a limiter that knows no limits.
func NewLimiter(opts Options) *Limiter { return &Limiter{opts: opts, table: NewTable()} }

// Observe records what a response says about the limit of its backend server.
func (l *Limiter) Observe(server string, named serving.RateLimit) {
	if named.Malformed {
		if l.table.ObserveMalformed(server, named) {
			event.Log(l.opts.Logger, event.LimitMalformed, "backend", server, "value", named.Text)
		}
		return
	}
	limit := Limit{Named: named.Named, PerSecond: named.PerSecond, At: time.Now()}
	if l.table.Observe(server, limit) {
		l.logChange(server, limit, "own")
	}
}

// Remove drops the state of a backend server that is no longer registered.
func (l *Limiter) Remove(server string) { l.table.Remove(server) }

func (l *Limiter) logChange(server string, limit Limit, by string) {
	value := any("")
	if limit.Named {
		value = limit.PerSecond
	}
	event.Log(l.opts.Logger, event.BackendLimited, "backend", server, "limit", value, "by", by)
}
