package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.f.WriteString(text)
	fmt.Print(text)
}

var (
	rec       *record
	processes []*gateway
	scratch   string
)

// finish ends all processes and exits.
func finish(status int) {
	for _, g := range processes {
		g.kill()
	}
	_ = os.RemoveAll(scratch)
	os.Exit(status)
}

func cannotRun(why string) {
	if rec != nil {
		rec.line("the case could not run: %s", why)
	} else {
		fmt.Println("the case could not run:", why)
	}
	finish(2)
}

// gateway is one process of the deploy file, with the settings of a front machine.
type gateway struct {
	name, ip, front, ready, settings string
	cmd                              *exec.Cmd
	done                             chan struct{}
}

const gatewayProgram = "target/catkinrudder-gateway"

// loopbackIP returns a loopback address of its own for a machine.
func loopbackIP() string {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.Intn(200), rand.Intn(250), 2+rand.Intn(250))
		if ln, err := net.Listen("tcp", ip+":9464"); err == nil {
			_ = ln.Close()
			return ip
		}
	}
	cannotRun("no free loopback address")
	return ""
}

func regionOf(zone string) string {
	if zone == "atlanta" {
		return "georgia"
	}
	return "carolinas"
}

func newGateway(name, zone, storeAddress string) *gateway {
	ip := loopbackIP()
	g := &gateway{name: name, ip: ip, front: ip + ":8144", ready: ip + ":8140", settings: filepath.Join(scratch, name+".toml")}
	text := fmt.Sprintf(`NodeName = %q
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = %q
InternalPortRange = [7660,7675]
Bootstrap = true
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[Zones]
charlotte = "carolinas"
raleigh = "carolinas"
atlanta = "georgia"
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
ContactMs = 4000
AckMs = 5000
DrainMs = 3000
GraceS = 8
LossSlackMs = 200
ConfigDeadlineMs = 3000
RecoveryS = 12
FinishS = 18
StatusS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOvershoot = 0.1
[Platform]
Address = %q
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
PartitionMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
RetentionS = 300
PartMb = 200
TtlMinMs = 1000
`, name, ip, zone, regionOf(zone), g.front, g.ready, storeAddress)
	must(os.WriteFile(g.settings, []byte(text), 0o600))
	processes = append(processes, g)
	return g
}

// setStore writes the address of the store into the settings.
func (g *gateway) setStore(address string) {
	raw, err := os.ReadFile(g.settings)
	must(err)
	must(os.WriteFile(g.settings, bytes.Replace(raw, []byte(`Address = ""`), []byte(fmt.Sprintf("Address = %q", address)), 1), 0o600))
}

func (g *gateway) start() {
	log, err := os.OpenFile(filepath.Join(scratch, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	g.cmd = exec.Command(gatewayProgram)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINRUDDER_BOOT=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	must(g.cmd.Start())
	done := make(chan struct{})
	g.done = done
	cmd := g.cmd
	go func() { _ = cmd.Wait(); close(done) }()
}

func (g *gateway) kill() {
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(syscall.SIGKILL)
		<-g.done
	}
}

// term stops the process with SIGTERM, and with SIGKILL after GraceS.
func (g *gateway) term() {
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-g.done:
	case <-time.After(8 * time.Second):
		g.kill()
	}
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	cannotRun(g.name + " is not ready")
}

// call makes one call on a new channel.
func call(method, address, path string, header map[string]string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

const (
	host        = "ficu95.example"
	batchPrefix = "/pule252/"
	service     = "huvo11a"
)

// config returns the operator's config: one batch route, one stream route.
func config(version int, retentionS float64) []byte {
	raw, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "r-batch", "Host": host, "PathPrefix": batchPrefix, "RouteType": "batch", "TimeoutMs": 15000, "TargetLatencyMs": 400, "Priority": 2, "Service": service, "MaxAttempts": 3, "SessionAffinity": true, "Resumable": true, "GapAimMs": 200, "CompletionTargetMs": 18000, "RetentionS": retentionS, "Cap": 1300000},
			{"Name": "r-stream", "Host": host, "PathPrefix": "/pufi791/", "RouteType": "stream", "TimeoutMs": 5000, "TargetLatencyMs": 300, "Priority": 0, "Service": service, "MaxAttempts": 2, "SessionAffinity": true, "Resumable": true, "GapAimMs": 200},
		},
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1", "Engine": map[string]any{"Slots": 8, "KvCapacityTokens": 101495}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	must(err)
	return raw
}

type item struct {
	ID      string `json:"Id"`
	Path    string
	Headers map[string]string
	Body    []byte
	Tokens  int64
}

type result struct {
	ID    string `json:"Id"`
	State string
	Text  string
}

type listing struct {
	Total, Next int
	Results     []result
}

// submit hands in a batch job as a client does: at one gateway after the other until a 202.
func submit(gateways []*gateway, id string, items []item) (accepted bool) {
	raw, err := json.Marshal(map[string]any{"Items": items})
	must(err)
	for try := range 4 {
		g := gateways[try%len(gateways)]
		status, _, err := call("POST", g.front, batchPrefix+id, map[string]string{"Request-Id": id, "Content-Type": "application/json", "Deadline-Ms": "4000"}, raw, 5500*time.Millisecond)
		rec.line("batch job %s (%d items, %d bytes) sent to %s: %s", id, len(items), len(raw), g.name, outcome(status, err))
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer (" + err.Error() + ")"
	}
	return fmt.Sprint(status)
}

// read reads a batch job once from a position.
func read(g *gateway, id string, after int) (l listing, status int, err error) {
	status, raw, err := call("GET", g.front, fmt.Sprintf("/api/lots/%s?After=%d", id, after), nil, nil, 4*time.Second)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(raw, &l)
	}
	return l, status, err
}

// readAll reads a batch job from the start until no result is left, at any gateway that answers, again after each failure, until end.
func readAll(gateways []*gateway, id string, end time.Time) (results []result, total int, readable bool, last string) {
	for try := 0; time.Now().Before(end); try++ {
		g := gateways[try%len(gateways)]
		l, status, err := read(g, id, len(results))
		last = fmt.Sprintf("%s at %s", outcome(status, err), g.name)
		if err != nil || status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		readable, total = true, l.Total
		results = append(results, l.Results...)
		if len(l.Results) == 0 {
			return results, total, true, last
		}
	}
	return results, total, readable, last
}

// quoteLogs writes the first log lines of the gateways that hold a text into the record.
func quoteLogs(text string, lines int) {
	for _, g := range processes {
		raw, err := os.ReadFile(filepath.Join(scratch, g.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			if lines > 0 && strings.Contains(line, text) {
				rec.line("log of %s: %s", g.name, strings.TrimSpace(line))
				lines--
			}
		}
	}
}
