package jobs

import (
	"context"
	"runtime/debug"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/serving"
)

// runItemIsolated runs an item, and handles a panic as the end of this run only: the process goes on
// with all other requests. The output that the run was given stays valid, since a run works on its own copy.
func (s *Service) runItemIsolated(ctx context.Context, r *serving.Request, b catalog.Backend, p Progress, o runObserver) (out outcome) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		event.Log(s.opts.Logger, event.ItemPanicked, "request", r.ID, "backend", b.ID, "service", b.Service, "panic", cause, "stack", string(debug.Stack()))
		out = outcome{runPanicked, p, errors.Errorf("jobs: the run panicked: %v", cause)}
	}()
	return s.runItem(ctx, r, b, p, o)
}
