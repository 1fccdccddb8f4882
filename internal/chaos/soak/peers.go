package soak

import (
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// storeRegion is the region in which the store stands.
const storeRegion = "near"

var (
	zones    = []string{"near-1", "far-1"}
	regionOf = map[string]string{"near-1": storeRegion, "far-1": "far"}

	directoryTopic = platform.KeyedTopic("gateways")
)

// zoneOf returns the availability zone of a gateway or a server by its number.
func zoneOf(i int) string { return zones[i%len(zones)] }

// peerLinks are the ways between the gateways, by the numbers of both, the lower
// first.
type peerLinks struct {
	gateways []*proctest.Gateway
	between  map[[2]int]*proctest.PeerLink
}

// connect puts a link between each two gateways.
func (p *peerLinks) connect(gateways []*proctest.Gateway) error {
	p.gateways = gateways
	p.between = make(map[[2]int]*proctest.PeerLink)
	for i := range gateways {
		for j := range i {
			link, err := proctest.NewPeerLink(gateways[j].PeerAddr, gateways[i].PeerAddr)
			if err != nil {
				return err
			}
			p.between[[2]int{j, i}] = link
		}
	}
	return nil
}

// view returns what a gateway reads of the directory: the others at the addresses
// of its links to them.
func (p *peerLinks) view(reader int) platformtest.RecordFilter {
	return func(topic string, r keyedlog.Record) keyedlog.Record {
		if topic != directoryTopic || r.Value == nil {
			return r
		}
		for i, g := range p.gateways {
			if g.Name == r.Key && i != reader {
				return p.seen(reader, i, r)
			}
		}
		return r
	}
}

func (p *peerLinks) seen(reader, other int, r keyedlog.Record) keyedlog.Record {
	link, side := p.link(reader, other)
	value, err := peering.EncodePeer(peering.Peer{Address: link.Addrs[side], Region: regionOf[zoneOf(other)]})
	if err != nil {
		panic(err) // a type of two strings
	}
	r.Value = value
	return r
}

// link returns the way between two gateways, and the side of the first on it.
func (p *peerLinks) link(from, to int) (link *proctest.PeerLink, side int) {
	if from < to {
		return p.between[[2]int{from, to}], 0
	}
	return p.between[[2]int{to, from}], 1
}

// cut parts a gateway from all others.
func (p *peerLinks) cut(gateway int) { p.part(map[int]bool{gateway: true}) }

// silence drops what a gateway sends to the others.
func (p *peerLinks) silence(gateway int) {
	for i := range p.gateways {
		if i != gateway {
			link, side := p.link(gateway, i)
			link.DropFrom(side)
		}
	}
}

// part cuts the ways between some gateways and the rest.
func (p *peerLinks) part(some map[int]bool) {
	for ends, link := range p.between {
		if some[ends[0]] != some[ends[1]] {
			link.Cut()
		}
	}
}

func (p *peerLinks) restore() {
	for _, link := range p.between {
		link.Restore()
	}
}

func (p *peerLinks) close() {
	for _, link := range p.between {
		link.Close()
	}
}
