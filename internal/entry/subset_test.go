package entry

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/settings"
)

// configurationInForce is how long a change may take to reach every sidecar.
const configurationInForce = 11 * time.Second

// shape is a deployment of so many instances, spread evenly over services and
// availability zones.
type shape struct {
	name                                        string
	regions, zones, entries, sidecars, services int
}

func (s shape) row(role settings.Role, i, n int) logservice.Instance {
	z := i * s.zones / n
	return logservice.Instance{
		Name: fmt.Sprintf("%s-%05d", role, i), Role: string(role), State: logservice.Live,
		Region: strconv.Itoa(z * s.regions / s.zones), Zone: strconv.Itoa(z), PeerAddr: "x",
	}
}

func (s shape) rows() (entries, sidecars []logservice.Instance) {
	for i := range s.entries {
		entries = append(entries, s.row(settings.RoleEntry, i, s.entries))
	}
	for i := range s.sidecars {
		r := s.row(settings.RoleSidecar, i, s.sidecars)
		r.Service = strconv.Itoa(i % s.services)
		sidecars = append(sidecars, r)
	}
	return entries, sidecars
}

func (s shape) sets() map[string][]string {
	entries, sidecars := s.rows()
	return setsOf(entries, sidecars)
}

func setsOf(entries, sidecars []logservice.Instance) map[string][]string {
	out := make(map[string][]string)
	for _, e := range entries {
		out[e.Name] = pollSet(e, entries, sidecars)
	}
	return out
}

var shapes = []shape{
	{"today", 2, 3, 3, 12, 2},
	{"just more than all", 2, 3, 3, 66, 2},
	{"one entry", 1, 1, 1, 500, 4},
	{"one region", 1, 3, 30, 900, 4},
	{"more services than zones", 3, 6, 40, 1000, 20},
	{"a quarter of full size", 9, 24, 300, 2500, 4},
}

func TestEverySidecarIsPolled(t *testing.T) {
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			pollers := make(map[string]int)
			for _, set := range s.sets() {
				for _, name := range set {
					pollers[name]++
				}
			}
			_, sidecars := s.rows()
			for _, r := range sidecars {
				assert.Assert(t, pollers[r.Name] >= min(sidecarPollers, s.entries), "%s has %d pollers", r.Name, pollers[r.Name])
			}
		})
	}
}

func TestEveryEntryPollsEnoughOfEachService(t *testing.T) {
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			_, sidecars := s.rows()
			service, total := make(map[string]string), make(map[string]int)
			for _, r := range sidecars {
				service[r.Name] = r.Service
				total[r.Service]++
			}
			for e, set := range s.sets() {
				got := make(map[string]int)
				for _, name := range set {
					got[service[name]]++
				}
				for svc, n := range total {
					assert.Assert(t, got[svc] >= min(n, nearSidecars), "%s polls %d of service %s", e, got[svc], svc)
				}
			}
		})
	}
}

func TestTodayEveryoneIsPolledEachInterval(t *testing.T) {
	s := shapes[0]
	_, sidecars := s.rows()
	for _, set := range s.sets() {
		assert.DeepEqual(t, set, names(sidecars))
	}
	assert.Equal(t, pollRounds(s.entries-1+s.sidecars), 1)
	assert.Equal(t, listRounds(s.entries+s.sidecars), 1)
}

func TestPollSetIsBoundedAtFullSize(t *testing.T) {
	s := shape{"full size", 9, 24, 1200, 10_000, 4}
	entries, sidecars := s.rows()
	most := 0
	for i := 0; i < len(entries); i += 40 {
		most = max(most, len(pollSet(entries[i], entries, sidecars)))
	}
	round := time.Duration(pollRounds(most)) * pollInterval
	t.Logf("at most %d sidecars, polled once in %s", most, round)
	assert.Assert(t, round < configurationInForce, "polled once in %s", round)
	assert.Assert(t, most <= 2*s.services*(nearSidecars+farSidecars), "%d sidecars", most)
}

// TestPollSetsAreStable takes one entry away: the others poll what they polled
// and take over the sidecars that lost one of their nearest pollers.
func TestPollSetsAreStable(t *testing.T) {
	s := shape{"", 3, 6, 60, 1200, 4}
	entries, sidecars := s.rows()
	before := setsOf(entries, sidecars)
	after := setsOf(entries[1:], sidecars)
	gained := 0
	for e, set := range after {
		for _, name := range before[e] {
			_, still := slices.BinarySearch(set, name)
			assert.Assert(t, still, "%s stopped polling %s", e, name)
		}
		gained += len(set) - len(before[e])
	}
	assert.Assert(t, gained <= len(before[entries[0].Name]), "%d new pairs", gained)
}

func TestWatchSet(t *testing.T) {
	var entries []string
	for i := range 1200 {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	sets := make(map[string][]string)
	watchers := make(map[string]int)
	for _, e := range entries {
		sets[e] = watchSet(e, entries, duties(nil)[:6])
		for _, w := range sets[e] {
			watchers[w]++
		}
	}
	for _, duty := range duties(nil)[:6] {
		c := candidates(duty, entries)
		assert.Equal(t, len(c), dutyCandidates)
		for i, e := range c {
			for _, w := range c[:i] {
				assert.Assert(t, slices.Contains(sets[e], w), "%s does not watch %s", e, w)
			}
		}
	}
	for e, n := range watchers {
		assert.Assert(t, n <= 6*(dutyCandidates-1), "%s is watched by %d", e, n)
	}
}

func TestSliceCoversEveryTargetOnce(t *testing.T) {
	for _, n := range []int{0, 1, 14, 16, 17, 160, 1000} {
		targets := make([]string, n)
		for i := range targets {
			targets[i] = strconv.Itoa(i)
		}
		seen := make(map[string]int)
		for round := 7; round < 7+pollRounds(n); round++ {
			part := slice(targets, round)
			assert.Assert(t, len(part) <= max(pollsAtOnce, n/maxRounds+1), "%d polls of %d", len(part), n)
			for _, name := range part {
				seen[name]++
			}
		}
		assert.Equal(t, len(seen), n)
		for _, times := range slices.Collect(maps.Values(seen)) {
			assert.Equal(t, times, 1)
		}
	}
}
