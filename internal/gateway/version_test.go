package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/gateway"
	"github.com/catkinrudder/catkinrudder/origins"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/quarantine/quarantinetest"
	"github.com/catkinrudder/catkinrudder/serving"
)

// ranAt returns the versions of the backend servers that ran a request.
func ranAt(id string, backends ...*platformtest.Backend) map[string]bool {
	versions := make(map[string]bool)
	for _, b := range backends {
		if b.Runs(id) > 0 {
			versions[b.Version] = true
		}
	}
	return versions
}

func TestInterruptedStreamIsNotContinuedByAnotherVersion(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	b.Version = "v2"
	faultOnFirstRun(platformtest.CutMidEvent, a, b)
	w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.Assert(t, errors.Is(err, gateway.ErrAborted), "%v", err)
	assert.Equal(t, w.Body.String(), streamBody("1", 2))
	assert.Equal(t, a.Runs("1")+b.Runs("1"), 1)
}

func TestInterruptedStreamContinuesAtItsVersion(t *testing.T) {
	servers := []*platformtest.Backend{platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b"), platformtest.NewBackend(t, "c"), platformtest.NewBackend(t, "d")}
	servers[2].Version, servers[3].Version = "v2", "v2"
	faultOnFirstRun(platformtest.CutMidEvent, servers...)
	f := newFixture(t, servers...)
	for i := range 12 {
		id := fmt.Sprint("r", i)
		w, err := f.serve(request(id, "/stream"), route(catalog.Stream, resumable))
		assert.NilError(t, err)
		assert.Equal(t, w.Body.String(), streamBody(id, 5))
		assert.Equal(t, len(ranAt(id, servers...)), 1, "request %s ran at two versions", id)
	}
}

func TestStreamWithoutEventsStartsAtAnyVersion(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	b.Version = "v2"
	faultOnFirstRun(platformtest.ResetAfterRun, a, b)
	w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), streamBody("1", 5))
}

// TestStreamOfTheOnlyVersionIsResumed covers callers that do not name the attempt and gateways
// that have lost their records: without another version, there is no doubt about the origin.
func TestStreamOfTheOnlyVersionIsResumed(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	f := newFixture(t, a)
	resume := func(change func(*catalog.Route)) error {
		r := request("1", "/stream")
		r.LastEventID = "3"
		_, err := f.serve(r, route(catalog.Stream, func(rt *catalog.Route) { resumable(rt); change(rt) }))
		return err
	}
	unchanged := func(*catalog.Route) {}
	assert.NilError(t, resume(unchanged))
	assert.Equal(t, a.Requests()[0].ResumeAfter, "3")

	split := func(r *catalog.Route) { r.Splits = append(r.Splits, catalog.Split{Service: "other", Weight: 1}) }
	assert.Equal(t, errkind.From(resume(split)).Response().Outcome, errkind.NotRun)

	f.RegistrationAge = func() (time.Duration, bool) { return 3 * time.Second, true }
	assert.Equal(t, errkind.From(resume(unchanged)).Response().Outcome, errkind.NotRun)
	f.RegistrationAge = func() (time.Duration, bool) { return 0, false }
	assert.Equal(t, errkind.From(resume(unchanged)).Response().Outcome, errkind.NotRun)

	f.RegistrationAge = func() (time.Duration, bool) { return 0, true }
	b.Version = "v2"
	f.register(a, b)
	assert.Equal(t, errkind.From(resume(unchanged)).Response().Outcome, errkind.NotRun)
	assert.Equal(t, a.Runs("1"), 1)
}

// TestVersionThatJoinedAMomentAgoIsKnownToAResume guards against a resume that is joined to another version: the
// server that began the stream has registered after the gateway's last read, and its announcement is lost.
func TestVersionThatJoinedAMomentAgoIsKnownToAResume(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	b.Version = "v2"
	f := newFixture(t, a)
	resume := func(id string) error {
		r := request(id, "/stream")
		r.LastEventID = "3"
		_, err := f.serve(r, route(catalog.Stream, resumable))
		return err
	}
	age := time.Second // less than the longest read of the registrations
	f.RegistrationAge = func() (time.Duration, bool) { return age, true }
	assert.Equal(t, errkind.From(resume("1")).Response().Outcome, errkind.NotRun)
	f.ConfirmRegistrations = func(context.Context) error { return errors.New("the store does not answer") }
	assert.Equal(t, errkind.From(resume("2")).Response().Outcome, errkind.NotRun)
	f.ConfirmRegistrations = func(context.Context) error {
		f.register(a, b)
		age = 0
		return nil
	}
	assert.Equal(t, errkind.From(resume("3")).Response().Outcome, errkind.NotRun)
	assert.Equal(t, len(a.Requests()), 0)

	f = newFixture(t, a)
	age = time.Second
	f.RegistrationAge = func() (time.Duration, bool) { return age, true }
	f.ConfirmRegistrations = func(context.Context) error { age = 0; return nil }
	assert.NilError(t, resume("4"))
	assert.Equal(t, a.Requests()[0].ResumeAfter, "3")
}

// TestUnframedStreamOfAnEndedServerIsInterrupted covers a stream whose end is marked by closing
// the connection: if the server has ended, the stream is not complete.
func TestUnframedStreamOfAnEndedServerIsInterrupted(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.CrashUnframed, a, b)
	w, err := newFixture(t, a, b).serve(request("1", "/stream"), route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Equal(t, w.Body.String(), streamBody("1", 5))

	c := platformtest.NewBackend(t, "c")
	c.SetFault(always(platformtest.CrashUnframed))
	_, err = newFixture(t, c).serve(request("2", "/stream"), route(catalog.Stream, nil))
	assert.Assert(t, errors.Is(err, gateway.ErrAborted), "%v", err)
}

// TestRetryDoesNotWaitForAProbeOfASilentServer covers a server that neither answers nor accepts
// connections: whether it has ended can't be found out in time.
func TestRetryDoesNotWaitForAProbeOfASilentServer(t *testing.T) {
	a, b := platformtest.NewBackend(t, "a"), platformtest.NewBackend(t, "b")
	faultOnFirstRun(platformtest.ResetAfterRun, a, b)
	f := newFixture(t, a, b)
	f.Quarantine = quarantinetest.NewGuardWithProbe(func(ctx context.Context, _ catalog.Backend, _ bool) error {
		<-ctx.Done()
		return ctx.Err()
	})
	r := request("1", "/stream")
	r.Prompt.Parts = []serving.PromptPart{{ID: "shared"}, {ID: "own"}}
	begin := time.Now()
	_, err := f.serve(r, route(catalog.Stream, resumable))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) < 200*time.Millisecond, "%s", time.Since(begin))
}

// TestResumeWaitsForAGatewayThatStarts covers callers that come back to a gateway before it has read
// which software has been in service, and one that can't read it.
func TestResumeWaitsForAGatewayThatStarts(t *testing.T) {
	const readTime = 100 * time.Millisecond
	a := platformtest.NewBackend(t, "a")
	f := newFixture(t, a)
	resume := func() error {
		r := request("1", "/stream")
		r.LastEventID = "3"
		_, err := f.serve(r, route(catalog.Stream, resumable))
		return err
	}
	f.Software = discovery.NewSoftwareHistory(f.Backends, origins.Retention, time.Now)
	begin := time.Now()
	assert.Equal(t, errkind.From(resume()).Response().Outcome, errkind.NotRun)
	assert.Assert(t, time.Since(begin) < time.Second, "refused after %v", time.Since(begin))
	time.AfterFunc(readTime, func() { f.Software.Rebuild(nil) })
	assert.NilError(t, resume())
	assert.Equal(t, a.Requests()[0].ResumeAfter, "3")
}
