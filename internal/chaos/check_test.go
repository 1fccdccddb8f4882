package chaos

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

var epoch = time.Now()

// at returns a time in a synthetic history, in seconds from its start.
func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func execution(id, send string, s float64) standin.Execution {
	return standin.Execution{Method: "POST", Path: "/bookings", Body: id, Send: send, At: at(s)}
}

func chatRecord(body string) Record {
	return Record{Op: Op{Kind: ChatStream, ID: "r", Tokens: 3}, SendID: "r", Start: at(0), End: at(1), Status: 200, Complete: true, Body: body}
}

func jobRecord(results string) JobRecord {
	return JobRecord{
		Op: Op{Kind: Batch, ID: "b", Items: 1, Tokens: 2}, IDs: []string{"x"}, Acked: at(0),
		Final: Job{Status: "completed"}, Outputs: []Output{{Results: results}},
	}
}

func resultJSON(text string) string {
	return fmt.Sprintf(`{"custom_id":"i0","response":{"status_code":200,"body":{"choices":[{"message":{"content":%q}}]}}}`+"\n", text)
}

// TestCheckerFinds passes the checker histories that each violate one guarantee.
func TestCheckerFinds(t *testing.T) {
	post := Op{Kind: Post, ID: "p"}
	keyed := Op{Kind: KeyedPost, ID: "k"}
	good := resultJSON(echo(prompt("b-i0"), 2))
	for name, c := range map[string]struct {
		want     Breach
		plan     Plan
		history  *History
		backends BackendHistory
	}{
		"call executed twice": {
			want: Duplicate, plan: Plan{Ops: []Op{post}},
			backends: BackendHistory{Executions: [][]standin.Execution{{execution("p", "p", 0)}, {execution("p", "p", 1)}}},
		},
		"two results under one key": {
			want: Duplicate, plan: Plan{Ops: []Op{keyed}},
			history: &History{Records: []Record{
				{Op: keyed, SendID: "k/0", Start: at(0), End: at(1), Complete: true, Body: `{"path":"/bookings","body":"k","serial":1}`},
				{Op: keyed, SendID: "k/1", Start: at(2), End: at(3), Complete: true, Body: `{"path":"/bookings","body":"k","serial":2}`},
			}},
			backends: BackendHistory{Executions: [][]standin.Execution{{execution("k", "k/0", 0)}}},
		},
		"executed call returned not_run": {
			want:     FalseNotRun,
			history:  &History{Records: []Record{{Op: post, SendID: "p", Start: at(0), End: at(1), Outcome: errkind.NotRun}}},
			backends: BackendHistory{Executions: [][]standin.Execution{{execution("p", "p", 0)}}},
		},
		"retry returned not_run after an execution": {
			want:     FalseNotRun,
			history:  &History{Records: []Record{{Op: keyed, SendID: "k/1", Start: at(2), End: at(3), Outcome: errkind.NotRun}}},
			backends: BackendHistory{Executions: [][]standin.Execution{{execution("k", "k/0", 1)}}},
		},
		"truncated stream marked complete":     {want: WrongResponse, history: &History{Records: []Record{chatRecord("r-a r-b ")}}},
		"repeated token":                       {want: WrongResponse, history: &History{Records: []Record{chatRecord("r-a r-a r-b r-c ")}}},
		"response of another request":          {want: WrongResponse, history: &History{Records: []Record{chatRecord(echo(prompt("q"), 3))}}},
		"response without an execution":        {want: WrongResponse, history: &History{Records: []Record{{Op: post, SendID: "p", Complete: true, Body: `{"path":"/bookings","body":"p"}`}}}},
		"item without a result":                {want: Lost, history: &History{Jobs: []JobRecord{jobRecord("")}}},
		"item with two results":                {want: Duplicate, history: &History{Jobs: []JobRecord{jobRecord(good + good)}}},
		"item with the result of another item": {want: WrongResponse, history: &History{Jobs: []JobRecord{jobRecord(resultJSON("x"))}}},
		"accepted job not found":               {want: Lost, history: &History{Jobs: []JobRecord{{Err: "gone"}}}},
		"two jobs for one submission":          {want: Duplicate, history: &History{Jobs: []JobRecord{{IDs: []string{"x", "y"}}}}},
		"entries return different results": {want: Duplicate, history: &History{Jobs: []JobRecord{
			{Final: Job{Status: "completed"}, Outputs: []Output{{}, {Results: "x"}}},
		}}},
		"item started after a cancel": {
			want:     RanAfterCancel,
			history:  &History{Jobs: []JobRecord{{Op: Op{ID: "b", Items: 1}, CancelAcked: at(0), Final: Job{Status: "cancelled"}}}},
			backends: BackendHistory{Generations: [][]standin.Generation{{{Prompt: prompt("b-i0"), At: at(3)}}}},
		},
		"cross-workspace read": {want: CrossWorkspaceRead, history: &History{CrossAccesses: []CrossAccess{{Request: "GET", Status: 200}}}},
		"stored reply not found": {
			want: Lost, history: &History{Rereads: []Reread{{Want: "x", Status: 404}}},
		},
		"work at a draining backend server": {
			want:     WorkWhileDraining,
			history:  &History{Stops: []StopRecord{{Backend: 0, Begin: at(0), Done: at(5)}}},
			backends: BackendHistory{Generations: [][]standin.Generation{{{At: at(3)}}}},
		},
		"request interrupted by a planned stop": {
			want: Interrupted, plan: Plan{Profile: Planned},
			history: &History{Records: []Record{{Op: Op{Kind: Get}, Err: "EOF"}}},
		},
		"version decreased":         {want: ConfigurationBreach, history: &History{VersionRegressions: []string{"x"}}},
		"version in force too late": {want: ConfigurationBreach, history: &History{InForceAfter: 3 * time.Second}},
		"two accepted publications on one base": {
			want: ConfigurationBreach,
			history: &History{FirstVersion: 1, Publishes: []PublishRecord{
				{Client: 0, Start: at(0), End: at(1), Base: 1, Known: true, Accepted: true, Version: 2},
				{Client: 1, Start: at(0), End: at(1), Base: 1, Known: true, Accepted: true, Version: 3},
			}},
		},
		"request without an end": {
			want:    Hung,
			history: &History{Records: []Record{{Op: Op{Kind: Get}, Start: at(0), End: at(0).Add(callTimeout)}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if c.history == nil {
				c.history = newHistory()
			}
			v := check(c.plan, c.history, c.backends)
			assert.Assert(t, v.Count(c.want) > 0, "%+v", v.Findings)
			for _, f := range v.Findings {
				assert.Equal(t, f.Breach, c.want, f.Text)
			}
		})
	}
}

// TestCheckerAcceptsValidHistory passes the checker a history that violates no guarantee.
func TestCheckerAcceptsValidHistory(t *testing.T) {
	keyed := Op{Kind: KeyedPost, ID: "k"}
	body := `{"path":"/bookings","body":"k","serial":1}`
	h := &History{
		FirstVersion: 1,
		Records: []Record{
			chatRecord(echo(prompt("r"), 3)),
			{Op: keyed, SendID: "k/0", Start: at(0), End: at(1), Complete: true, Body: body},
			{Op: keyed, SendID: "k/1", Start: at(2), End: at(3), Complete: true, Body: body},
			{Op: Op{Kind: Post, ID: "p"}, SendID: "p", Outcome: errkind.NotRun},
		},
		Jobs: []JobRecord{jobRecord(resultJSON(echo(prompt("b-i0"), 2)))},
		Publishes: []PublishRecord{
			{Client: 0, Start: at(0), End: at(1), Base: 1, Known: true, Accepted: true, Version: 2},
			{Client: 1, Start: at(0), End: at(1), Base: 1, Known: true},
			{Client: 2, Start: at(2), End: at(3), Base: 2},
			{Client: 0, Start: at(4), End: at(5), IsRead: true, Read: 7, Known: true},
		},
	}
	v := check(Plan{Ops: []Op{keyed}}, h, BackendHistory{Executions: [][]standin.Execution{{execution("k", "k/0", 0)}}})
	assert.Assert(t, v.OK(), "%+v", v.Findings)
}

func TestPlanIsDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		assert.DeepEqual(t, NewPlan(seed), NewPlan(seed))
	}
	assert.Assert(t, NewPlan(1).FaultNames() != NewPlan(2).FaultNames())
}
