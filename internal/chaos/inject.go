package chaos

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

const (
	// restartAfter is how long the platform takes to replace a lost instance.
	restartAfter = 300 * time.Millisecond
	// registeredTimeout bounds the wait for a replacement's registration at the entries.
	registeredTimeout = 5 * time.Second
	// strikeFreezeTime is how long a strike suspends a process.
	strikeFreezeTime = 1500 * time.Millisecond
)

// logFaults holds the faults in effect at the log service. Several faults may overlap.
type logFaults struct {
	mu      sync.Mutex
	log     *standin.LogService
	current standin.LogFaults
}

// update changes the faults. DropResponses and ApplyLate count appends that the log service
// has yet to affect: they are passed on once, so that the next update does not start the
// counts again.
func (l *logFaults) update(f func(*standin.LogFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.current)
	l.log.SetFaults(l.current)
	l.current.DropResponses, l.current.ApplyLate = 0, 0
}

// countFault counts an injected fault.
func (r *Round) countFault(kind string) {
	r.history.update(func(h *History) { h.Injected[kind]++ })
}

// inject injects a fault and ends it after its duration.
func (r *Round) inject(ctx context.Context, f Fault) {
	r.countFault(string(f.Kind))
	entry := r.cluster.Entries[f.Target%len(r.cluster.Entries)]
	backends := r.cluster.Backends()
	backend := backends[f.Target%len(backends)]
	switch f.Kind {
	case KillEntry:
		r.killAndRestart(ctx, f.For, entry)
	case KillBackend:
		r.killAndRestart(ctx, f.For, backend)
	case KillAllEntries:
		r.killAndRestart(ctx, f.For, r.cluster.Entries...)
	case FreezeEntry:
		r.freeze(ctx, f.For, entry)
	case FreezeBackend:
		r.freeze(ctx, f.For, backend)
	case ReplaceEntry:
		r.replace(entry)
	case ReplaceBackend:
		r.replace(backend)
	case ReplaceAll:
		for _, n := range r.cluster.Nodes() {
			r.replace(n)
		}
	case CutMostLogLinks:
		r.cutMostLogLinks(ctx, f.For, entry)
	case LogDown, LogSlow, LogDropsResponses, LogDelaysAppends:
		r.injectLogFault(ctx, f)
	default:
		r.injectLinkFault(ctx, f, entry, backend)
	}
}

// killAndRestart kills processes and starts them again after d, as new incarnations.
func (r *Round) killAndRestart(ctx context.Context, d time.Duration, nodes ...*proctest.Node) {
	for _, n := range nodes {
		n.Kill()
	}
	delay.Wait(ctx, d)
	for _, n := range nodes {
		r.recordError(n.Start())
	}
}

func (r *Round) freeze(ctx context.Context, d time.Duration, n *proctest.Node) {
	n.Freeze()
	delay.Wait(ctx, d)
	n.Resume()
}

// replace stops an instance gracefully and starts another one in its place.
func (r *Round) replace(n *proctest.Node) {
	s := StopRecord{Name: n.Name(), Backend: slices.Index(r.cluster.Backends(), n), Begin: time.Now()}
	stopped, err := n.Replace()
	s.Done = stopped
	if err == nil {
		err = r.awaitRegistered(n)
	}
	if err != nil {
		s.Err = err.Error()
		r.recordError(n.Start())
	}
	r.history.update(func(h *History) { h.Stops = append(h.Stops, s) })
}

// awaitRegistered waits until an instance is ready and registered at every entry whose
// status can be read, as a platform does that replaces one instance at a time.
func (r *Round) awaitRegistered(n *proctest.Node) error {
	if err := n.WaitReady(); err != nil {
		return err
	}
	for end := time.Now().Add(registeredTimeout); time.Now().Before(end); delay.Wait(r.ctx, settlePollInterval) {
		if r.registeredEverywhere(n) {
			return nil
		}
	}
	return nil
}

func (r *Round) registeredEverywhere(n *proctest.Node) bool {
	for _, e := range r.cluster.Entries {
		ps, ok := status(r.ctx, e)
		known := slices.ContainsFunc(ps, func(p processStatus) bool { return p.Instance == n.Name() && p.Incarnation != "" })
		if ok && !known {
			return false
		}
	}
	return true
}

func (r *Round) injectLogFault(ctx context.Context, f Fault) {
	switch f.Kind {
	case LogDown:
		r.log.update(func(l *standin.LogFaults) { l.Down = true })
		delay.Wait(ctx, f.For)
		r.log.update(func(l *standin.LogFaults) { l.Down = false })
	case LogSlow:
		r.log.update(func(l *standin.LogFaults) { l.DelayMS = int(f.Delay.Milliseconds()) })
		delay.Wait(ctx, f.For)
		r.log.update(func(l *standin.LogFaults) { l.DelayMS = 0 })
	case LogDropsResponses:
		r.log.update(func(l *standin.LogFaults) { l.DropResponses = f.N })
	case LogDelaysAppends:
		r.log.update(func(l *standin.LogFaults) { l.ApplyLate, l.LateMS = f.N, int(f.Delay.Milliseconds()) })
	}
}

// cutMostLogLinks cuts the log links of all entries but one, as in a region that is
// partitioned from the log.
func (r *Round) cutMostLogLinks(ctx context.Context, d time.Duration, connected *proctest.Node) {
	var links []*proctest.Forwarder
	for _, n := range r.cluster.Entries {
		if n != connected {
			links = append(links, n.Links().Log)
		}
	}
	for _, l := range links {
		l.Cut()
	}
	delay.Wait(ctx, d)
	for _, l := range links {
		l.Restore()
	}
}

func (r *Round) injectLinkFault(ctx context.Context, f Fault, entry, backend *proctest.Node) {
	var link *proctest.Forwarder
	switch f.Kind {
	case CutPeer, StallPeer, SlowPeer:
		link = backend.Links().Peer
	case CutEngine, StallEngine:
		link = backend.Links().Backend
	default:
		link = entry.Links().Log
	}
	switch f.Kind {
	case CutPeer, CutEngine, CutLogLink:
		link.Cut()
	case StallPeer, StallEngine, StallLogLink:
		link.Stall()
	case SlowPeer:
		link.Delay(f.Delay)
	}
	delay.Wait(ctx, f.For)
	link.Restore()
}

// injectStrike injects the operation's own fault. via is the entry that responded.
func (r *Round) injectStrike(op Op, via *proctest.Node) {
	if op.Strike == NoStrike {
		return
	}
	r.countFault(string(op.Strike))
	victim := r.cluster.Engines[entryIndexOf(op.ID)%len(r.cluster.Engines)]
	switch op.Strike {
	case KillEntryOnAck:
		via.Kill()
		r.strikes.Go(func() { r.killAndRestart(r.ctx, restartAfter, via) })
	case KillBackendMidStream:
		r.strikes.Go(func() { r.killAndRestart(r.ctx, restartAfter, victim) })
	case FreezeBackendMidStream:
		r.strikes.Go(func() { r.freeze(r.ctx, strikeFreezeTime, victim) })
	}
}
