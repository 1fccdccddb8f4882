package peering

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// Snapshot is a gateway's copy of the configuration and of the registered backend
// servers. It holds no keys of callers. A gateway that starts while the store is unavailable, or
// that has an older configuration than a peer, fetches it from a peer.
type Snapshot struct {
	Config   []keyedlog.Record `cbor:"1,keyasint,omitempty"`
	Backends []keyedlog.Record `cbor:"2,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration; 0 in snapshots of older releases.
	ConfigVersion int64 `cbor:"3,keyasint,omitempty"`
}

// FetchSnapshot requests the snapshots of the reachable peers that have reported the newest
// configuration, at most maxSources, and returns the newest one that arrives in time.
func (p *Peering) FetchSnapshot(ctx context.Context, maxSources int) (Snapshot, bool) {
	sources := p.snapshotSources()
	sources = sources[:min(len(sources), maxSources)]
	answers := make(chan Snapshot, len(sources))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, s := range sources {
		go func() { answers <- p.fetchSnapshot(ctx, s.address) }()
	}
	var newest Snapshot
	for range sources {
		if s := <-answers; len(s.Config) > 0 && (len(newest.Config) == 0 || s.ConfigVersion > newest.ConfigVersion) {
			newest = s
		}
		if len(newest.Config) > 0 && newest.ConfigVersion >= sources[0].version {
			break
		}
	}
	return newest, len(newest.Config) > 0
}

// fetchSnapshot returns the snapshot of a peer, or an empty one if there is no answer.
func (p *Peering) fetchSnapshot(ctx context.Context, address string) Snapshot {
	raw, err := p.get(ctx, address, snapshotPath)
	if err != nil {
		return Snapshot{}
	}
	var s Snapshot
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return Snapshot{}
	}
	return s
}

// snapshotSource is a peer that can be asked for a snapshot, with the version of its configuration.
type snapshotSource struct {
	address string
	version int64
}

// snapshotSources returns the reachable peers with the newest configurations, the newest first.
func (p *Peering) snapshotSources() []snapshotSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sources []snapshotSource
	for _, other := range p.peers {
		if other.reachable && time.Since(other.lastReport) <= ReportTTL {
			sources = append(sources, snapshotSource{other.addr.String(), other.configVersion})
		}
	}
	slices.SortFunc(sources, func(a, b snapshotSource) int { return cmp.Compare(b.version, a.version) })
	return sources
}

// NewerConfig returns a channel that receives a value when a peer has reported a newer configuration
// than the one in force here.
func (p *Peering) NewerConfig() <-chan struct{} { return p.newerConfig }

// ConfigBehind reports whether a reachable peer has a newer configuration than this gateway.
func (p *Peering) ConfigBehind() bool {
	sources := p.snapshotSources()
	own, _ := p.opts.ConfigVersion()
	return len(sources) > 0 && sources[0].version > own
}

// noteConfigVersion compares the version that a peer has reported with the one in force here.
func (p *Peering) noteConfigVersion(reported int64) {
	if own, _ := p.opts.ConfigVersion(); reported <= own {
		return
	}
	select {
	case p.newerConfig <- struct{}{}:
	default:
	}
}
