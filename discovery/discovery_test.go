package discovery_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/discovery"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

func decodeConfig(raw []byte) (*catalog.Config, error) {
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil {
		return nil, err
	}
	return catalog.NewConfig(n, nil, nil, catalog.Limits{}), nil
}

func record(key, value string) keyedlog.Record {
	if value == "" {
		return keyedlog.Record{Key: key}
	}
	return keyedlog.Record{Key: key, Value: []byte(value)}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	refused := 0
	c := discovery.NewConfigView("config", decodeConfig, func(_, _ *catalog.Config) {}, func(int64, error) { refused++ })
	assert.Assert(t, c.Current() == nil)
	c.Rebuild([]keyedlog.Record{record("other", "99"), record("config", "3")})
	c.Apply([]keyedlog.Record{record("config", "7"), record("config", "5"), record("config", "junk"), record("config", "")})
	assert.Equal(t, c.Current().Version, int64(7))
	c.Rebuild([]keyedlog.Record{record("config", "6")}) // an outdated page
	assert.Equal(t, c.Current().Version, int64(7))
	c.Rebuild(nil)
	assert.Equal(t, c.Current().Version, int64(7))
	assert.Equal(t, refused, 1)
}

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func decodeBackend(id string, raw []byte) (catalog.Backend, error) {
	b := catalog.Backend{ID: id, Service: "s", Address: id, State: catalog.Ready}
	switch string(raw) {
	case "ready":
	case "draining":
		b.State = catalog.Draining
	default:
		return b, errors.New("no backend server in record")
	}
	return b, nil
}

func newBackends() (*discovery.Backends, *clock, *[]string) {
	c := &clock{time.Unix(0, 0)}
	var changes []string
	b := discovery.NewBackends(decodeBackend, func(ch discovery.Change) { changes = append(changes, ch.Backend.ID+" "+ch.Kind) }, c.now)
	return b, c, &changes
}

func ids(list []catalog.Backend) string {
	out := ""
	for _, b := range list {
		out += b.ID
	}
	return out
}

func TestLapsedRegistrationHasGracePeriod(t *testing.T) {
	b, c, changes := newBackends()
	b.Rebuild([]keyedlog.Record{record("a", "ready"), record("b", "ready")})
	b.SetStoreUnavailable(true)
	b.SetStoreUnavailable(false)
	b.Apply([]keyedlog.Record{record("a", "")})
	assert.Equal(t, ids(b.OfService("s")), "ab")
	c.at = c.at.Add(discovery.OutageGrace / 2)
	b.Expire()
	b.Apply([]keyedlog.Record{record("a", "ready")})
	c.at = c.at.Add(discovery.OutageGrace)
	b.Expire()
	assert.Equal(t, ids(b.OfService("s")), "ab", "a was registered again within the grace period")
	b.Rebuild([]keyedlog.Record{record("a", "ready")})
	c.at = c.at.Add(discovery.OutageGrace)
	b.Expire()
	assert.Equal(t, ids(b.OfService("s")), "a")
	assert.DeepEqual(t, *changes, []string{"a seen", "b seen", "a lapsed", "a returned", "b lapsed", "b gone"})
}

// TestLapsedRegistrationIsRemovedSoonWithoutOutage guards against requests to a
// backend server that has left. It must not receive requests for longer than the drain
// time, and the records read from the store may already be a second old.
func TestLapsedRegistrationIsRemovedSoonWithoutOutage(t *testing.T) {
	const drainTime, storeLag = 3 * time.Second, 1500 * time.Millisecond
	b, c, _ := newBackends()
	b.Rebuild([]keyedlog.Record{record("a", "ready"), record("b", "ready")})
	b.SetStoreUnavailable(true)
	b.SetStoreUnavailable(false)
	c.at = c.at.Add(10 * time.Second) // long after the outage
	b.Apply([]keyedlog.Record{record("a", "")})
	c.at = c.at.Add((drainTime - storeLag) / 2)
	b.Expire()
	assert.Equal(t, ids(b.OfService("s")), "b")
}

func TestDrainingBackendServerIsMarked(t *testing.T) {
	b, _, changes := newBackends()
	b.Apply([]keyedlog.Record{record("a", "ready"), record("a", "ready"), record("a", "draining")})
	assert.Equal(t, b.OfService("s")[0].State, catalog.Draining)
	assert.DeepEqual(t, *changes, []string{"a seen", "a leaving"})
}

func TestInvalidRecordsAreSkipped(t *testing.T) {
	b, _, _ := newBackends()
	b.Rebuild([]keyedlog.Record{record("a", "ready"), record("b", "\x00")})
	assert.Equal(t, ids(b.OfService("s")), "a")
	b.Apply([]keyedlog.Record{record("c", "odd")})
	assert.Equal(t, b.Len(), 1)
}

// TestServerThatHasSaidThatItLeavesIsNotHandedOn covers a gateway that starts while the store is
// unavailable: the registration of a server that leaves may still say that it is ready.
func TestServerThatHasSaidThatItLeavesIsNotHandedOn(t *testing.T) {
	b := discovery.NewBackends(decodeBackend, func(discovery.Change) {}, time.Now)
	b.Apply([]keyedlog.Record{record("a", "ready"), record("b", "ready")})
	b.SetLeaving("a", 0)
	started := discovery.NewBackends(decodeBackend, func(discovery.Change) {}, time.Now)
	started.Apply(b.Records())
	assert.Equal(t, len(started.OfService("s")), 1)
	assert.Equal(t, started.OfService("s")[0].ID, "b")
}

// TestRefusedRecordIsReportedOnce guards against a record without any trace in the log, and one that fills it.
func TestRefusedRecordIsReportedOnce(t *testing.T) {
	b, _, changes := newBackends()
	b.Apply([]keyedlog.Record{record("a", "odd"), record("a", "odder")})
	select {
	case <-b.Loaded():
		t.Fatal("no backend server is known")
	default:
	}
	b.Apply([]keyedlog.Record{record("a", "ready"), record("a", "odd"), record("a", ""), record("a", "odd")})
	assert.DeepEqual(t, *changes, []string{"a refused", "a seen", "a lapsed", "a refused", "a refused"})
}
