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

func (c *cluster) order(assigns []Assignment) {
	for _, a := range assigns {
		for i := range c.servers {
			if c.servers[i].Instance == a.Instance {
				c.servers[i].Ordered = a.Spec
				c.servers[i].Loading = true
			}
		}
	}
}

func (c *cluster) loaded(i int) {
	c.servers[i].Running = c.servers[i].Ordered
	c.servers[i].Loading = false
}

func (c *cluster) loading() int {
	n := 0
	for _, s := range c.servers {
		if s.Loading {
			n++
		}
	}
	return n
}

func (c *cluster) serving(model string) int {
	n := 0
	for _, s := range c.servers {
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
		c := &cluster{}
		n := rapid.IntRange(2, 12).Draw(t, "servers")
		for i := range n {
			s := spec(rapid.SampledFrom([]string{"a", "b", "old"}).Draw(t, "model"), "v1")
			c.servers = append(c.servers, Server{Instance: fmt.Sprintf("s%02d", i), Running: s, Ordered: s})
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
			in.Servers = c.servers
			before := map[string]int{"a": c.serving("a"), "b": c.serving("b")}
			assigns := Plan(in)
			c.order(assigns)
			assert.Assert(t, c.loading() <= in.MaxConcurrentLoads, "%d servers load", c.loading())
			for m, had := range before {
				if had >= 2 {
					assert.Assert(t, c.serving(m) >= 1, "nothing serves %s", m)
				}
			}
			for i := range c.servers {
				if c.servers[i].Loading && rapid.Bool().Draw(t, "done") {
					c.loaded(i)
				}
			}
		}
		for i := range c.servers {
			c.loaded(i)
			assert.Equal(t, c.servers[i].Running.Version, "v2", "%+v", c.servers[i])
		}
		assert.Assert(t, c.serving("a") >= 1 && c.serving("b") >= 1)
	})
}

func TestNoTargetsNoAssignments(t *testing.T) {
	in := Input{Service: "s", Servers: []Server{{Instance: "a"}}, MaxConcurrentLoads: 2, LoadTime: time.Second, Horizon: time.Hour}
	assert.Equal(t, len(Plan(in)), 0)
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
