// Package ejection records failed attempts at backend servers, for online and batch
// requests alike.
package ejection

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// Ejector records the failed attempts of one process.
type Ejector struct {
	Table *balance.Table
	Pool  *upstream.Pool
	Log   *log.Logger
}

// RecordFailure records a failed attempt at b and logs an event if the failure ejects
// b. unreachable reports that no connection to b could be established: its idle
// connections are then useless and are closed.
func (e Ejector) RecordFailure(b catalog.Backend, unreachable bool) {
	if duration := e.Table.RecordFailure(b.ID, unreachable, time.Now()); duration > 0 {
		event.Log(e.Log, event.BackendEjected, "backend", b.ID, "service", b.Service, "for", duration, "by", "own", "unreachable", unreachable)
	}
	if unreachable {
		e.Pool.CloseIdle(b.Address)
	}
}
