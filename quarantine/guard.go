package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// gatherTime is the time after the first interrupted run at a server in which the others
	// that its end interrupts are noticed.
	gatherTime = 20 * time.Millisecond
	// probeTimeout bounds the connection that shows whether a server has ended.
	probeTimeout = 300 * time.Millisecond
	// objectionTime is how long other gateways may report complete runs before a part is held.
	objectionTime = 250 * time.Millisecond
	// storeTimeout bounds one attempt to store a held part; storeRetryDelay is the delay
	// before the next.
	storeTimeout    = 2 * time.Second
	storeRetryDelay = 500 * time.Millisecond
	storeAttempts   = 20
	// maxKeyBytes is the length of the longest part id that is stored.
	maxKeyBytes = 200
)

// Peers are the other gateways.
type Peers interface {
	// BroadcastCrash reports the end of a backend server, given by the hash of its id, under
	// runs with these parts. Gateways that have seen runs with some of them complete respond.
	BroadcastCrash(server uint32, parts []string)
	// BroadcastHeld reports parts that are held from now on.
	BroadcastHeld(parts []string)
	// BroadcastCompleted reports parts with which a run has completed.
	BroadcastCompleted(parts []string)
	// FirstFor reports whether this gateway is the one that tries a held part again.
	FirstFor(part string) bool
}

// Options are the settings of a Guard.
type Options struct {
	// StartedAt is when the process has started.
	StartedAt time.Time
	// Probe connects to an address to show whether a server listens there.
	Probe func(ctx context.Context, address string) error
	// Eject is called for a backend server that has ended.
	Eject func(b catalog.Backend)
	// Peers returns the other gateways.
	Peers  func() Peers
	Logger *log.Logger
	// Store appends the record of a held part, or its tombstone.
	Store func(ctx context.Context, r keyedlog.Record) error
}

// Guard collects the evidence of one gateway and holds back requests. It implements
// keyedlog.View over the stored parts, so that a gateway that starts knows what is held.
type Guard struct {
	opts  Options
	table *Table

	mu sync.Mutex
	// examinations are those in progress, by the id of the backend server.
	examinations map[string]*Examination
}

// Examination finds out whether a backend server that has broken off runs has ended.
type Examination struct {
	// parts are the parts of these runs.
	parts map[string]bool
	// done is closed once ended and lives are set. Both are false if the server can't be reached.
	done         chan struct{}
	ended, lives bool
}

// Ended waits for the result, and reports whether the server has ended. It returns false if ctx
// ends first.
func (e *Examination) Ended(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.done:
		return e.ended
	}
}

// Lives waits for the result, and reports whether the server is known to serve.
func (e *Examination) Lives(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.done:
		return e.lives
	}
}

// NewGuard returns a guard that holds nothing.
func NewGuard(opts Options) *Guard {
	return &Guard{opts: opts, table: NewTable(opts.StartedAt), examinations: make(map[string]*Examination)}
}

// Held returns the part for which a request with these parts must not be sent, if there is one.
func (g *Guard) Held(parts []string) (part string, held bool) {
	return g.table.Held(parts, g.opts.Peers().FirstFor, time.Now())
}

// Suspected reports whether a request with these parts, whose run has broken off, must not be
// sent to another server.
func (g *Guard) Suspected(parts []string) bool { return g.table.Suspected(parts, time.Now()) }

// RunCompleted records a complete run with these parts.
func (g *Guard) RunCompleted(parts []string) {
	if released := g.table.RecordCompleted(parts, time.Now()); len(released) > 0 {
		g.opts.Peers().BroadcastCompleted(released)
		g.release(released)
	}
}

// RunInterrupted records that b has broken off a run with these parts. If b turns out to have
// ended, the parts count as evidence.
func (g *Guard) RunInterrupted(b catalog.Backend, parts []string) *Examination {
	if len(parts) == 0 {
		return noExamination() // says nothing about prompts
	}
	return g.Examine(b, parts)
}

// noExamination returns an examination whose result is that nothing is known.
func noExamination() *Examination {
	e := &Examination{done: make(chan struct{})}
	close(e.done)
	return e
}

// Examine finds out whether b has ended, and counts the parts as evidence if it has. A server that
// drains may end at any time.
func (g *Guard) Examine(b catalog.Backend, parts []string) *Examination {
	if b.State != catalog.Ready {
		return noExamination()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.examinations[b.ID]
	if e == nil {
		e = &Examination{parts: make(map[string]bool), done: make(chan struct{})}
		g.examinations[b.ID] = e
		time.AfterFunc(gatherTime, func() { g.probe(b, e) })
	}
	for _, part := range parts {
		e.parts[part] = true
	}
	return e
}

// probe connects to a server and reports the runs that it has broken off if it has ended.
func (g *Guard) probe(b catalog.Backend, e *Examination) {
	defer close(e.done)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := g.opts.Probe(ctx, b.Address)
	g.mu.Lock()
	delete(g.examinations, b.ID)
	parts := slices.Sorted(maps.Keys(e.parts))
	g.mu.Unlock()
	e.lives = err == nil
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
		return
	}
	e.ended = true
	event.Log(g.opts.Logger, event.BackendCrashed, "backend", b.ID, "service", b.Service, "parts", parts)
	g.opts.Eject(b)
	if len(parts) > 0 {
		g.reportCrash(balance.Key(b.ID), parts)
	}
}

// reportCrash records the end of a server here and at the other gateways, and decides later, when
// they have had time to object.
func (g *Guard) reportCrash(server uint32, parts []string) {
	g.table.RecordCrash(server, parts, time.Now())
	g.opts.Peers().BroadcastCrash(server, parts)
	time.AfterFunc(objectionTime, func() { g.holdSuspects(parts) })
}

// holdSuspects holds those of the parts that are proved to crash servers.
func (g *Guard) holdSuspects(parts []string) {
	found := g.table.HoldSuspects(parts, time.Now())
	if len(found) == 0 {
		return
	}
	g.opts.Peers().BroadcastHeld(found)
	for _, part := range found {
		event.Log(g.opts.Logger, event.PartHeld, "part", part, "by", "own")
		g.store(part, []byte{1})
	}
}

// release stores that parts are no longer held.
func (g *Guard) release(parts []string) {
	for _, part := range parts {
		event.Log(g.opts.Logger, event.PartReleased, "part", part)
		g.store(part, nil)
	}
}

// store writes the record of a part, or its tombstone, until the store has confirmed it. It
// gives up in a long outage: the other gateways know the part, and only a loss of all of them
// makes them forget it.
func (g *Guard) store(part string, value []byte) {
	if len(part) > maxKeyBytes {
		return
	}
	go func() {
		for range storeAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
			err := g.opts.Store(ctx, keyedlog.Record{Key: part, Value: value})
			cancel()
			if err == nil {
				return
			}
			delay.Wait(context.Background(), storeRetryDelay)
		}
	}()
}

// PeerCrash records the report of another gateway, and returns the parts with which a run has
// completed here, for the reply.
func (g *Guard) PeerCrash(server uint32, parts []string) (completed []string) {
	now := time.Now()
	g.table.RecordCrash(server, parts, now)
	return g.table.Completed(parts, now)
}

// PeerCompleted records runs that have completed at another gateway.
func (g *Guard) PeerCompleted(parts []string) { g.table.RecordCompleted(parts, time.Now()) }

// PeerHeld records parts that another gateway has found.
func (g *Guard) PeerHeld(parts []string) {
	for _, part := range parts {
		if g.table.Hold(part, time.Now()) {
			event.Log(g.opts.Logger, event.PartHeld, "part", part, "by", "peer")
		}
	}
}

// Rebuild implements keyedlog.View. A part that another gateway has announced may not be stored
// yet, so parts without a record stay.
func (g *Guard) Rebuild(records []keyedlog.Record) { g.Apply(records) }

// Apply implements keyedlog.View.
func (g *Guard) Apply(records []keyedlog.Record) {
	for _, r := range records {
		switch {
		case r.Value == nil:
			g.table.Release(r.Key)
		case g.table.Hold(r.Key, time.Now()):
			event.Log(g.opts.Logger, event.PartHeld, "part", r.Key, "by", "store")
		}
	}
}
