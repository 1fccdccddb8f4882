package proctest

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/standin"
)

const (
	region = "coast"
	zone   = "coast-a"
	// standinTimeout bounds the first publication and the stop of the stand-ins.
	standinTimeout       = 10 * time.Second
	publishRetryInterval = 100 * time.Millisecond
)

// Options describes a deployment.
type Options struct {
	// Entries, Engines and Plain are the numbers of instances of each kind.
	Entries, Engines, Plain int
	// ModelService is the service of the engines, Model the model that they serve,
	// and PlainService the service of the plain instances.
	ModelService, Model, PlainService string
	// Step is the engines' time between tokens. PlainDelay is the duration of a
	// call at a plain service.
	Step, PlainDelay time.Duration
	// LogRetention is how long the log keeps a record; zero keeps records forever.
	LogRetention time.Duration
	// Document is the initial desired state. If it is empty, nothing is published.
	Document string
	// Dir receives settings and logs. If it is empty, a temporary directory is
	// used and removed by Close.
	Dir string
}

// Cluster is a running deployment whose instances are separate processes.
type Cluster struct {
	// Log and Instances are the stand-ins for the platform's services.
	Log       *standin.LogService
	Instances *standin.InstanceList
	Entries   []*Node
	Engines   []*Node
	Plain     []*Node

	opts          Options
	daemon        string
	logAddr       string
	instancesAddr string
	keepDir       bool
	cancel        context.CancelFunc
	standinsDone  chan error
}

// Start starts a deployment, which runs until Close is called.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{opts: o, keepDir: o.Dir != "", standinsDone: make(chan error, 1)}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	if c.daemon, err = DaemonBinary(); err != nil {
		return err
	}
	if !c.keepDir {
		if c.opts.Dir, err = os.MkdirTemp("", "catkinrudder-proctest-"); err != nil {
			return errors.Wrap(err, "proctest")
		}
	}
	if err := c.startStandins(); err != nil {
		return err
	}
	for _, n := range c.Nodes() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	if c.opts.Document == "" {
		return nil
	}
	return c.publish([]byte(c.opts.Document))
}

// Nodes returns all instances: entries, then engines, then plain services.
func (c *Cluster) Nodes() []*Node {
	var out []*Node
	out = append(out, c.Entries...)
	out = append(out, c.Engines...)
	return append(out, c.Plain...)
}

// Backends returns the instances that have a backend server.
func (c *Cluster) Backends() []*Node { return append(append([]*Node(nil), c.Engines...), c.Plain...) }

// Dir returns the directory that holds settings and logs.
func (c *Cluster) Dir() string { return c.opts.Dir }

// Close kills every process and stops the stand-ins.
func (c *Cluster) Close() {
	for _, n := range c.Nodes() {
		n.close()
	}
	if c.cancel != nil {
		c.cancel()
		select {
		case err := <-c.standinsDone:
			if err != nil {
				c.log("stand-ins: " + err.Error())
			}
		case <-time.After(standinTimeout):
		}
	}
	if !c.keepDir && c.opts.Dir != "" {
		_ = os.RemoveAll(c.opts.Dir)
	}
}

func (c *Cluster) startStandins() error {
	var s standin.Settings
	var err error
	listeners := make(map[string]net.Listener)
	addr := func() string {
		ln, lerr := listenFree()
		if lerr != nil {
			err = lerr
			return ""
		}
		listeners[ln.Addr().String()] = ln
		return ln.Addr().String()
	}
	s.Log.Retention = desired.Duration(c.opts.LogRetention)
	s.Log.Listen, s.Instances.Listen = addr(), addr()
	for range c.opts.Engines {
		s.Engines = append(s.Engines, standin.EngineSettings{
			Listen: addr(), Models: []string{c.opts.Model}, StepBase: desired.Duration(c.opts.Step),
		})
	}
	for range c.opts.Plain {
		s.Plain = append(s.Plain, standin.PlainSettings{Listen: addr(), Delay: desired.Duration(c.opts.PlainDelay)})
	}
	if err != nil {
		for _, ln := range listeners {
			_ = ln.Close()
		}
		return err
	}
	c.logAddr, c.instancesAddr = s.Log.Listen, s.Instances.Listen
	set := standin.New(s)
	set.Listeners = listeners
	c.Log, c.Instances = set.Log, set.Instances
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() { c.standinsDone <- set.Run(ctx) }()
	return c.newNodes(set, s)
}

func (c *Cluster) newNodes(set *standin.Set, s standin.Settings) error {
	for i := range c.opts.Entries {
		n := &Node{cluster: c, base: fmt.Sprintf("entry-%d", i+1)}
		c.Entries = append(c.Entries, n)
	}
	for i, e := range set.Engines {
		n := &Node{cluster: c, base: fmt.Sprintf("engine-%d", i+1), service: c.opts.ModelService, backendAddr: s.Engines[i].Listen, Engine: e}
		c.Engines = append(c.Engines, n)
	}
	for i, p := range set.Plain {
		n := &Node{cluster: c, base: fmt.Sprintf("plain-%d", i+1), service: c.opts.PlainService, backendAddr: s.Plain[i].Listen, Plain: p}
		c.Plain = append(c.Plain, n)
	}
	for _, n := range c.Nodes() {
		if err := n.assign(); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the initial desired state. It retries until standinTimeout.
func (c *Cluster) publish(document []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), standinTimeout)
	defer cancel()
	p := desired.NewPublisher(c.Log.Log(), nil)
	for {
		v, err := p.Publish(ctx, desired.Publication{Document: document, Author: "proctest"})
		if err == nil && v.Accepted() {
			return nil
		}
		select {
		case <-time.After(publishRetryInterval):
		case <-ctx.Done():
			return errors.Wrapf(err, "proctest: publish: %v", v)
		}
	}
}

// log writes a line of the harness itself to a file next to the instances' logs.
func (c *Cluster) log(line string) {
	_ = os.WriteFile(c.file("proctest.log"), []byte(line+"\n"), 0o600)
}

func (c *Cluster) file(name string) string { return filepath.Join(c.opts.Dir, name) }
