// Package ejection notes failed attempts at backend servers, online and batch alike.
package ejection

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/upstream"
)

// Ejector notes the failures that one entry meets.
type Ejector struct {
	Table *balance.Table
	Pool  *upstream.Pool
	Log   *log.Logger
}

// RecordFailure notes a failed attempt at b and logs it if b is avoided from now on.
// unreachable says that b could not be reached at all: its idle connections are then
// of no use.
func (e Ejector) RecordFailure(b catalog.Backend, unreachable bool) {
	if span := e.Table.RecordFailure(b.ID, unreachable, time.Now()); span > 0 {
		event.Log(e.Log, event.BackendEjected, "backend", b.ID, "service", b.Service, "for", span, "by", "own", "unreachable", unreachable)
	}
	if unreachable {
		e.Pool.CloseIdle(b.Address)
	}
}
