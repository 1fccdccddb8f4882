package soak

import (
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/peering"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// storeRegion is the region of the store.
const storeRegion = "near"

var (
	zones    = []string{"near-1", "far-1"}
	regionOf = map[string]string{"near-1": storeRegion, "far-1": "far"}

	// directoryTopic is the topic in which each gateway publishes its peer address.
	directoryTopic = platform.KeyedTopic("gateways")
)

// zoneOf returns the availability zone of the i-th gateway or server.
func zoneOf(i int) string { return zones[i%len(zones)] }

// peerLinks holds the links between the gateways by the indexes of both, the lower one
// first.
type peerLinks struct {
	gateways []*proctest.Gateway
	byPair   map[[2]int]*proctest.PeerLink
}

// connect creates a link between every two gateways.
func (p *peerLinks) connect(gateways []*proctest.Gateway) error {
	p.gateways = gateways
	p.byPair = make(map[[2]int]*proctest.PeerLink)
	for i := range gateways {
		for j := range i {
			link, err := proctest.NewPeerLink(gateways[j].PeerAddr, gateways[i].PeerAddr)
			if err != nil {
				return err
			}
			p.byPair[[2]int{j, i}] = link
		}
	}
	return nil
}

// filterFor returns the filter for the records that a gateway reads from the store. In
// records of the directory, it replaces the address of another gateway by that of the link
// to it, so that all traffic between gateways passes through the links.
func (p *peerLinks) filterFor(reader int) platformtest.RecordFilter {
	return func(topic string, r keyedlog.Record) keyedlog.Record {
		if topic != directoryTopic || r.Value == nil {
			return r
		}
		for i, g := range p.gateways {
			if g.Name == r.Key && i != reader {
				return p.rewrite(reader, i, r)
			}
		}
		return r
	}
}

func (p *peerLinks) rewrite(reader, other int, r keyedlog.Record) keyedlog.Record {
	link, side := p.link(reader, other)
	value, err := peering.EncodePeer(peering.Peer{Address: link.Addrs[side], Region: regionOf[zoneOf(other)]})
	if err != nil {
		panic(err) // unreachable: the type consists of two strings
	}
	r.Value = value
	return r
}

// link returns the link between two gateways and the side of the first one.
func (p *peerLinks) link(from, to int) (link *proctest.PeerLink, side int) {
	if from < to {
		return p.byPair[[2]int{from, to}], 0
	}
	return p.byPair[[2]int{to, from}], 1
}

// cut cuts all links of a gateway.
func (p *peerLinks) cut(gateway int) { p.partition(map[int]bool{gateway: true}) }

// dropFrom drops what a gateway sends to the others.
func (p *peerLinks) dropFrom(gateway int) {
	for i := range p.gateways {
		if i != gateway {
			link, side := p.link(gateway, i)
			link.DropFrom(side)
		}
	}
}

// partition cuts the links between a set of gateways and the others.
func (p *peerLinks) partition(group map[int]bool) {
	for ends, link := range p.byPair {
		if group[ends[0]] != group[ends[1]] {
			link.Cut()
		}
	}
}

func (p *peerLinks) restore() {
	for _, link := range p.byPair {
		link.Restore()
	}
}

func (p *peerLinks) close() {
	for _, link := range p.byPair {
		link.Close()
	}
}
