// Command rig plays one case of the review: it starts gateways as processes beside stand-ins for the
// platform's store, workers, operator and clients, all on loopback addresses, and checks one rule by
// what clients and workers see. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The platform's bounds that the cases use, as in the settings of the small deployments.
const (
	finishTime = 18 * time.Second
	settleTime = time.Second
	shards     = 12
	// playTime ends a case that hangs.
	playTime = 110 * time.Second
	// metricsPort is where a gateway serves its metrics, at its own address.
	metricsPort = 9464
)

// rig holds the stand-ins of one case.
type rig struct {
	ip      string
	dir     string
	trouble bool
	binary  string
	store   *store
	storeAt string
	begin   time.Time

	mu       sync.Mutex
	record   *os.File
	arrivals []arrival
	gateways []*gateway
}

// arrival is a request that a worker has begun to run.
type arrival struct {
	worker, id, method, target, body string
	at                               time.Time
	end                              string
	ended                            time.Time
}

// freeIP returns a loopback address at which the ports of a gateway are free.
func freeIP() string {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 2+rand.IntN(250))
		ln, err := net.Listen("tcp", ip+":"+strconv.Itoa(metricsPort))
		if err == nil {
			_ = ln.Close()
			return ip
		}
	}
	fail("no loopback address with free ports")
	return ""
}

func freePort(ip string) int {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// fail ends a case that can't run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	if current != nil {
		current.stopAll()
	}
	os.Exit(2)
}

var current *rig

func newRig(recordPath, binary string, trouble bool) *rig {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fail("%v", err)
	}
	r := &rig{ip: freeIP(), dir: dir, trouble: trouble, binary: binary, store: newStore(shards), begin: time.Now(), record: file}
	current = r
	r.storeAt = r.ip + ":" + strconv.Itoa(freePort(r.ip))
	ln, err := net.Listen("tcp", r.storeAt)
	if err != nil {
		fail("%v", err)
	}
	go func() { _ = http.Serve(ln, r.store) }()
	time.AfterFunc(playTime, func() { fail("it takes longer than %s", playTime) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { fail("it was ended by the signal %v", <-stop) }()
	r.note("trouble: %v", trouble)
	return r
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) arrived(worker, id string, req *http.Request, body []byte) {
	r.note("worker %s runs request %s: %s %s, %d bytes, Last-Event-Id %q", worker, id, req.Method, req.RequestURI, len(body), req.Header.Get("Last-Event-Id"))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{worker: worker, id: id, method: req.Method, target: req.RequestURI, body: string(body), at: time.Now()})
}

func (r *rig) ended(worker, id, end string) {
	r.note("worker %s: the run of %s ends: %s", worker, id, end)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.arrivals) - 1; i >= 0; i-- {
		if a := &r.arrivals[i]; a.worker == worker && a.id == id && a.end == "" {
			a.end, a.ended = end, time.Now()
			return
		}
	}
}

// runs returns the runs so far.
func (r *rig) runs() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// gateway is one process of the system under review.
type gateway struct {
	name, ip, front, ready string
	cmd                    *exec.Cmd
}

// startGateway starts a gateway by the command of the deploy file.
func (r *rig) startGateway(name string) *gateway {
	g := &gateway{name: name, ip: freeIP()}
	g.front, g.ready = g.ip+":"+strconv.Itoa(freePort(g.ip)), g.ip+":"+strconv.Itoa(freePort(g.ip))
	internal := freePort(g.ip)
	settings := fmt.Sprintf(`NodeName = %q
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = "charlotte"
Region = "carolinas"
InternalPortRange = [%d,%d]
Seeds = []
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1200
[Zones]
charlotte = "carolinas"
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = 314
MaxFds = 8200
LinkMbps = 1000.0
[Bounds]
ReuseAfterS = 2
ContactMs = 4000
AckMs = 5000
DrainMs = 3000
GraceS = 8
LossSlackMs = 200
ConfigDeadlineMs = 3000
FinishS = 18
StatusS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOvershoot = 0.1
[Platform]
Address = %q
form = "log"
parts = %d
RecordBytes = %d
CallBytes = %d
RetentionS = 300
TtlMinMs = 1000
`, name, g.ip, internal, internal, g.front, g.ready, r.storeAt, shards, recordBytes, callBytes)
	path := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		fail("%v", err)
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		fail("%v", err)
	}
	g.cmd = exec.Command(r.binary)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINRUDDER_BOOT=" + path}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		fail("%v", err)
	}
	r.mu.Lock()
	r.gateways = append(r.gateways, g)
	r.mu.Unlock()
	r.note("gateway %s starts, process %d, clients at %s", name, g.cmd.Process.Pid, g.front)
	return g
}

// awaitReady waits until all gateways report that they are ready.
func (r *rig) awaitReady() {
	for range 100 {
		ready := 0
		for _, g := range r.gateways {
			if resp, err := http.Get("http://" + g.ready + "/api/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(r.gateways) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("a gateway is not ready")
}

// stopAll ends all processes that the case has started.
func (r *rig) stopAll() {
	for _, g := range r.gateways {
		if g.cmd.Process != nil {
			_ = g.cmd.Process.Kill()
			_, _ = g.cmd.Process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// publish writes a version of the config, as the operator does.
func (r *rig) publish(version int, routes, services []map[string]any) {
	raw, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		fail("%v", err)
	}
	r.store.put("keyed.op", "config", raw)
	r.note("config %d is confirmed: %s", version, raw)
}

const host = "ficu95.example"

func batchRoute() map[string]any {
	return map[string]any{
		"Name": "r-lots", "Host": host, "PathPrefix": "/pule252/", "RouteType": "batch", "TimeoutMs": 15000, "TargetLatencyMs": 400,
		"Priority": 2, "Service": "llm", "MaxAttempts": 3, "SessionAffinity": true, "Resumable": true, "GapAimMs": 200,
		"CompletionTargetMs": 18000, "RetentionS": 60, "Cap": 1300000,
	}
}

func streamRoute() map[string]any {
	return map[string]any{
		"Name": "r-stream", "Host": host, "PathPrefix": "/lohu930/", "RouteType": "stream", "TimeoutMs": 5000, "TargetLatencyMs": 300,
		"Priority": 0, "Service": "llm", "MaxAttempts": 2, "SessionAffinity": true, "Resumable": true, "GapAimMs": 200,
	}
}

func llmService() map[string]any {
	return map[string]any{
		"Name": "llm", "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": 8, "KvCapacityTokens": 101495},
	}
}

// item is one item of a batch job.
type item struct {
	ID      string            `json:"Id"`
	Path    string            `json:"Path"`
	Headers map[string]string `json:"Headers"`
	Body    string            `json:"Body"`
	Tokens  int               `json:"Tokens"`
}

func newItem(id, prefix string) item {
	return item{
		ID: id, Path: "/pule252/3/" + id, Tokens: 350 + 1250, Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)),
		Headers: map[string]string{"Model": "m", "Token-Counts": "350,1250", "Prompt-Prefix": prefix},
	}
}

// call sends one request on a new connection and returns the status and the body; status is 0 if there
// was no whole answer.
func (r *rig) call(g *gateway, method, path, id string, body []byte, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.note("client: %s %s at %s: %v", method, path, g.name, err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		r.note("client: %s %s at %s: status %d, the answer breaks off: %v", method, path, g.name, resp.StatusCode, err)
		return 0, nil
	}
	r.note("client: %s %s at %s: %d, %d bytes %.160s", method, path, g.name, resp.StatusCode, len(raw), raw)
	return resp.StatusCode, raw
}

// submit sends a batch job until it is accepted.
func (r *rig) submit(g *gateway, id string, items []item) { r.submitAt(g, "/pule252/", id, items) }

// submitAt is submit on the route with the given prefix.
func (r *rig) submitAt(g *gateway, prefix, id string, items []item) {
	raw, err := json.Marshal(map[string]any{"Items": items})
	if err != nil {
		fail("%v", err)
	}
	for range 20 {
		status, _ := r.call(g, http.MethodPost, prefix+id, id, raw, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"})
		if status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	fail("batch job %s is not accepted", id)
}

// result is one listed result.
type result struct {
	ID    string `json:"Id"`
	State string
	Text  string
}

// list reads all results of a batch job. ok is false if it can't be read.
func (r *rig) list(g *gateway, id string) (total int, results []result, ok bool) {
	for {
		var listing struct {
			Total, Next int
			Results     []result
		}
		status, raw := r.call(g, http.MethodGet, fmt.Sprintf("/api/lots/%s?After=%d", id, len(results)), "", nil, nil)
		if status != http.StatusOK || json.Unmarshal(raw, &listing) != nil {
			return 0, nil, false
		}
		results = append(results, listing.Results...)
		if len(listing.Results) == 0 {
			return listing.Total, results, true
		}
	}
}

// awaitResults reads a batch job until all of its items are listed or until the deadline, and returns
// the items that are not listed.
func (r *rig) awaitResults(g *gateway, id string, items []item, deadline time.Time) (missing []string) {
	for {
		_, results, ok := r.list(g, id)
		listed := make(map[string]bool)
		for _, res := range results {
			listed[res.ID] = true
		}
		missing = nil
		for _, it := range items {
			if !listed[it.ID] {
				missing = append(missing, it.ID)
			}
		}
		if ok && len(missing) == 0 || time.Now().After(deadline) {
			return missing
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// leftLying returns those of the items that are left lying as the rule LOST says: no worker has had the
// item in the last 5 s, it has not failed at a worker in the last 20 s, and no item at all was finished in
// the last 3 s. A run that ended within a second counts neither as had nor as failed.
func (r *rig) leftLying(missing []string, now time.Time) []string {
	const had, failed, finished, shortRun = 5 * time.Second, 20 * time.Second, 3 * time.Second, time.Second
	excused := make(map[string]bool)
	for _, a := range r.runs() {
		age := now.Sub(a.ended)
		switch {
		case a.end == runComplete && age < finished:
			return nil
		case a.end == "", a.end == runComplete && age < had:
			excused[a.id] = true
		case a.end != runComplete && age < failed && a.ended.Sub(a.at) >= shortRun:
			excused[a.id] = true
		}
	}
	var lying []string
	for _, id := range missing {
		if !excused[id] {
			lying = append(lying, id)
		}
	}
	return lying
}

// finish ends the case with its verdict.
func (r *rig) finish(broken []string) {
	for _, b := range broken {
		r.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) == 0 {
		r.note("the rule held")
		fmt.Println("the rule held")
	}
	r.stopAll()
	_ = r.record.Close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD GATEWAY")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	binary, err := filepath.Abs(os.Args[3])
	if err == nil {
		_, err = os.Stat(binary)
	}
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", errors.Join(err, errors.New("case "+os.Args[1])))
		os.Exit(2)
	}
	r := newRig(os.Args[2], binary, os.Getenv("TROUBLE") != "0")
	play(r)
}
