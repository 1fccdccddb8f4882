package peering

import (
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrudder/catkinrudder/quarantine"
)

// Evidence receives what other gateways report about what may crash servers: the parts of prompts
// and the identities of requests.
type Evidence interface {
	// PeerCrash records the end of a backend server. It returns the suspects with which a run has
	// completed here.
	PeerCrash(r quarantine.CrashReport) (completed []string)
	// PeerCompleted records suspects with which a run has completed.
	PeerCompleted(suspects []string)
	// PeerHeld records suspects that are held from now on.
	PeerHeld(suspects []string)
	// PeerHolds records the states of held suspects.
	PeerHolds(states []quarantine.HoldState)
}

// evidenceReport is what a gateway reports about suspects. Only one of the lists is set.
type evidenceReport struct {
	// Server is the server that has ended under runs with the suspects Crashed. LastedMs holds, in
	// the same order, how long they had lasted; reports of older releases lack it.
	Server    uint32   `cbor:"1,keyasint,omitempty"`
	Crashed   []string `cbor:"2,keyasint,omitempty"`
	Completed []string `cbor:"3,keyasint,omitempty"`
	Held      []string `cbor:"4,keyasint,omitempty"`
	LastedMs  []int64  `cbor:"5,keyasint,omitempty"`
	// Counted holds, in the same order, the servers that count against the suspects at the sender, and
	// AgesMs and CountedLastedMs when they have ended and how long the runs had lasted; reports of older
	// releases lack these two.
	Counted         [][]uint32 `cbor:"6,keyasint,omitempty"`
	AgesMs          [][]int64  `cbor:"7,keyasint,omitempty"`
	CountedLastedMs [][]int64  `cbor:"8,keyasint,omitempty"`
	// Holds are the states of held suspects; older releases ignore them.
	Holds []holdReport `cbor:"9,keyasint,omitempty"`
}

// holdReport is the state of a held suspect.
type holdReport struct {
	Suspect  string `cbor:"1,keyasint"`
	Failures int    `cbor:"2,keyasint,omitempty"`
	NextInMs int64  `cbor:"3,keyasint,omitempty"`
	Phase    uint8  `cbor:"4,keyasint,omitempty"`
	Priority uint64 `cbor:"5,keyasint,omitempty"`
	Server   uint32 `cbor:"6,keyasint,omitempty"`
}

// holdStates returns the states of held suspects that are reported.
func (r evidenceReport) holdStates() []quarantine.HoldState {
	states := make([]quarantine.HoldState, len(r.Holds))
	for i, h := range r.Holds {
		states[i] = quarantine.HoldState{
			Suspect: h.Suspect, Failures: max(h.Failures, 0),
			NextIn: time.Duration(min(max(h.NextInMs, 0), maxReported.Milliseconds())) * time.Millisecond,
			Phase:  quarantine.Phase(h.Phase), Priority: h.Priority, Server: h.Server,
		}
	}
	return states
}

// crash returns the end of a server that is reported. Lists may be short in reports of older releases.
func (r evidenceReport) crash() quarantine.CrashReport {
	out := quarantine.CrashReport{Server: r.Server, Runs: make(quarantine.Runs, len(r.Crashed)), Counted: make(map[string][]quarantine.CountedCrash)}
	for i, suspect := range r.Crashed {
		out.Runs[suspect] = durationAt(r.LastedMs, i)
		ages, lasted := listAt(r.AgesMs, i), listAt(r.CountedLastedMs, i)
		for n, server := range listAt(r.Counted, i) {
			out.Counted[suspect] = append(out.Counted[suspect], quarantine.CountedCrash{
				Server: server, Age: durationAt(ages, n), Lasted: durationAt(lasted, n),
			})
		}
	}
	return out
}

// listAt returns a list of a report, which may be missing.
func listAt[T any](lists [][]T, i int) []T {
	if i >= len(lists) {
		return nil
	}
	return lists[i]
}

// maxReported bounds a duration that is reported.
const maxReported = 24 * time.Hour

// durationAt returns a duration of a report, which may be missing.
func durationAt(ms []int64, i int) time.Duration {
	if i >= len(ms) {
		return 0
	}
	return time.Duration(min(max(ms[i], 0), maxReported.Milliseconds())) * time.Millisecond
}

// BroadcastCrash implements quarantine.Peers.
func (p *Peering) BroadcastCrash(crash quarantine.CrashReport) {
	r := evidenceReport{Server: crash.Server, Crashed: crash.Runs.Suspects()}
	for _, suspect := range r.Crashed {
		r.LastedMs = append(r.LastedMs, crash.Runs[suspect].Milliseconds())
		r.addCounted(crash.Counted[suspect])
	}
	p.broadcastEvidence(r)
}

// addCounted adds the crashes that count against the next suspect.
func (r *evidenceReport) addCounted(crashes []quarantine.CountedCrash) {
	var servers []uint32
	var ages, lasted []int64
	for _, c := range crashes {
		servers = append(servers, c.Server)
		ages = append(ages, c.Age.Milliseconds())
		lasted = append(lasted, c.Lasted.Milliseconds())
	}
	r.Counted, r.AgesMs, r.CountedLastedMs = append(r.Counted, servers), append(r.AgesMs, ages), append(r.CountedLastedMs, lasted)
}

// BroadcastHeld implements quarantine.Peers.
func (p *Peering) BroadcastHeld(suspects []string) {
	p.broadcastEvidence(evidenceReport{Held: suspects})
}

// BroadcastHolds implements quarantine.Peers.
func (p *Peering) BroadcastHolds(states []quarantine.HoldState) {
	var r evidenceReport
	for _, s := range states {
		r.Holds = append(r.Holds, holdReport{Suspect: s.Suspect, Failures: s.Failures, NextInMs: s.NextIn.Milliseconds(), Phase: uint8(s.Phase), Priority: s.Priority, Server: s.Server})
	}
	p.broadcastEvidence(r)
}

// BroadcastCompleted implements quarantine.Peers.
func (p *Peering) BroadcastCompleted(suspects []string) {
	p.broadcastEvidence(evidenceReport{Completed: suspects})
}

func (p *Peering) broadcastEvidence(r evidenceReport) {
	p.sendDatagram(datagram{Evidence: &r}, p.allAddresses()...)
}

// applyEvidence applies a report about suspects. A report of a crash is answered with those that are
// innocent.
func (p *Peering) applyEvidence(r evidenceReport, from net.Addr) {
	switch {
	case len(r.Completed) > 0:
		p.opts.Evidence.PeerCompleted(r.Completed)
	case len(r.Held) > 0:
		p.opts.Evidence.PeerHeld(r.Held)
	case len(r.Holds) > 0:
		p.opts.Evidence.PeerHolds(r.holdStates())
	case len(r.Crashed) > 0:
		completed := p.opts.Evidence.PeerCrash(r.crash())
		if sender, ok := from.(*net.UDPAddr); ok && len(completed) > 0 {
			p.sendDatagram(datagram{Evidence: &evidenceReport{Completed: completed}}, sender.AddrPort())
		}
	}
}

// Priority implements quarantine.Peers. Gateways have different orders for different suspects.
func (p *Peering) Priority(suspect string) uint64 {
	return xxhash.Sum64String(p.opts.Name + "\x00" + suspect)
}
