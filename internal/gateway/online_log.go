package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/eventstream"
	"github.com/catkinrudder/catkinrudder/upstream"
)

func (o *onlineRequest) logChoice(c balance.Choice, now time.Time) {
	o.g.Metrics.routed(c.Reason)
	o.g.Metrics.crossed(c.Backend.Zone, c.Crossing)
	event.Log(o.g.Log, event.RequestRouted, "request", o.r.ID, "workspace", o.r.Identity.Workspace, "route", o.route.Name, "service", o.service,
		"backend", c.Backend.ID, "reason", c.Reason, "online", c.Load.Online, "batch", c.Load.Batch, "slots", c.Backend.Slots,
		"zone", c.Backend.Zone, "crossing", c.Crossing, "attempt", o.attempts+1, "waited", now.Sub(o.r.ReceivedAt), "store_age", o.g.StoreAge(),
		"version", c.Backend.Version, "resumes", o.r.Resumes, "resume_after", o.lastEvent)
}

// logEnd counts a response that has ended, and logs one whose end does not show that it is complete.
func (o *onlineRequest) logEnd(b catalog.Backend, evidence upstream.Evidence) {
	o.g.Metrics.ResponseEnded(o.route.Kind.String(), evidence)
	if evidence.Proves() {
		return
	}
	event.Log(o.g.Log, event.EndUnproved, "request", o.r.ID, "backend", b.ID, "version", b.Version, "evidence", evidence,
		"last_event", o.lastEvent, "attempts", o.attempts, "after", time.Since(o.r.ReceivedAt))
}

func (o *onlineRequest) logRetry(b catalog.Backend, cause error) {
	event.Log(o.g.Log, event.RequestRetried, "request", o.r.ID, "backend", b.ID, "cause", cause,
		"attempts", o.attempts, "resume_after", o.lastEvent, "parts", o.parts, "identity", o.loggedIdentity())
}

// reportOutOfOrder reports an event that does not follow the one before it.
func (o *onlineRequest) reportOutOfOrder(b catalog.Backend, err error) {
	var violation *eventstream.OrderError
	if !errors.As(err, &violation) {
		return
	}
	kind := o.route.Kind.String()
	o.g.Metrics.eventOutOfOrder(kind, violation.Reason)
	event.Log(o.g.Log, event.EventOutOfOrder, "kind", kind, "request", o.r.ID, "backend", b.ID, "service", b.Service, "version", b.Version,
		"reason", violation.Reason, "last_event", violation.Last, "came", violation.ID)
}

func (o *onlineRequest) logFailure(err error) {
	if errors.Is(err, ErrAborted) {
		event.Log(o.g.Log, event.RequestRefused, "request", o.r.ID, "workspace", o.r.Identity.Workspace, "route", o.route.Name, "kind", "aborted",
			"cause", err, "repeatable", o.route.Idempotent, "attempts", o.attempts, "after", time.Since(o.r.ReceivedAt), "last_event", o.lastEvent,
			"parts", o.parts, "identity", o.loggedIdentity())
		return
	}
	e := errkind.From(err)
	o.g.Metrics.requestFailed(e.Kind)
	o.g.Metrics.workspaceRefused(o.r.Identity.Workspace, e.Kind)
	event.Log(o.g.Log, event.RequestRefused, "request", o.r.ID, "workspace", o.r.Identity.Workspace, "route", o.route.Name, "kind", e.Kind,
		"cause", e, "repeatable", o.route.Idempotent, "attempts", o.attempts, "after", time.Since(o.r.ReceivedAt), "retry_after", e.Response().RetryAfter,
		"priority", o.priority, "refused", o.judged.reason, "ahead", o.judged.forecast.Ahead,
		"expected_wait", o.judged.forecast.Here, "expected_elsewhere", o.judged.forecast.Elsewhere, "spent_before", o.spent,
		"parts", o.parts, "identity", o.loggedIdentity())
}
