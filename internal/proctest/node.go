package proctest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/internal/standin"
	"github.com/catkinrudder/catkinrudder/settings"
)

const (
	// StopTimeout bounds a graceful stop.
	StopTimeout       = 40 * time.Second
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
)

// Node is an instance: an entry, or a backend server with its sidecar. Its process can
// be stopped and started again. A replacement has a new name and new addresses.
type Node struct {
	// Engine or Plain is the stand-in of the backend server.
	Engine *standin.Engine
	Plain  *standin.PlainService

	cluster *Cluster
	// base is the instance's name without its generation. service is empty for an entry.
	base        string
	service     string
	backendAddr string

	// lifecycle serializes starts and stops; mu guards the fields below it.
	lifecycle sync.Mutex
	mu        sync.Mutex
	// generation is the number of instances that the node has had, with replacements.
	generation int
	settings   settings.Settings
	proc       *Process
	closed     bool
	links      Links
}

// Links are the forwarders of one instance.
type Links struct {
	// Peer is in front of the instance's peer listener, Log between an entry and
	// the log service, and Backend between a sidecar and its backend server.
	Peer, Log, Backend *Forwarder
}

// Entry reports whether the node is an entry.
func (n *Node) Entry() bool { return n.service == "" }

// Name returns the instance's current name.
func (n *Node) Name() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.Instance
}

// CallerAddr returns the address at which an entry serves callers.
func (n *Node) CallerAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.Listen
}

// OperatorAddr returns the address at which the instance serves operators.
func (n *Node) OperatorAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.OperatorListen
}

// Links returns the instance's forwarders.
func (n *Node) Links() Links {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links
}

// assign gives the next instance its name, addresses and links.
func (n *Node) assign() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.generation++
	s := settings.Settings{
		Instance: fmt.Sprintf("%s-%d", n.base, n.generation), Role: settings.RoleEntry, Region: region, Zone: zone,
		Platform: settings.Platform{
			Instances: n.cluster.instancesAddr, Log: n.cluster.logAddr, LogRetention: desired.Duration(n.cluster.opts.LogRetention),
		},
	}
	addrs := []*string{&s.PeerListen, &s.OperatorListen}
	if n.Entry() {
		addrs = append(addrs, &s.Listen)
	}
	for _, a := range addrs {
		addr, err := FreeAddr()
		if err != nil {
			return err
		}
		*a = addr
	}
	n.links.close()
	links, err := n.newLinks(s)
	if err != nil {
		return err
	}
	if n.Entry() {
		s.Platform.Log = links.Log.Addr
	} else {
		s.Role = settings.RoleSidecar
		s.Backend = settings.Backend{Address: links.Backend.Addr, Service: n.service}
	}
	n.settings, n.links = s, links
	return nil
}

func (n *Node) newLinks(s settings.Settings) (Links, error) {
	var l Links
	var err error
	if l.Peer, err = NewForwarder(s.PeerListen); err != nil {
		return l, err
	}
	if n.Entry() {
		l.Log, err = NewForwarder(n.cluster.logAddr)
	} else {
		l.Backend, err = NewForwarder(n.backendAddr)
	}
	return l, err
}

// Restore ends every fault on the instance's links.
func (l Links) Restore() {
	for _, f := range []*Forwarder{l.Peer, l.Log, l.Backend} {
		if f != nil {
			f.Restore()
		}
	}
}

func (l Links) close() {
	for _, f := range []*Forwarder{l.Peer, l.Log, l.Backend} {
		if f != nil {
			f.Close()
		}
	}
}

// Start starts the instance's process unless it is running, and registers it as live.
func (n *Node) Start() error {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	return n.start()
}

func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.proc != nil && n.proc.Running() {
		return nil
	}
	raw, err := toml.Marshal(n.settings)
	if err != nil {
		return errors.Wrap(err, "proctest")
	}
	file := n.cluster.file(n.settings.Instance + ".toml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return errors.Wrap(err, "proctest")
	}
	n.proc, err = StartProcess(n.cluster.file(n.settings.Instance+".log"), nil, n.cluster.daemon, "serve", "--settings", file)
	if err == nil {
		n.register(logservice.Live)
	}
	return err
}

// register sets the instance's row in the platform's list. The caller holds mu.
func (n *Node) register(state logservice.State) {
	n.cluster.Instances.Put(logservice.Instance{
		Name: n.settings.Instance, Role: string(n.settings.Role), Service: n.service,
		Region: region, Zone: zone, PeerAddr: n.links.Peer.Addr, State: state,
	})
}

func (n *Node) process() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc
}

// Running reports whether the instance's process is running.
func (n *Node) Running() bool {
	p := n.process()
	return p != nil && p.Running()
}

// Kill kills the process without notice, as the loss of its instance does.
func (n *Node) Kill() {
	if p := n.process(); p != nil {
		p.Kill()
	}
}

// Freeze suspends the process (SIGSTOP) without notice until Resume.
func (n *Node) Freeze() { n.process().Signal(syscall.SIGSTOP) }

// Resume continues a suspended process (SIGCONT).
func (n *Node) Resume() { n.process().Signal(syscall.SIGCONT) }

// Stop stops the instance gracefully. The platform lists it as leaving until the
// process has stopped, and then removes it from the list.
func (n *Node) Stop() error {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	return n.stop()
}

func (n *Node) stop() error {
	p := n.process()
	if p == nil || !p.Running() {
		return nil
	}
	p.Signal(syscall.SIGTERM)
	n.mu.Lock()
	n.register(logservice.Leaving)
	n.mu.Unlock()
	err := p.Stop(StopTimeout)
	n.cluster.Instances.Remove(n.Name())
	return errors.Wrap(err, n.Name())
}

// Replace stops the instance gracefully and starts another one in its place under a
// new name and new addresses. It returns the time at which the old one had stopped.
func (n *Node) Replace() (time.Time, error) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	err := n.stop()
	stopped := time.Now()
	if err != nil {
		return stopped, err
	}
	n.cluster.Instances.Remove(n.Name())
	if err := n.assign(); err != nil {
		return stopped, err
	}
	return stopped, n.start()
}

// Ready reports whether the instance's readiness endpoint returns 200.
func (n *Node) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OperatorAddr()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady blocks until the instance is ready, for at most readyTimeout.
func (n *Node) WaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if n.Ready() {
			return nil
		}
	}
	return errors.Errorf("proctest: %s did not become ready", n.Name())
}

// Logs returns the log of the instance under its current name.
func (n *Node) Logs() string {
	b, _ := os.ReadFile(n.cluster.file(n.Name() + ".log"))
	return string(b)
}

// close kills the process, prevents later starts and closes the links.
func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.Kill()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.close()
}
