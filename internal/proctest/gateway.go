package proctest

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/platform"
)

// GatewayOptions describes the deployment that a gateway belongs to.
type GatewayOptions struct {
	// Dir receives the settings file and the log file.
	Dir          string
	StoreAddress string
	Shards       int
	// Zone is the gateway's own availability zone. RegionOf maps each zone to its region.
	Zone     string
	RegionOf map[string]string
	// MemoryMB is the process's memory limit.
	MemoryMB int
	// Grace is the time from SIGTERM to the process's exit. DrainTime is how long a
	// draining backend server still receives work. JobRetention is how long a job
	// stays readable.
	Grace, DrainTime, JobRetention time.Duration
	// Quotas bound how far the quotas of workspaces may be exceeded.
	Quotas platform.QuotaSettings
}

// Gateway is a gateway process on the platform, behind forwarders. Its process can be
// stopped and started again; name and addresses stay the same.
type Gateway struct {
	Name string
	// CallerLink forwards callers to the gateway, StoreLink the gateway to the store.
	CallerLink, StoreLink *Forwarder
	// CallerAddr is the gateway's own listen address for callers, PeerAddr the one
	// for other gateways.
	CallerAddr, PeerAddr string

	binary    string
	settings  string
	logFile   string
	readyAddr string

	mu     sync.Mutex
	proc   *Process
	starts int
}

// NewGateway writes the settings of a gateway and creates its forwarders. It does not
// start the process.
func NewGateway(name string, o GatewayOptions) (*Gateway, error) {
	binary, err := GatewayBinary()
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		Name: name, binary: binary,
		settings: filepath.Join(o.Dir, name+".toml"), logFile: filepath.Join(o.Dir, name+".log"),
	}
	ip, err := FreeIP()
	if err != nil {
		return nil, err
	}
	const front, ready, peers = "14000", "14001", 14002
	g.readyAddr, g.CallerAddr, g.PeerAddr = ip+":"+ready, ip+":"+front, fmt.Sprint(ip, ":", peers)
	if g.CallerLink, err = NewForwarder(g.CallerAddr); err != nil {
		return nil, err
	}
	if g.StoreLink, err = NewForwarder(o.StoreAddress); err != nil {
		return nil, err
	}
	return g, errors.Wrap(g.writeSettings(map[string]any{
		"NodeName": name, "Ip": ip, "Zone": o.Zone, "Region": o.RegionOf[o.Zone], "InternalPortRange": []int{peers, peers},
		"Zones":  o.RegionOf,
		"Listen": map[string]string{"Front": g.CallerAddr, "Ready": g.readyAddr},
		"Limits": map[string]int{"MemoryMb": o.MemoryMB},
		"Bounds": map[string]any{
			"DrainMs": o.DrainTime.Milliseconds(), "GraceS": o.Grace.Seconds(), "StatusS": o.JobRetention.Seconds(),
			"QuotaWindowS": o.Quotas.Window.Seconds(), "QuotaOvershoot": o.Quotas.Overshoot, "QuotaSlack": o.Quotas.Slack,
		},
		"Platform": map[string]any{
			"Address": g.StoreLink.Addr, "parts": o.Shards, "RecordBytes": 100000, "CallBytes": 400000, "TtlMinMs": 500,
		},
	}), "proctest: settings")
}

func (g *Gateway) writeSettings(fields map[string]any) error {
	raw, err := toml.Marshal(fields)
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, raw, 0o600)
}

// Start starts the process unless it is running.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil && g.proc.Running() {
		return nil
	}
	g.starts++
	var err error
	g.proc, err = StartProcess(g.logFile, []string{platform.SettingsEnv + "=" + g.settings}, g.binary)
	return err
}

func (g *Gateway) process() *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proc
}

// Starts returns how often the process was started.
func (g *Gateway) Starts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts
}

// PID returns the process id.
func (g *Gateway) PID() int { return g.process().cmd.Process.Pid }

// Running reports whether the process is running.
func (g *Gateway) Running() bool { return g.process().Running() }

// Kill kills the process and waits until it has exited.
func (g *Gateway) Kill() { g.process().Kill() }

// Stop stops the process gracefully within the timeout.
func (g *Gateway) Stop(timeout time.Duration) error { return g.process().Stop(timeout) }

// Freeze suspends the process (SIGSTOP) until Resume.
func (g *Gateway) Freeze() { g.process().Signal(syscall.SIGSTOP) }

// Resume continues a suspended process (SIGCONT).
func (g *Gateway) Resume() { g.process().Signal(syscall.SIGCONT) }

// Reload makes the process read its settings again (SIGHUP).
func (g *Gateway) Reload() { g.process().Signal(syscall.SIGHUP) }

// Ready queries the readiness endpoint directly, not through a forwarder.
func (g *Gateway) Ready() bool {
	c := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.readyAddr + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close kills the process and closes the forwarders.
func (g *Gateway) Close() {
	if p := g.process(); p != nil {
		p.Kill()
	}
	g.CallerLink.Close()
	g.StoreLink.Close()
}
