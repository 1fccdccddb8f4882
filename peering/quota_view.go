package peering

import (
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/quota"
)

const (
	// quotaViewTime is how long the view of the gateways is used for quotas before it is renewed.
	quotaViewTime = 50 * time.Millisecond
	// unreadTime is the time after its start in which a gateway that can't read the directory
	// takes the others that report to it for a part of all.
	unreadTime = 2 * time.Second
	// mostOfRegion is the part of the known gateways of a region that are nearly all of them: some
	// of the directory's are gone.
	mostOfRegion = 0.8
)

// quotaViews holds the view of the gateways for quotas, and the owners of workspaces by it.
type quotaViews struct {
	mu      sync.Mutex
	members quotaMembers
	owners  map[string]quotaOwners
	// lastLoss is when a gateway of the own region was last given up.
	lastLoss time.Time
}

// quotaOwners are the owners of one workspace: that of the own region, which is empty if there is none,
// and those of the others.
type quotaOwners struct {
	own    string
	others []string
}

// quotaMembers are the gateways at one moment.
type quotaMembers struct {
	// directory states that the directory had been read before.
	directory bool
	at        time.Time
	known     int
	zones     map[[2]string]*quota.Reach
	// reached holds those that are reached, by region.
	reached map[string][]seenGateway
	// set changes with the gateways that are reached.
	set uint64
	// lost is when the last of the gateways of the own region that are out of reach was given up.
	lost time.Time
	// near and nearReached count the gateways of the own region.
	near, nearReached int
	// share and wide are those of quota.Share.
	share float64
	wide  bool
}

// QuotaView implements quota.Peers.
func (p *Peering) QuotaView(workspace string) quota.View {
	now := time.Now()
	p.quotaViews.mu.Lock()
	defer p.quotaViews.mu.Unlock()
	if v := &p.quotaViews; now.Sub(v.members.at) >= quotaViewTime {
		v.renew(p.quotaMembers(now))
	}
	m := &p.quotaViews.members
	owners := p.quotaViews.ownersOf(workspace, p.opts.Region)
	v := quota.View{
		Owner: owners.own, Others: owners.others, Gateways: m.known, MostOfRegion: float64(m.nearReached) >= mostOfRegion*float64(m.near),
		Share: m.share, Wide: m.wide, Since: p.quotaViews.lastLoss,
	}
	if v.Owner == "" {
		v.Owner = p.opts.Name // all of the region are about to stop
	}
	v.Self = v.Owner == p.opts.Name
	if !m.directory && (now.Sub(p.startedAt) < unreadTime || m.known == 1) {
		v.Gateways = 0
	}
	return v
}

// renew replaces the view. Owners that were found by it are kept if the same gateways are reached.
func (v *quotaViews) renew(m quotaMembers) {
	if v.owners == nil || m.set != v.members.set {
		v.owners = make(map[string]quotaOwners)
	}
	if m.lost.After(v.lastLoss) {
		v.lastLoss = m.lost
	}
	v.members = m
}

// ownersOf returns the owners of a workspace.
func (v *quotaViews) ownersOf(workspace, region string) quotaOwners {
	owners, found := v.owners[workspace]
	if found {
		return owners
	}
	for r, gateways := range v.members.reached {
		var best firstInOrder
		for _, g := range gateways {
			best.consider(workspace, g)
		}
		if r == region {
			owners.own = best.gateway.name
			continue
		}
		owners.others = append(owners.others, best.gateway.name)
	}
	v.owners[workspace] = owners
	return owners
}

// quotaMembers returns the gateways as they are now.
func (p *Peering) quotaMembers(now time.Time) quotaMembers {
	m := quotaMembers{directory: p.directoryKnown(), at: now, zones: make(map[[2]string]*quota.Reach), reached: make(map[string][]seenGateway)}
	p.eachGateway(now, m.add)
	m.share, m.wide = quota.Share(m.reach())
	return m
}

func (m *quotaMembers) add(g seenGateway) {
	m.known++
	key := [2]string{g.region, g.zone}
	zone := m.zones[key]
	if zone == nil {
		zone = &quota.Reach{}
		m.zones[key] = zone
	}
	zone.Known++
	if !g.far {
		m.near++
	}
	if g.reached {
		zone.Reached++
		if !g.far {
			m.nearReached++
		}
		m.set += hashName(g.name)
		m.reached[g.region] = append(m.reached[g.region], g)
		return
	}
	if g.far {
		return
	}
	if given := g.lastReport.Add(ReportTTL); given.After(m.lost) {
		m.lost = given
	}
}

func (m *quotaMembers) reach() []quota.Reach {
	reach := make([]quota.Reach, 0, len(m.zones))
	for _, z := range m.zones {
		reach = append(reach, *z)
	}
	return reach
}

// directoryKnown reports whether the directory of gateways has been read.
func (p *Peering) directoryKnown() bool {
	select {
	case <-p.directoryRead:
		return true
	default:
		return false
	}
}
