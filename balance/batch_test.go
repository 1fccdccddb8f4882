package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

func TestBatchUsesOnlyFreeSlots(t *testing.T) {
	table := newTable()
	a := backend("a", "a")
	table.SetPeer("peer", balance.PeerReport{Counts: map[uint32]balance.Counts{balance.Key("a"): {Online: 2}}}, now)
	batch := balance.Requirements{Class: balance.Batch}
	pick(t, table, batch, a)
	pick(t, table, batch, a)
	_, ok := table.Pick([]catalog.Backend{a}, batch, now)
	assert.Assert(t, !ok)
}

// TestBatchLeavesRoomForUnseenAttempts plays peers that report a second apart and start
// attempts all the time: batch attempts leave free what these probably hold by now.
func TestBatchLeavesRoomForUnseenAttempts(t *testing.T) {
	table := newTable()
	a, b := backend("a", "a"), backend("b", "a")
	for i := range uint64(10) {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		table.SetPeer("peer", balance.PeerReport{Started: map[uint32]uint64{balance.Key(""): i}}, at)
	}
	reported := now.Add(900 * time.Millisecond)
	started := func(at time.Time) int {
		n := 0
		for {
			if _, ok := table.Pick([]catalog.Backend{a, b}, balance.Requirements{Class: balance.Batch}, at); !ok {
				break
			}
			n++
		}
		for id, c := range map[string]int{"a": table.LocalCounts()[balance.Key("a")].Batch, "b": table.LocalCounts()[balance.Key("b")].Batch} {
			for range c {
				table.Release(id, balance.Batch)
			}
		}
		return n
	}
	assert.Equal(t, started(reported), 8, "at the time of the report")
	assert.Equal(t, started(reported.Add(100*time.Millisecond)), 6, "an attempt unseen, and one more until a stop, at two servers")
	assert.Equal(t, started(reported.Add(200*time.Millisecond)), 4)
}

func TestBatchAvoidsRegionsOfUnknownLoad(t *testing.T) {
	table := newTable()
	far := []catalog.Backend{backend("x", "far")}
	batch := balance.Requirements{Class: balance.Batch}
	table.SetOtherRegionsSilent(true)
	_, ok := table.Pick(far, batch, now)
	assert.Assert(t, !ok)
	_, ok = table.Pick(far, balance.Requirements{}, now)
	assert.Assert(t, ok, "an online request that finds no room in its region")
	table.Release("x", balance.Online)
	table.SetRegionSummary("q", map[uint32]balance.Counts{balance.Key("x"): {Online: 2}}, now)
	pick(t, table, batch, far...)
	pick(t, table, batch, far...)
	_, ok = table.Pick(far, batch, now)
	assert.Assert(t, !ok, "the summary counts")
	_, ok = table.Pick(far, batch, now.Add(2*time.Second))
	assert.Assert(t, !ok, "the summary has expired")
	table.SetOtherRegionsSilent(false)
	pick(t, table, batch, far...)
}

func TestBatchLeavesASlotWhereOnlineRequestsAreFrequent(t *testing.T) {
	table := newTable()
	a := backend("a", "a")
	table.SetPeer("peer", balance.PeerReport{Counts: map[uint32]balance.Counts{balance.Key("a"): {Online: 3}}}, now)
	_, ok := table.Pick([]catalog.Backend{a}, balance.Requirements{Class: balance.Batch}, now)
	assert.Assert(t, !ok)
}

func TestOnlineRequestPreemptsBatchBeforeItQueues(t *testing.T) {
	table := newTable()
	a := backend("a", "a")
	table.SetPeer("peer", balance.PeerReport{Counts: map[uint32]balance.Counts{balance.Key("a"): {Batch: 4}}}, now)
	var reasons []balance.Reason
	for range 6 {
		reasons = append(reasons, pick(t, table, balance.Requirements{}, a).Reason)
	}
	assert.DeepEqual(t, reasons, []balance.Reason{
		balance.PreemptsBatch, balance.PreemptsBatch, balance.PreemptsBatch, balance.PreemptsBatch, balance.Queued, balance.Queued,
	})
	_, ok := table.Pick([]catalog.Backend{a}, balance.Requirements{}, now)
	assert.Assert(t, !ok)
	assert.Equal(t, pick(t, table, balance.Requirements{AllowOverload: true}, a).Reason, balance.Overloaded)
}

// TestExcessBatchIsDividedConsistently covers every distribution of batch attempts over
// three gateways: all of them compute the same division, and their shares add up to the
// number of attempts that have to stop.
func TestExcessBatchIsDividedConsistently(t *testing.T) {
	b := backend("a", "a")
	names := []string{"x", "y", "z"}
	for online := range 6 {
		for mask := range 4 * 4 * 4 {
			batch := []int{mask % 4, mask / 4 % 4, mask / 16}
			sum, total := 0, online
			for i, name := range names {
				table := newTable()
				for range batch[i] {
					table.Pick([]catalog.Backend{{ID: "a", Zone: "a", Slots: 100, State: catalog.Ready}}, balance.Requirements{Class: balance.Batch}, now)
				}
				total += batch[i]
				for j, peer := range names {
					if j != i {
						counts := balance.Counts{Batch: batch[j]}
						if j == (i+1)%3 {
							counts.Online = online
						}
						table.SetPeer(peer, balance.PeerReport{Counts: map[uint32]balance.Counts{balance.Key("a"): counts}}, now)
					}
				}
				share := table.ExcessBatch(name, b, now)
				assert.Assert(t, share >= 0 && share <= batch[i])
				sum += share
			}
			want := 0
			if online > 0 {
				want = max(min(total-b.Slots, total-online), 0)
			}
			assert.Equal(t, sum, want, "online %d, batch %v", online, batch)
		}
	}
}
