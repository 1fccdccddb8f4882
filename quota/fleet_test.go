package quota_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/quota"
)

const (
	near, far  = time.Millisecond, 30 * time.Millisecond
	silentTime = 900 * time.Millisecond
	askTimeout = 80 * time.Millisecond
	workspace  = "w"
)

var bounds = quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// fleet is some gateways in two regions of three zones each, in the virtual time of a test.
type fleet struct {
	mu       sync.Mutex
	gateways []*member
	// partedAt is when the regions were parted; zero if they reach each other.
	partedAt time.Time
	// deaf states that owners don't get the messages of others.
	deaf     bool
	messages atomic.Int64
}

// member is a gateway of a fleet. It implements quota.Peers and quota.Observer.
type member struct {
	fleet              *fleet
	name, region, zone string
	limiter            *quota.Limiter
	stop               context.CancelFunc
	// brokenAt is when the gateway was killed, frozen or cut off; zero if it is reached.
	brokenAt time.Time
	// asleep is closed when a frozen gateway wakes.
	asleep chan struct{}
	// lastLoss is when a gateway of its region was last given up.
	lastLoss time.Time
	limit    quota.Limit
	version  int64
	// share of the arrivals that come here
	weight float64
}

func newFleet(t *testing.T, n int, limit quota.Limit) *fleet {
	f := &fleet{}
	for i := range n {
		region := []string{"r", "s"}[i%2]
		m := &member{fleet: f, name: fmt.Sprint("g", i), region: region, zone: fmt.Sprint(region, i/2%3), limit: limit, version: 1, weight: 1}
		f.gateways = append(f.gateways, m)
	}
	for _, m := range f.gateways {
		m.start(t)
	}
	return f
}

func (m *member) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l := quota.NewLimiter(quota.Options{
		StartedAt: time.Now(), Bounds: bounds, Peers: func() quota.Peers { return m }, Observer: m, Logger: log.New(io.Discard),
		Configured: func(string) (quota.Limit, int64, bool) {
			m.fleet.mu.Lock()
			defer m.fleet.mu.Unlock()
			return m.limit, m.version, true
		},
	})
	m.fleet.mu.Lock()
	m.limiter, m.stop, m.brokenAt = l, cancel, time.Time{}
	m.fleet.mu.Unlock()
	go l.Run(ctx)
}

// kill ends the process.
func (m *member) kill() {
	m.stop()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.brokenAt, m.limiter = time.Now(), nil
}

// cut cuts the gateway off from the others; it still has callers.
func (m *member) cut(off bool) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.brokenAt = time.Time{}
	if off {
		m.brokenAt = time.Now()
	}
}

// freeze stops the process; what is sent to it waits.
func (m *member) freeze() {
	m.stop()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.brokenAt, m.asleep = time.Now(), make(chan struct{})
}

// wake lets a frozen process go on.
func (m *member) wake(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m.fleet.mu.Lock()
	m.stop, m.brokenAt = cancel, time.Time{}
	close(m.asleep)
	m.asleep = nil
	m.fleet.mu.Unlock()
	go m.limiter.Run(ctx)
}

func (f *fleet) part(parted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partedAt = time.Time{}
	if parted {
		f.partedAt = time.Now()
	}
}

// brokenSince returns since when two gateways don't reach each other, or zero if they do.
func (f *fleet) brokenSince(a, b *member) time.Time {
	at := a.brokenAt
	if b.brokenAt.After(at) {
		at = b.brokenAt
	}
	if a.region != b.region && f.partedAt.After(at) {
		at = f.partedAt
	}
	return at
}

func (f *fleet) find(name string) *member {
	i := slices.IndexFunc(f.gateways, func(m *member) bool { return m.name == name })
	return f.gateways[i]
}

func rank(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name + workspace))
	return h.Sum32()
}

// QuotaView implements quota.Peers.
func (m *member) QuotaView(string) quota.View {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	v := quota.View{Gateways: len(f.gateways), MostOfRegion: true}
	zones, first := make(map[string]*quota.Reach), make(map[string]*member)
	for _, g := range f.gateways {
		if zones[g.zone] == nil {
			zones[g.zone] = &quota.Reach{}
		}
		zones[g.zone].Known++
		since := f.brokenSince(m, g)
		if g != m && !since.IsZero() && now.Sub(since) > silentTime {
			if lost := since.Add(silentTime); g.region == m.region && lost.After(m.lastLoss) {
				m.lastLoss = lost
			}
			v.MostOfRegion = v.MostOfRegion && g.region != m.region
			continue
		}
		zones[g.zone].Reached++
		if o := first[g.region]; o == nil || rank(g.name) < rank(o.name) {
			first[g.region] = g
		}
	}
	v.Since = m.lastLoss
	var reach []quota.Reach
	for _, z := range zones {
		reach = append(reach, *z)
	}
	v.Share, v.Wide = quota.Share(reach)
	v.Owner, v.Self = first[m.region].name, first[m.region] == m
	for region, g := range first {
		if region != m.region {
			v.Others = append(v.Others, g.name)
		}
	}
	return v
}

// deliver calls arrived with the limiter of another gateway after the time of the way there.
func (m *member) deliver(to string, arrived func(*quota.Limiter)) {
	f := m.fleet
	f.messages.Add(1)
	f.mu.Lock()
	g := f.find(to)
	broken, asleep, sleeps := !f.brokenSince(m, g).IsZero(), g.asleep, m.asleep != nil
	f.mu.Unlock()
	if broken && asleep == nil || sleeps {
		return
	}
	way := near
	if g.region != m.region {
		way = far
	}
	time.AfterFunc(way, func() {
		if asleep != nil {
			<-asleep
		}
		f.mu.Lock()
		l := g.limiter
		f.mu.Unlock()
		if l != nil {
			arrived(l)
		}
	})
}

// RequestQuota implements quota.Peers.
func (m *member) RequestQuota(ctx context.Context, owner string, r quota.Request) (quota.Reply, error) {
	replied := make(chan quota.Reply, 1)
	m.deliver(owner, func(l *quota.Limiter) {
		reply := l.HandleRequest(r)
		m.fleet.messages.Add(1)
		time.AfterFunc(near, func() { replied <- reply })
	})
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case reply := <-replied:
		return reply, nil
	case <-ctx.Done():
		return quota.Reply{}, errors.WithStack(ctx.Err())
	}
}

// SendExchanges implements quota.Peers.
func (m *member) SendExchanges(to string, messages []quota.Exchange) {
	if m.fleet.deaf {
		return
	}
	messages = slices.Clone(messages)
	m.deliver(to, func(l *quota.Limiter) { l.HandleExchanges(m.name, messages) })
}

// Permits implements quota.Observer.
func (*member) Permits(quota.PermitOutcome, int) {}

// Asked implements quota.Observer.
func (*member) Asked(quota.AskOutcome) {}

// outcome is what became of a request.
type outcome struct {
	sent, at time.Time
	gateway  *member
	refusal  *quota.Refusal
}

// record holds the outcomes of the requests of a test.
type record struct {
	mu  sync.Mutex
	all []outcome
}

func (r *record) admitted() (at []time.Time) {
	for _, o := range r.all {
		if o.refusal == nil {
			at = append(at, o.at)
		}
	}
	return at
}

func (r *record) refused() (out []outcome) {
	for _, o := range r.all {
		if o.refusal != nil {
			out = append(out, o)
		}
	}
	return out
}

// send sends a request to a gateway.
func (f *fleet) send(t *testing.T, m *member, r *record) *quota.Refusal {
	f.mu.Lock()
	l, limit, version := m.limiter, m.limit, m.version
	f.mu.Unlock()
	if l == nil {
		return nil
	}
	sent := time.Now()
	_, err := l.Admit(t.Context(), workspace, limit, version)
	var refusal *quota.Refusal
	if err != nil && !errors.As(err, &refusal) {
		t.Error(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, outcome{sent, time.Now(), m, refusal})
	return refusal
}

// anyGateway returns a running gateway by the weights.
func (f *fleet) anyGateway(rng *rand.Rand) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0.0
	for _, m := range f.gateways {
		if m.limiter != nil && m.asleep == nil {
			sum += m.weight
		}
	}
	x := rng.Float64() * sum
	for _, m := range f.gateways {
		if m.limiter == nil || m.asleep != nil {
			continue
		}
		if x -= m.weight; x < 0 {
			return m
		}
	}
	return f.gateways[0]
}

// play sends requests at a rate that depends on the time, and calls the steps at theirs.
func (f *fleet) play(t *testing.T, length time.Duration, rate func(time.Duration) float64, steps map[time.Duration]func()) *record {
	rng := rand.New(rand.NewPCG(1, 2))
	r := &record{}
	begin := time.Now()
	const tick = time.Millisecond
	arrivals, next := 0.0, rng.ExpFloat64()
	for at := time.Duration(0); at < length; at += tick {
		if step := steps[at]; step != nil {
			step()
		}
		for arrivals += rate(at) * tick.Seconds(); next <= arrivals; next += rng.ExpFloat64() {
			m := f.anyGateway(rng)
			go func() { _ = f.send(t, m, r) }()
		}
		time.Sleep(time.Until(begin.Add(at + tick)))
	}
	time.Sleep(time.Second)
	synctest.Wait()
	return r
}

// most returns the largest number of times within a window.
func most(at []time.Time, window time.Duration) (n int) {
	slices.SortFunc(at, time.Time.Compare)
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// allowed returns how many requests may run in a window.
func allowed(l quota.Limit) float64 {
	return (l.RequestsPerSecond*bounds.Window.Seconds()+l.Burst)*(1+bounds.Overshoot) + bounds.Slack
}
