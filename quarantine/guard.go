package quarantine

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// decisionTime is how long runs with a suspect wait for the decision of the gateways.
	decisionTime = objectionTime + 50*time.Millisecond
	// objectionTime is how long other gateways may report complete runs before a suspect is held.
	objectionTime = 250 * time.Millisecond
	// storeTimeout bounds one attempt to store a held suspect; storeRetryDelay is the delay
	// before the next.
	storeTimeout    = 2 * time.Second
	storeRetryDelay = 500 * time.Millisecond
	storeAttempts   = 20
	// maxKeyBytes is the length of the longest suspect that is stored.
	maxKeyBytes = 200
)

// Peers are the other gateways.
type Peers interface {
	// BroadcastCrash reports the end of a backend server. Gateways that have seen runs with some
	// of the suspects complete respond.
	BroadcastCrash(r CrashReport)
	// BroadcastHeld reports suspects that are held from now on.
	BroadcastHeld(suspects []string)
	// BroadcastHolds reports the states of held suspects when a trial begins or ends.
	BroadcastHolds(states []HoldState)
	// BroadcastCompleted reports suspects with which a run has completed.
	BroadcastCompleted(suspects []string)
	// Priority returns the place of this gateway among those that want to try a held suspect; the lowest goes
	// first.
	Priority(suspect string) uint64
}

// Options are the settings of a Guard.
type Options struct {
	// StartedAt is when the process has started, and Now the clock; nil stands for time.Now.
	StartedAt time.Time
	Now       func() time.Time
	// Probe returns nil if the process of a backend server serves on, an error that wraps
	// upstream.ErrProcessEnded if it has ended, and another one if nothing is known of it. It may use
	// the health check, which may wait for a slot, only if useHealth is true.
	Probe func(ctx context.Context, b catalog.Backend, useHealth bool) error
	// Eject is called for a backend server that has ended.
	Eject func(b catalog.Backend)
	// Backends returns the backend servers of a service.
	Backends func(service string) []catalog.Backend
	// Peers returns the other gateways.
	Peers  func() Peers
	Logger *log.Logger
	// Store appends the record of a held suspect, or its tombstone.
	Store func(ctx context.Context, r keyedlog.Record) error
}

// Guard collects the evidence of one gateway and holds back requests. It implements
// keyedlog.View over the stored suspects, so that a gateway that starts knows what is held.
type Guard struct {
	opts  Options
	table *Table

	mu sync.Mutex
	// examinations are those whose probe has not begun, by the id of the backend server.
	examinations map[string]*Examination
}

// NewGuard returns a guard that holds nothing.
func NewGuard(opts Options) *Guard {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Guard{opts: opts, table: NewTable(opts.StartedAt), examinations: make(map[string]*Examination)}
}

// Check returns whether a run of a class with these suspects may start. Begin starts it once it has a slot.
func (g *Guard) Check(suspects []string, class balance.Class) Verdict {
	v := g.table.Check(suspects, class, g.opts.Now())
	if v.Proved {
		g.holdSuspects([]string{v.Suspect})
	}
	return v
}

// SuspectsRequests reports whether the identities of requests matter at present.
func (g *Guard) SuspectsRequests() bool { return g.table.SuspectsRequests() }

// Suspected reports whether a request with these suspects, whose run has broken off, must not be
// sent to another server.
func (g *Guard) Suspected(suspects []string) bool { return g.table.Suspected(suspects, g.opts.Now()) }

// RunCompleted records a complete run with these suspects.
func (g *Guard) RunCompleted(suspects []string) {
	released, cleared := g.table.RecordCompleted(suspects, g.opts.Now())
	if innocent := slices.Concat(released, cleared); len(innocent) > 0 {
		g.opts.Peers().BroadcastCompleted(innocent)
	}
	g.release(released)
}

// RunInterrupted records that b has broken off a run with these suspects that began at the time
// began. If b turns out to have ended, this counts as evidence against them.
func (g *Guard) RunInterrupted(b catalog.Backend, suspects []string, began time.Time) *Examination {
	if len(suspects) == 0 || b.State != catalog.Ready {
		return noExamination()
	}
	return g.examine(b, suspects, began, false)
}

// reportCrash records the end of a server here and at the other gateways, and decides later, when
// they have had time to object.
func (g *Guard) reportCrash(server uint32, runs Runs) {
	now := g.opts.Now()
	g.table.RecordCrash(server, runs, now)
	g.opts.Peers().BroadcastCrash(CrashReport{Server: server, Runs: runs, Counted: g.table.Counted(runs.Suspects(), now)})
	time.AfterFunc(objectionTime, func() { g.holdSuspects(runs.Suspects()) })
}

// holdSuspects holds those that are proved to crash servers.
func (g *Guard) holdSuspects(suspects []string) {
	found := g.table.HoldSuspects(suspects, g.opts.Now())
	if len(found) == 0 {
		return
	}
	g.opts.Peers().BroadcastHeld(found)
	for _, suspect := range found {
		event.Log(g.opts.Logger, event.PartHeld, "suspect", suspect, "by", "own", "crash_ages", g.table.crashAges(suspect, g.opts.Now()))
		g.store(suspect, holdValue(0))
	}
}

// release stores that suspects are no longer held.
func (g *Guard) release(suspects []string) {
	for _, suspect := range suspects {
		event.Log(g.opts.Logger, event.PartReleased, "suspect", suspect)
		g.store(suspect, nil)
	}
}

// store writes the record of a suspect, or its tombstone, until the store has confirmed it. It
// gives up in a long outage: the other gateways know the suspect, and only a loss of all of them
// makes them forget it.
func (g *Guard) store(suspect string, value []byte) {
	if len(suspect) > maxKeyBytes {
		return
	}
	go func() {
		for range storeAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
			err := g.opts.Store(ctx, keyedlog.Record{Key: suspect, Value: value})
			cancel()
			if err == nil {
				return
			}
			delay.Wait(context.Background(), storeRetryDelay)
		}
	}()
}

// Forget stops holding suspects of which no run will come any more.
func (g *Guard) Forget(suspects []string) {
	ended := slices.DeleteFunc(slices.Clone(suspects), func(suspect string) bool { return !g.table.Release(suspect) })
	if len(ended) > 0 {
		g.opts.Peers().BroadcastCompleted(ended)
		g.release(ended)
	}
}

// PeerCrash records the report of another gateway, and returns the suspects with which a run has
// completed here, for the reply.
func (g *Guard) PeerCrash(r CrashReport) (completed []string) {
	now := g.opts.Now()
	g.table.RecordReport(r, now)
	return g.table.Completed(r.Runs.Suspects(), now)
}

// PeerCompleted records runs that have completed at another gateway.
func (g *Guard) PeerCompleted(suspects []string) { g.table.RecordCompleted(suspects, g.opts.Now()) }

// PeerHeld records suspects that another gateway has found.
func (g *Guard) PeerHeld(suspects []string) { g.holdFound(suspects, 0, "peer") }

// holdFound holds suspects that have been found elsewhere, after a number of failed trials. It objects to
// those with which a run has completed here a short time ago: the gateway that found them may have missed that.
func (g *Guard) holdFound(suspects []string, failures int, by string) {
	now := g.opts.Now()
	innocent := g.table.Completed(suspects, now)
	for _, suspect := range suspects {
		if !slices.Contains(innocent, suspect) && g.table.Hold(suspect, failures, now) {
			event.Log(g.opts.Logger, event.PartHeld, "suspect", suspect, "by", by)
		}
	}
	if len(innocent) > 0 {
		g.opts.Peers().BroadcastCompleted(innocent)
		g.release(innocent)
	}
}

// Rebuild implements keyedlog.View. A suspect that another gateway has announced may not be
// stored yet, so those without a record stay.
func (g *Guard) Rebuild(records []keyedlog.Record) { g.Apply(records) }

// Apply implements keyedlog.View.
func (g *Guard) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Value == nil {
			g.table.Release(r.Key)
		} else {
			g.holdFound([]string{r.Key}, failuresOf(r.Value), "store")
		}
	}
}

// heldMark is the first byte of the record of a held suspect. A second one holds the number of failed trials; records
// of older releases lack it.
const heldMark = 1

// holdValue returns the value of the record of a held suspect.
func holdValue(failures int) []byte { return []byte{heldMark, byte(min(failures, math.MaxUint8))} }

// failuresOf returns the number of failed trials in the record of a held suspect.
func failuresOf(value []byte) int {
	if len(value) < 2 {
		return 0
	}
	return int(value[1])
}
