// Package balance chooses backend servers for the requests of gateways that share
// them. Each gateway counts its own attempts exactly and receives the counts of its
// peers; choices are based on the sum. Online attempts have priority: they may take
// the slot of a batch attempt, which the gateway that runs it then stops.
//
// Table is safe for concurrent use. Choices are made under its lock, on the state at
// that moment, and without I/O.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// Class is the scheduling class of an attempt.
type Class uint8

// The scheduling classes.
const (
	Online Class = iota
	Batch
	numClasses
)

// Counts are the attempts in progress at one backend server.
type Counts struct {
	Online int
	Batch  int
}

func (c Counts) total() int { return c.Online + c.Batch }

// Options are the settings of a Table.
type Options struct {
	// Zone is the availability zone of this gateway.
	Zone string
	// RegionOf maps availability zones to their regions.
	RegionOf map[string]string
	// PeerTTL is how long a peer's report is valid.
	PeerTTL time.Duration
	// Paths are the costs of sending a request out of the zone; nil stands for DefaultPaths.
	Paths *Paths
	// Seed is the seed of the random numbers of choices.
	Seed uint64
}

// Table holds the load of all backend servers as seen by one gateway.
type Table struct {
	opts Options

	mu    sync.Mutex
	rng   *rand.Rand
	local map[string]*localCounts
	// started counts the attempts that this gateway has started by the key of the service.
	started map[uint32]uint64
	peers   peerTable
	health  map[string]*health
	// failures are those of this gateway, shared those of all gateways; both are
	// keyed by Key.
	failures map[uint32]failureCount
	shared   map[uint32]*sharedFailures
	prefix   prefixTable
	// otherRegionsSilent states that the gateways of other regions do not report their loads.
	otherRegionsSilent bool
	// zoneFirst states that the loads in other zones of the region are older than those in the
	// own one.
	zoneFirst bool
	// paces are those that backend servers state, timings the times that they take.
	paces   paceTable
	timings timings
	// plans are the decisions about leaving the own zone, and holds how long attempts hold their
	// slots, by service. heardSince is since when the gateways of other zones report.
	plans           map[string]*zonePlan
	holds           map[string]*holdTime
	heardSince      map[string]time.Time
	unreportedLoads map[string]unreportedLoad
	// denials are those of backend servers that name a limit.
	denials map[denialKey]denial
	// changedElsewhere states that other zones of the region need to know a change at once.
	changedElsewhere bool
	// changed is closed and replaced at each change that may free capacity.
	changed chan struct{}
	// localChanged receives a token after this gateway has begun or ended an attempt.
	localChanged chan struct{}
}

// localCounts holds this gateway's attempts in progress at one backend server.
type localCounts struct {
	n       [numClasses]int
	service string
	zone    string
}

// Key returns a short hash that identifies a backend server or a service in reports
// between gateways. A collision of two ids only adds up their loads.
func Key(id string) uint32 {
	const offset, prime = 2166136261, 16777619 // FNV-1a
	h := uint32(offset)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * prime
	}
	return h
}

// New returns an empty table.
func New(opts Options) *Table {
	if opts.Paths == nil {
		opts.Paths = DefaultPaths()
	}
	return &Table{
		opts:            opts,
		rng:             rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		local:           make(map[string]*localCounts),
		started:         make(map[uint32]uint64),
		peers:           newPeerTable(opts.PeerTTL),
		health:          make(map[string]*health),
		failures:        make(map[uint32]failureCount),
		shared:          make(map[uint32]*sharedFailures),
		prefix:          newPrefixTable(),
		paces:           newPaceTable(),
		timings:         newTimings(),
		plans:           make(map[string]*zonePlan),
		holds:           make(map[string]*holdTime),
		heardSince:      make(map[string]time.Time),
		unreportedLoads: make(map[string]unreportedLoad),
		denials:         make(map[denialKey]denial),
		changed:         make(chan struct{}),
		localChanged:    make(chan struct{}, 1),
	}
}

// LocalCountsChanged returns a channel that receives a token when LocalCounts has
// changed.
func (t *Table) LocalCountsChanged() <-chan struct{} { return t.localChanged }

// TakeChangeElsewhere reports whether since its last call something has changed that the gateways of
// other zones need to know at once: attempts at their backend servers, items of batch jobs, and
// online attempts in place of them. Attempts in free slots of the own zone can wait.
func (t *Table) TakeChangeElsewhere() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.changedElsewhere
	t.changedElsewhere = false
	return changed
}

func (t *Table) notifyLocalChange() {
	select {
	case t.localChanged <- struct{}{}:
	default:
	}
}

// CapacityChanged returns a channel that is closed at the next change that may free
// capacity for a request.
func (t *Table) CapacityChanged() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// NotifyWaiters wakes every goroutine that waits for free capacity.
func (t *Table) NotifyWaiters() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wake()
}

// wake wakes every goroutine that waits for free capacity. The caller holds mu.
func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Table) countAttempt(choice Choice, c Class, now time.Time) {
	b := choice.Backend
	t.changedElsewhere = t.changedElsewhere || c == Batch || b.Zone != t.opts.Zone || choice.Reason != FreeSlot
	counts := t.local[b.ID]
	if counts == nil {
		counts = &localCounts{service: b.Service, zone: b.Zone}
		t.local[b.ID] = counts
	}
	counts.n[c]++
	t.started[Key(b.Service)]++
	if c == Online {
		t.holdOf(b.Service).started(now)
	}
	t.notifyLocalChange()
}

func (t *Table) holdOf(service string) *holdTime {
	h := t.holds[service]
	if h == nil {
		h = &holdTime{}
		t.holds[service] = h
	}
	return h
}

// Release ends an attempt that Pick has counted.
func (t *Table) Release(id string, c Class) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.local[id]
	if counts == nil {
		return
	}
	counts.n[c]--
	t.changedElsewhere = t.changedElsewhere || counts.zone != t.opts.Zone
	if c == Online {
		t.holdOf(counts.service).inProgress--
	}
	if counts.n == [numClasses]int{} {
		delete(t.local, id)
	}
	t.notifyLocalChange()
	t.wake()
}

// RemoveBackend drops the state of a backend server that is no longer registered.
func (t *Table) RemoveBackend(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.health, id)
	delete(t.unreportedLoads, id)
	delete(t.timings.servers, id)
	t.removeDenials(id)
	delete(t.failures, Key(id))
	delete(t.shared, Key(id))
}

// load sums the counts of a backend server over all gateways.
func (t *Table) load(id string, now time.Time) Counts {
	var sum Counts
	if counts := t.local[id]; counts != nil {
		sum.Online += counts.n[Online]
		sum.Batch += counts.n[Batch]
	}
	t.peers.expire(now)
	fromPeers := t.peers.sums[Key(id)]
	sum.Online += fromPeers.Online
	sum.Batch += fromPeers.Batch
	return sum
}

// Full reports whether the known attempts at b fill its slots.
func (t *Table) Full(b catalog.Backend, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(b.ID, now).total()+t.unreported(b.ID, now) >= b.Slots
}
