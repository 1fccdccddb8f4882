package capacity

import (
	"context"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
)

// modelServices is the number of model services in a desired-state document.
const modelServices = 4

func newModelService(i int) desired.Service {
	return desired.Service{
		Name: fmt.Sprintf("%s-%d", modelService, i), Kind: desired.Model, Models: []string{fmt.Sprintf("model-%d", i)},
		OnlineWeight: 16, BatchWeight: 1, Slots: 8, Store: true,
	}
}

// document returns a desired state, as TOML, with workspaceCount workspaces.
func document(workspaceCount int) ([]byte, error) {
	var d desired.Document
	for i := range workspaceCount {
		d.Workspaces = append(d.Workspaces, desired.Workspace{
			Name: workspaceName(i), KeySHA256: []string{fmt.Sprintf("%064x", i+1)},
			Limits: desired.Limits{RequestsPerSecond: 40, Burst: 80, MaxOnline: 400, MaxJobs: 16},
		})
	}
	for i := range modelServices {
		d.Services = append(d.Services, newModelService(i))
	}
	return toml.Marshal(d)
}

// newPlainService returns a plain service with the given number of non-idempotent
// calls.
func newPlainService(calls int) desired.Service {
	s := desired.Service{Name: "records", Kind: desired.Plain, Slots: 16}
	for i := range calls {
		s.Calls = append(s.Calls, desired.Call{Method: "POST", Path: fmt.Sprintf("/records/%03d/*", i), NonIdempotent: true})
	}
	return s
}

func measureConfiguration(context.Context) ([]Quantity, error) {
	sizes := []int{12, 120, 1200}
	calls := []int{0, 8, 32}
	return measureAll(
		measurement{Quantity{ID: "config.bytes", Help: "document of 4 services", Unit: Bytes, Per: "workspace"},
			sizes, func(n int) (float64, error) {
				b, err := document(n)
				return float64(len(b)), err
			}},
		measurement{Quantity{ID: "config.parse", Help: "parse and validate", Unit: Nanoseconds, Per: "workspace"}, sizes, parseTime},
		measurement{Quantity{ID: "config.fold", Help: "fold one publication", Unit: Nanoseconds, Per: "workspace"}, sizes, publishTime},
		measurement{Quantity{ID: "config.row", Help: "memory of the table", Unit: Bytes, Per: "workspace"}, sizes, configMemory},
		measurement{Quantity{ID: "policy.bytes", Help: "policy of one service", Unit: Bytes, Per: "call with care"},
			calls, func(n int) (float64, error) {
				b, err := toml.Marshal(newPlainService(n))
				return float64(len(b)), err
			}},
		measurement{Quantity{ID: "policy.encode", Help: "encode the policy for one report", Unit: Nanoseconds, Per: "call with care"},
			calls, func(n int) (float64, error) {
				svc := newPlainService(n)
				return nanosPerCall(func() { _, _ = toml.Marshal(svc) }), nil
			}},
		measurement{Quantity{ID: "policy.decode", Help: "decode the policy at a sidecar", Unit: Nanoseconds, Per: "call with care"},
			calls, func(n int) (float64, error) {
				b, err := toml.Marshal(newPlainService(n))
				if err != nil {
					return 0, err
				}
				return nanosPerCall(func() { var s desired.Service; _ = toml.Unmarshal(b, &s) }), nil
			}},
	)
}

func parseTime(n int) (float64, error) {
	b, err := document(n)
	if err != nil {
		return 0, err
	}
	if _, err := desired.Parse("document", b); err != nil {
		return 0, err
	}
	return nanosPerCall(func() { _, _ = desired.Parse("document", b) }), nil
}

// publication returns the entry that publishes a document with n workspaces.
func publication(n int) (commitlog.Entry, error) {
	b, err := document(n)
	if err != nil {
		return commitlog.Entry{}, err
	}
	return commitlog.NewEntry(desired.KindPublish, desired.PublishRecord{ID: identifier(n), Document: b})
}

// publish applies e to a new table as the first entry of the log, whose oldest
// offset the table must receive first.
func publish(t *desired.Table, e commitlog.Entry) error {
	t.SkipTo(0)
	return t.Apply(commitlog.Position{}, e)
}

func publishTime(n int) (float64, error) {
	e, err := publication(n)
	if err != nil {
		return 0, err
	}
	setup := func() (*desired.Table, error) { return desired.NewTable(desired.Hooks{}), nil }
	return shortestRun(setup, func(t *desired.Table) error { return publish(t, e) })
}

func configMemory(n int) (float64, error) {
	return retainedHeap(func() (*desired.Table, error) {
		e, err := publication(n)
		if err != nil {
			return nil, err
		}
		t := desired.NewTable(desired.Hooks{})
		return t, publish(t, e)
	})
}
