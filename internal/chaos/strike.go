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
	// knownTimeout bounds the wait for the entries to know a replacement.
	knownTimeout = 5 * time.Second
	// strikeFreeze is how long a strike freezes a process.
	strikeFreeze = 1500 * time.Millisecond
)

// logFaults are the faults in force at the log service; several rounds' faults
// may overlap.
type logFaults struct {
	mu  sync.Mutex
	log *standin.LogService
	now standin.LogFaults
}

func (l *logFaults) change(f func(*standin.LogFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.now)
	l.log.SetFaults(l.now)
	l.now.DropResponses, l.now.ApplyLate = 0, 0
}

// count notes that a fault has struck.
func (r *Round) count(kind string) {
	r.history.add(func(h *History) { h.Struck[kind]++ })
}

// inject carries out one fault and ends it.
func (r *Round) inject(ctx context.Context, f Fault) {
	r.count(string(f.Kind))
	entry := r.cluster.Entries[f.Target%len(r.cluster.Entries)]
	backends := r.cluster.Backends()
	backend := backends[f.Target%len(backends)]
	switch f.Kind {
	case KillEntry:
		r.kill(ctx, f.For, entry)
	case KillBackend:
		r.kill(ctx, f.For, backend)
	case KillAllEntries:
		r.kill(ctx, f.For, r.cluster.Entries...)
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
	case LogDown, LogSlow, LogLosesAnswers, LogAppliesLate:
		r.disturbLog(ctx, f)
	default:
		r.disturbLink(ctx, f, entry, backend)
	}
}

// kill ends processes at once and starts them again, as new incarnations.
func (r *Round) kill(ctx context.Context, d time.Duration, nodes ...*proctest.Node) {
	for _, n := range nodes {
		n.Kill()
	}
	delay.Wait(ctx, d)
	for _, n := range nodes {
		r.fail(n.Start())
	}
}

func (r *Round) freeze(ctx context.Context, d time.Duration, n *proctest.Node) {
	n.Freeze()
	delay.Wait(ctx, d)
	n.Wake()
}

// replace stops an instance gracefully and starts another in its place.
func (r *Round) replace(n *proctest.Node) {
	s := Stopping{Name: n.Name(), Backend: slices.Index(r.cluster.Backends(), n), Begin: time.Now()}
	stopped, err := n.Replace()
	s.Done = stopped
	if err == nil {
		err = r.awaitKnown(n)
	}
	if err != nil {
		s.Err = err.Error()
		r.fail(n.Start())
	}
	r.history.add(func(h *History) { h.Stops = append(h.Stops, s) })
}

// awaitKnown waits until an instance is ready and, as far as they answer, the
// entries know it, as a platform does that replaces one instance at a time.
func (r *Round) awaitKnown(n *proctest.Node) error {
	if err := n.WaitReady(); err != nil {
		return err
	}
	for end := time.Now().Add(knownTimeout); time.Now().Before(end); delay.Wait(r.ctx, settlePoll) {
		if r.knownEverywhere(n) {
			return nil
		}
	}
	return nil
}

func (r *Round) knownEverywhere(n *proctest.Node) bool {
	for _, e := range r.cluster.Entries {
		ps, ok := status(r.ctx, e)
		known := slices.ContainsFunc(ps, func(p processStatus) bool { return p.Instance == n.Name() && p.Incarnation != "" })
		if ok && !known {
			return false
		}
	}
	return true
}

func (r *Round) disturbLog(ctx context.Context, f Fault) {
	switch f.Kind {
	case LogDown:
		r.log.change(func(l *standin.LogFaults) { l.Down = true })
		delay.Wait(ctx, f.For)
		r.log.change(func(l *standin.LogFaults) { l.Down = false })
	case LogSlow:
		r.log.change(func(l *standin.LogFaults) { l.DelayMS = int(f.Delay.Milliseconds()) })
		delay.Wait(ctx, f.For)
		r.log.change(func(l *standin.LogFaults) { l.DelayMS = 0 })
	case LogLosesAnswers:
		r.log.change(func(l *standin.LogFaults) { l.DropResponses = f.N })
	case LogAppliesLate:
		r.log.change(func(l *standin.LogFaults) { l.ApplyLate, l.LateMS = f.N, int(f.Delay.Milliseconds()) })
	}
}

// cutMostLogLinks leaves one entry that reaches the log, as in a region that is
// cut off from it.
func (r *Round) cutMostLogLinks(ctx context.Context, d time.Duration, spared *proctest.Node) {
	var links []*proctest.Forwarder
	for _, n := range r.cluster.Entries {
		if n != spared {
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

func (r *Round) disturbLink(ctx context.Context, f Fault, entry, backend *proctest.Node) {
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

// strike carries out an operation's own fault. via is the entry that answered.
func (r *Round) strike(op Op, via *proctest.Node) {
	if op.Strike == NoStrike {
		return
	}
	r.count(string(op.Strike))
	victim := r.cluster.Engines[saltOf(op.ID)%len(r.cluster.Engines)]
	switch op.Strike {
	case KillEntryOnAck:
		via.Kill()
		r.strikes.Go(func() { r.kill(r.ctx, restartAfter, via) })
	case KillBackendMidStream:
		r.strikes.Go(func() { r.kill(r.ctx, restartAfter, victim) })
	case FreezeBackendMidStream:
		r.strikes.Go(func() { r.freeze(r.ctx, strikeFreeze, victim) })
	}
}
