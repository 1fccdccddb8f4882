// Package boottime measures times by a clock that neither jumps with the time of day nor
// stops while the machine is suspended. Ages of leases and confirmations are measured with
// it: the time of day may jump by seconds, and the monotonic clock of package time would
// miss a suspension.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error()) // a kernel without the clock
	}
	return time.Duration(ts.Nano())
}

// Stamp is the time of the last event of some kind. It is safe for concurrent use. Its
// zero value is that of an event that has never happened.
type Stamp struct{ at atomic.Int64 }

// Set records an event that happens now.
func (s *Stamp) Set() { s.at.Store(int64(Now())) }

// SetAt records an event that happened at a time of Now.
func (s *Stamp) SetAt(at time.Duration) { s.at.Store(int64(at)) }

// Age returns the time since the last event, and false if there was none.
func (s *Stamp) Age() (age time.Duration, happened bool) {
	at := s.at.Load()
	if at == 0 {
		return 0, false
	}
	return Now() - time.Duration(at), true
}

// Deadline is a time until which something holds. It is safe for concurrent use. Its zero
// value has passed.
type Deadline struct{ at atomic.Int64 }

// Extend sets the deadline to d from now.
func (d *Deadline) Extend(by time.Duration) { d.at.Store(int64(Now() + by)) }

// Passed reports whether the deadline has passed.
func (d *Deadline) Passed() bool { return int64(Now()) >= d.at.Load() }
