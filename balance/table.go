// Package balance chooses backend servers for requests of entries that share
// them. Each entry counts its own attempts exactly and hears the counts of its
// peers; the sum is the load that decides. Online attempts go first: they may
// take the slot of a batch attempt, which its owner then stops.
//
// Table is safe for concurrent use. Decisions are made under its lock, over
// what it knows at that moment, and without I/O.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

// Class is the urgency of an attempt.
type Class uint8

// The classes.
const (
	Online Class = iota
	Batch
	classes
)

// Counts are the attempts in progress at one backend server.
type Counts struct {
	Online int
	Batch  int
}

func (c Counts) total() int { return c.Online + c.Batch }

// Options are the settings of a Table.
type Options struct {
	Zone     string
	RegionOf map[string]string
	// PeerTTL is how long a peer's counts hold after it was last heard.
	PeerTTL time.Duration
	Seed    uint64
}

// Table is the load of all backend servers as one entry knows it.
type Table struct {
	opts Options

	mu     sync.Mutex
	rng    *rand.Rand
	own    map[string]*ownCounts
	peers  peerTable
	health map[string]*health
	// failures are this entry's own, evidence is that of all, both by Key.
	failures map[uint32]failureCount
	evidence map[uint32]*evidence
	prefix   prefixTable
	told     map[string]told
	changed  chan struct{}
	// begun has a token after this entry has begun or ended an attempt.
	begun chan struct{}
}

type ownCounts struct{ n [classes]int }

// Key is a short name of a backend server for reports between entries. Two ids
// with the same key only add to each other's load.
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
	return &Table{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		own:      make(map[string]*ownCounts),
		peers:    newPeerTable(opts.PeerTTL),
		health:   make(map[string]*health),
		failures: make(map[uint32]failureCount),
		evidence: make(map[uint32]*evidence),
		prefix:   newPrefixTable(),
		told:     make(map[string]told),
		changed:  make(chan struct{}),
		begun:    make(chan struct{}, 1),
	}
}

// LocalCountsChanged returns a channel that gets a token when Own has changed.
func (t *Table) LocalCountsChanged() <-chan struct{} { return t.begun }

func (t *Table) noteOwn() {
	select {
	case t.begun <- struct{}{}:
	default:
	}
}

// CapacityChanged returns a channel that is closed at the next change that may make
// room for a request.
func (t *Table) CapacityChanged() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// NotifyWaiters tells all who wait for room to look again.
func (t *Table) NotifyWaiters() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wake()
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *Table) begin(id string, c Class) {
	o := t.own[id]
	if o == nil {
		o = &ownCounts{}
		t.own[id] = o
	}
	o.n[c]++
	t.noteOwn()
}

// Release takes back an attempt that Pick has counted.
func (t *Table) Release(id string, c Class) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.own[id]
	if o == nil {
		return
	}
	o.n[c]--
	if o.n == [classes]int{} {
		delete(t.own, id)
	}
	t.noteOwn()
	t.wake()
}

// LocalCounts returns this entry's attempts by the key of the backend server.
func (t *Table) LocalCounts() map[uint32]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[uint32]Counts, len(t.own))
	for id, o := range t.own {
		out[Key(id)] = Counts{Online: o.n[Online], Batch: o.n[Batch]}
	}
	return out
}

// PeerReport is what a peer tells of itself, by Key.
type PeerReport struct {
	// Counts are its attempts in progress.
	Counts map[uint32]Counts
	// Failures are the numbers of its recent failures; nil if they are not to be
	// heeded.
	Failures map[uint32]uint32
}

// SetPeer replaces what is known of a peer. It returns the backend servers that
// are avoided from now on.
func (t *Table) SetPeer(name string, r PeerReport, now time.Time) []Ejection {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspicions := t.hear(name, r.Failures, now)
	t.peers.set(name, r, now)
	t.wake()
	return suspicions
}

// RemovePeer drops a peer that has left.
func (t *Table) RemovePeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.forget(name)
}

// RemoveBackend drops what is known of a backend server that is gone.
func (t *Table) RemoveBackend(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.health, id)
	delete(t.told, id)
	delete(t.failures, Key(id))
	delete(t.evidence, Key(id))
}

// load sums the counts of a backend server over all entries.
func (t *Table) load(id string, now time.Time) Counts {
	var sum Counts
	if o := t.own[id]; o != nil {
		sum.Online += o.n[Online]
		sum.Batch += o.n[Batch]
	}
	t.peers.expire(now)
	of := t.peers.sums[Key(id)]
	sum.Online += of.Online
	sum.Batch += of.Batch
	return sum
}

// Full reports whether attempts at b are known to fill its slots.
func (t *Table) Full(b catalog.Backend, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load(b.ID, now).total()+t.hidden(b.ID, now) >= b.Slots
}

// ExcessBatch returns how many of its own batch attempts at b this entry has to stop
// so that the online attempts there find slots. Entries that hold batch attempts
// there share what is too much in the order of their counts, so that each
// reaches the same division from the same counts.
func (t *Table) ExcessBatch(name string, b catalog.Backend, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.load(b.ID, now)
	excess := min(sum.total()-b.Slots, sum.Batch)
	if excess <= 0 || sum.Online == 0 {
		return 0
	}
	key := Key(b.ID)
	holders := []holder{{name, t.ownBatch(b.ID)}}
	for peer, p := range t.peers.peers {
		if p.counts[key].Batch > 0 {
			holders = append(holders, holder{peer, p.counts[key].Batch})
		}
	}
	return shareOf(name, holders, excess)
}

func (t *Table) ownBatch(id string) int {
	if o := t.own[id]; o != nil {
		return o.n[Batch]
	}
	return 0
}

type holder struct {
	name  string
	batch int
}

// shareOf takes excess one at a time from the holder with the most left and
// returns the part of name.
func shareOf(name string, holders []holder, excess int) int {
	slices.SortFunc(holders, func(a, b holder) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	share := 0
	for range excess {
		most := 0
		for i := range holders {
			if holders[i].batch > holders[most].batch {
				most = i
			}
		}
		holders[most].batch--
		if holders[most].name == name {
			share++
		}
	}
	return share
}
