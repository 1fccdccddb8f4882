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

func TestJobCompletesAfterAcknowledgingEntryIsKilled(t *testing.T) {
	r := newTestRound(t, Plan{})
	close(r.faultsEnded)
	close(r.expired)
	op := Op{Kind: Batch, ID: "ack", Items: 30, Tokens: 20, Strike: NoStrike}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	rec := JobRecord{Op: op}
	q := r.jobRequest(op, file)
	got, ok := r.retryUntil(t.Context(), q, http.StatusOK)
	assert.Assert(t, ok)
	got.entry.Kill()
	id := apiObject{}.idOf(got.body)
	rec.IDs = append(rec.IDs, id)
	r.submit(t.Context(), op, file, &rec)
	for _, n := range r.cluster.Entries {
		if n != got.entry {
			r.awaitJob(t.Context(), op, id, &rec)
			break
		}
	}
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "completed")
	r.checkHistory(t)
}

func TestJobCompletesDespiteLogOutage(t *testing.T) {
	r := newTestRound(t, Plan{})
	close(r.faultsEnded)
	close(r.expired)
	op := Op{Kind: Batch, ID: "outage", Items: 40, Tokens: 40, Poison: map[int]string{7: standin.PoisonCrash, 9: standin.PoisonRefused}}
	rec := JobRecord{Op: op}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	eventually(t, "items to run", func() bool { return r.countGenerations() > 3 })
	r.log.update(func(l *standin.LogFaults) { l.Down = true })
	before := r.countGenerations()
	eventually(t, "items to run during the outage", func() bool { return r.countGenerations() > before })
	r.log.update(func(l *standin.LogFaults) { l.Down = false })
	r.awaitJob(t.Context(), op, id, &rec)
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "completed")
	r.checkHistory(t)
}

// TestJobIsCreatedOnceWhenAppendResponseIsMissing submits a job while appends take effect
// without a response, or late after a retry. Only one job may exist in the end.
func TestJobIsCreatedOnceWhenAppendResponseIsMissing(t *testing.T) {
	for name, faults := range map[string]standin.LogFaults{
		"dropped response": {DropResponses: 2},
		"delayed append":   {ApplyLate: 2, LateMS: 300},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRound(t, Plan{})
			close(r.faultsEnded)
			close(r.expired)
			op := Op{Kind: Batch, ID: "unanswered", Items: 5, Tokens: 5}
			file, ok := r.upload(t.Context(), op)
			assert.Assert(t, ok)
			r.log.update(func(l *standin.LogFaults) { *l = faults })
			rec := JobRecord{Op: op}
			id, ok := r.submit(t.Context(), op, file, &rec)
			assert.Assert(t, ok)
			r.submit(t.Context(), op, file, &rec)
			r.awaitJob(t.Context(), op, id, &rec)
			r.history.Jobs = append(r.history.Jobs, rec)
			r.checkHistory(t)
			list := r.do(t.Context(), request{method: http.MethodGet, path: "/v1/batches", workspace: op.Workspace})
			assert.Equal(t, strings.Count(list.body, `"object":"batch"`), 1, list.body)
		})
	}
}

func TestCancelledJobStops(t *testing.T) {
	r := newTestRound(t, Plan{})
	close(r.faultsEnded)
	close(r.expired)
	op := Op{Kind: Batch, ID: "cancel", Items: 400, Tokens: 60, CancelAfter: 1}
	rec := JobRecord{Op: op}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	eventually(t, "items to run", func() bool { return r.countGenerations() > 3 })
	r.cancelJob(t.Context(), op, id, &rec)
	assert.Assert(t, !rec.CancelAcked.IsZero(), "%+v", rec)
	r.awaitJob(t.Context(), op, id, &rec)
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "cancelled")
	assert.Assert(t, r.countGenerations() < op.Items)
	r.checkHistory(t)
}

// TestJobWaitsForTheConfiguration restarts every entry while the configuration can't
// be read and a job awaits its validation. Entries that have no services yet must not
// reject the job.
func TestJobWaitsForTheConfiguration(t *testing.T) {
	t.Parallel()
	r := newTestRound(t, Plan{})
	close(r.faultsEnded)
	close(r.expired)
	op := Op{Kind: Batch, ID: "early", Items: 5, Tokens: 5}
	rec := JobRecord{Op: op}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	const slow = 1000 * time.Millisecond
	r.log.update(func(l *standin.LogFaults) { l.DelayMS = int(slow.Milliseconds()) })
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	// From here on, no append of the entries takes effect.
	r.log.update(func(l *standin.LogFaults) { l.Down = true })
	for _, n := range r.cluster.Entries {
		n.Kill()
	}
	delay.Wait(t.Context(), 2*slow)
	r.log.update(func(l *standin.LogFaults) { *l = standin.LogFaults{DownStream: desired.Stream} })
	for _, n := range r.cluster.Entries {
		assert.NilError(t, n.Start())
	}
	delay.Wait(t.Context(), 2*slow) // time in which an entry might validate the job too early
	r.log.update(func(l *standin.LogFaults) { *l = standin.LogFaults{} })
	for _, n := range r.cluster.Entries {
		assert.NilError(t, n.WaitReady())
	}
	r.awaitJob(t.Context(), op, id, &rec)
	r.history.Jobs = append(r.history.Jobs, rec)
	assert.Equal(t, rec.Final.Status, "completed")
	r.checkHistory(t)
}

// TestNonIdempotentItemsRunAtMostOnce kills the plain service's instances, or all entries,
// while the items of a job call the service. Each item runs at most once, and the job ends
// although killed entries held the items' keys.
func TestNonIdempotentItemsRunAtMostOnce(t *testing.T) {
	for name, nodes := range map[string]func(*Round) []*proctest.Node{
		"service killed": func(r *Round) []*proctest.Node { return r.cluster.Plain },
		"entries killed": func(r *Round) []*proctest.Node { return r.cluster.Entries },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestRound(t, Plan{})
			op := Op{Kind: Batch, ID: "calls", Items: 40, Calls: true, Delay: 300 * time.Millisecond}
			var job sync.WaitGroup
			job.Go(func() { r.runOp(t.Context(), op) })
			eventually(t, "items to run", func() bool {
				return len(r.backendHistory().Executions[0])+len(r.backendHistory().Executions[1]) > 4
			})
			for _, n := range nodes(r) {
				n.Kill()
			}
			for _, n := range nodes(r) {
				assert.NilError(t, n.Start())
				assert.NilError(t, r.awaitRegistered(n))
			}
			close(r.faultsEnded)
			close(r.expired)
			job.Wait()
			assert.Equal(t, r.history.Jobs[0].Final.Status, "completed")
			r.checkHistory(t)
		})
	}
}
