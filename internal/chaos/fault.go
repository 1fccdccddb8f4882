package chaos

import "time"

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	KillEntry         FaultKind = "kill_entry"
	KillBackend       FaultKind = "kill_backend"
	KillAllEntries    FaultKind = "kill_all_entries"
	FreezeEntry       FaultKind = "freeze_entry"
	FreezeBackend     FaultKind = "freeze_backend"
	ReplaceEntry      FaultKind = "replace_entry"
	ReplaceBackend    FaultKind = "replace_backend"
	ReplaceAll        FaultKind = "replace_all"
	CutPeer           FaultKind = "cut_peer"
	StallPeer         FaultKind = "stall_peer"
	SlowPeer          FaultKind = "slow_peer"
	CutEngine         FaultKind = "cut_engine"
	StallEngine       FaultKind = "stall_engine"
	CutLogLink        FaultKind = "cut_log_link"
	StallLogLink      FaultKind = "stall_log_link"
	CutMostLogLinks   FaultKind = "cut_most_log_links"
	LogDown           FaultKind = "log_down"
	LogSlow           FaultKind = "log_slow"
	LogDropsResponses FaultKind = "log_loses_answers"
	LogDelaysAppends  FaultKind = "log_applies_late"
)

var mixedFaults = []FaultKind{
	KillEntry, KillEntry, KillBackend, KillBackend, KillAllEntries, FreezeEntry, FreezeBackend, FreezeBackend,
	ReplaceEntry, ReplaceBackend, ReplaceAll, CutPeer, CutPeer, StallPeer, SlowPeer, CutEngine, StallEngine,
	CutLogLink, StallLogLink, CutMostLogLinks, LogDown, LogDown, LogSlow, LogDropsResponses, LogDropsResponses, LogDelaysAppends, LogDelaysAppends,
}

var plannedFaults = []FaultKind{ReplaceEntry, ReplaceBackend, ReplaceAll}

// Fault is a planned fault.
type Fault struct {
	// At is the start relative to the start of the workload, For the duration.
	At   time.Duration
	For  time.Duration
	Kind FaultKind
	// Target selects the instance, modulo the number of instances.
	Target int
	// N is how many appends a fault of the log affects.
	N int
	// Delay is the latency that a slow link or log adds. For LogDelaysAppends, it is how
	// late an append takes effect.
	Delay time.Duration
}

// longFaultPercent is the percentage of faults that outlast the system's own time limits:
// missed reports, pings and the deadline of a plain call.
const longFaultPercent = 12

// faults draws up to four faults. About half of them start while another one is in
// effect.
func (g generator) faults(p Profile) []Fault {
	if p == Planned {
		return []Fault{{At: g.Within(workloadDuration / 3), Kind: plannedFaults[g.IntN(len(plannedFaults))], Target: g.IntN(60)}}
	}
	var out []Fault
	for range 1 + g.IntN(4) {
		f := Fault{
			At: g.Within(workloadDuration * 3 / 4), For: g.Between(100*time.Millisecond, 2500*time.Millisecond),
			Kind: mixedFaults[g.IntN(len(mixedFaults))], Target: g.IntN(60),
			N: 1 + g.IntN(12), Delay: g.Between(5*time.Millisecond, 200*time.Millisecond),
		}
		if g.Percent(longFaultPercent) && p != Expiring {
			f.For = g.Between(4*time.Second, 7*time.Second)
		}
		if f.Kind == LogDelaysAppends && g.Percent(50) {
			f.Delay = g.Between(200*time.Millisecond, 3*time.Second)
		}
		if len(out) > 0 && g.Percent(50) {
			f.At = out[len(out)-1].At + g.Within(50*time.Millisecond)
		}
		out = append(out, f)
	}
	return out
}
