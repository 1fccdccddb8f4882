package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

func TestFreeSlotsCountWhatOnlineRequestsCanTake(t *testing.T) {
	table := balance.New(balance.Options{Zone: "a", RegionOf: map[string]string{"a": "r", "b": "s"}, PeerTTL: time.Second, Seed: 1})
	near := catalog.Backend{ID: "near", Zone: "a", Slots: 2, State: catalog.Ready}
	far := catalog.Backend{ID: "far", Zone: "b", Slots: 3, State: catalog.Ready}
	leaving := catalog.Backend{ID: "leaving", Zone: "a", Slots: 9}
	all := []catalog.Backend{near, far, leaving}
	now := time.Now()
	const queues = balance.MaxQueuedOnline
	assert.Equal(t, table.FreeSlots(all, balance.Requirements{}, now), 5+2*queues)
	assert.Equal(t, table.FreeSlots(all, balance.Requirements{QueueCut: queues}, now), 5)
	assert.Equal(t, table.FreeSlots(all, balance.Requirements{QueueCut: queues, OwnRegion: true}, now), 2)
	for _, free := range []int{1, 0} {
		choice, ok := table.Pick(all, balance.Requirements{QueueCut: queues, OwnRegion: true}, now)
		assert.Assert(t, ok && choice.Backend.ID == "near")
		assert.Equal(t, table.FreeSlots(all, balance.Requirements{QueueCut: queues, OwnRegion: true}, now), free)
	}
	_, ok := table.Pick(all, balance.Requirements{QueueCut: queues, OwnRegion: true}, now)
	assert.Assert(t, !ok, "no queue at engines, no other region")
	choice, ok := table.Pick(all, balance.Requirements{OwnRegion: true}, now)
	assert.Assert(t, ok && choice.Reason == balance.Queued)
}
