package peering

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// Peer is the record of a gateway in the directory.
type Peer struct {
	Address string `cbor:"1,keyasint"`
	Region  string `cbor:"2,keyasint"`
	// LinkMbps is the bandwidth of the gateway's link; 0 if it is unknown.
	LinkMbps float64 `cbor:"3,keyasint,omitempty"`
	// Zone is the gateway's availability zone; it is empty in records of older releases.
	Zone string `cbor:"4,keyasint,omitempty"`
	// Capacity is the gateway's capacity in cores, by its settings; 0 if they do not say.
	Capacity float64 `cbor:"5,keyasint,omitempty"`
	// JobFormat is the newest jobs.StoredFormat that the gateway reads; records of older releases do not hold it.
	// EncodePeer sets it.
	JobFormat int `cbor:"6,keyasint,omitempty"`
}

// EncodePeer returns the directory record of a gateway of this release.
func EncodePeer(p Peer) ([]byte, error) {
	p.JobFormat = jobs.StoredFormat
	raw, err := cbor.Marshal(p)
	return raw, errors.Wrap(err, "peering: encode directory record")
}

// Rebuild implements keyedlog.View. A peer without a record stays: it is removed once
// it has sent no report for removeAfter.
func (p *Peering) Rebuild(records []keyedlog.Record) {
	p.Apply(records)
	p.directoryOnce.Do(func() { close(p.directoryRead) })
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
			p.applyRecord(r)
		}
	}
}

func (p *Peering) applyRecord(r keyedlog.Record) {
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
	listed := p.peers[r.Key]
	if listed == nil {
		listed = &peer{lastReport: time.Now()}
		p.peers[r.Key] = listed
	}
	listed.addr, listed.region, listed.zone, listed.linkMbps, listed.capacity = addr, rec.Region, rec.Zone, rec.LinkMbps, rec.Capacity
	listed.jobFormat = rec.JobFormat
	listed.far = rec.Region != p.opts.Region
	listed.otherZone = !listed.far && rec.Zone != p.opts.Zone
}
