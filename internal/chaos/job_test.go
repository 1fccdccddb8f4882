package chaos

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/standin"
)

func TestJobSurvivesTheEntryThatAcknowledgedIt(t *testing.T) {
	r := newTestRound(t, Plan{})
	close(r.healed)
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
	op := Op{Kind: Batch, ID: "outage", Items: 40, Tokens: 40, Poison: map[int]string{7: standin.PoisonCrash, 9: standin.PoisonRefused}}
	rec := JobRecord{Op: op}
	file, ok := r.upload(t.Context(), op)
	assert.Assert(t, ok)
	id, ok := r.submit(t.Context(), op, file, &rec)
	assert.Assert(t, ok)
	started := func() int {
		n := 0
		for _, list := range r.observe().Generations {
			n += len(list)
		}
		return n
	}
	eventually(t, "items run", func() bool { return started() > 3 })
	r.log.change(func(l *standin.LogFaults) { l.Down = true })
	before := started()
	eventually(t, "the outage meets items", func() bool { return started() > before })
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
		"lost answer":  {LoseAnswers: 2},
		"applied late": {ApplyLate: 2, LateMS: 300},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRound(t, Plan{})
			close(r.healed)
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
	op := Op{Kind: Batch, ID: "cancel", Items: 400, Tokens: 60, CancelAfter: 1}
	r.run(t.Context(), op)
	rec := r.history.Jobs[0]
	assert.Assert(t, !rec.CancelAcked.IsZero(), "%+v", rec)
	assert.Equal(t, rec.Final.Status, "cancelled")
	r.judge(t)
}
