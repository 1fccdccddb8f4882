// Package dev runs a complete small deployment in one process: stand-ins for the
// platform and the backend servers, one entry and a few sidecars. They
// communicate over loopback sockets as they do between instances.
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

// Names of the deployment's model, services and location.
const (
	ModelName    = "demo-model"
	ModelService = "assistant"
	PlainService = "bookings"
	region       = "local"
	zone         = "local-a"
)

const (
	engineCount       = 2
	publishTries      = 50
	publishRetryDelay = 100 * time.Millisecond
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

// Deployment is a small deployment in one process.
type Deployment struct {
	// Listen is the address for clients, Operators the address for operators.
	Listen, Operators string
	// Log is the address of the log service.
	Log string

	logger   *log.Logger
	standins standin.Settings
	entry    settings.Settings
	sidecars []settings.Settings
}

// New configures a deployment whose entry listens on listen, an IP:port.
func New(listen string, logger *log.Logger) (*Deployment, error) {
	addrs, err := freeAddrs(4 + 2*(engineCount+1))
	if err != nil {
		return nil, err
	}
	next := func() string {
		addr := addrs[0]
		addrs = addrs[1:]
		return addr
	}
	d := &Deployment{Listen: listen, logger: logger}
	d.standins.Log.Listen = next()
	d.standins.Instances.Listen = next()
	d.Log = d.standins.Log.Listen
	platform := settings.Platform{Log: d.standins.Log.Listen, Instances: d.standins.Instances.Listen}
	d.entry = settings.Settings{
		Instance: "entry-1", Role: settings.RoleEntry, Region: region, Zone: zone,
		Listen: listen, PeerListen: next(), OperatorListen: next(), Platform: platform,
	}
	d.Operators = d.entry.OperatorListen
	for i := range engineCount {
		es := standin.EngineSettings{Listen: next(), Models: []string{ModelName}}
		d.standins.Engines = append(d.standins.Engines, es)
		d.addSidecar(fmt.Sprintf("engine-%d", i+1), ModelService, es.Listen, next(), platform)
	}
	ps := standin.PlainSettings{Listen: next()}
	d.standins.Plain = append(d.standins.Plain, ps)
	d.addSidecar("bookings-1", PlainService, ps.Listen, next(), platform)
	d.entry.SetDefaults()
	d.standins.Instances.List = append(d.standins.Instances.List, instanceRow(d.entry, ""))
	return d, nil
}

func (d *Deployment) addSidecar(name, service, backend, peer string, platform settings.Platform) {
	s := settings.Settings{
		Instance: name, Role: settings.RoleSidecar, Region: region, Zone: zone,
		PeerListen: peer, Platform: platform,
		Backend: settings.Backend{Address: backend, Service: service},
	}
	s.SetDefaults()
	d.sidecars = append(d.sidecars, s)
	d.standins.Instances.List = append(d.standins.Instances.List, instanceRow(s, service))
}

func instanceRow(s settings.Settings, service string) standin.InstanceRow {
	return standin.InstanceRow{
		Name: s.Instance, Role: string(s.Role), Service: service,
		Region: s.Region, Zone: s.Zone, PeerAddr: s.PeerListen,
	}
}

// Run serves the deployment until ctx is done, then stops it gracefully.
func (d *Deployment) Run(ctx context.Context) error {
	standinCtx, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandins()
	standinsDone := make(chan error, 1)
	go func() { standinsDone <- standin.Run(standinCtx, d.standins) }()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return entry.New(d.entry, d.logger).Serve(gctx) })
	for _, s := range d.sidecars {
		g.Go(func() error { return sidecar.New(s, d.logger).Serve(gctx) })
	}
	g.Go(func() error { return d.publish(gctx) })
	err := g.Wait()
	stopStandins()
	if standinErr := <-standinsDone; err == nil {
		err = standinErr
	}
	return err
}

// publish appends the deployment's desired state to the log.
func (d *Deployment) publish(ctx context.Context) error {
	p := desired.NewPublisher(logservice.NewLog(d.Log), d.logger)
	var err error
	for range publishTries {
		_, err = p.Publish(ctx, desired.Publication{Document: []byte(document), Author: "dev"})
		if err == nil || ctx.Err() != nil {
			return nil
		}
		select {
		case <-time.After(publishRetryDelay):
		case <-ctx.Done():
			return nil
		}
	}
	return errors.Wrap(err, "dev: publish desired state")
}

// freeAddrs returns n loopback addresses that are free at the time of the call.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "dev: reserve a free port")
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
