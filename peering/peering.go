// Package peering reports the load that each gateway puts on the backend servers to
// all other gateways, in datagrams. A lost datagram needs no retransmission: each one
// holds the complete counts of the sender, so the next one replaces it.
package peering

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/origins"
	"github.com/catkinrudder/catkinrudder/quota"
	"github.com/catkinrudder/catkinrudder/ratelimit"
	"github.com/catkinrudder/catkinrudder/waiting"
)

const (
	// maxDatagram fits the summary of a region with 2,500 backend servers.
	maxDatagram = 32 << 10
	// datagramDelay is the longest time that a datagram takes to arrive. It is less than a
	// restart of a process takes.
	datagramDelay = 250 * time.Millisecond
	// ReportTTL is how long a peer's report is valid.
	ReportTTL = 900 * time.Millisecond
	// removeAfter is how long reports are still sent to a peer that sends none.
	removeAfter = time.Minute
)

// report is the content of a datagram: the attempts in progress of one gateway and
// the state of its shards and of its connection to the store, which is the log service.
type report struct {
	From   string             `cbor:"1,keyasint"`
	Boot   int64              `cbor:"2,keyasint"`
	Seq    uint64             `cbor:"3,keyasint"`
	Loads  map[uint32][2]int  `cbor:"4,keyasint"`
	Shards []jobs.ShardReport `cbor:"5,keyasint,omitempty"`
	// Region is the sender's region, for receivers that have no record of the sender.
	Region string `cbor:"6,keyasint,omitempty"`
	// StoreAgeMs is the time since the sender's last contact with the store.
	StoreAgeMs int64 `cbor:"7,keyasint,omitempty"`
	// StoreRTTUs is the round-trip time of a short call from the sender to the
	// store, in microseconds; 0 if it has not been measured.
	StoreRTTUs int64 `cbor:"8,keyasint,omitempty"`
	// Failures are the counts of the sender's recent failures at backend servers.
	Failures map[uint32]uint32 `cbor:"9,keyasint,omitempty"`
	// Started counts the attempts that the sender has started, by service.
	Started map[uint32]uint64 `cbor:"10,keyasint,omitempty"`
	// Zone is the sender's zone, for receivers that have no record of the sender.
	Zone string `cbor:"12,keyasint,omitempty"`
	// Leaving states that the sender is about to stop.
	Leaving bool `cbor:"15,keyasint,omitempty"`
	// Paces are those that backend servers have stated to the sender a short time ago; see
	// encodePaces.
	Paces map[uint32][2]int64 `cbor:"18,keyasint,omitempty"`
	// Waiting counts the requests that wait at the sender, by service: all of them, and those
	// that can still be in time.
	Waiting map[uint32][2]int `cbor:"20,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that is in force at the sender; 0 if it
	// has none, or none with workspaces.
	ConfigVersion int64 `cbor:"21,keyasint,omitempty"`
	// Capacity is what the sender can do at present, in cores; 0 if its settings do not say.
	Capacity float64 `cbor:"19,keyasint,omitempty"`
	// JobFormat is the newest jobs.StoredFormat that the sender reads; reports of older releases lack it.
	JobFormat int `cbor:"22,keyasint,omitempty"`
}

// datagram is a report or, if one of the other fields is set, the summary of a region, the
// origin of a stream, a report about suspects or a message about limits or quotas. Gateways of older
// releases ignore these, as they have no sender.
type datagram struct {
	report
	Summary  *regionSummary  `cbor:"11,keyasint,omitempty"`
	Origin   *streamOrigin   `cbor:"13,keyasint,omitempty"`
	Evidence *evidenceReport `cbor:"14,keyasint,omitempty"`
	Limits   *limitMessage   `cbor:"16,keyasint,omitempty"`
	Quotas   *quotaMessage   `cbor:"17,keyasint,omitempty"`
}

// Options are the settings of Peering.
type Options struct {
	// Name is this gateway's key in the directory; Region and Zone are where it runs.
	Name   string
	Region string
	Zone   string
	// LinkMbps is the bandwidth of this gateway's link; 0 if it is unknown.
	LinkMbps float64
	// Capacity is this gateway's stated capacity; 0 if it is unknown.
	Capacity float64
	Table    *balance.Table
	Logger   *log.Logger
	Conn     net.PacketConn
	// Client is the HTTP client for calls to peers.
	Client *http.Client
	// Origins holds the origins of streams that this gateway knows.
	Origins *origins.Table
	// Evidence receives the reports of other gateways about suspects.
	Evidence Evidence
	// Limits receives the messages of other gateways about the limits that backend servers name.
	Limits Limits
	// Waiting returns how many requests wait at this gateway by the key of their service, and
	// Crowd receives those of other gateways. Both may be nil.
	Waiting func() map[uint32]waiting.Count
	Crowd   *waiting.Crowd
	// Quotas receives the messages of other gateways about the quotas of workspaces; it may be nil.
	Quotas Quotas
	// RegionOf maps availability zones to their regions.
	RegionOf map[string]string
	// Shards returns this gateway's reports on the shards that it owns.
	Shards func() []jobs.ShardReport
	// BackendID returns the id of the backend server with the given balance.Key.
	BackendID func(key uint32) string
	// ConfigVersion returns the version of the configuration in force, 0 if there is none, and
	// whether peers are informed of it. Peers are informed of none if it is nil.
	ConfigVersion func() (version int64, announced bool)
	// StoreAge returns the time since this gateway's last contact with the store.
	StoreAge func() time.Duration
	// StoreRTT returns the round-trip time of a short call to the store; 0 if it is
	// unknown.
	StoreRTT func() time.Duration
}

// Peering sends and receives reports. It implements keyedlog.View over the directory
// of gateways.
type Peering struct {
	opts Options
	// boot is the start time of this process, in Unix nanoseconds, and startedAt the same by a clock
	// that does not jump.
	boot      int64
	startedAt time.Time

	// directoryRead is closed once the directory has been read.
	directoryRead chan struct{}
	directoryOnce sync.Once

	// leaving states that this process is about to stop.
	leaving atomic.Bool
	// newerConfig holds a token while a peer may have a newer configuration than this gateway.
	newerConfig chan struct{}
	// measured is this gateway's present capacity.
	measured *measuredCapacity

	mu    sync.Mutex
	peers map[string]*peer

	quotaViews    quotaViews
	permitReplies *pendingReplies[ratelimit.Reply]
	quotaReplies  *pendingReplies[quota.Reply]
}

type peer struct {
	addr netip.AddrPort
	// far states that the peer is in another region, otherZone that it is in another zone of
	// the own region.
	far       bool
	otherZone bool
	region    string
	zone      string
	// linkMbps is the bandwidth of the peer's link, from the directory.
	linkMbps float64
	// capacity is the peer's stated capacity, from the directory, presentCapacity that of its
	// last report.
	capacity, presentCapacity float64
	// jobFormat is the newest format of stored jobs that the peer reads.
	jobFormat int
	// boot and seq order the reports: seq counts those of one start of the peer.
	// lastReport is when the last report was received, or when the record of a peer
	// that has sent none was read.
	boot       int64
	seq        uint64
	lastReport time.Time
	reachable  bool
	// leaving states that the peer is about to stop.
	leaving bool
	// shards are the shards that the peer owned at its last report.
	shards []jobs.ShardReport
	// storeAge is the time between the peer's last contact with the store and its
	// last report.
	storeAge time.Duration
	storeRTT time.Duration
	// configVersion is the version of the configuration in force there.
	configVersion int64
}

// precedes reports whether r is newer than the peer's last report. The time of day may
// have jumped back between two starts of the peer, so a report of another start is also
// newer if it arrives after datagramDelay: by then all reports of the former one have.
func (s *peer) precedes(r report, now time.Time) bool {
	if r.Boot == s.boot {
		return r.Seq > s.seq
	}
	return r.Boot > s.boot || now.Sub(s.lastReport) > datagramDelay
}

// New returns a Peering that sends and receives on opts.Conn.
func New(opts Options) *Peering {
	if opts.ConfigVersion == nil {
		opts.ConfigVersion = func() (int64, bool) { return 0, false }
	}
	startedAt := time.Now()
	boot := startedAt.UnixNano()
	return &Peering{
		opts: opts, boot: boot, startedAt: startedAt, directoryRead: make(chan struct{}), newerConfig: make(chan struct{}, 1), peers: make(map[string]*peer), measured: &measuredCapacity{stated: opts.Capacity},
		permitReplies: newPendingReplies[ratelimit.Reply](uint64(boot)),
		quotaReplies:  newPendingReplies[quota.Reply](uint64(uint32(boot))), // short ones, as there are many
	}
}

// Run sends and receives reports until ctx ends. Conn is closed when it returns, so that
// the next process can bind the address.
func (p *Peering) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(p.receive)
	defer receiver.Wait()
	defer func() { _ = p.opts.Conn.Close() }() // ends receive
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	reporter := &reporter{p: p}
	directoryRead := p.directoryRead
	for {
		select {
		case <-ctx.Done():
			return
		case <-directoryRead:
			directoryRead = nil // others learn at once that this gateway runs
		case <-p.opts.Table.LocalCountsChanged():
		case <-idle.C:
		}
		pause := reporter.sendDue(time.Now())
		begin := time.Now()
		delay.Wait(ctx, pause)
		p.measured.record(time.Since(begin) - pause)
	}
}

func (p *Peering) report(seq uint64) report {
	version, announced := p.opts.ConfigVersion()
	if !announced {
		version = 0
	}
	return report{
		From: p.opts.Name, Boot: p.boot, Seq: seq, Region: p.opts.Region, Zone: p.opts.Zone, Leaving: p.leaving.Load(),
		Loads: encodeCounts(p.opts.Table.LocalCounts()), Shards: p.opts.Shards(), Failures: p.opts.Table.Failures(time.Now()), Started: p.opts.Table.Started(), ConfigVersion: version,
		Paces:      encodePaces(p.opts.Table.FreshPaces(time.Now())),
		StoreAgeMs: p.opts.StoreAge().Milliseconds(), StoreRTTUs: p.opts.StoreRTT().Microseconds(), Capacity: p.measured.now(),
		Waiting: p.waiting(), JobFormat: jobs.StoredFormat,
	}
}

func (p *Peering) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.opts.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var d datagram
		if err := cbor.Unmarshal(buf[:n], &d); err != nil || !d.valid() {
			continue // not sent by a gateway
		}
		switch now := time.Now(); {
		case d.Summary != nil:
			p.applySummary(*d.Summary, now)
		case d.Origin != nil:
			p.opts.Origins.Record(d.Origin.ID, d.Origin.software(), now)
		case d.Evidence != nil:
			p.applyEvidence(*d.Evidence, from)
		case d.Limits != nil:
			p.applyLimits(*d.Limits, from, now)
		case d.Quotas != nil:
			p.applyQuotas(*d.Quotas, from)
		default:
			p.apply(d.report, from, now)
		}
	}
}

// apply applies a report unless a newer one of the same gateway has been received. A
// report of an unknown gateway adds the gateway as a peer: after a restart the directory
// may be unavailable, while the other gateways still send to this address.
func (p *Peering) apply(r report, from net.Addr, now time.Time) {
	if r.From == "" || r.From == p.opts.Name {
		return
	}
	p.mu.Lock()
	sender := p.peers[r.From]
	if sender == nil {
		sender = &peer{region: r.Region, zone: r.Zone, far: r.Region != p.opts.Region, otherZone: r.Region == p.opts.Region && r.Zone != p.opts.Zone}
		p.peers[r.From] = sender
	}
	if !sender.precedes(r, now) {
		p.mu.Unlock()
		return
	}
	if udp, ok := from.(*net.UDPAddr); ok && r.Boot != sender.boot {
		sender.addr = udp.AddrPort()
	}
	seen := !sender.reachable
	if seen {
		event.Log(p.opts.Logger, event.PeerSeen, "peer", r.From, "address", sender.addr)
	}
	sender.boot, sender.seq, sender.lastReport, sender.reachable = r.Boot, r.Seq, now, true
	sender.shards, sender.leaving, sender.presentCapacity = r.Shards, r.Leaving, r.Capacity
	sender.configVersion, sender.jobFormat = r.ConfigVersion, r.JobFormat
	p.noteConfigVersion(r.ConfigVersion)
	sender.storeRTT = time.Duration(r.StoreRTTUs) * time.Microsecond
	sender.storeAge = time.Duration(r.StoreAgeMs) * time.Millisecond
	far, otherZone, address := sender.far, sender.otherZone, sender.addr
	p.mu.Unlock()
	if seen && !far && p.opts.Limits != nil {
		p.introduceLimits(address)
	}
	p.applyWaiting(r, far, now)
	peerReport := balance.PeerReport{Counts: decodeCounts(r.Loads), OtherRegion: far, OtherZone: otherZone, Zone: r.Zone, Paces: decodePaces(r.Paces)}
	if !far {
		// A partition between regions makes attempts at the other region's backend
		// servers fail there, but not here. What is started there goes to its own servers.
		peerReport.Failures, peerReport.Started = r.Failures, r.Started
	}
	if far && p.opts.Table.HasRegionSummary(r.Region, now) {
		peerReport.Counts = nil // they are a part of the summary
	}
	for _, s := range p.opts.Table.SetPeer(r.From, peerReport, now) {
		event.Log(p.opts.Logger, event.BackendEjected, "backend", p.opts.BackendID(s.Key), "for", s.For, "by", "several", "last", r.From)
	}
}
