package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

func spec(model, version string) Spec { return Spec{Model: model, Version: version} }

// cluster applies a plan as backend servers do: a server that receives an order
// first loads and then runs the model.
type cluster struct{ servers []Server }

func (w *cluster) order(assigns []Assignment) {
	for _, a := range assigns {
		for i := range w.servers {
			if w.servers[i].Instance == a.Instance {
				w.servers[i].Ordered = a.Spec
				w.servers[i].Loading = true
			}
		}
	}
}

func (w *cluster) loaded(i int) {
	w.servers[i].Running = w.servers[i].Ordered
	w.servers[i].Loading = false
}

func (w *cluster) loading() int {
	n := 0
	for _, s := range w.servers {
		if s.Loading {
			n++
		}
	}
	return n
}

func (w *cluster) serving(model string) int {
	n := 0
	for _, s := range w.servers {
		if !s.Loading && s.Running.Model == model {
			n++
		}
	}
	return n
}

// TestPlanKeepsServingWhileItConverges applies plans to generated deployments
// until they reach their targets. At no time do more than MaxConcurrentLoads
// servers load, and a model that two or more servers run always has one that
// serves it.
func TestPlanKeepsServingWhileItConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &cluster{}
		n := rapid.IntRange(2, 12).Draw(t, "servers")
		for i := range n {
			s := spec(rapid.SampledFrom([]string{"a", "b", "old"}).Draw(t, "model"), "v1")
			w.servers = append(w.servers, Server{Instance: fmt.Sprintf("s%02d", i), Running: s, Ordered: s})
		}
		in := Input{
			Service: "svc", MaxConcurrentLoads: rapid.IntRange(1, 3).Draw(t, "loads"),
			LoadTime: time.Minute, Horizon: time.Hour,
			Targets: []Target{
				{Spec: spec("a", "v2"), Replicas: 1, Demand: rapid.Float64Range(0, 10).Draw(t, "a")},
				{Spec: spec("b", "v2"), Replicas: 1, Demand: rapid.Float64Range(0, 10).Draw(t, "b")},
			},
		}
		for range 20 * n {
			in.Servers = w.servers
			before := map[string]int{"a": w.serving("a"), "b": w.serving("b")}
			assigns := Plan(in)
			w.order(assigns)
			assert.Assert(t, w.loading() <= in.MaxConcurrentLoads, "%d servers load", w.loading())
			for m, had := range before {
				if had >= 2 {
					assert.Assert(t, w.serving(m) >= 1, "nothing serves %s", m)
				}
			}
			for i := range w.servers {
				if w.servers[i].Loading && rapid.Bool().Draw(t, "done") {
					w.loaded(i)
				}
			}
		}
		for i := range w.servers {
			w.loaded(i)
			assert.Equal(t, w.servers[i].Running.Version, "v2", "%+v", w.servers[i])
		}
		assert.Assert(t, w.serving("a") >= 1 && w.serving("b") >= 1)
	})
}

func TestDemandMovesServerOnlyWhenWorthwhile(t *testing.T) {
	servers := func() []Server {
		var out []Server
		for i := range 6 {
			s := spec("a", "v1")
			if i == 5 {
				s = spec("b", "v1")
			}
			out = append(out, Server{Instance: fmt.Sprintf("s%d", i), Running: s, Ordered: s})
		}
		return out
	}
	in := Input{
		Service: "svc", Servers: servers(), MaxConcurrentLoads: 1, LoadTime: time.Minute, Horizon: 10 * time.Minute,
		Targets: []Target{{Spec: spec("a", "v1"), Demand: 1}, {Spec: spec("b", "v1"), Demand: 1}},
	}
	moves := Plan(in)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].Spec.Model, "b")
	in.LoadTime = 5 * time.Minute
	assert.Equal(t, len(Plan(in)), 0, "a server was moved although the load time outweighs the gain")
	in.LoadTime = time.Minute
	in.Targets[0].Demand = 4
	assert.Equal(t, len(Plan(in)), 0, "a server was moved for a deficit of less than one server")
}

func TestLaterOrderHasHigherFence(t *testing.T) {
	table := NewTable()
	apply := func(pos commitlog.Position, version string) {
		e, err := commitlog.NewEntry(KindAssignment, Assignment{Service: "svc", Instance: "s", Spec: spec("a", version)})
		assert.NilError(t, err)
		assert.NilError(t, table.Apply(pos, e))
	}
	apply(commitlog.Position{Offset: 0, Index: 3}, "v1")
	first, _ := table.Order("s")
	apply(commitlog.Position{Offset: 1}, "v2")
	second, _ := table.Order("s")
	assert.Assert(t, second.Fence > first.Fence && first.Fence > 0)
	assert.Equal(t, second.Spec.Version, "v2")
	assert.ErrorIs(t, table.Apply(commitlog.Position{Offset: 2}, commitlog.Entry{Kind: 99}), ErrInvalidEntry)
}
