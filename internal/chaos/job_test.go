package chaos

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

func TestJobSurvivesTheEntryThatAcknowledgedIt(t *testing.T) {
	r := newTestRound(t, Plan{})
	close(r.healed)
	close(r.aged)
	op := Op{Kind: Batch, ID: "ack", Items: 30, Tokens: 20, Strike: NoStrike}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	rec := JobRecord{Op: op}
	q := r.jobRequest(op, file)
	a, ok := r.until(t.Context(), q, http.StatusOK)
	assert.Assert(t, ok)
	a.via.Kill()
	id := fileObject{}.idOf(a.body)
	rec.IDs = append(rec.IDs, id)
	r.submit(t.Context(), op, file, &rec)
	for _, n := range r.cluster.Entries {
		if n != a.via {
			r.awaitJob(t.Context(), op, id, &rec)
			break
		}
	}
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "completed")
	r.judge(t)
}

func TestJobGoesOnAfterALogOutage(t *testing.T) {
	r := newTestRound(t, Plan{})
	close(r.healed)
	close(r.aged)
	op := Op{Kind: Batch, ID: "outage", Items: 40, Tokens: 40, Poison: map[int]string{7: standin.PoisonCrash, 9: standin.PoisonRefused}}
	rec := JobRecord{Op: op}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	eventually(t, "items run", func() bool { return r.generations() > 3 })
	r.log.change(func(l *standin.LogFaults) { l.Down = true })
	before := r.generations()
	eventually(t, "the outage meets items", func() bool { return r.generations() > before })
	r.log.change(func(l *standin.LogFaults) { l.Down = false })
	r.awaitJob(t.Context(), op, id, &rec)
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "completed")
	r.judge(t)
}

// TestJobCreationWhoseAppendIsNotAnswered submits a job while appends take
// effect unanswered, or late after a retry. There is one job in the end.
func TestJobCreationWhoseAppendIsNotAnswered(t *testing.T) {
	for name, faults := range map[string]standin.LogFaults{
		"lost answer":  {DropResponses: 2},
		"applied late": {ApplyLate: 2, LateMS: 300},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRound(t, Plan{})
			close(r.healed)
			close(r.aged)
			op := Op{Kind: Batch, ID: "unanswered", Items: 5, Tokens: 5}
			file, ok := r.upload(t.Context(), op)
			assert.Assert(t, ok)
			r.log.change(func(l *standin.LogFaults) { *l = faults })
			rec := JobRecord{Op: op}
			id, ok := r.submit(t.Context(), op, file, &rec)
			assert.Assert(t, ok)
			r.submit(t.Context(), op, file, &rec)
			r.awaitJob(t.Context(), op, id, &rec)
			r.history.Jobs = append(r.history.Jobs, rec)
			r.judge(t)
			list := r.do(t.Context(), request{method: http.MethodGet, path: "/v1/batches", workspace: op.Workspace})
			assert.Equal(t, strings.Count(list.body, `"object":"batch"`), 1, list.body)
		})
	}
}

func TestCancelledJobStops(t *testing.T) {
	r := newTestRound(t, Plan{})
	close(r.healed)
	close(r.aged)
	op := Op{Kind: Batch, ID: "cancel", Items: 400, Tokens: 60, CancelAfter: 1}
	rec := JobRecord{Op: op}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	eventually(t, "items run", func() bool { return r.generations() > 3 })
	r.cancelJob(t.Context(), op, id, &rec)
	assert.Assert(t, !rec.CancelAcked.IsZero(), "%+v", rec)
	r.awaitJob(t.Context(), op, id, &rec)
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "cancelled")
	assert.Assert(t, r.generations() < op.Items)
	r.judge(t)
}

// TestJobWaitsForTheConfiguration starts every entry anew while the
// configuration can't be read and a job awaits its validation. The job must
// not be judged by entries that know no service.
func TestJobWaitsForTheConfiguration(t *testing.T) {
	t.Parallel()
	r := newTestRound(t, Plan{})
	close(r.healed)
	close(r.aged)
	op := Op{Kind: Batch, ID: "early", Items: 5, Tokens: 5}
	rec := JobRecord{Op: op}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	const slow = 1000 * time.Millisecond
	r.log.change(func(l *standin.LogFaults) { l.DelayMS = int(slow.Milliseconds()) })
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	// Nothing that the entries append from here on takes effect.
	r.log.change(func(l *standin.LogFaults) { l.Down = true })
	for _, n := range r.cluster.Entries {
		n.Kill()
	}
	delay.Wait(t.Context(), 2*slow)
	r.log.change(func(l *standin.LogFaults) { *l = standin.LogFaults{DownStream: desired.Stream} })
	for _, n := range r.cluster.Entries {
		assert.NilError(t, n.Start())
	}
	delay.Wait(t.Context(), 2*slow) // time for an entry to judge the job too early
	r.log.change(func(l *standin.LogFaults) { *l = standin.LogFaults{} })
	for _, n := range r.cluster.Entries {
		assert.NilError(t, n.WaitReady())
	}
	r.awaitJob(t.Context(), op, id, &rec)
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "completed")
	r.judge(t)
}

// TestJobOfCallsThatMayNotBeRepeated loses the plain service's instances, or
// all entries, while a job's items call the service. Each item runs at most
// once, and the job ends though lost entries held the items' keys.
func TestJobOfCallsThatMayNotBeRepeated(t *testing.T) {
	for name, nodes := range map[string]func(*Round) []*proctest.Node{
		"service lost": func(r *Round) []*proctest.Node { return r.cluster.Plain },
		"entries lost": func(r *Round) []*proctest.Node { return r.cluster.Entries },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestRound(t, Plan{})
			op := Op{Kind: Batch, ID: "calls", Items: 40, Calls: true, Delay: 300 * time.Millisecond}
			var job sync.WaitGroup
			job.Go(func() { r.run(t.Context(), op) })
			eventually(t, "items run", func() bool {
				return len(r.observe().Executions[0])+len(r.observe().Executions[1]) > 4
			})
			for _, n := range nodes(r) {
				n.Kill()
			}
			for _, n := range nodes(r) {
				assert.NilError(t, n.Start())
				assert.NilError(t, r.awaitKnown(n))
			}
			close(r.healed)
			close(r.aged)
			job.Wait()
			assert.Equal(t, r.history.Jobs[0].Final.Status, "completed")
			r.judge(t)
		})
	}
}
