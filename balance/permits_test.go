package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
)

func TestServerAtItsLimitIsNotChosen(t *testing.T) {
	now := time.Now()
	table := New(Options{Zone: "z", PeerTTL: time.Second, Seed: 1})
	servers := []catalog.Backend{
		{ID: "a", Zone: "z", Slots: 8, State: catalog.Ready},
		{ID: "b", Zone: "z", Slots: 8, State: catalog.Ready},
	}
	online, batch := Requirements{Class: Online}, Requirements{Class: Batch}
	table.RecordDenial("a", Online, now.Add(time.Second), now.Add(3*time.Second))
	for range 8 {
		choice, ok := table.Pick(servers, online, now)
		assert.Assert(t, ok)
		assert.Equal(t, choice.Backend.ID, "b")
	}
	_, limited := table.NextPermit(servers, online, now)
	assert.Assert(t, !limited, "one server names no limit")
	choice, ok := table.Pick(servers, batch, now)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Backend.ID, "a", "items are not denied")

	table.RecordDenial("b", Online, now.Add(time.Second), now.Add(2*time.Second))
	_, ok = table.Pick(servers, online, now)
	assert.Assert(t, !ok)
	next, limited := table.NextPermit(servers, online, now)
	assert.Assert(t, limited)
	assert.Equal(t, next, now.Add(2*time.Second))
	assert.Equal(t, table.Availability(servers, online, now).Limited, 2)

	table.ClearDenial("a", Online)
	choice, ok = table.Pick(servers, online, now)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Backend.ID, "a")
	table.RemoveBackend("b")
	_, limited = table.NextPermit(servers[1:], online, now)
	assert.Assert(t, !limited, "nothing is known of a server that has gone")
}
