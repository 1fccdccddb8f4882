package chaos

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

var began = time.Now()

// at is a moment of an invented history.
func at(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }

func executed(id, send string, s float64) standin.Execution {
	return standin.Execution{Method: "POST", Path: "/bookings", Body: id, Send: send, At: at(s)}
}

func chatRecord(body string) Record {
	return Record{Op: Op{Kind: ChatStream, ID: "r", Tokens: 3}, Send: "r", Start: at(0), End: at(1), Status: 200, Whole: true, Body: body}
}

func jobRecord(results string) JobRecord {
	return JobRecord{
		Op: Op{Kind: Batch, ID: "b", Items: 1, Tokens: 2}, IDs: []string{"x"}, Acked: at(0),
		Final: Job{Status: "completed"}, Outputs: []Output{{Results: results}},
	}
}

func resultOf(text string) string {
	return fmt.Sprintf(`{"custom_id":"i0","response":{"status_code":200,"body":{"choices":[{"message":{"content":%q}}]}}}`+"\n", text)
}

// TestCheckerFinds gives the checker histories that each break one promise.
func TestCheckerFinds(t *testing.T) {
	post := Op{Kind: Post, ID: "p"}
	keyed := Op{Kind: KeyedPost, ID: "k"}
	good := resultOf(echo(prompt("b-i0"), 2))
	for name, c := range map[string]struct {
		want    Breach
		plan    Plan
		history *History
		seen    Observed
	}{
		"a call run twice": {
			want: Duplicate, plan: Plan{Ops: []Op{post}},
			seen: Observed{Executions: [][]standin.Execution{{executed("p", "p", 0)}, {executed("p", "p", 1)}}},
		},
		"two results under one key": {
			want: Duplicate, plan: Plan{Ops: []Op{keyed}},
			history: &History{Records: []Record{
				{Op: keyed, Send: "k/0", Start: at(0), End: at(1), Whole: true, Body: `{"path":"/bookings","body":"k","serial":1}`},
				{Op: keyed, Send: "k/1", Start: at(2), End: at(3), Whole: true, Body: `{"path":"/bookings","body":"k","serial":2}`},
			}},
			seen: Observed{Executions: [][]standin.Execution{{executed("k", "k/0", 0)}}},
		},
		"a call that ran and was told not_run": {
			want:    FalseNotRun,
			history: &History{Records: []Record{{Op: post, Send: "p", Start: at(0), End: at(1), Outcome: errkind.NotRun}}},
			seen:    Observed{Executions: [][]standin.Execution{{executed("p", "p", 0)}}},
		},
		"a call sent again and told not_run after it ran": {
			want:    FalseNotRun,
			history: &History{Records: []Record{{Op: keyed, Send: "k/1", Start: at(2), End: at(3), Outcome: errkind.NotRun}}},
			seen:    Observed{Executions: [][]standin.Execution{{executed("k", "k/0", 1)}}},
		},
		"a short stream marked whole":    {want: WrongAnswer, history: &History{Records: []Record{chatRecord("r-a r-b ")}}},
		"a doubled token":                {want: WrongAnswer, history: &History{Records: []Record{chatRecord("r-a r-a r-b r-c ")}}},
		"another request's answer":       {want: WrongAnswer, history: &History{Records: []Record{chatRecord(echo(prompt("q"), 3))}}},
		"a call answered and never run":  {want: WrongAnswer, history: &History{Records: []Record{{Op: post, Send: "p", Whole: true, Body: `{"path":"/bookings","body":"p"}`}}}},
		"an item without a result":       {want: Lost, history: &History{Jobs: []JobRecord{jobRecord("")}}},
		"an item with two results":       {want: Duplicate, history: &History{Jobs: []JobRecord{jobRecord(good + good)}}},
		"an item with another's result":  {want: WrongAnswer, history: &History{Jobs: []JobRecord{jobRecord(resultOf("x"))}}},
		"a job that was not found again": {want: Lost, history: &History{Jobs: []JobRecord{{Err: "gone"}}}},
		"one submission and two jobs":    {want: Duplicate, history: &History{Jobs: []JobRecord{{IDs: []string{"x", "y"}}}}},
		"entries that differ": {want: Duplicate, history: &History{Jobs: []JobRecord{
			{Final: Job{Status: "completed"}, Outputs: []Output{{}, {Results: "x"}}},
		}}},
		"an item after a cancel": {
			want:    RanAfterCancel,
			history: &History{Jobs: []JobRecord{{Op: Op{ID: "b", Items: 1}, CancelAcked: at(0), Final: Job{Status: "cancelled"}}}},
			seen:    Observed{Generations: [][]standin.Generation{{{Prompt: prompt("b-i0"), At: at(3)}}}},
		},
		"a read across workspaces": {want: CrossRead, history: &History{Foreign: []Foreign{{What: "GET", Status: 200}}}},
		"a kept reply that is gone": {
			want: Lost, history: &History{Rereads: []Reread{{Want: "x", Status: 404}}},
		},
		"work for a leaving backend server": {
			want:    WorkWhileLeaving,
			history: &History{Stops: []Stopping{{Backend: 0, Begin: at(0), Done: at(5)}}},
			seen:    Observed{Generations: [][]standin.Generation{{{At: at(3)}}}},
		},
		"a request cut off by a planned stop": {
			want: CutOff, plan: Plan{Profile: Planned},
			history: &History{Records: []Record{{Op: Op{Kind: Get}, Err: "EOF"}}},
		},
		"a version that went down":     {want: Reverted, history: &History{Reverts: []string{"x"}}},
		"a version that came too late": {want: Reverted, history: &History{InForce: 3 * time.Second}},
		"two winners on one base": {
			want: Reverted,
			history: &History{First: 1, Publishes: []PublishRecord{
				{Client: 0, Start: at(0), End: at(1), Base: 1, Known: true, Accepted: true, Version: 2},
				{Client: 1, Start: at(0), End: at(1), Base: 1, Known: true, Accepted: true, Version: 3},
			}},
		},
		"a request without an end": {
			want:    Hung,
			history: &History{Records: []Record{{Op: Op{Kind: Get}, Start: at(0), End: at(0).Add(callTimeout)}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if c.history == nil {
				c.history = newHistory()
			}
			v := check(c.plan, c.history, c.seen)
			assert.Assert(t, v.Count(c.want) > 0, "%+v", v.Findings)
			for _, f := range v.Findings {
				assert.Equal(t, f.Breach, c.want, f.Text)
			}
		})
	}
}

// TestCheckerPasses gives the checker a history in which all is well.
func TestCheckerPasses(t *testing.T) {
	keyed := Op{Kind: KeyedPost, ID: "k"}
	body := `{"path":"/bookings","body":"k","serial":1}`
	h := &History{
		First: 1,
		Records: []Record{
			chatRecord(echo(prompt("r"), 3)),
			{Op: keyed, Send: "k/0", Start: at(0), End: at(1), Whole: true, Body: body},
			{Op: keyed, Send: "k/1", Start: at(2), End: at(3), Whole: true, Body: body},
			{Op: Op{Kind: Post, ID: "p"}, Send: "p", Outcome: errkind.NotRun},
		},
		Jobs: []JobRecord{jobRecord(resultOf(echo(prompt("b-i0"), 2)))},
		Publishes: []PublishRecord{
			{Client: 0, Start: at(0), End: at(1), Base: 1, Known: true, Accepted: true, Version: 2},
			{Client: 1, Start: at(0), End: at(1), Base: 1, Known: true},
			{Client: 2, Start: at(2), End: at(3), Base: 2},
			{Client: 0, Start: at(4), End: at(5), IsRead: true, Read: 7, Known: true},
		},
	}
	v := check(Plan{Ops: []Op{keyed}}, h, Observed{Executions: [][]standin.Execution{{executed("k", "k/0", 0)}}})
	assert.Assert(t, v.OK(), "%+v", v.Findings)
}

func TestPlanIsAFunctionOfItsSeed(t *testing.T) {
	for seed := range uint64(50) {
		assert.DeepEqual(t, NewPlan(seed), NewPlan(seed))
	}
	assert.Assert(t, NewPlan(1).Faulted() != NewPlan(2).Faulted())
}
