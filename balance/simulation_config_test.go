package balance_test

import (
	"fmt"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
)

const simSlots = 8

// quietInterval is the least time between two reports to other zones about what does not concern them.
const quietInterval = 60 * time.Millisecond

// regionRoundTrip is the round trip to the far region.
const regionRoundTrip = 60 * time.Millisecond

// simConfig is the size and the load of a simulation.
type simConfig struct {
	numGateways, numEngines int
	// onlineTime and batchTime are how long an attempt holds its slot on average.
	onlineTime, batchTime time.Duration
	// onlinePerSecond is the mean rate of online requests. If batch is set, there is always
	// more batch work than fits.
	onlinePerSecond float64
	batch           bool
	// reportDelay is the latency of a report between gateways; a negative value disables
	// reports. reportInterval is the least time between two reports of a gateway.
	reportDelay, reportInterval time.Duration
	length                      time.Duration
	// zones is the number of zones that gateways and engines are spread over; 0 is one zone.
	zones int
	// weights are the relative rates of the zones' requests; without them, all are equal.
	weights []float64
	// far states that the last zone is in another region, regionRoundTrip away. paths are the costs
	// of sending a request out of its zone; nil stands for the defaults.
	far   bool
	paths *balance.Paths
	// lost lists the engines that are gone.
	lost []int
	// slowPace is the pace of an engine in its slow spans, which take slowTime on average and a
	// part slowShare of the whole time. statesPace states that engines state it.
	slowPace, slowShare float64
	slowTime            time.Duration
	statesPace          bool
	// firstByte is the time until the first byte after an attempt has got its slot.
	firstByte time.Duration
}

// smallFleet is a fleet in which each attempt is reported at once.
var smallFleet = simConfig{
	numGateways: 8, numEngines: 9, onlineTime: 750 * time.Millisecond, batchTime: 5 * time.Second,
	onlinePerSecond: 45, batch: true, reportDelay: 4 * time.Millisecond, length: time.Minute,
}

// largeRegion has the load and the report interval of one of two regions of a fleet of 133
// gateways, and half of its size. Online requests use a fifth of the slots on average and
// a third in bursts.
var largeRegion = simConfig{
	numGateways: 33, numEngines: 36, onlineTime: 330 * time.Millisecond, batchTime: 2200 * time.Millisecond,
	onlinePerSecond: 168, batch: true, reportDelay: 4 * time.Millisecond, reportInterval: 176 * time.Millisecond,
	length: 6 * time.Second,
}

// zoneOf returns the zone of a gateway or an engine.
func (c simConfig) zoneOf(i int) string { return fmt.Sprint("z", i%max(c.zones, 1)) }

func (c simConfig) regionOf() map[string]string {
	regions := make(map[string]string)
	for i := range max(c.zones, 1) {
		regions[c.zoneOf(i)] = "r"
	}
	if c.far {
		regions[c.zoneOf(c.zones-1)] = "q"
	}
	return regions
}
