package gatewayd_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/gatewayd"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const config = `{"Version":3,"Routes":[
	{"Name":"s","Host":"h.example","PathPrefix":"/stream/","RouteType":"stream","TimeoutMs":5000,"TargetLatencyMs":300,"Service":"svc","MaxAttempts":2,"Resumable":true},
	{"Name":"c","Host":"h.example","PathPrefix":"/call/","RouteType":"unsafe","TimeoutMs":2000,"TargetLatencyMs":200,"Service":"svc","MaxAttempts":1},
	{"Name":"p","Host":"h.example","PathPrefix":"/safe/","RouteType":"safe","TimeoutMs":2000,"TargetLatencyMs":200,"Service":"svc","MaxAttempts":3},
	{"Name":"b","Host":"h.example","PathPrefix":"/batch/","RouteType":"batch","TargetLatencyMs":400,"CompletionTargetMs":18000,"RetentionS":60,"Service":"svc","MaxAttempts":3,"Cap":100000}],
	"Services":[{"Name":"svc","HealthPath":"/health","MaxConnections":100}],"Limits":{"MaxBodyBytes":1048576}}`

// deployment is a store, backend servers and gateways on the loopback interface.
type deployment struct {
	t        *testing.T
	store    *platformtest.Store
	backends []*platformtest.Backend
}

func newDeployment(t *testing.T, backends int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: platformtest.NewStore(t)}
	d.write(platform.ConfigTopic, platform.ConfigKey, config)
	for i := range backends {
		d.addBackend(fmt.Sprint("i-", i), "v1")
	}
	return d
}

// addBackend starts and registers a backend server.
func (d *deployment) addBackend(id, version string) *platformtest.Backend {
	d.t.Helper()
	b := platformtest.NewBackend(d.t, id)
	b.Version = version
	d.backends = append(d.backends, b)
	d.write(platform.BackendTopic, b.ID, fmt.Sprintf(
		`{"Service":"svc","Address":"%s","Zone":"z","Version":"%s","Slots":4,"State":"ready","ColdRemainingMs":0,"Seq":1,"born":%d}`, b.Address, version, b.Born))
	return b
}

func (d *deployment) write(topic, key, value string) {
	d.t.Helper()
	record := keyedlog.Record{Key: key, Value: []byte(value)}
	_, err := d.store.Log.Append(d.t.Context(), keyedlog.Partition{Topic: topic}, []keyedlog.Record{record}, keyedlog.Condition{})
	assert.NilError(d.t, err)
}

// gateway is a running gateway.
type gateway struct {
	address, ready, peers, metrics string

	stop context.CancelFunc
	done chan error
}

// freePorts returns ports that were free at the time of the call. They are below those that the
// system assigns to other listeners and to connections, so that no other process takes them meanwhile.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	const minPort, maxPort, tries = 12000, 32000, 1000
	var ports []int
	for range tries {
		if len(ports) == n {
			return ports
		}
		port := minPort + rand.N(maxPort-minPort)
		ln, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue // it is in use
		}
		ports = append(ports, port)
		defer func() { _ = ln.Close() }()
	}
	t.Fatalf("%d of %d ports are free", len(ports), n)
	return nil
}

func (d *deployment) start(name string) *gateway {
	d.t.Helper()
	return d.startWith(name, d.logOnFailure(name), func(*platform.Settings) {})
}

// logOnFailure returns a writer for the log of a gateway, whose lines on failures are shown if the
// test fails.
func (d *deployment) logOnFailure(name string) io.Writer {
	lines := &lockedBuffer{}
	d.t.Cleanup(func() {
		if !d.t.Failed() {
			return
		}
		for line := range strings.Lines(lines.String()) {
			if strings.Contains(line, "level=warn") || strings.Contains(line, "request_retried") || strings.Contains(line, "request_refused") {
				d.t.Logf("%s: %s", name, line)
			}
		}
	})
	return lines
}

// startWith starts a gateway whose settings are changed by change and whose log goes to out.
func (d *deployment) startWith(name string, out io.Writer, change func(*platform.Settings)) *gateway {
	d.t.Helper()
	ports := freePorts(d.t, 4)
	s := platform.Settings{
		Instance: name, Zone: "z", Region: "r", RegionOf: map[string]string{"z": "r"}, IP: "127.0.0.1",
		CallerAddress: fmt.Sprint("127.0.0.1:", ports[0]), ReadyAddress: fmt.Sprint("127.0.0.1:", ports[1]),
		FirstPort: ports[2], LastPort: ports[2], MetricsPort: ports[3],
		Grace: 6 * time.Second, DrainTime: time.Second, JobRetention: time.Hour,
		Store: platform.StoreSettings{Address: d.store.Address, Partitions: 4, RecordBytes: 100000, CallBytes: 400000, MinTTL: 100 * time.Millisecond},
	}
	change(&s)
	sink := event.NewSink(out)
	daemon, err := gatewayd.New(s, log.NewWithOptions(sink, log.Options{Level: log.DebugLevel}), sink)
	assert.NilError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{address: s.CallerAddress, ready: s.ReadyAddress, stop: cancel, done: make(chan error, 1)}
	g.peers, g.metrics = fmt.Sprint("127.0.0.1:", s.FirstPort), fmt.Sprint("127.0.0.1:", s.MetricsPort)
	go func() { g.done <- daemon.Run(ctx) }()
	d.t.Cleanup(func() { cancel() })
	g.waitReady(d.t, http.StatusOK)
	return g
}

func (g *gateway) waitReady(t *testing.T, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + g.ready + platform.ReadyPath)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == want {
			return poll.Success()
		}
		return poll.Continue("status %d", resp.StatusCode)
	})
}

// send makes a request with the host h.example.
func (g *gateway) send(t *testing.T, method, path, id, body string) (*http.Response, string) {
	t.Helper()
	return g.sendAs(t, "", method, path, id, body)
}

// sendAs makes a request of an account.
func (g *gateway) sendAs(t *testing.T, account, method, path, id, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+g.address+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	if account != "" {
		req.Header.Set("Authorization", account)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(raw)
}

func batchJob(items int) string {
	type item struct {
		ID      string `json:"Id"`
		Path    string
		Headers map[string]string
		Body    string
		Tokens  int
	}
	var list []item
	for i := range items {
		list = append(list, item{fmt.Sprint("item-", i), fmt.Sprint("/batch/", i), map[string]string{"Model": "m"}, base64.StdEncoding.EncodeToString([]byte("body")), 10})
	}
	raw, _ := json.Marshal(map[string]any{"Items": list}) // can't fail for these types
	return string(raw)
}

type listing struct {
	Total, Next int
	Results     []struct{ ID, State, Text string }
}

func (g *gateway) results(t *testing.T, job string, want int) listing {
	t.Helper()
	var l listing
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, body := g.send(t, http.MethodGet, "/api/lots/"+job+"?After=0", "read", "")
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("status %d: %s", resp.StatusCode, body)
		}
		assert.NilError(t, json.Unmarshal([]byte(body), &l))
		if len(l.Results) < want {
			return poll.Continue("%d of %d results are listed", len(l.Results), want)
		}
		return poll.Success()
	}, poll.WithTimeout(15*time.Second))
	return l
}

func TestRequestsAndJobsEndToEnd(t *testing.T) {
	d := newDeployment(t, 2)
	a, b := d.start("a"), d.start("b")

	resp, body := a.send(t, http.MethodPost, "/stream/1", "r1", "x")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data: r1-"), 5)
	assert.Assert(t, strings.HasPrefix(resp.Header.Get("Response-Stamp"), "i-"))

	resp, body = b.send(t, http.MethodPost, "/call/1", "r2", "x")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "answer r2")

	resp, _ = b.send(t, http.MethodPost, "/nowhere/", "r3", "x")
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)

	resp, _ = a.send(t, http.MethodPost, "/batch/j", "job-1", batchJob(6))
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	resp, _ = b.send(t, http.MethodPost, "/batch/j", "job-1", batchJob(6))
	assert.Equal(t, resp.StatusCode, http.StatusAccepted)
	l := b.results(t, "job-1", 6)
	assert.Equal(t, l.Total, 6)
	for _, r := range l.Results {
		assert.Equal(t, r.State, "completed")
		assert.Equal(t, strings.Count(r.Text, "\n"), 4)
	}
	resp, body = a.send(t, http.MethodGet, "/api/items/job-1?Id=item-0", "read", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "body")
	for range 2 {
		resp, _ = a.send(t, http.MethodDelete, "/api/lots/job-1", "end", "")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	resp, _ = a.send(t, http.MethodGet, "/api/lots/none?After=0", "read", "")
	assert.Equal(t, resp.StatusCode, http.StatusNotFound)
}

func TestInvalidSubmissionsAreRejected(t *testing.T) {
	g := newDeployment(t, 1).start("a")
	for name, body := range map[string]string{
		"no json":   "{",
		"no items":  `{"Items":[]}`,
		"too many":  batchJob(201),
		"same ids":  `{"Items":[{"Id":"a","Path":"/batch/1"},{"Id":"a","Path":"/batch/2"}]}`,
		"tokens":    `{"Items":[{"Id":"a","Path":"/batch/1","Tokens":-5}]}`,
		"no path":   `{"Items":[{"Id":"a"}]}`,
		"bad body":  `{"Items":[{"Id":"a","Path":"/batch/1","Body":"%"}]}`,
		"no object": `[]`,
	} {
		resp, _ := g.send(t, http.MethodPost, "/batch/j", "j-"+name, body)
		assert.Equal(t, resp.StatusCode, http.StatusBadRequest, name)
	}
	resp, _ := g.send(t, http.MethodPost, "/batch/j", strings.Repeat("%", 80), batchJob(1))
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	resp, _ = g.send(t, http.MethodPost, "/batch/j", "big", strings.Repeat("x", 2<<20))
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	resp, _ = g.send(t, http.MethodPost, "/batch/j", "many-tokens", strings.ReplaceAll(batchJob(2), `"Tokens":10`, `"Tokens":90000`))
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
}

func TestStopCompletesRunningRequests(t *testing.T) {
	d := newDeployment(t, 1)
	d.backends[0].Events, d.backends[0].EventInterval = 40, 25*time.Millisecond
	g := d.start("a")
	answered := make(chan string, 1)
	go func() {
		_, body := g.send(t, http.MethodPost, "/stream/1", "r1", "x")
		answered <- body
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.backends[0].Runs("r1") > 0 {
			return poll.Success()
		}
		return poll.Continue("the request has not started")
	})
	g.stop()
	g.waitReady(t, http.StatusServiceUnavailable)
	resp, _ := g.send(t, http.MethodPost, "/call/2", "r2", "x")
	assert.Equal(t, resp.StatusCode, http.StatusOK, "requests that still arrive are served")
	assert.Assert(t, resp.Close, "the response closes the connection")
	assert.Equal(t, strings.Count(<-answered, "data: "), 40)
	assert.NilError(t, <-g.done)
}
