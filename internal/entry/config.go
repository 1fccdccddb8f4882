package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/event"
	peerv1 "github.com/catkinrudder/catkinrudder/peer/v1"
)

const (
	configRetryInterval = 200 * time.Millisecond
	peerConfigInterval  = time.Second
	maxConfigPeers      = 3
	peerConfigTimeout   = time.Second
)

// followConfig folds the configuration stream. At the same time it polls peers
// for a newer version, so that an entry can start while the log is down.
func (e *Server) followConfig(ctx context.Context) {
	go e.pollPeerConfigs(ctx)
	for desired.InitTable(ctx, e.log, e.config) != nil {
		select {
		case <-time.After(configRetryInterval):
		case <-ctx.Done():
			return
		}
	}
	e.configLog.Run(ctx)
}

func (e *Server) pollPeerConfigs(ctx context.Context) {
	t := time.NewTicker(peerConfigInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, addr := range e.fleet.peerEntries(maxConfigPeers) {
			e.fetchPeerConfig(ctx, addr)
		}
	}
}

// fetchPeerConfig adopts a peer's configuration if it is newer.
func (e *Server) fetchPeerConfig(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	req := &peerv1.ConfigRequest{HaveVersion: e.configVersion()}
	resp, err := e.clients.Entry(addr).Config(ctx, connect.NewRequest(req))
	if err != nil || len(resp.Msg.Document) == 0 {
		return
	}
	if _, err := e.config.Adopt(resp.Msg.Version, resp.Msg.Document); err != nil {
		event.Log(e.logger, event.ConfigRefused, "version", resp.Msg.Version, "peer", addr, "err", err)
	}
}

// Config implements peerv1connect.EntryHandler.
func (e *Server) Config(_ context.Context, req *connect.Request[peerv1.ConfigRequest]) (*connect.Response[peerv1.ConfigResponse], error) {
	out := &peerv1.ConfigResponse{}
	if v, ok := e.config.InForce(); ok {
		out.Version = v.Number
		if v.Number > req.Msg.HaveVersion {
			out.Document = v.Raw
		}
	}
	return connect.NewResponse(out), nil
}

// Status implements peerv1connect.EntryHandler.
func (e *Server) Status(context.Context, *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	return connect.NewResponse(&peerv1.StatusResponse{
		Instance:      e.settings.Instance,
		Incarnation:   e.incarnation,
		Role:          string(e.settings.Role),
		Zone:          e.settings.Zone,
		Region:        e.settings.Region,
		ConfigVersion: e.configVersion(),
		Draining:      e.draining.Load(),
	}), nil
}

func (e *Server) configVersion() uint64 {
	v, _ := e.config.InForce()
	return v.Number
}

// document returns the configuration document in force.
func (e *Server) document() (*desired.Document, error) {
	v, ok := e.config.InForce()
	if !ok {
		return nil, errkind.New(errkind.NoBackend, "no configuration is in force yet")
	}
	return &v.Document, nil
}

func (e *Server) configInForce(v desired.Version) {
	event.Log(e.logger, event.ConfigInForce, "version", v.Number, "author", v.Author)
	e.fleet.configChanged()
}

func (e *Server) configRefused(v desired.Verdict) {
	event.Log(e.logger, event.ConfigRefused, "verdict", v)
}
