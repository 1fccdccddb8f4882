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

// maxConfigurationDelay is how long a configuration change may take to reach all
// sidecars.
const maxConfigurationDelay = 11 * time.Second

// deployment describes a deployment by the number of its instances, which are
// spread evenly over services and availability zones.
type deployment struct {
	name                                        string
	regions, zones, entries, sidecars, services int
}

func (d deployment) instance(role settings.Role, i, n int) logservice.Instance {
	z := i * d.zones / n
	return logservice.Instance{
		Name: fmt.Sprintf("%s-%05d", role, i), Role: string(role), State: logservice.Live,
		Region: strconv.Itoa(z * d.regions / d.zones), Zone: strconv.Itoa(z), PeerAddr: "x",
	}
}

func (d deployment) instances() (entries, sidecars []logservice.Instance) {
	for i := range d.entries {
		entries = append(entries, d.instance(settings.RoleEntry, i, d.entries))
	}
	for i := range d.sidecars {
		r := d.instance(settings.RoleSidecar, i, d.sidecars)
		r.Service = strconv.Itoa(i % d.services)
		sidecars = append(sidecars, r)
	}
	return entries, sidecars
}

func (d deployment) pollSets() map[string][]string {
	entries, sidecars := d.instances()
	return pollSetsOf(entries, sidecars)
}

func pollSetsOf(entries, sidecars []logservice.Instance) map[string][]string {
	out := make(map[string][]string)
	for _, e := range entries {
		out[e.Name] = pollSet(e, entries, sidecars)
	}
	return out
}

var deployments = []deployment{
	{"small", 2, 3, 3, 12, 2},
	{"just above pollAllSidecars", 2, 3, 3, 66, 2},
	{"one entry", 1, 1, 1, 500, 4},
	{"one region", 1, 3, 30, 900, 4},
	{"more services than zones", 3, 6, 40, 1000, 20},
	{"a quarter of full size", 9, 24, 300, 2500, 4},
}

func TestEverySidecarIsPolled(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			pollers := make(map[string]int)
			for _, set := range d.pollSets() {
				for _, name := range set {
					pollers[name]++
				}
			}
			_, sidecars := d.instances()
			for _, r := range sidecars {
				assert.Assert(t, pollers[r.Name] >= min(minSidecarPollers, d.entries), "%s has %d pollers", r.Name, pollers[r.Name])
			}
		})
	}
}

func TestEveryEntryPollsEnoughOfEachService(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			_, sidecars := d.instances()
			service, total := make(map[string]string), make(map[string]int)
			for _, r := range sidecars {
				service[r.Name] = r.Service
				total[r.Service]++
			}
			for e, set := range d.pollSets() {
				got := make(map[string]int)
				for _, name := range set {
					got[service[name]]++
				}
				for svc, n := range total {
					assert.Assert(t, got[svc] >= min(n, sameRegionSidecars), "%s polls %d of service %s", e, got[svc], svc)
				}
			}
		})
	}
}

func TestSmallDeploymentIsPolledEachInterval(t *testing.T) {
	d := deployments[0]
	_, sidecars := d.instances()
	for _, set := range d.pollSets() {
		assert.DeepEqual(t, set, instanceNames(sidecars))
	}
	assert.Equal(t, pollRounds(d.entries-1+d.sidecars), 1)
	assert.Equal(t, listRounds(d.entries+d.sidecars), 1)
}

func TestPollSetIsBoundedAtFullSize(t *testing.T) {
	d := deployment{"full size", 9, 24, 1200, 10_000, 4}
	entries, sidecars := d.instances()
	most := 0
	for i := 0; i < len(entries); i += 40 {
		most = max(most, len(pollSet(entries[i], entries, sidecars)))
	}
	round := time.Duration(pollRounds(most)) * pollInterval
	t.Logf("at most %d sidecars, polled once in %s", most, round)
	assert.Assert(t, round < maxConfigurationDelay, "polled once in %s", round)
	assert.Assert(t, most <= 2*d.services*(sameRegionSidecars+otherRegionSidecars), "%d sidecars", most)
}

// TestPollSetsAreStable removes one entry: the other entries keep polling the same
// sidecars and take over those that lost one of their nearest pollers.
func TestPollSetsAreStable(t *testing.T) {
	d := deployment{"", 3, 6, 60, 1200, 4}
	entries, sidecars := d.instances()
	before := pollSetsOf(entries, sidecars)
	after := pollSetsOf(entries[1:], sidecars)
	gained := 0
	for e, set := range after {
		for _, name := range before[e] {
			_, still := slices.BinarySearch(set, name)
			assert.Assert(t, still, "%s stopped polling %s", e, name)
		}
		gained += len(set) - len(before[e])
	}
	assert.Assert(t, gained <= len(before[entries[0].Name]), "%d additional sidecars polled", gained)
}

func TestWatchSet(t *testing.T) {
	var entries []string
	for i := range 1200 {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	sets := make(map[string][]string)
	watchers := make(map[string]int)
	for _, e := range entries {
		sets[e] = watchSet(e, entries, tasks(nil)[:6])
		for _, w := range sets[e] {
			watchers[w]++
		}
	}
	for _, task := range tasks(nil)[:6] {
		c := candidates(task, entries)
		assert.Equal(t, len(c), taskCandidates)
		for i, e := range c {
			for _, w := range c[:i] {
				assert.Assert(t, slices.Contains(sets[e], w), "%s does not poll %s", e, w)
			}
		}
	}
	for e, n := range watchers {
		assert.Assert(t, n <= 6*(taskCandidates-1), "%s is polled by %d entries", e, n)
	}
}

func TestSubsetCoversEveryTargetOnce(t *testing.T) {
	for _, n := range []int{0, 1, 14, 16, 17, 160, 1000} {
		targets := make([]string, n)
		for i := range targets {
			targets[i] = strconv.Itoa(i)
		}
		seen := make(map[string]int)
		for round := 7; round < 7+pollRounds(n); round++ {
			part := subset(targets, round)
			assert.Assert(t, len(part) <= max(maxPolledAtOnce, n/maxPollRounds+1), "%d polls of %d", len(part), n)
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
