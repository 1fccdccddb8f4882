package discovery_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

func TestOnlySoftwareRemembersVersionsThatHaveLeft(t *testing.T) {
	const window = 30 * time.Second
	c := &clock{time.Unix(0, 0)}
	decode := func(id string, raw []byte) (catalog.Backend, error) {
		return catalog.Backend{ID: id, Service: "s", Version: string(raw), State: catalog.Ready}, nil
	}
	b := discovery.NewBackends(decode, func(discovery.Change) {}, c.now)
	only := func() string {
		s, ok := b.OnlySoftware("s", window)
		assert.Equal(t, ok, s.Known())
		return s.Version
	}
	assert.Equal(t, only(), "")
	b.Rebuild([]keyedlog.Record{record("a", "v1"), record("b", "v1")})
	assert.Equal(t, only(), "v1")
	b.Apply([]keyedlog.Record{record("c", "v2")})
	assert.Equal(t, only(), "")
	b.Apply([]keyedlog.Record{record("a", ""), record("b", "")})
	c.at = c.at.Add(discovery.OutageGrace)
	b.Expire()
	assert.Equal(t, ids(b.OfService("s")), "c")
	assert.Equal(t, only(), "", "a stream of v1 may still be resumed")
	c.at = c.at.Add(window)
	assert.Equal(t, only(), "v2")
}

// TestServerThatSaysItLeavesStaysDraining covers a registration that is renewed as ready after
// the server has said that it drains, and a server that starts again under its id.
func TestServerThatSaysItLeavesStaysDraining(t *testing.T) {
	decode := func(id string, raw []byte) (catalog.Backend, error) {
		return catalog.Backend{ID: id, Service: "s", State: catalog.Ready, StartedMs: int64(len(raw))}, nil
	}
	var changes []string
	b := discovery.NewBackends(decode, func(ch discovery.Change) { changes = append(changes, ch.Kind) }, time.Now)
	b.SetLeaving("a", 0)
	b.Apply([]keyedlog.Record{record("a", "1")})
	b.SetLeaving("a", 1)
	b.SetLeaving("a", 1)
	b.Apply([]keyedlog.Record{record("a", "1")})
	assert.Equal(t, b.OfService("s")[0].State, catalog.Draining)
	b.Apply([]keyedlog.Record{record("a", "22")})
	assert.Equal(t, b.OfService("s")[0].State, catalog.Ready)
	assert.DeepEqual(t, changes, []string{discovery.Registered, discovery.DrainStarted, discovery.Registered})
}

// softwareFixture is the history of a service whose servers' records hold their version.
type softwareFixture struct {
	clock    *clock
	backends *discovery.Backends
	*discovery.SoftwareHistory
}

const softwareWindow = 30 * time.Second

func newSoftwareFixture() *softwareFixture {
	f := &softwareFixture{clock: &clock{time.Unix(1000, 0)}}
	decode := func(id string, raw []byte) (catalog.Backend, error) {
		return catalog.Backend{ID: id, Service: "s", Version: string(raw), State: catalog.Ready}, nil
	}
	f.backends = discovery.NewBackends(decode, func(discovery.Change) {}, f.clock.now)
	f.SoftwareHistory = discovery.NewSoftwareHistory(f.backends, softwareWindow, f.clock.now)
	return f
}

// pass lets time pass and returns the records that are appended meanwhile.
func (f *softwareFixture) pass(d time.Duration) (appended []keyedlog.Record) {
	const step = 250 * time.Millisecond
	for ; d > 0; d -= step {
		f.clock.at = f.clock.at.Add(step)
		f.backends.Expire()
		records := f.Outdated()
		f.Apply(records)
		appended = append(appended, records...)
	}
	return appended
}

// TestSoftwareOfAnEarlierProcessCounts covers a process that starts after the last server of a
// version has gone.
func TestSoftwareOfAnEarlierProcessCounts(t *testing.T) {
	first := newSoftwareFixture()
	first.Rebuild(nil)
	first.backends.Rebuild([]keyedlog.Record{record("a", "v1"), record("b", "v2")})
	recorded := first.pass(3 * time.Second)
	assert.Equal(t, len(recorded), 2)

	second := newSoftwareFixture()
	second.backends.Rebuild([]keyedlog.Record{record("b", "v2")})
	_, only := second.Only("s")
	assert.Assert(t, !only, "the records have not been read")
	second.Rebuild(recorded)
	_, only = second.Only("s")
	assert.Assert(t, !only)
	assert.Equal(t, len(second.pass(softwareWindow-time.Second)), 0)
	_, only = second.Only("s")
	assert.Assert(t, !only)
	dropped := second.pass(4 * time.Second)
	assert.Equal(t, len(dropped), 1)
	assert.Assert(t, dropped[0].Value == nil)
	s, _ := second.Only("s")
	assert.Equal(t, s.Version, "v2")
}

// TestOneProcessOfManyRecordsSoftware covers processes that notice a version at the same time and
// see each other's records after 50 ms.
func TestOneProcessOfManyRecordsSoftware(t *testing.T) {
	const processes, propagation, maxWrites = 100, 50 * time.Millisecond, 15
	var all []*softwareFixture
	for range processes {
		f := newSoftwareFixture()
		f.Rebuild(nil)
		f.backends.Rebuild([]keyedlog.Record{record("a", "v1")})
		all = append(all, f)
	}
	writes := 0
	for range 3 * time.Second / propagation {
		var appended []keyedlog.Record
		for _, f := range all {
			f.clock.at = f.clock.at.Add(propagation)
			records := f.Outdated()
			writes += len(records)
			appended = append(appended, records...)
		}
		for _, f := range all {
			f.Apply(appended)
		}
	}
	assert.Assert(t, writes >= 1 && writes <= maxWrites, "%d writes", writes)
}

// TestServerThatReturnsWithOtherSoftwareHasLeftTheOld covers a server that is registered anew under
// its id.
func TestServerThatReturnsWithOtherSoftwareHasLeftTheOld(t *testing.T) {
	f := newSoftwareFixture()
	f.Rebuild(nil)
	f.backends.Rebuild([]keyedlog.Record{record("a", "v1")})
	f.backends.Apply([]keyedlog.Record{record("a", "v2")})
	_, only := f.Only("s")
	assert.Assert(t, !only, "a stream of v1 may still be resumed")
}
