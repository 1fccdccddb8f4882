package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// fleet is many entries before many backend servers, a fifth of which fail part
// of their requests. Each entry alone meets a failure of one of them rarely.
type fleet struct {
	entries  []*balance.Table
	backends []catalog.Backend
	rng      *rand.Rand
	now      time.Time
	running  []running
	requests int
	failed   int
}

// running is an attempt until its end.
type running struct {
	entry *balance.Table
	id    string
	end   time.Time
}

const (
	fleetEntries  = 35
	fleetBackends = 50
	fleetGrey     = 10
	greyShare     = 0.4
	requestGap    = 5 * time.Millisecond
	answerTime    = 700 * time.Millisecond
	reportGap     = 250 * time.Millisecond
)

func newFleet(seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, seed)), now: now}
	for i := range fleetEntries {
		f.entries = append(f.entries, balance.New(balance.Options{Zone: "a", PeerTTL: time.Second, Seed: seed + uint64(i)}))
	}
	for i := range fleetBackends {
		f.backends = append(f.backends, backend(fmt.Sprint("i-", i), "a"))
	}
	return f
}

// play sends requests for a while; with share, entries tell each other.
func (f *fleet) play(d time.Duration, share bool) {
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(requestGap) {
		if share && !f.now.Before(next) {
			f.report()
			next = f.now.Add(reportGap)
		}
		for len(f.running) > 0 && !f.now.Before(f.running[0].end) {
			f.end(f.running[0])
			f.running = f.running[1:]
		}
		f.request(f.entries[f.rng.IntN(fleetEntries)])
	}
}

func (f *fleet) request(e *balance.Table) {
	c, ok := e.Pick(f.backends, balance.Requirements{}, f.now)
	if !ok {
		return
	}
	f.requests++
	f.running = append(f.running, running{e, c.Backend.ID, f.now.Add(answerTime)})
}

func (f *fleet) end(r running) {
	r.entry.Release(r.id, balance.Online)
	if f.grey(r.id) && f.rng.Float64() < greyShare {
		f.failed++
		r.entry.RecordFailure(r.id, false, f.now)
		return
	}
	r.entry.RecordSuccess(r.id)
}

func (f *fleet) grey(id string) bool {
	for _, b := range f.backends[:fleetGrey] {
		if b.ID == id {
			return true
		}
	}
	return false
}

func (f *fleet) report() {
	for i, e := range f.entries {
		report := balance.PeerReport{Counts: e.LocalCounts(), Failures: e.Failures(f.now)}
		for j, other := range f.entries {
			if i != j {
				other.SetPeer(fmt.Sprint(i), report, f.now)
			}
		}
	}
}

// TestEntriesFindGreyBackendServersTogether compares the failures that callers
// see with those of entries that keep what they know to themselves.
func TestEntriesFindGreyBackendServersTogether(t *testing.T) {
	for seed := range uint64(4) {
		alone, together := newFleet(seed), newFleet(seed)
		alone.play(8*time.Second, false)
		together.play(8*time.Second, true)
		assert.Assert(t, together.failed*2 < alone.failed, "%d failures of %d, %d without sharing", together.failed, together.requests, alone.failed)
	}
}

// TestOneEntryAccusesNobody plays an entry whose own link is broken: it alone
// fails everywhere, and the others go on.
func TestOneEntryAccusesNobody(t *testing.T) {
	f := newFleet(1)
	for range 20 {
		for _, b := range f.backends[:fleetBackends/4] {
			f.entries[0].RecordFailure(b.ID, true, f.now)
		}
		f.report()
		f.now = f.now.Add(reportGap)
	}
	room := f.entries[1].Availability(f.backends, balance.Requirements{}, f.now)
	assert.Equal(t, room.Ejected, 0)
}

// TestOldFailuresAccuseNobody gives a new entry the reports of others who have
// failed before it started.
func TestOldFailuresAccuseNobody(t *testing.T) {
	f := newFleet(1)
	fresh := balance.New(balance.Options{Zone: "a", PeerTTL: time.Second, Seed: 99})
	for i, e := range f.entries[:5] {
		for range 5 {
			e.RecordFailure("i-0", false, f.now)
		}
		fresh.SetPeer(fmt.Sprint(i), balance.PeerReport{Failures: e.Failures(f.now)}, f.now)
	}
	assert.Equal(t, fresh.Availability(f.backends, balance.Requirements{}, f.now).Ejected, 0)
}

// TestFailuresDuringACutAccuseNobody cuts some entries off: what they failed to
// reach meanwhile was reachable for the others.
func TestFailuresDuringACutAccuseNobody(t *testing.T) {
	f := newFleet(1)
	f.report()
	f.now = f.now.Add(2 * time.Second) // longer than a report holds
	for _, e := range f.entries[:6] {
		for _, b := range f.backends[:fleetBackends/3] {
			e.RecordFailure(b.ID, true, f.now)
		}
	}
	f.report()
	assert.Equal(t, f.entries[20].Availability(f.backends, balance.Requirements{}, f.now).Ejected, 0)
}
