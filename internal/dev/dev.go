// Package dev runs a whole small deployment in one process: stand-ins for the
// platform and the backend servers, one entry and a few sidecars, all talking
// over loopback sockets as they would between instances.
package dev

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/entry"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
	"github.com/catkinrudder/catkinrudder/internal/sidecar"
	"github.com/catkinrudder/catkinrudder/internal/standin"
	"github.com/catkinrudder/catkinrudder/settings"
)

// Names used by the deployment.
const (
	ModelName    = "demo-model"
	ModelService = "assistant"
	PlainService = "bookings"
	region       = "local"
	zone         = "local-a"
)

const (
	engines      = 2
	publishTries = 50
	publishRetry = 100 * time.Millisecond
)

const document = `
base = 0

[[service]]
name = "assistant"
kind = "model"
models = ["demo-model"]
slots = 16
deadline = "30s"
store = true

[[service]]
name = "bookings"
kind = "plain"
deadline = "10s"

[[service.call]]
method = "POST"
path = "/bookings"
non_idempotent = true
`

// Deployment is a running small deployment.
type Deployment struct {
	// Listen is where callers are served, Operators where operators are.
	Listen, Operators string
	// Log is the address of the log service.
	Log string

	logger   *log.Logger
	stands   standin.Settings
	entry    settings.Settings
	sidecars []settings.Settings
}

// New plans a deployment whose entry listens on listen, an IP:port.
func New(listen string, logger *log.Logger) (*Deployment, error) {
	ports, err := freeAddrs(4 + 2*(engines+1))
	if err != nil {
		return nil, err
	}
	next := func() string {
		a := ports[0]
		ports = ports[1:]
		return a
	}
	d := &Deployment{Listen: listen, logger: logger}
	d.stands.Log.Listen = next()
	d.stands.Instances.Listen = next()
	d.Log = d.stands.Log.Listen
	at := settings.Platform{Log: d.stands.Log.Listen, Instances: d.stands.Instances.Listen}
	d.entry = settings.Settings{
		Instance: "entry-1", Role: settings.RoleEntry, Region: region, Zone: zone,
		Listen: listen, PeerListen: next(), OperatorListen: next(), Platform: at,
	}
	d.Operators = d.entry.OperatorListen
	for i := range engines {
		es := standin.EngineSettings{Listen: next(), Models: []string{ModelName}}
		d.stands.Engines = append(d.stands.Engines, es)
		d.addSidecar(fmt.Sprintf("engine-%d", i+1), ModelService, es.Listen, next(), at)
	}
	ps := standin.PlainSettings{Listen: next()}
	d.stands.Plain = append(d.stands.Plain, ps)
	d.addSidecar("bookings-1", PlainService, ps.Listen, next(), at)
	d.entry.SetDefaults()
	d.stands.Instances.List = append(d.stands.Instances.List, row(d.entry, ""))
	return d, nil
}

func (d *Deployment) addSidecar(name, service, backend, peer string, at settings.Platform) {
	s := settings.Settings{
		Instance: name, Role: settings.RoleSidecar, Region: region, Zone: zone,
		PeerListen: peer, Platform: at,
		Backend: settings.Backend{Address: backend, Service: service},
	}
	s.SetDefaults()
	d.sidecars = append(d.sidecars, s)
	d.stands.Instances.List = append(d.stands.Instances.List, row(s, service))
}

func row(s settings.Settings, service string) standin.InstanceRow {
	return standin.InstanceRow{
		Name: s.Instance, Role: string(s.Role), Service: service,
		Region: s.Region, Zone: s.Zone, PeerAddr: s.PeerListen,
	}
}

// Run serves the deployment until ctx ends, then stops it gracefully.
func (d *Deployment) Run(ctx context.Context) error {
	standCtx, stopStands := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStands()
	stands := make(chan error, 1)
	go func() { stands <- standin.Run(standCtx, d.stands) }()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return entry.New(d.entry, d.logger).Serve(gctx) })
	for _, s := range d.sidecars {
		g.Go(func() error { return sidecar.New(s, d.logger).Serve(gctx) })
	}
	g.Go(func() error { return d.publish(gctx) })
	err := g.Wait()
	stopStands()
	if standErr := <-stands; err == nil {
		err = standErr
	}
	return err
}

// publish puts the demo's desired state on the log.
func (d *Deployment) publish(ctx context.Context) error {
	p := desired.NewPublisher(logservice.NewLog(d.Log), d.logger)
	var err error
	for range publishTries {
		_, err = p.Publish(ctx, desired.Publication{Document: []byte(document), Author: "dev"})
		if err == nil || ctx.Err() != nil {
			return nil
		}
		select {
		case <-time.After(publishRetry):
		case <-ctx.Done():
			return nil
		}
	}
	return errors.Wrap(err, "dev: publish the desired state")
}

// freeAddrs returns n loopback addresses that were free a moment ago.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "dev: free port")
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
