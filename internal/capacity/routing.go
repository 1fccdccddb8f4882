package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

const (
	modelService = "assistant"
	region       = "region-1"
	zone         = "zone-1"
	// reportedAt is the time of all load reports and decisions.
	reportedAt = time.Second
)

func backendName(i int) string { return fmt.Sprintf("backend-%05d", i) }

func newRoutingTable(n int) *routing.Table {
	t := routing.New(region, zone, 1)
	for i := range n {
		name := backendName(i)
		t.Upsert(routing.Backend{
			Instance: name, Addr: fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), Incarnation: identifier(i),
			Service: modelService, Region: region, Zone: zone,
		})
		t.Observe(reportedAt, name, routing.Load{RunningOnline: i % 8, Slots: 32, BatchRoom: 4, StepTime: 30 * time.Millisecond})
	}
	return t
}

// identifier returns a unique string of the length of the identifiers that
// processes generate.
func identifier(i int) string { return fmt.Sprintf("%08d-0000-4000-8000-000000000000", i) }

func measureRouting(context.Context) ([]Quantity, error) {
	sizes := []int{40, 200, 1000, 2500}
	pick := func(class admission.Class) func(int) (float64, error) {
		return func(n int) (float64, error) {
			t := newRoutingTable(n)
			prefix := uint64(0)
			return nanosPerCall(func() {
				prefix++
				t.Pick(reportedAt, routing.Request{Service: modelService, Class: class, Prefix: prefix})
			}), nil
		}
	}
	return measureAll(
		measurement{Quantity{ID: "routing.pick.online", Help: "choose a backend server", Unit: Nanoseconds, Per: "backend server"},
			sizes, pick(admission.Online)},
		measurement{Quantity{ID: "routing.pick.batch", Help: "choose a backend server", Unit: Nanoseconds, Per: "backend server"},
			sizes, pick(admission.Batch)},
		measurement{Quantity{ID: "routing.observe", Help: "take one load report in", Unit: Nanoseconds, Per: "backend server"},
			sizes, func(n int) (float64, error) {
				t := newRoutingTable(n)
				i := 0
				return nanosPerCall(func() {
					i = (i + 1) % n
					t.Observe(reportedAt, backendName(i), routing.Load{Slots: 32, StepTime: time.Millisecond})
				}), nil
			}},
		measurement{Quantity{ID: "routing.row", Help: "memory of the table", Unit: Bytes, Per: "backend server"},
			sizes, func(n int) (float64, error) {
				return retainedHeap(func() (*routing.Table, error) { return newRoutingTable(n), nil })
			}},
	)
}
