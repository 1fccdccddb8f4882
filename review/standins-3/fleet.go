package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
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

const (
	zone    = "charlotte"
	service = "tuner-assistant"
	host    = "desk.example"
	// jobPrefix is the prefix of the batch route.
	jobPrefix = "/lists/"
	// lookPrefix is that of a route for safe requests.
	lookPrefix = "/look/"
	// bookPrefix is that of a route for requests that may run once at most.
	bookPrefix = "/book/"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	begin time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	must(err)
	return &recorder{out: bufio.NewWriter(f), begin: time.Now()}
}

func (r *recorder) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %-8s %s\n", time.Since(r.begin).Seconds(), kind, fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// gateway is one gateway process.
type gateway struct {
	name, ip, settings, log string
	binary                  string
	record                  *recorder

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	ends    int
}

// deployment is a small deployment on loopback.
type deployment struct {
	dir      string
	record   *recorder
	store    *store
	gateways []*gateway
	workers  []*worker
	memoryMB int
	// link is between the first two gateways, if the options ask for one.
	link *link
}

// options are the figures of a deployment.
type options struct {
	gateways, workers, slots, events int
	interval                         time.Duration
	memoryMB                         int
	cap                              int64
	appendTime                       time.Duration
	linked                           bool
}

func deploy(o options, rec *recorder) *deployment {
	dir, err := os.MkdirTemp("", "catkinrudder-review-")
	must(err)
	d := &deployment{dir: dir, record: rec, store: newStore(o.appendTime), memoryMB: o.memoryMB}
	d.publish(1, o)
	for i := range o.workers {
		d.workers = append(d.workers, startWorker(d.store, fmt.Sprintf("i-%d", i), service, o.slots, o.events, o.interval, rec))
	}
	binary, err := filepath.Abs("target/catkinrudder-gateway")
	must(err)
	for i := range o.gateways {
		d.gateways = append(d.gateways, d.newGateway(fmt.Sprintf("front-%s-%d", zone, i+1), freeIP(i), binary, o))
	}
	if o.linked {
		d.link = connect(d.store, d.gateways[0], d.gateways[1], [2]string{freeIP(20), freeIP(21)})
	}
	for _, g := range d.gateways {
		g.start()
	}
	return d
}

// freeIP returns a loopback address whose ports are free. It depends on the process, so that cases that run side
// by side don't share one.
func freeIP(i int) string {
	pid := os.Getpid()
	for n := 10 + i; n < 250; n += 8 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+pid/250%128, 1+pid%250, n)
		ln, err := net.Listen("tcp", ip+":9464")
		if err != nil {
			continue
		}
		_ = ln.Close()
		return ip
	}
	panic("no free loopback address")
}

// publish writes a config.
func (d *deployment) publish(version int, o options) {
	config := map[string]any{
		"Version": version,
		"Routes": []map[string]any{
			{"Name": "r-lists", "Host": host, "PathPrefix": jobPrefix, "RouteType": "batch", "TimeoutMs": 15000, "TargetLatencyMs": 400, "CompletionTargetMs": 18000, "RetentionS": 60, "MaxAttempts": 3, "Priority": 2, "Service": service, "Cap": o.cap, "SessionAffinity": true, "Resumable": true, "GapAimMs": 200},
			{"Name": "r-talk", "Host": host, "PathPrefix": "/talk/", "RouteType": "stream", "TimeoutMs": 5000, "TargetLatencyMs": 300, "Priority": 0, "Service": service, "MaxAttempts": 2, "SessionAffinity": true, "Resumable": true, "GapAimMs": 200},
			{"Name": "r-look", "Host": host, "PathPrefix": lookPrefix, "RouteType": "safe", "TimeoutMs": 2000, "TargetLatencyMs": 500, "MaxAttempts": 2, "Priority": 2, "Service": service},
			{"Name": "r-book", "Host": host, "PathPrefix": bookPrefix, "RouteType": "unsafe", "TimeoutMs": 2000, "TargetLatencyMs": 500, "MaxAttempts": 1, "Priority": 0, "Service": service},
		},
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConnections": 370, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": o.slots, "KvCapacityTokens": 101495}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	raw, err := json.Marshal(config)
	must(err)
	d.store.put("keyed.op", "config", raw)
}

func (d *deployment) newGateway(name, ip, binary string, o options) *gateway {
	g := &gateway{name: name, ip: ip, binary: binary, record: d.record, settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log")}
	text := fmt.Sprintf(`NodeName = %q
Role = "gateway"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "carolinas"
InternalPortRange = [7660,7675]
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[Zones]
charlotte = "carolinas"
[Listen]
Front = "%s:8144"
Ready = "%s:8140"
[Limits]
CpuShare = 0.8
Cores = 1
MemoryMb = %d
MaxFds = 8200
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ReuseAfterS = 2
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
parts = %d
AppendMs = 2.0
PartitionMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
RetentionS = 300
PartMb = 200
TtlMinMs = 1000
`, name, ip, zone, ip, ip, o.memoryMB, d.store.listen(name), groupPartitions)
	must(os.WriteFile(g.settings, []byte(text), 0o600))
	return g
}

// start starts the process. The platform starts it again after a short delay when it ends.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	f, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	g.cmd = exec.Command(g.binary)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINRUDDER_BOOT=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = f, f
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(g.cmd.Start())
	cmd, done := g.cmd, make(chan struct{})
	g.done = done
	g.record.add("process", "%s starts, process %d", g.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = f.Close()
		g.record.add("process", "%s ends: %v", g.name, err)
		close(done)
	}()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.add("signal", "%s to %s", s, g.name)
	_ = g.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.done
}

// restart stops the process as the platform does, and starts it again once it has ended.
func (g *gateway) restart() {
	g.signal(syscall.SIGTERM)
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	go func() {
		<-done
		time.Sleep(restartDelay)
		g.start()
	}()
}

// close ends the process for good.
func (g *gateway) close() {
	g.mu.Lock()
	g.stopped = true
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	g.record.add("signal", "%s is killed for good", g.name)
	_ = cmd.Process.Kill()
	<-done
}

// watchMemory kills the gateways that exceed their memory, as the platform does, and starts them again after a delay.
func (d *deployment) watchMemory() {
	const interval = 20 * time.Millisecond
	go func() {
		for n := 0; ; n++ {
			time.Sleep(interval)
			text := ""
			for _, g := range d.gateways {
				mb := g.residentMB()
				text += fmt.Sprintf(" %s %.0f MB", g.name, mb)
				if mb > float64(d.memoryMB) {
					d.record.add("memory", "%s has %.0f MB of %d MB and is killed by the platform", g.name, mb, d.memoryMB)
					g.kill()
					time.AfterFunc(restartDelay, g.start)
				}
			}
			if n%int(time.Second/interval) == 0 {
				d.record.add("memory", "%s", text)
			}
		}
	}()
}

// restartDelay is the delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

func (d *deployment) close() {
	for _, g := range d.gateways {
		g.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

func (g *gateway) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ip+":8140/api/ready", nil)
	must(err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready and all shards have a holder.
func (d *deployment) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, g := range d.gateways {
			all = all && g.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// residentMB returns the resident memory of the process in MB, or 0 if it has ended.
func (g *gateway) residentMB() float64 {
	g.mu.Lock()
	pid, done := g.cmd.Process.Pid, g.done
	g.mu.Unlock()
	select {
	case <-done:
		return 0
	default:
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			var kb float64
			_, _ = fmt.Sscanf(strings.TrimPrefix(line, "VmRSS:"), "%f", &kb)
			return kb / 1024
		}
	}
	return 0
}
