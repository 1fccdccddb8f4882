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
	StopTimeout  = 40 * time.Second
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// Node is one instance: an entry, or a backend server with its sidecar. Its
// process comes and goes; a replacement has a new name and new addresses.
type Node struct {
	// Engine or Plain is the backend server's stand-in.
	Engine *standin.Engine
	Plain  *standin.PlainService

	cluster     *Cluster
	base        string
	service     string
	backendAddr string

	// life orders starts and stops; mu guards the fields below it.
	life     sync.Mutex
	mu       sync.Mutex
	lives    int
	settings settings.Settings
	proc     *Process
	closed   bool
	links    Links
}

// Links are the forwarders of one instance.
type Links struct {
	// Peer stands before the instance's peer listener, Log between an entry
	// and the log service, Backend between a sidecar and its backend server.
	Peer, Log, Backend *Forwarder
}

// Entry reports whether the node is an entry.
func (n *Node) Entry() bool { return n.service == "" }

// Name is the instance's present name.
func (n *Node) Name() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.Instance
}

// CallerAddr is where an entry serves callers.
func (n *Node) CallerAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.Listen
}

// OperatorAddr is where the instance serves operators.
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

// plan chooses name, addresses and links for the next instance.
func (n *Node) plan() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lives++
	s := settings.Settings{
		Instance: fmt.Sprintf("%s-%d", n.base, n.lives), Role: settings.RoleEntry, Region: region, Zone: zone,
		Platform: settings.Platform{
			Instances: n.cluster.listAt, Log: n.cluster.logAddr, LogRetention: desired.Duration(n.cluster.opts.LogRetention),
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

// Restore lets every link of the instance pass everything.
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

// Start runs the instance's process unless it runs, and lists it as live.
func (n *Node) Start() error {
	n.life.Lock()
	defer n.life.Unlock()
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
		n.list(logservice.Live)
	}
	return err
}

// list sets the instance's row at the platform; the caller holds mu.
func (n *Node) list(state logservice.State) {
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

// Running reports whether the instance's process runs.
func (n *Node) Running() bool {
	p := n.process()
	return p != nil && p.Running()
}

// Kill ends the process at once, as the loss of its instance does.
func (n *Node) Kill() {
	if p := n.process(); p != nil {
		p.Kill()
	}
}

// Freeze stops the process without its notice until Wake.
func (n *Node) Freeze() { n.process().Signal(syscall.SIGSTOP) }

// Wake continues a frozen process.
func (n *Node) Wake() { n.process().Signal(syscall.SIGCONT) }

// Stop stops the instance gracefully; the platform lists it as leaving and
// then no more.
func (n *Node) Stop() error {
	n.life.Lock()
	defer n.life.Unlock()
	return n.stop()
}

func (n *Node) stop() error {
	p := n.process()
	if p == nil || !p.Running() {
		return nil
	}
	p.Signal(syscall.SIGTERM)
	n.mu.Lock()
	n.list(logservice.Leaving)
	n.mu.Unlock()
	err := p.Stop(StopTimeout)
	n.cluster.Instances.Remove(n.Name())
	return errors.Wrap(err, n.Name())
}

// Replace stops the instance gracefully and starts another one in its place
// under a new name and new addresses. It returns when the old one was gone.
func (n *Node) Replace() (time.Time, error) {
	n.life.Lock()
	defer n.life.Unlock()
	err := n.stop()
	stopped := time.Now()
	if err != nil {
		return stopped, err
	}
	n.cluster.Instances.Remove(n.Name())
	if err := n.plan(); err != nil {
		return stopped, err
	}
	return stopped, n.start()
}

// Ready reports whether the instance answers that it is ready.
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

// WaitReady waits until the instance is ready.
func (n *Node) WaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		if n.Ready() {
			return nil
		}
	}
	return errors.Errorf("proctest: %s does not get ready", n.Name())
}

// Logs returns what the instance has written under its present name.
func (n *Node) Logs() string {
	b, _ := os.ReadFile(n.cluster.file(n.Name() + ".log"))
	return string(b)
}

// close ends the instance for good.
func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.Kill()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.close()
}
