package ctl

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/quota"
)

const logText = `
12.5 front-2 time=2026-12-03T10:00:02.5Z level=warn msg=backend_ejected event=704 node=n2 backend=i-2 for=500ms
collector: n1 time=2026-12-03T10:00:02Z level=info msg=request_routed event=201 node=n1 request=r1 backend=i-1 reason=free_slot
time=2026-12-03T10:00:01Z level=info msg=backend_leaving event=702 node=n1 backend=i-1 service=s
time=2026-12-03T10:00:01Z level=info msg=backend_leaving event=702 node=n1 backend=i-9 service=s
time=2026-12-03T09:00:01Z level=info msg=backend_seen event=701 node=n1 backend=i-1 service=s
time=2026-12-03T10:00:03Z level=info msg=request_refused event=202 node=n1 request=r1 kind=backend_failed cause="read response: EOF"
time=2026-12-03T10:00:02.1Z level=info msg=request_routed event=201 node=n2 request=r2 backend=i-2
not a line
time=broken level=info msg=request_routed request=r1
`

func TestExplainPrintsLinesInTimeOrder(t *testing.T) {
	var out bytes.Buffer
	code := Tool{Stdin: strings.NewReader(logText), Stdout: &out, Stderr: &out}.Run(t.Context(), []string{"catkinrudderctl", "explain", "r1"})
	assert.Equal(t, code, ExitOK, out.String())
	assert.Equal(t, out.String(), `   -1.000s n1                     . backend_leaving backend=i-1 service=s
   +0.000s n1                   request_routed request=r1 backend=i-1 reason=free_slot
   +1.000s n1                   request_refused request=r1 kind=backend_failed cause=read response: EOF
`)
}

// TestExplainShowsWhyARequestIsBeyondItsQuota has a workspace whose owner has not answered before.
func TestExplainShowsWhyARequestIsBeyondItsQuota(t *testing.T) {
	const text = `
time=2026-12-03T10:00:00Z level=info msg=quota_unanswered event=208 node=n1 workspace=w owner=n2
time=2026-12-03T10:00:00Z level=info msg=quota_unanswered event=208 node=n1 workspace=other owner=n2
time=2026-12-03T10:00:01Z level=info msg=quota_refused event=207 node=n1 request=r1 workspace=w by=margin owner=n2 rate=5
`
	var out bytes.Buffer
	code := Tool{Stdin: strings.NewReader(text), Stdout: &out, Stderr: &out}.Run(t.Context(), []string{"catkinrudderctl", "explain", "r1"})
	assert.Equal(t, code, ExitOK, out.String())
	assert.Equal(t, out.String(), `   -1.000s n1                     . quota_unanswered workspace=w owner=n2
   +0.000s n1                   quota_refused request=r1 workspace=w by=margin owner=n2 rate=5
`)
}

// TestExplainFindsJobsOfWorkspaces asks for a job by the id that its caller chose, and for a request
// without a known key.
func TestExplainFindsJobsOfWorkspaces(t *testing.T) {
	const lines = `time=2026-12-03T10:00:01Z level=info msg=job_accepted event=303 node=n1 job=one/a%2F1 workspace=one route=b
time=2026-12-03T10:00:02Z level=info msg=job_accepted event=303 node=n1 job=one/1 workspace=one route=b
time=2026-12-03T10:00:03Z level=info msg=request_refused event=202 node=n1 request=r1 workspace="" route=b kind=unauthorized cause="unauthorized: no workspace holds the key of the request"
time=2026-12-03T10:00:02.5Z level=info msg=config_in_force event=601 node=n1 version=7 before=6 workspaces=2
`
	for id, want := range map[string]string{
		"a/1": "   +0.000s n1                   job_accepted job=one/a%2F1 workspace=one route=b\n",
		"r1": `   -0.500s n1                     . config_in_force version=7 before=6 workspaces=2
   +0.000s n1                   request_refused request=r1 workspace= route=b kind=unauthorized cause=unauthorized: no workspace holds the key of the request
`,
	} {
		var out bytes.Buffer
		code := Tool{Stdin: strings.NewReader(lines), Stdout: &out, Stderr: &out}.Run(t.Context(), []string{"catkinrudderctl", "explain", id})
		assert.Equal(t, code, ExitOK, out.String())
		assert.Equal(t, out.String(), want)
	}
}

func TestSummaryTellsQuotasFromOwnersThatDoNotAnswer(t *testing.T) {
	for by, want := range map[quota.RefusedBy]cause{quota.ByOwner: causeQuota, quota.ByDenial: causeQuota, quota.ByMargin: causeNoQuotaOwner} {
		refusal := &quota.Refusal{Workspace: "w", By: by, Owner: "n2"}
		e := requestEnd{ended: true, last: logLine{fields: map[string]string{"kind": string(errkind.RateLimited), "cause": refusal.Error()}}}
		assert.Equal(t, e.cause(nil, nil), want, by)
	}
}

func TestExplainFailsForUnknownID(t *testing.T) {
	var out bytes.Buffer
	tool := Tool{Stdin: strings.NewReader(logText), Stdout: &out, Stderr: &out}
	assert.Equal(t, tool.Run(t.Context(), []string{"catkinrudderctl", "explain", "r9"}), ExitFailed)
	assert.Equal(t, tool.Run(t.Context(), []string{"catkinrudderctl", "explain"}), ExitUsage)
}
