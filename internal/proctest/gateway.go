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

// GatewayOptions describe the deployment that a gateway belongs to.
type GatewayOptions struct {
	// Dir gets the settings and the log.
	Dir          string
	StoreAddress string
	Shards       int
	// Zone is the gateway's own, RegionOf maps each zone to its region.
	Zone     string
	RegionOf map[string]string
	// MemoryMB is the process's memory limit.
	MemoryMB int
	// Grace is the time from SIGTERM to the end, DrainTime how long a leaving
	// backend server gets work, Stay how long a job stays readable.
	Grace, DrainTime, Stay time.Duration
}

// Gateway is one gateway process on the platform, behind forwarders. Its
// process comes and goes under the same name and addresses.
type Gateway struct {
	Name string
	// Callers is the way from callers to the gateway, Store its way to the
	// store.
	Callers, Store *Forwarder
	// Direct is where the gateway itself listens for callers, Peers where it
	// listens for other gateways.
	Direct, Peers string

	binary   string
	settings string
	logFile  string
	ready    string

	mu    sync.Mutex
	proc  *Process
	boots int
}

// NewGateway prepares a gateway that doesn't run yet.
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
	g.ready, g.Direct, g.Peers = ip+":"+ready, ip+":"+front, fmt.Sprint(ip, ":", peers)
	if g.Callers, err = NewForwarder(g.Direct); err != nil {
		return nil, err
	}
	if g.Store, err = NewForwarder(o.StoreAddress); err != nil {
		return nil, err
	}
	return g, errors.Wrap(g.writeSettings(map[string]any{
		"NodeName": name, "Ip": ip, "Zone": o.Zone, "Region": o.RegionOf[o.Zone], "InternalPortRange": []int{peers, peers},
		"Zones":  o.RegionOf,
		"Listen": map[string]string{"Front": g.Direct, "Ready": g.ready},
		"Limits": map[string]int{"MemoryMb": o.MemoryMB},
		"Bounds": map[string]any{
			"DrainMs": o.DrainTime.Milliseconds(), "GraceS": o.Grace.Seconds(), "StatusS": o.Stay.Seconds(),
		},
		"Platform": map[string]any{
			"Address": g.Store.Addr, "parts": o.Shards, "RecordBytes": 100000, "CallBytes": 400000, "TtlMinMs": 500,
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

// Start starts the process unless it runs.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.proc != nil && g.proc.Running() {
		return nil
	}
	g.boots++
	var err error
	g.proc, err = StartProcess(g.logFile, []string{platform.SettingsEnv + "=" + g.settings}, g.binary)
	return err
}

func (g *Gateway) process() *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.proc
}

// Boot counts the starts of the process.
func (g *Gateway) Boot() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.boots
}

// PID is the id of the process.
func (g *Gateway) PID() int { return g.process().cmd.Process.Pid }

// Running reports whether the process runs.
func (g *Gateway) Running() bool { return g.process().Running() }

// Kill ends the process at once.
func (g *Gateway) Kill() { g.process().Kill() }

// Stop ends the process gracefully within the timeout.
func (g *Gateway) Stop(timeout time.Duration) error { return g.process().Stop(timeout) }

// Freeze pauses the process until Wake.
func (g *Gateway) Freeze() { g.process().Signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (g *Gateway) Wake() { g.process().Signal(syscall.SIGCONT) }

// Reload asks the process to read its settings again.
func (g *Gateway) Reload() { g.process().Signal(syscall.SIGHUP) }

// Ready asks the process, without a forwarder, whether it takes requests.
func (g *Gateway) Ready() bool {
	c := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close kills the process and ends the forwarders.
func (g *Gateway) Close() {
	if p := g.process(); p != nil {
		p.Kill()
	}
	g.Callers.Close()
	g.Store.Close()
}
