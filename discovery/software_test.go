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
	b.SetLeaving("a")
	b.Apply([]keyedlog.Record{record("a", "1")})
	b.SetLeaving("a")
	b.SetLeaving("a")
	b.Apply([]keyedlog.Record{record("a", "1")})
	assert.Equal(t, b.OfService("s")[0].State, catalog.Draining)
	b.Apply([]keyedlog.Record{record("a", "22")})
	assert.Equal(t, b.OfService("s")[0].State, catalog.Ready)
	assert.DeepEqual(t, changes, []string{discovery.Registered, discovery.DrainStarted, discovery.Registered})
}
