package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
)

// unknownOriginRetryAfter is the Retry-After of a resume whose origin is not known here. The
// caller's next attempt may reach a gateway that knows it.
const unknownOriginRetryAfter = 200 * time.Millisecond

const (
	// maxSoftwareWait is how long a resume waits at a gateway that has just started.
	maxSoftwareWait = 500 * time.Millisecond
	// maxConfirmationWait is how long a resume waits for a read of the registrations.
	maxConfirmationWait = 400 * time.Millisecond
)

// resumes reports whether the caller has a part of the stream already.
func (o *onlineRequest) resumes() bool {
	return o.route.Kind == catalog.Stream && o.r.LastEventID != ""
}

// findOrigin restricts a resumed stream to the software that began it. If that is unknown, the
// request is refused: events of two versions do not fit together.
func (o *onlineRequest) findOrigin(ctx context.Context) error {
	begin := time.Now()
	origin, source := o.lookupOrigin(ctx)
	event.Log(o.g.Log, event.StreamResumed, "request", o.r.ID, "resumes", o.r.Resumes, "resume_after", o.lastEvent,
		"origin", source, "service", origin.Service, "version", origin.Version, "took", time.Since(begin))
	if source == originUnknown {
		return errkind.New(errkind.NoBackend, "the software that began stream %q is unknown", o.r.Resumes).WithRetryAfter(unknownOriginRetryAfter)
	}
	if !slices.ContainsFunc(o.route.Splits, func(s catalog.Split) bool { return s.Service == origin.Service }) {
		return errkind.New(errkind.NoBackend, "route %s no longer leads to service %s, which began the stream", o.route.Name, origin.Service)
	}
	o.service, o.origin = origin.Service, origin
	return nil
}

// originSource is how the origin of a stream is known.
type originSource string

const (
	// originRecorded: a gateway has recorded it.
	originRecorded originSource = "recorded"
	// originOnly: all backend servers that may have begun the stream run the same software.
	originOnly originSource = "only_version"
	// originUnknown: it is not known.
	originUnknown originSource = "unknown"
)

// lookupOrigin returns the software that began the stream.
func (o *onlineRequest) lookupOrigin(ctx context.Context) (catalog.Software, originSource) {
	if origin, known := o.g.Origins.FindOrigin(ctx, o.r.Resumes); known {
		return origin, originRecorded
	}
	// A caller may not name the attempt, and gateways may be lost with what they recorded.
	if len(o.route.Splits) != 1 {
		return catalog.Software{}, originUnknown
	}
	o.awaitSoftware(ctx)
	if !o.knowsServers() && !o.confirmServers(ctx) {
		return catalog.Software{}, originUnknown
	}
	if origin, only := o.g.Software.Only(o.route.Splits[0].Service); only {
		return origin, originOnly
	}
	return catalog.Software{}, originUnknown
}

// awaitSoftware waits while the process has just started and does not know yet which software has
// been in service. Callers whose gateways were lost come back at once and have one attempt left.
func (o *onlineRequest) awaitSoftware(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxSoftwareWait)
	defer cancel()
	o.g.Software.AwaitLoaded(ctx)
}

// knowsServers reports whether the view of the backend servers was read after the request had arrived. The
// server that began the stream was registered before, so it can't be missing; an older view may lack it,
// and the software that it runs.
func (o *onlineRequest) knowsServers() bool {
	age, known := o.g.RegistrationAge()
	return known && age <= time.Since(o.r.ReceivedAt)
}

// confirmServers has the registrations read, and reports whether the view is known to be complete.
func (o *onlineRequest) confirmServers(ctx context.Context) bool {
	if o.g.ConfirmRegistrations == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxConfirmationWait)
	defer cancel()
	return o.g.ConfirmRegistrations(ctx) == nil && o.knowsServers()
}

// recordOrigin records the software that sends the first event of a stream. Other gateways
// learn it before the caller can come back.
func (o *onlineRequest) recordOrigin(b catalog.Backend) {
	if o.origin.Known() || !o.route.Resumable {
		return
	}
	o.origin = b.Software()
	o.g.Origins.AnnounceOrigin(o.r.ID, o.origin)
}

// mayContinue reports whether another backend server may go on with the stream. It is asked to by the
// number of the last event.
func (o *onlineRequest) mayContinue() bool {
	return o.route.Resumable && o.origin.Known() && !o.sequence.Unnumbered()
}

// anyReady reports whether a backend server that runs s takes requests.
func anyReady(candidates []catalog.Backend, s catalog.Software) bool {
	return slices.ContainsFunc(candidates, func(b catalog.Backend) bool { return b.State == catalog.Ready && b.Runs(s) })
}
