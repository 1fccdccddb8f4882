package jobs

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/internal/intake"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/quarantine/quarantinetest"
)

func TestEachWaitReasonHasAName(t *testing.T) {
	seen := make(map[string]bool)
	for _, w := range append(WaitReasons(), silentRun) {
		assert.Assert(t, w.String() != "" && !seen[w.String()], "%d", w)
		seen[w.String()] = true
	}
}

// waitsRoute is the route of the items of these tests.
var waitsRoute = &catalog.Route{Name: "r", Splits: []catalog.Split{{Service: "s", Weight: 1}}}

// waitsFixture returns a runner whose only job is open, and what it logs. The part "bad" is held.
func waitsFixture() (*runner, *openJob, *bytes.Buffer) {
	out := &bytes.Buffer{}
	guard := quarantinetest.NewGuardWithProbe(func(context.Context, catalog.Backend, bool) error { return nil })
	guard.PeerHeld([]string{"bad"})
	s := &Service{opts: Options{
		Quarantine: guard, Logger: log.New(out), Memory: intake.Unbounded(),
		Backends:    func(string) []catalog.Backend { return nil },
		PromptParts: func(header map[string]string) []string { return strings.Fields(header["parts"]) },
	}}
	s.table = newTable(time.Now, func(string, *summary) {}, func(keyedlog.Partition, keyedlog.Record, error) {})
	s.shards = []*shard{newShard(s, 0)}
	s.runner = newRunner(s)
	j := &openJob{id: "j", job: &summary{Route: "r", Tokens: []int64{1}}, content: []Item{{ID: "i0"}}, route: waitsRoute, items: []int{0}, due: time.Now().Add(time.Hour)}
	return s.runner, j, out
}

// TestEachItemThatIsNotStartedHasAReason guards against open items of which nothing says why they have no run.
func TestEachItemThatIsNotStartedHasAReason(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		prepare func(r *runner, j *openJob, p *pass)
		want    WaitReason
	}{
		{"held", func(_ *runner, j *openJob, _ *pass) { j.content[0].Header = map[string]string{"parts": "bad"} }, WaitHeld},
		{"held, then its service is full", func(r *runner, j *openJob, p *pass) {
			r.runFor(*j, 0).wait = WaitHeld
			p.full["s"] = WaitNoSlot
		}, WaitHeld},
		{"retry delay", func(r *runner, j *openJob, _ *pass) { r.runFor(*j, 0).notBefore = now.Add(time.Second) }, WaitRetryDelay},
		{"result", func(r *runner, j *openJob, _ *pass) { r.runFor(*j, 0).result = &Result{} }, WaitResultPending},
		{"runs", func(r *runner, j *openJob, _ *pass) { r.runFor(*j, 0).backend = "b" }, notWaiting},
		{"service full, never looked at", func(_ *runner, _ *openJob, p *pass) { p.full["s"] = WaitNoSlot }, WaitNoSlot},
		{"service waits for a gap", func(_ *runner, _ *openJob, p *pass) { p.full["s"] = WaitGap }, WaitGap},
		{"run limit", func(r *runner, _ *openJob, _ *pass) { r.maxRuns = 0 }, WaitRunLimit},
		{"another service is full", func(r *runner, _ *openJob, p *pass) { p.full["t"], r.maxRuns = WaitGap, 0 }, WaitRunLimit},
		{"one of two services is full", func(r *runner, j *openJob, p *pass) {
			j.route = &catalog.Route{Name: "r", Splits: []catalog.Split{{Service: "s", Weight: 1}, {Service: "t", Weight: 0}}}
			p.full["s"] = WaitGap
		}, WaitGap},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, j, _ := waitsFixture()
			passes := [...]*pass{newPass(true, nil), newPass(false, nil)}
			for i := range passes {
				c.prepare(r, j, passes[i])
			}
			r.cycles++
			for _, p := range passes {
				r.startItems(t.Context(), *j, p, now)
			}
			assert.Equal(t, r.waitOf(j, 0, r.runs[itemRef{"j", 0}], passes, now), c.want)
		})
	}
}

func TestEachSearchWithoutServerHasAReason(t *testing.T) {
	for s, want := range map[search]WaitReason{slotFound: notWaiting, waitsForOrigin: WaitOrigin, waitsForGap: WaitGap, noSlot: WaitNoSlot} {
		assert.Equal(t, s.reason(), want)
	}
}

// ownAll makes the runner's process the owner of its shard.
func ownAll(r *runner) {
	r.s.shards[0].phase = owning
	r.s.shards[0].owns.Store(true)
}

// addJob adds an accepted job with two items to the table, with the content of the first ones only.
func addJob(r *runner, id string, content int) {
	e := r.s.table.entry(id)
	e.job = &summary{Route: "r", Tokens: []int64{1, 1}}
	for i := range content {
		e.items = append(e.items, Item{ID: fmt.Sprint(id, "-", i)})
	}
}

func TestSurveyCountsItemsThatHaveNoContentNoRouteOrOnlyAResult(t *testing.T) {
	r, j, _ := waitsFixture()
	ownAll(r)
	addJob(r, "unread", 0)
	addJob(r, "part", 1)
	addJob(r, "whole", 2)
	now := time.Now()
	given := r.runFor(*j, 0)
	given.result = &Result{}
	running := &run{ref: itemRef{"whole", 0}, backend: "b", began: now.Add(-time.Second)}
	r.runs[running.ref] = running
	r.surveyWaits(nil, r.s.table.openJobs(func(id string) bool { return id == "whole" }), [2]*pass{}, now)
	w := r.s.Work()
	for _, reason := range WaitReasons() {
		want := map[WaitReason]int{WaitNoContent: 3, WaitNoRoute: 1, WaitResultPending: 1}[reason]
		assert.Equal(t, w.Waiting(reason), want, "%s", reason)
		assert.Equal(t, w.OldestSince(reason).IsZero(), want == 0, "%s", reason)
	}
	assert.Equal(t, w.Runs, 1)
	assert.Assert(t, w.OldestEvent.Equal(running.began))
	assert.Equal(t, w.OwnedShards, 1)
}

// linesOf returns the ages in seconds at which a survey every half second logs a line for an item, whose reason
// a function gives.
func linesOf(seconds float64, reasonAt func(age time.Duration) WaitReason) []float64 {
	var ages []float64
	w := newWaits()
	begin := time.Now()
	for age := time.Duration(0); age.Seconds() <= seconds; age += surveyInterval {
		now := begin.Add(age)
		w.begin(now)
		if reason := reasonAt(age); reason != notWaiting {
			if wait, due := w.found(itemRef{"j", 0}, reason, now); due {
				w.propose(waitLine{ref: itemRef{"j", 0}, wait: wait})
			}
		}
		w.takeLines(now, func(waitLine) { ages = append(ages, age.Seconds()) })
		w.end()
	}
	return ages
}

func TestLinesOfAWaitComeAtDoublingAges(t *testing.T) {
	for _, c := range []struct {
		name     string
		reasonAt func(age time.Duration) WaitReason
		want     []float64
	}{
		{"one reason", func(time.Duration) WaitReason { return WaitHeld }, []float64{5, 10, 20, 40}},
		{"two in turn", func(age time.Duration) WaitReason { return []WaitReason{WaitGap, WaitNoSlot}[age/time.Second%2] }, []float64{5, 10, 20, 40}},
		{"another later", func(age time.Duration) WaitReason {
			return []WaitReason{WaitGap, WaitHeld, WaitHeld}[age/(22*time.Second)]
		}, []float64{5, 10, 20, 27, 32, 40, 42}},
		{"runs between", func(age time.Duration) WaitReason { return []WaitReason{WaitGap, notWaiting}[age/(4*time.Second)%2] }, nil},
	} {
		assert.DeepEqual(t, linesOf(45, c.reasonAt), c.want)
	}
}

func TestSurveyWritesTheOldestWaitsOfEachReasonOnly(t *testing.T) {
	w := newWaits()
	begin := time.Now()
	survey := func(now time.Time, items int, write func(l waitLine)) {
		w.begin(now)
		for item := range items {
			for _, reason := range []WaitReason{WaitGap, WaitHeld} {
				ref := itemRef{reason.String(), item}
				if wait, due := w.found(ref, reason, now); due {
					w.propose(waitLine{ref: ref, wait: wait})
				}
			}
		}
		w.takeLines(now, write)
		w.end()
	}
	// One more item of each reason waits with each millisecond.
	for i := range 50 {
		w.surveyed = time.Time{}
		survey(begin.Add(time.Duration(i)*time.Millisecond), i+1, func(waitLine) { t.Error("a line before its time") })
	}
	for round := range 3 {
		var got []string
		survey(begin.Add(firstWaitLine+time.Second*time.Duration(round+1)), 50, func(l waitLine) { got = append(got, fmt.Sprint(l.ref.job, l.ref.item)) })
		slices.Sort(got)
		first, second := fmt.Sprint(2*round), fmt.Sprint(2*round+1)
		assert.DeepEqual(t, got, []string{"gap" + first, "gap" + second, "held" + first, "held" + second})
	}
	work := w.published()
	assert.Equal(t, work.Waiting(WaitHeld), 50)
	assert.Assert(t, work.OldestSince(WaitHeld).Equal(begin))
}

func TestLineOfAHeldItemNamesItsSuspect(t *testing.T) {
	r, j, out := waitsFixture()
	j.content[0].Header = map[string]string{"parts": "good bad"}
	begin := time.Now()
	for age := time.Duration(0); age <= firstWaitLine; age += surveyInterval {
		passes := [...]*pass{newPass(true, nil), newPass(false, nil)}
		r.cycles++
		for _, p := range passes {
			r.startItems(t.Context(), *j, p, begin.Add(age))
		}
		r.surveyWaits([]openJob{*j}, nil, passes, begin.Add(age))
	}
	assert.Equal(t, strings.Count(out.String(), "item_waits"), 1, "%s", out)
	for _, field := range []string{"event=317", "job=j ", "item=0", "shard=0", "reason=held", "for=5s", "idle=5s", "request=i0", "route=r", "events=0", "suspect=bad", "due_in=", "items=1"} {
		assert.Assert(t, strings.Contains(out.String(), field), "%s is missing in %s", field, out)
	}
}

// TestRunThatReceivesNothingIsLogged guards against a run that the process believes to be at work and is not.
func TestRunThatReceivesNothingIsLogged(t *testing.T) {
	r, _, out := waitsFixture()
	begin := time.Now()
	u := &run{ref: itemRef{"j", 0}, backend: "b", request: "i0", route: "r"}
	u.beginRun(begin)
	u.lastEvent.Store(int64(3 * time.Second))
	r.runs[u.ref] = u
	for age := time.Duration(0); age <= 13*time.Second; age += surveyInterval {
		r.surveyWaits(nil, nil, [2]*pass{}, begin.Add(age))
	}
	assert.Equal(t, strings.Count(out.String(), "reason=silent_run"), 2, "%s", out)
	assert.Assert(t, strings.Contains(out.String(), "for=10s") && strings.Contains(out.String(), "backend=b"), "%s", out)
	u.lastEvent.Store(int64(14 * time.Second))
	r.surveyWaits(nil, nil, [2]*pass{}, begin.Add(15*time.Second))
	assert.Equal(t, len(r.waits.items), 0)
}

func TestSurveyOfItemsThatWaitAllocatesNothingPerItem(t *testing.T) {
	w := newWaits()
	now := time.Now()
	observe := func() {
		now = now.Add(surveyInterval)
		w.begin(now)
		for i := range 1000 {
			if wait, due := w.found(itemRef{"j", i}, WaitGap, now); due {
				w.propose(waitLine{ref: itemRef{"j", i}, wait: wait})
			}
		}
		w.takeLines(now, func(waitLine) {})
		w.end()
	}
	for range 20 {
		observe()
	}
	allocs := testing.AllocsPerRun(20, observe)
	assert.Assert(t, allocs < 10, "%v", allocs)
}
