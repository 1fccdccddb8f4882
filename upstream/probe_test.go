package upstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/upstream"
)

func TestOnlyTheSameProcessIsProvedToServeOn(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	nameless := platformtest.NewBackend(t, "n")
	nameless.SetNameless()
	ended := platformtest.NewBackend(t, "e")
	ended.Kill()
	for name, c := range map[string]struct {
		expected upstream.Expected
		want     error
	}{
		"same start":           {upstream.Expected{BackendID: "b", Address: b.Address, StartedMs: b.Born}, nil},
		"later start":          {upstream.Expected{BackendID: "b", Address: b.Address, StartedMs: b.Born - 1}, upstream.ErrProcessEnded},
		"start unknown, id":    {upstream.Expected{BackendID: "b", Address: b.Address, HealthPath: "/health"}, nil},
		"start and id unknown": {upstream.Expected{BackendID: "b", Address: b.Address}, upstream.ErrUnidentified},
		"another server":       {upstream.Expected{BackendID: "x", Address: b.Address, StartedMs: b.Born}, upstream.ErrProcessEnded},
		"nameless":             {upstream.Expected{BackendID: "n", Address: nameless.Address, HealthPath: "/health", StartedMs: 1}, upstream.ErrUnidentified},
		"ended":                {upstream.Expected{BackendID: "e", Address: ended.Address, StartedMs: ended.Born}, upstream.ErrProcessEnded},
	} {
		err := newPool().Probe(t.Context(), c.expected)
		assert.Assert(t, errors.Is(err, c.want) && (c.want != nil || err == nil), "%s: %v", name, err)
	}
}

func TestProbeOfASilentServerShowsNothing(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	release := make(chan struct{})
	defer close(release)
	b.OnIdentityRequest(func() { <-release })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := newPool().Probe(ctx, upstream.Expected{BackendID: "b", Address: b.Address, StartedMs: b.Born})
	assert.Assert(t, err != nil && !errors.Is(err, upstream.ErrProcessEnded), "%v", err)
}
