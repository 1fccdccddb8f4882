package peering_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/origins"
	"github.com/catkinrudder/catkinrudder/peering"
)

// startSource starts a gateway that has a version of the configuration. It answers calls for its
// snapshot only if answers is set.
func startSource(t *testing.T, name string, version int64, answers bool) *gateway {
	t.Helper()
	handler := peering.Handler(testHost{}, func() peering.Snapshot {
		return peering.Snapshot{Config: []keyedlog.Record{{Key: "config", Value: []byte(name)}}, ConfigVersion: version}
	}, keyedlog.NewRelay(nil, nil), origins.NewTable())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !answers {
			http.Error(w, "no snapshot", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	g := startGateway(t, name, strings.TrimPrefix(server.URL, "http://"), "r")
	g.configVersion.Store(version)
	return g
}

func TestNewestSnapshotIsFetched(t *testing.T) {
	a := startGateway(t, "a", "127.0.0.1:0", "r")
	a.configVersion.Store(5)
	sources := []*gateway{startSource(t, "old", 4, true), startSource(t, "new", 7, true), startSource(t, "newest", 9, false), startSource(t, "other", 6, true)}
	for _, s := range sources {
		s.addPeer(t, a, "r")
	}
	<-a.NewerConfig()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if a.ReachableCount() < len(sources) {
			return poll.Continue("%d peers are reachable", a.ReachableCount())
		}
		return poll.Success()
	})
	assert.Assert(t, a.ConfigBehind())
	s, ok := a.FetchSnapshot(t.Context(), 3)
	assert.Assert(t, ok)
	assert.Equal(t, string(s.Config[0].Value), "new", "the peer with a newer one does not answer")
	_, ok = a.FetchSnapshot(t.Context(), 1)
	assert.Assert(t, !ok)
	a.configVersion.Store(9)
	assert.Assert(t, !a.ConfigBehind())
}
