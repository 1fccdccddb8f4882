package gatewayd_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// serveAll sends calls and a batch job of 8 items and waits for all results.
func (g *gateway) serveAll(t *testing.T, job string) {
	t.Helper()
	for i := range 12 {
		resp, body := g.send(t, http.MethodPost, "/safe/1", fmt.Sprint(job, "-", i), "x")
		assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", body)
	}
	resp, _ := g.send(t, http.MethodPost, "/batch/j", job, batchJob(8))
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	g.results(t, job, 8)
}

// TestBackendWithAnOddIdServes guards against an id that ends the process: items and calls run at a server whose
// id holds a quotation mark and a backslash.
func TestBackendWithAnOddIdServes(t *testing.T) {
	d := newDeployment(t, 0)
	odd := d.addBackend(`i-5"2\e`, "v1")
	d.start("a").serveAll(t, "job")
	assert.Assert(t, len(odd.Requests()) >= 20)
}

// TestEntriesOfAnotherWriterGetNoRequests guards against requests to what an odd entry names, and against entries
// that keep the gateway from following the list: a server that registers after them is used.
func TestEntriesOfAnotherWriterGetNoRequests(t *testing.T) {
	d := newDeployment(t, 1)
	foreign := platformtest.NewBackend(t, "foreign")
	for name, change := range map[string][2]string{
		"no-seq":   {`"Seq":1,`, ``},
		"no-born":  {`,"born":7`, ``},
		"no-cold":  {`"ColdRemainingMs":0,`, ``},
		"born":     {`"born":7`, `"born":1.5`},
		"seq":      {`"Seq":1`, `"Seq":1e999`},
		"cold":     {`"ColdRemainingMs":0`, `"ColdRemainingMs":1e300`},
		"models":   {`"Seq":1`, `"Seq":1,"Models":"m"`},
		"nested":   {`{`, strings.Repeat(`{"a":`, 100000)},
		"cut":      {`"Seq":1,"born":7}`, ``},
		"number":   {`"Slots":4`, `"Slots":` + strings.Repeat("9", 4000)},
		"port":     {foreign.Address, "127.0.0.1:70000"},
		`"quoted"`: {`"Seq":1,`, ``},
		"line\r\n": {`"v1"`, `"v1"`},
	} {
		if name == "number" {
			change[1] += `,"Zone":1` // a great number of slots alone is no reason to lose a server
		}
		entry := fmt.Sprintf(`{"Service":"svc","Address":"%s","Zone":"z","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Seq":1,"born":7}`, foreign.Address)
		d.write(platform.BackendTopic, name, strings.Replace(entry, change[0], change[1], 1))
	}
	lines := &lockedBuffer{}
	g := d.startWith("a", lines, func(*platform.Settings) {})
	g.serveAll(t, "first")
	late := d.addBackend("late", "v1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.send(t, http.MethodPost, "/safe/1", "again", "x")
		if len(late.Requests()) > 0 {
			return poll.Success()
		}
		return poll.Continue("the late server has no request")
	}, poll.WithTimeout(15*time.Second))
	g.serveAll(t, "second")
	assert.Equal(t, len(foreign.Requests()), 0)
	assert.Equal(t, strings.Count(lines.String(), "record_skipped"), 13, "each entry is named once")
}

// TestHugeNumberOfSlotsStopsNoItems guards against sums over slots that overflow: all servers together seem to
// have none.
func TestHugeNumberOfSlotsStopsNoItems(t *testing.T) {
	d := newDeployment(t, 2)
	b := platformtest.NewBackend(t, "huge")
	d.write(platform.BackendTopic, b.ID, fmt.Sprintf(
		`{"Service":"svc","Address":"%s","Zone":"z","Version":"v1","Slots":9223372036854775807,"State":"ready","ColdRemainingMs":0,"Seq":1,"born":%d}`, b.Address, b.Born))
	d.start("a").serveAll(t, "job")
}
