package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/backfill"
	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/event"
)

// pool identifies the backend servers of a service in one region.
type pool struct{ service, region string }

// gaps decides for the runner when items start beside online requests. The runner's lock guards
// it.
type gaps struct {
	s         *Service
	forecasts map[pool]*backfill.Forecast
	// rooms holds the rooms of this cycle by service and region.
	rooms map[string]map[string]*gapRoom
	// holding are the pools where items wait for a gap.
	holding map[pool]bool
}

// gapRoom is the room in one pool in this cycle.
type gapRoom struct {
	*backfill.Room
	balance.RegionLoad
}

func newGaps(s *Service) *gaps {
	return &gaps{s: s, forecasts: make(map[pool]*backfill.Forecast), holding: make(map[pool]bool)}
}

// beginCycle observes the loads of all services that items have used.
func (g *gaps) beginCycle(now time.Time) {
	g.rooms = make(map[string]map[string]*gapRoom)
	for p := range g.forecasts {
		g.roomsOf(p.service, now)
	}
}

// roomsOf returns the rooms of a service by region in this cycle.
func (g *gaps) roomsOf(service string, now time.Time) map[string]*gapRoom {
	if g.rooms[service] != nil {
		return g.rooms[service]
	}
	rooms := make(map[string]*gapRoom)
	g.rooms[service] = rooms
	for region, l := range g.s.opts.Table.RegionLoads(g.s.opts.Backends(service), now) {
		forecast := g.forecast(pool{service, region})
		forecast.Observe(l.Load.Online, now)
		load := backfill.Load{Slots: l.Slots, Online: l.Load.Online, Batch: l.Load.Batch}
		rooms[region] = &gapRoom{backfill.NewRoom(load, forecast, now), l}
	}
	return rooms
}

// meanFree returns how many slots of a service online requests have left on average.
func (g *gaps) meanFree(service string, now time.Time) float64 {
	free := 0.0
	for region, room := range g.roomsOf(service, now) {
		free += float64(room.Slots) - g.forecast(pool{service, region}).Mean()
	}
	return free
}

func (g *gaps) forecast(p pool) *backfill.Forecast {
	if g.forecasts[p] == nil {
		g.forecasts[p] = &backfill.Forecast{}
	}
	return g.forecasts[p]
}

// exclude returns the backend servers of a service that the item is not sent to: those in
// used, and those of regions where it waits for a gap. held states that it waits in all regions.
func (g *gaps) exclude(service string, item backfill.Item, used map[string]bool, now time.Time) (excluded map[string]bool, held bool) {
	excluded = maps.Clone(used)
	open := 0
	rooms := g.roomsOf(service, now)
	for region, room := range rooms {
		heldHere := room.Decide(item) == backfill.Held
		g.recordHolding(pool{service, region}, heldHere, room)
		if !heldHere {
			open++
			continue
		}
		for _, id := range room.Servers {
			excluded[id] = true
		}
	}
	return excluded, len(rooms) > 0 && open == 0
}

// recordHolding logs and counts when items of a pool begin to wait for a gap.
func (g *gaps) recordHolding(p pool, held bool, room *gapRoom) {
	began := held && !g.holding[p]
	g.holding[p] = held
	if !began {
		return
	}
	g.s.count(ItemsHeld, string(backfill.Held))
	event.Log(g.s.opts.Logger, event.ItemsHeld, "service", p.service, "region", p.region,
		"slots", room.Slots, "online", room.Load.Online, "batch", room.Load.Batch)
}

// started counts a run that starts at a backend server, by the verdict on its item.
func (g *gaps) started(service, backend string, item backfill.Item, now time.Time) backfill.Verdict {
	verdict := backfill.InGap
	for _, room := range g.roomsOf(service, now) {
		if slices.Contains(room.Servers, backend) {
			verdict = room.Decide(item)
			room.Started()
		}
	}
	g.s.count(ItemStarted, string(verdict))
	return verdict
}
