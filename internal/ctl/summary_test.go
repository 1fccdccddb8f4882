package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// summaryLog holds lines of three gateways: n1 loses its power and starts again, n2 is
// stopped, n3 serves on. Its second line holds lines of two processes.
const summaryLog = `
time=2026-12-03T10:00:01.0Z level=info msg=request_routed event=201 node=n1 request=done backend=i-1
time=2026-12-03T10:00:01.1Z level=info msg=request_routed event=201 node=n1 request=lost backend=i-1  3.1 n1 time=2026-12-03T10:00:01.2Z level=info msg=request_done event=204 node=n1 request=done status=200
time=2026-12-03T10:00:02.0Z level=info msg=started event=101 node=n1
time=2026-12-03T10:00:01.0Z level=info msg=request_routed event=201 node=n2 request=stopped backend=i-1
time=2026-12-03T10:00:01.5Z level=info msg=draining event=102 node=n2
time=2026-12-03T10:00:03.0Z level=info msg=started event=101 node=n2
time=2026-12-03T10:00:03.1Z level=info msg=request_routed event=201 node=n2 request=running backend=i-1
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=once kind=backend_failed cause="backend_failed: backend server i-1 gave no answer: EOF" repeatable=false
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=once2 kind=aborted cause="backend_failed: backend server i-1 broke off: EOF: gateway: response aborted" repeatable=false
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=again kind=backend_failed cause="backend_failed: backend server answered 500" repeatable=true
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=gone kind=aborted cause="cancelled: the caller has gone: gateway: response aborted" repeatable=false
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=full kind=overloaded cause="overloaded: no backend server has room" repeatable=true
time=2026-12-03T10:00:04.1Z level=info msg=request_refused event=202 node=n3 request=full2 kind=overloaded cause="overloaded: no backend server has room" repeatable=true
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=job kind=log_unavailable cause="log_unavailable: job job: the log is out of reach"
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=slow kind=timeout cause="timeout: no answer in time" repeatable=false
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=unknown workspace="" kind=unauthorized cause="unauthorized: no workspace holds the key of the request"
time=2026-12-03T10:00:04.0Z level=info msg=request_refused event=202 node=n3 request=other workspace=one job=j kind=not_found cause="not_found: no batch job j"
`

func explainSummary(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	tool := Tool{Stdin: strings.NewReader(summaryLog), Stdout: &out, Stderr: &out}
	assert.Equal(t, tool.Run(t.Context(), append([]string{"catkinrudderctl"}, args...)), ExitOK, out.String())
	return out.String()
}

func TestExplainSummaryCountsRequestsByCause(t *testing.T) {
	assert.Equal(t, explainSummary(t, "explain", "--summary"), `14 requests, 1 answered
requests  cause                                         answer           avoidable  example
2         no free slot                                  overloaded       maybe      full
1         backend server did not answer in time         timeout          maybe      slow
1         backend server failed                         backend_failed   maybe      again
1         backend server failed the only permitted run  aborted          no         once2
1         backend server failed the only permitted run  backend_failed   no         once
1         caller left                                   aborted          not owed   gone
1         no key of a workspace                         unauthorized     not owed   unknown
1         no such batch job                             not_found        not owed   other
1         process lost                                  none             no         lost
1         process stopped                               none             maybe      stopped
1         still running                                 none             not owed   running
1         store unavailable                             log_unavailable  no         job
`)
}

func TestExplainSummaryAsJSONOfSomeRequests(t *testing.T) {
	ids := filepath.Join(t.TempDir(), "ids")
	assert.NilError(t, os.WriteFile(ids, []byte("lost\n\ndone\n"), 0o600))
	var got summary
	assert.NilError(t, json.Unmarshal([]byte(explainSummary(t, "--json", "explain", "--summary", "--ids", ids)), &got))
	assert.DeepEqual(t, got, summary{Requests: 2, Answered: 1, Rows: []summaryRow{{causeProcessLost, "", avoidableNo, 1, "lost"}}})
}

func TestExplainSummaryCountsByWindow(t *testing.T) {
	out := explainSummary(t, "explain", "--summary", "--per", "2s")
	_, windows, found := strings.Cut(out, "\nfrom")
	assert.Assert(t, found, out)
	assert.Equal(t, "from"+windows, `from  requests  answered  unanswered
0s    3         1         1 process lost, 1 process stopped
2s    11        0         1 backend server did not answer in time, 1 backend server failed, 2 backend server failed the only permitted run, 1 caller left, 2 no free slot, 1 no key of a workspace, 1 no such batch job, 1 still running, 1 store unavailable
`)
}
