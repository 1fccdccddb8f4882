// Package peering tells the load that each gateway puts on the backend servers
// to all others, in datagrams. A lost datagram is made good by the next one:
// each holds the whole of the sender's counts.
package peering

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	maxDatagram = 8 << 10
	// ReportTTL is how long a peer's report holds.
	ReportTTL = 900 * time.Millisecond
	// forgetAfter is how long a silent peer is still sent reports.
	forgetAfter = time.Minute
)

// report is a datagram: what one gateway has in progress.
type report struct {
	From   string             `cbor:"1,keyasint"`
	Boot   int64              `cbor:"2,keyasint"`
	Seq    uint64             `cbor:"3,keyasint"`
	Loads  map[uint32][2]int  `cbor:"4,keyasint"`
	Shards []jobs.ShardReport `cbor:"5,keyasint,omitempty"`
	// Region is the sender's, for receivers that have no record of it.
	Region string `cbor:"6,keyasint,omitempty"`
	// StoreAgeMs is how long ago the sender heard from the store.
	StoreAgeMs int64 `cbor:"7,keyasint,omitempty"`
	// StoreRTTUs is how long a short call to the store takes the sender, in
	// microseconds; 0 if it has not measured it.
	StoreRTTUs int64 `cbor:"8,keyasint,omitempty"`
	// Failures are the sender's recent failures at backend servers.
	Failures map[uint32]uint32 `cbor:"9,keyasint,omitempty"`
}

// Peer is the record of a gateway in the directory.
type Peer struct {
	Address string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint"`
	// LinkMbps is what the gateway's link carries, 0 if that is not known.
	LinkMbps float64 `cbor:"3,keyasint,omitempty"`
}

// Options are the settings of Peering.
type Options struct {
	Name   string
	Region string
	// LinkMbps is what this gateway's link carries, 0 if that is not known.
	LinkMbps float64
	Table    *balance.Table
	Logger   *log.Logger
	Conn     net.PacketConn
	// Client calls peers.
	Client *http.Client
	// Shards returns what this gateway reports on the shards that it owns.
	Shards func() []jobs.ShardReport
	// BackendID returns the id of the backend server with a key of package balance.
	BackendID func(key uint32) string
	// StoreAge returns how long ago this gateway heard from the store.
	StoreAge func() time.Duration
	// StoreRTT returns how long a short call to the store takes, 0 if that is
	// not known.
	StoreRTT func() time.Duration
}

// Peering sends and receives reports. It implements keyedlog.View over the
// directory of gateways.
type Peering struct {
	opts Options
	boot int64

	// listed is closed once the directory was read.
	listed     chan struct{}
	listedOnce sync.Once

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	addr netip.AddrPort
	far  bool
	// linkMbps is what its link carries, by the directory.
	linkMbps float64
	// boot and seq order the reports; heard is when the last one came.
	boot  int64
	seq   uint64
	heard time.Time
	alive bool
	// shards are those that the peer owned by its last report.
	shards []jobs.ShardReport
	// storeAge is how long ago the peer had heard from the store at its last
	// report.
	storeAge time.Duration
	storeRTT time.Duration
}

// New returns a Peering that uses opts.Conn.
func New(opts Options) *Peering {
	return &Peering{opts: opts, boot: time.Now().UnixNano(), listed: make(chan struct{}), peers: make(map[string]*peer)}
}

// EncodePeer returns the directory record of a gateway.
func EncodePeer(p Peer) ([]byte, error) {
	raw, err := cbor.Marshal(p)
	return raw, errors.Wrap(err, "peering: encode")
}

// Rebuild implements keyedlog.View. Peers that have left the directory are
// dropped once they have been silent for forgetAfter.
func (p *Peering) Rebuild(records []keyedlog.Record) {
	p.Apply(records)
	p.listedOnce.Do(func() { close(p.listed) })
}

// Apply implements keyedlog.View.
func (p *Peering) Apply(records []keyedlog.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		if r.Key == p.opts.Name {
			continue
		}
		if r.Value != nil {
			p.put(r)
		}
	}
}

func (p *Peering) put(r keyedlog.Record) {
	var rec Peer
	addr := netip.AddrPort{}
	err := cbor.Unmarshal(r.Value, &rec)
	if err == nil {
		addr, err = netip.ParseAddrPort(rec.Address)
	}
	if err != nil {
		event.Log(p.opts.Logger, event.RecordSkipped, "topic", "peers", "offset", r.Offset, "cause", err)
		return
	}
	known := p.peers[r.Key]
	if known == nil {
		known = &peer{heard: time.Now()}
		p.peers[r.Key] = known
	}
	known.addr, known.far, known.linkMbps = addr, rec.Region != p.opts.Region, rec.LinkMbps
}

// Run sends and receives until ctx ends.
func (p *Peering) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.opts.Conn.Close() })
	defer stop()
	go p.receive()
	quiet := time.NewTicker(quietInterval)
	defer quiet.Stop()
	var seq uint64
	lastFar := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.opts.Table.LocalCountsChanged():
		case <-quiet.C:
		}
		seq++
		r := p.report(seq)
		far := time.Since(lastFar) >= p.farPause(len(r.Shards) > 0)
		if far {
			lastFar = time.Now()
		}
		p.send(r, far)
		p.pause(ctx)
	}
}

func (p *Peering) report(seq uint64) report {
	return report{
		From: p.opts.Name, Boot: p.boot, Seq: seq, Region: p.opts.Region,
		Loads: p.loads(), Shards: p.opts.Shards(), Failures: p.opts.Table.Failures(time.Now()),
		StoreAgeMs: p.opts.StoreAge().Milliseconds(), StoreRTTUs: p.opts.StoreRTT().Microseconds(),
	}
}

func (p *Peering) loads() map[uint32][2]int {
	own := p.opts.Table.LocalCounts()
	loads := make(map[uint32][2]int, len(own))
	for id, c := range own {
		loads[id] = [2]int{c.Online, c.Batch}
	}
	return loads
}

func (p *Peering) send(r report, far bool) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	var to []netip.AddrPort
	for name, known := range p.peers {
		if known.alive && now.Sub(known.heard) > ReportTTL {
			known.alive = false
			event.Log(p.opts.Logger, event.PeerGone, "peer", name, "silent_for", now.Sub(known.heard))
		}
		if now.Sub(known.heard) > forgetAfter {
			delete(p.peers, name)
			p.opts.Table.RemovePeer(name)
			continue
		}
		if !known.far || far {
			to = append(to, known.addr)
		}
	}
	p.mu.Unlock()
	for _, addr := range to {
		// A datagram that is not sent is like one that is lost.
		_, _ = p.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(addr))
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
		var r report
		if err := cbor.Unmarshal(buf[:n], &r); err != nil {
			continue // not a report of a gateway
		}
		p.take(r, from, time.Now())
	}
}

// take applies a report unless a newer one of the same gateway was seen. The
// report of an unknown gateway makes it known: after a restart the directory may
// be out of reach, while the others still send to this address.
func (p *Peering) take(r report, from net.Addr, now time.Time) {
	if r.From == "" || r.From == p.opts.Name {
		return
	}
	p.mu.Lock()
	known := p.peers[r.From]
	if known == nil {
		known = &peer{far: r.Region != p.opts.Region}
		p.peers[r.From] = known
	}
	if udp, ok := from.(*net.UDPAddr); ok && r.Boot > known.boot {
		known.addr = udp.AddrPort()
	}
	if r.Boot < known.boot || r.Boot == known.boot && r.Seq <= known.seq {
		p.mu.Unlock()
		return
	}
	if !known.alive {
		event.Log(p.opts.Logger, event.PeerSeen, "peer", r.From, "address", known.addr)
	}
	known.boot, known.seq, known.heard, known.alive = r.Boot, r.Seq, now, true
	known.shards = r.Shards
	known.storeRTT = time.Duration(r.StoreRTTUs) * time.Microsecond
	known.storeAge = time.Duration(r.StoreAgeMs) * time.Millisecond
	far := known.far
	p.mu.Unlock()
	counts := make(map[uint32]balance.Counts, len(r.Loads))
	for id, n := range r.Loads {
		counts[id] = balance.Counts{Online: n[0], Batch: n[1]}
	}
	told := balance.PeerReport{Counts: counts}
	if !far {
		// A cut between regions makes the other region's backend servers fail
		// there, and not here.
		told.Failures = r.Failures
	}
	for _, s := range p.opts.Table.SetPeer(r.From, told, now) {
		event.Log(p.opts.Logger, event.BackendEjected, "backend", p.opts.BackendID(s.Key), "for", s.For, "by", "several", "last", r.From)
	}
}
