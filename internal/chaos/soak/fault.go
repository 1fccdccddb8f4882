package soak

import "time"

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of fault.
const (
	KillGateway     FaultKind = "kill_gateway"
	KillAllGateways FaultKind = "kill_all_gateways"
	FreezeGateway   FaultKind = "freeze_gateway"
	StopGateway     FaultKind = "stop_gateway"
	ReloadGateway   FaultKind = "reload_gateway"

	CutPeers     FaultKind = "cut_peers"
	SilencePeers FaultKind = "silence_peers"
	CutRegion    FaultKind = "cut_region"

	ResetCallers  FaultKind = "reset_callers"
	SlowCallers   FaultKind = "slow_callers"
	NarrowCallers FaultKind = "narrow_callers"

	CutStoreLink          FaultKind = "cut_store_link"
	CutMostStoreLinks     FaultKind = "cut_most_store_links"
	ResetStoreLink        FaultKind = "reset_store_link"
	SilenceStoreLink      FaultKind = "silence_store_link"
	SilenceStoreAnswers   FaultKind = "silence_store_answers"
	StoreDown             FaultKind = "store_down"
	StoreDownAndEmptied   FaultKind = "store_down_and_emptied"
	StoreSlow             FaultKind = "store_slow"
	StoreLosesAnswers     FaultKind = "store_loses_answers"
	StoreLosesCalls       FaultKind = "store_loses_calls"
	StoreAppliesLate      FaultKind = "store_applies_late"
	StoreForgetsItsPast   FaultKind = "store_forgets_its_past"
	KillBackend           FaultKind = "kill_backend"
	DrainBackend          FaultKind = "drain_backend"
	CutBackend            FaultKind = "cut_backend"
	ResetBackend          FaultKind = "reset_backend"
	SilenceBackend        FaultKind = "silence_backend"
	SilenceBackendAnswers FaultKind = "silence_backend_answers"
	SlowBackend           FaultKind = "slow_backend"
	BackendFails          FaultKind = "backend_fails"
	BackendFull           FaultKind = "backend_full"
	BackendCutsStreams    FaultKind = "backend_cuts_streams"
	BackendStraysAnswers  FaultKind = "backend_strays_answers"
	BackendExtraAnswers   FaultKind = "backend_extra_answers"
	BackendUnframed       FaultKind = "backend_unframed"
	BackendLosesAnswers   FaultKind = "backend_loses_answers"
	BackendSilent         FaultKind = "backend_silent"
)

var plannedFaults = []FaultKind{StopGateway, ReloadGateway, DrainBackend}

var backendFaults = []FaultKind{
	KillBackend, DrainBackend, CutBackend, ResetBackend, SilenceBackend, SilenceBackendAnswers, SlowBackend,
	BackendFails, BackendFull, BackendCutsStreams, BackendStraysAnswers, BackendExtraAnswers, BackendUnframed,
	BackendLosesAnswers, BackendSilent,
}

var otherFaults = []FaultKind{
	KillGateway, KillGateway, KillAllGateways, FreezeGateway, FreezeGateway, StopGateway, StopGateway, ReloadGateway,
	CutPeers, CutPeers, SilencePeers, SilencePeers, CutRegion, CutRegion,
	ResetCallers, SlowCallers, NarrowCallers,
	CutStoreLink, CutMostStoreLinks, ResetStoreLink, SilenceStoreLink, SilenceStoreAnswers,
	StoreDown, StoreDown, StoreDownAndEmptied, StoreSlow, StoreLosesAnswers, StoreLosesAnswers, StoreLosesCalls,
	StoreAppliesLate, StoreAppliesLate, StoreForgetsItsPast,
}

// Fault is one planned fault.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind FaultKind
	// Target chooses the gateway or the backend server, modulo their number.
	Target int
	// Share is the part of the calls or requests that the fault meets, in
	// percent.
	Share int
	// Delay is how much a slow part adds, or how late a call takes effect.
	Delay time.Duration
}

// longPercent is the share of faults that outlast leases, reports and
// registrations.
const longPercent = 15

// faults draws a series of faults; half of them begin while the one before is in
// force.
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
			At: g.Within(span * 3 / 4), For: g.Between(100*time.Millisecond, 2500*time.Millisecond),
			Kind: kinds[g.IntN(len(kinds))], Target: g.IntN(60),
			Share: 10 + g.IntN(90), Delay: g.Between(5*time.Millisecond, 300*time.Millisecond),
		}
		if g.Percent(longPercent) {
			f.For = g.Between(4*time.Second, 8*time.Second)
		}
		if f.Kind == StoreAppliesLate && g.Percent(50) {
			f.Delay = g.Between(300*time.Millisecond, 3*time.Second)
		}
		if len(out) > 0 && g.Percent(50) {
			f.At = out[len(out)-1].At + g.Within(100*time.Millisecond)
		}
		out = append(out, f)
	}
	return out
}
