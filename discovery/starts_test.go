package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
)

// registration returns a record of the server "a" as the platform writes it.
func registration(startedMs, seq int64, state string) keyedlog.Record {
	value := fmt.Sprintf(`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v","Slots":4,"State":%q,"ColdRemainingMs":0,"Seq":%d,"born":%d}`,
		state, seq, startedMs)
	return keyedlog.Record{Key: "a", Value: []byte(value)}
}

// gone is the removal of the registration of the server "a".
var gone = keyedlog.Record{Key: "a"}

const (
	ready    = "ready"
	draining = "draining"
	// firstStart and nextStart are starts of the server "a".
	firstStart, nextStart int64 = 1_783_102_825_000, 1_783_102_835_000
)

// startsFixture holds registrations of the server "a".
type startsFixture struct {
	*discovery.Backends
	clock *clock
}

func newStartsFixture() startsFixture {
	c := &clock{time.Unix(1000, 0)}
	return startsFixture{discovery.NewBackends(platform.DecodeBackend, func(discovery.Change) {}, c.now), c}
}

// apply applies records, one after the other.
func (f startsFixture) apply(records ...keyedlog.Record) { f.Apply(records) }

// pass lets time pass.
func (f startsFixture) pass(d time.Duration) {
	f.clock.at = f.clock.at.Add(d)
	f.Expire()
}

// usable reports whether the server gets requests.
func (f startsFixture) usable() bool {
	for _, b := range f.OfService("s") {
		if b.State == catalog.Ready {
			return true
		}
	}
	return false
}

// TestWritesExecutedLateBringNoServerBack guards against requests to a server that has left, after the store has executed
// a heartbeat late or a page was read late.
func TestWritesExecutedLateBringNoServerBack(t *testing.T) {
	const late = 5 * time.Second
	for name, play := range map[string]func(f startsFixture){
		"an older heartbeat after the notice": func(f startsFixture) {
			f.apply(registration(firstStart, 5, ready), registration(firstStart, 7, draining))
			f.pass(late)
			f.apply(registration(firstStart, 6, ready))
		},
		"a later heartbeat after the notice": func(f startsFixture) {
			f.apply(registration(firstStart, 5, ready), registration(firstStart, 7, draining), registration(firstStart, 8, ready))
		},
		"an older heartbeat after the removal": func(f startsFixture) {
			f.apply(registration(firstStart, 5, ready), registration(firstStart, 7, draining), gone)
			f.pass(late)
			f.apply(registration(firstStart, 6, ready))
		},
		"an older heartbeat after a removal without a notice": func(f startsFixture) {
			f.apply(registration(firstStart, 7, ready), gone)
			f.pass(late)
			f.apply(registration(firstStart, 6, ready))
		},
		"an older heartbeat at once after a removal, long after the last change": func(f startsFixture) {
			f.apply(registration(firstStart, 7, ready))
			f.pass(10 * time.Minute)
			f.apply(gone, registration(firstStart, 6, ready))
			f.pass(late)
		},
		"a heartbeat after a removal and a notice in a response": func(f startsFixture) {
			f.apply(registration(firstStart, 5, ready))
			f.SetLeaving("a", firstStart)
			f.apply(gone)
			f.pass(late)
			f.apply(registration(firstStart, 9, ready))
		},
		"a notice in a response after the removal": func(f startsFixture) {
			f.apply(registration(firstStart, 5, ready), gone)
			f.pass(late)
			f.SetLeaving("a", firstStart)
			f.apply(registration(firstStart, 6, ready))
		},
		"an older page after a removal and a notice in a response": func(f startsFixture) {
			f.apply(registration(firstStart, 5, ready))
			f.SetLeaving("a", firstStart)
			f.apply(gone)
			f.pass(late)
			f.Rebuild([]keyedlog.Record{registration(firstStart, 5, ready)})
		},
		"a heartbeat of the former start after the notice of the next": func(f startsFixture) {
			f.apply(registration(firstStart, 90, ready), registration(nextStart, 1, ready), registration(nextStart, 2, draining))
			f.pass(late)
			f.apply(registration(firstStart, 91, ready))
		},
		"a heartbeat of the former start after the removal of the next": func(f startsFixture) {
			f.apply(registration(nextStart, 1, ready), gone)
			f.pass(late)
			f.apply(registration(firstStart, 91, ready))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStartsFixture()
			play(f)
			assert.Assert(t, !f.usable())
			f.apply(registration(nextStart+1, 1, ready))
			assert.Assert(t, f.usable(), "the next start serves at once")
		})
	}
}

// TestSoundServersAreBackAtOnce guards against knowledge of a start that keeps sound servers from serving.
func TestSoundServersAreBackAtOnce(t *testing.T) {
	const outage = 10 * time.Second
	for name, play := range map[string]func(f startsFixture){
		"a lapse in an outage": func(f startsFixture) {
			f.apply(registration(firstStart, 7, ready), gone)
			f.pass(outage)
			f.apply(registration(firstStart, 8, ready))
		},
		"a lapse in an outage, found in a page": func(f startsFixture) {
			f.apply(registration(firstStart, 7, ready), gone)
			f.pass(outage)
			f.Rebuild([]keyedlog.Record{registration(firstStart, 8, ready)})
		},
		"an older page": func(f startsFixture) {
			f.apply(registration(firstStart, 7, ready))
			f.Rebuild(f.Current([]keyedlog.Record{registration(firstStart, 6, ready)}))
			f.pass(outage)
		},
		"a start under the id of one that has left": func(f startsFixture) {
			f.apply(registration(firstStart, 7, draining), registration(nextStart, 1, ready))
		},
		"a start under the id of one that has said that it leaves": func(f startsFixture) {
			f.apply(registration(firstStart, 7, ready))
			f.SetLeaving("a", firstStart)
			f.apply(registration(nextStart, 1, ready))
		},
		"a response of the former start that is read late": func(f startsFixture) {
			f.apply(registration(firstStart, 7, ready), registration(nextStart, 1, ready))
			f.SetLeaving("a", firstStart)
		},
		"a clock that was set back at the restart": func(f startsFixture) {
			f.apply(registration(nextStart, 7, ready), gone)
			for range 70 {
				f.pass(time.Second)
				f.apply(registration(firstStart, 1, ready))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStartsFixture()
			play(f)
			assert.Assert(t, f.usable())
		})
	}
}

// TestHeartbeatsThatARelayDoesNotPassOnCount guards against a late heartbeat that is newer than the last one which has changed
// anything.
func TestHeartbeatsThatARelayDoesNotPassOnCount(t *testing.T) {
	f := newStartsFixture()
	relay := keyedlog.NewRelay(f.Backends, platform.ComparableBackend)
	relay.Rebuild(nil)
	for seq := range int64(9) {
		relay.Apply([]keyedlog.Record{registration(firstStart, seq+1, ready)})
	}
	relay.Apply([]keyedlog.Record{gone})
	f.pass(5 * time.Second)
	relay.Apply([]keyedlog.Record{registration(firstStart, 5, ready)})
	assert.Assert(t, !f.usable())
	relay.Apply([]keyedlog.Record{registration(firstStart, 10, ready)})
	assert.Assert(t, f.usable())
}

// TestNoticeAndHeartbeatReadTogetherCount guards against a notice that is taken for outdated, as the heartbeat after it, which
// changes nothing, has been read at the same time.
func TestNoticeAndHeartbeatReadTogetherCount(t *testing.T) {
	for name, records := range map[string][]keyedlog.Record{
		"draining":       {registration(firstStart, 3, draining), registration(firstStart, 4, draining)},
		"ready again":    {registration(firstStart, 3, draining), registration(firstStart, 4, ready)},
		"an older ready": {registration(firstStart, 3, draining), registration(firstStart, 2, ready)},
		"the next start": {registration(nextStart, 1, draining), registration(nextStart, 2, draining)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStartsFixture()
			relay := keyedlog.NewRelay(f.Backends, platform.ComparableBackend)
			relay.Rebuild([]keyedlog.Record{registration(firstStart, 1, ready)})
			relay.Apply(records)
			assert.Assert(t, !f.usable())
			relay.Apply([]keyedlog.Record{registration(nextStart+1, 1, ready), registration(nextStart+1, 2, ready)})
			assert.Assert(t, f.usable())
		})
	}
}

// write is a write to the store that is executed at a time.
type write struct {
	at     time.Duration
	record keyedlog.Record
}

// lateWrites returns the writes of a start that leaves, and when it does. Its heartbeats may be executed late, in any order.
func lateWrites(rng *rand.Rand) (writes []write, left time.Duration) {
	const (
		heartbeat = 1200 * time.Millisecond
		maxLate   = 6 * time.Second
	)
	seq := int64(0)
	for range 3 + rng.IntN(8) {
		seq++
		w := write{left, registration(firstStart, seq, ready)}
		if rng.IntN(3) == 0 {
			w.at += time.Duration(rng.Int64N(int64(maxLate)))
		}
		writes = append(writes, w)
		left += heartbeat
	}
	return append(writes, write{left, registration(firstStart, seq+1, draining)}, write{left + heartbeat, gone}), left
}

// TestNoOrderOfLateWritesBringsAServerBack guards against requests to a start that has left, whatever is executed late.
func TestNoOrderOfLateWritesBringsAServerBack(t *testing.T) {
	const (
		seeds   = 300
		step    = 100 * time.Millisecond
		settled = 20 * time.Second
	)
	for seed := range uint64(seeds) {
		f := newStartsFixture()
		writes, left := lateWrites(rand.New(rand.NewPCG(seed, 59)))
		for now := time.Duration(0); now < left+settled; now += step {
			for _, w := range writes {
				if w.at >= now && w.at < now+step {
					f.Apply([]keyedlog.Record{w.record})
				}
			}
			f.pass(step)
			assert.Assert(t, now < left+step || !f.usable(), "seed %d: used %v after it has left", seed, now-left)
		}
	}
}
