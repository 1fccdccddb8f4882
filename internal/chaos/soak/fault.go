package soak

import "time"

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// A killed or stopped gateway is started again.
	KillGateway     FaultKind = "kill_gateway"
	KillAllGateways FaultKind = "kill_all_gateways"
	FreezeGateway   FaultKind = "freeze_gateway"
	StopGateway     FaultKind = "stop_gateway"
	ReloadGateway   FaultKind = "reload_gateway"
	// RollGateways stops all gateways, one Delay after the other, and starts each again once it has ended.
	RollGateways FaultKind = "roll_gateways"
	// IsolateGateway leaves a gateway alone after it has been cut off or suspended; see isolateGateway.
	IsolateGateway FaultKind = "isolate_gateway"
	// FenceShards fences the owners of all shards of batch jobs, as claims of a process do that has not lived to
	// take the shards over.
	FenceShards FaultKind = "fence_shards"

	// CutPeers cuts the links of a gateway to the others, DropPeerTraffic drops what it
	// sends to them. CutRegion partitions the region that does not contain the store.
	CutPeers        FaultKind = "cut_peers"
	DropPeerTraffic FaultKind = "silence_peers"
	CutRegion       FaultKind = "cut_region"

	ResetCallers    FaultKind = "reset_callers"
	SlowCallers     FaultKind = "slow_callers"
	LimitCallerRate FaultKind = "narrow_callers"

	// CutMostStoreLinks leaves only one gateway connected to the store.
	CutStoreLink        FaultKind = "cut_store_link"
	CutMostStoreLinks   FaultKind = "cut_most_store_links"
	ResetStoreLink      FaultKind = "reset_store_link"
	StallStoreLink      FaultKind = "silence_store_link"
	StallStoreResponses FaultKind = "silence_store_answers"

	// A store that is down refuses every call. After StoreDownAndEmptied, it also holds no
	// registrations of backend servers. StoreDelaysAppends makes appends take effect late,
	// StoreTruncated truncates the log.
	StoreDown           FaultKind = "store_down"
	StoreDownAndEmptied FaultKind = "store_down_and_emptied"
	StoreSlow           FaultKind = "store_slow"
	StoreDropsResponses FaultKind = "store_loses_answers"
	StoreDropsRequests  FaultKind = "store_loses_calls"
	StoreDelaysAppends  FaultKind = "store_applies_late"
	StoreTruncated      FaultKind = "store_forgets_its_past"

	// The faults from BackendFails on are those of platformtest that backendFault lists.
	KillBackend                FaultKind = "kill_backend"
	DrainBackend               FaultKind = "drain_backend"
	CutBackend                 FaultKind = "cut_backend"
	ResetBackend               FaultKind = "reset_backend"
	StallBackend               FaultKind = "silence_backend"
	StallBackendResponses      FaultKind = "silence_backend_answers"
	SlowBackend                FaultKind = "slow_backend"
	BackendFails               FaultKind = "backend_fails"
	BackendFull                FaultKind = "backend_full"
	BackendCutsStreams         FaultKind = "backend_cuts_streams"
	BackendMismatchesResponses FaultKind = "backend_strays_answers"
	BackendTrailingBytes       FaultKind = "backend_extra_answers"
	BackendCloseDelimited      FaultKind = "backend_unframed"
	BackendResetsAfterRun      FaultKind = "backend_loses_answers"
	BackendHangs               FaultKind = "backend_silent"
	BackendLateRefusals        FaultKind = "backend_late_refusals"
	BackendRepeatsRefusals     FaultKind = "backend_repeats_refusals"
	BackendEndlessHead         FaultKind = "backend_endless_head"
	BackendEndlessBody         FaultKind = "backend_endless_body"

	// RestartBackend kills a backend server, which is back at its address at once; Share is its
	// identity. PauseBackend suspends its process.
	RestartBackend FaultKind = "restart_backend"
	PauseBackend   FaultKind = "pause_backend"

	// BackendWritesLate: the store executes heartbeats of a backend server late.
	BackendWritesLate FaultKind = "backend_writes_late"
	// BackendNamesLimit: a backend server names a limit for the requests that it takes.
	BackendNamesLimit FaultKind = "backend_names_limit"
)

var plannedFaults = []FaultKind{StopGateway, ReloadGateway, DrainBackend}

var backendFaults = []FaultKind{
	KillBackend, DrainBackend, CutBackend, ResetBackend, StallBackend, StallBackendResponses, SlowBackend,
	BackendFails, BackendFull, BackendCutsStreams, BackendMismatchesResponses, BackendTrailingBytes, BackendCloseDelimited,
	BackendResetsAfterRun, BackendHangs,
}

var otherFaults = []FaultKind{
	KillGateway, KillGateway, KillAllGateways, FreezeGateway, FreezeGateway, StopGateway, StopGateway, ReloadGateway,
	CutPeers, CutPeers, DropPeerTraffic, DropPeerTraffic, CutRegion, CutRegion,
	ResetCallers, SlowCallers, LimitCallerRate,
	CutStoreLink, CutMostStoreLinks, ResetStoreLink, StallStoreLink, StallStoreResponses,
	StoreDown, StoreDown, StoreDownAndEmptied, StoreSlow, StoreDropsResponses, StoreDropsResponses, StoreDropsRequests,
	StoreDelaysAppends, StoreDelaysAppends, StoreTruncated,
}

// Fault is a planned fault.
type Fault struct {
	// At is the start relative to the start of the workload, For the duration.
	At   time.Duration
	For  time.Duration
	Kind FaultKind
	// Target selects the gateway or the backend server, modulo their number.
	Target int
	// Share is the percentage of calls or requests that the fault affects.
	Share int
	// Delay is the latency that a slow link or store adds. For StoreDelaysAppends, it is
	// the time from the end of the fault until delayed appends take effect.
	Delay time.Duration
}

// lateRefusals draws faults in which backend servers send refusals that answer no request, or
// answer one twice.
func (g generator) lateRefusals() []Fault {
	kinds := []FaultKind{BackendLateRefusals, BackendRepeatsRefusals}
	var out []Fault
	for range g.IntN(4) {
		out = append(out, Fault{
			At: g.Within(workloadDuration * 3 / 4), For: g.Between(300*time.Millisecond, 2500*time.Millisecond),
			Kind: kinds[g.IntN(len(kinds))], Target: g.IntN(60), Share: 10 + g.IntN(60),
		})
	}
	return out
}

// limits draws backend servers that name limits, and some that send bytes without end.
func (g generator) limits() []Fault {
	kinds := []FaultKind{BackendNamesLimit, BackendNamesLimit, BackendEndlessHead, BackendEndlessBody}
	var out []Fault
	for range g.IntN(4) {
		out = append(out, Fault{
			At: g.Within(workloadDuration / 4), For: g.Between(3*time.Second, 6*time.Second),
			Kind: kinds[g.IntN(len(kinds))], Target: g.IntN(60), Share: 5 + g.IntN(20),
		})
	}
	return out
}

// longFaultPercent is the percentage of faults that outlast leases, reports and registrations.
const longFaultPercent = 15

// faults draws a series of faults. Half of them start while the previous one is in
// effect.
func (g generator) faults(p Profile) []Fault {
	kinds := append(append([]FaultKind(nil), backendFaults...), otherFaults...)
	switch p {
	case Planned:
		kinds = plannedFaults
	case Backends:
		kinds = backendFaults
	}
	var out []Fault
	for range 3 + g.IntN(8) {
		f := Fault{
			At: g.Within(workloadDuration * 3 / 4), For: g.Between(100*time.Millisecond, 2500*time.Millisecond),
			Kind: kinds[g.IntN(len(kinds))], Target: g.IntN(60),
			Share: 10 + g.IntN(90), Delay: g.Between(5*time.Millisecond, 300*time.Millisecond),
		}
		if g.Percent(longFaultPercent) {
			f.For = g.Between(4*time.Second, 8*time.Second)
		}
		if f.Kind == StoreDelaysAppends && g.Percent(50) {
			f.Delay = g.Between(300*time.Millisecond, 3*time.Second)
		}
		if len(out) > 0 && g.Percent(50) {
			f.At = out[len(out)-1].At + g.Within(100*time.Millisecond)
		}
		out = append(out, f)
	}
	return out
}
