package peering

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"hash/fnv"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// fewGateways of a region read the service each by itself.
	fewGateways = 8
	// leastRelays and readersPerRelay say how many gateways of a larger region read
	// the service for the others.
	leastRelays     = 2
	readersPerRelay = 40
	// relayWait is how long a relay may hold an answer back, and relayTimeout when a
	// relay that does not answer is given up. Instead the service is read, for
	// relayPause, or for refusedPause if the relay answers that it is none now.
	relayWait    = 500 * time.Millisecond
	relayTimeout = 900 * time.Millisecond
	relayPause   = 3 * time.Second
	refusedPause = 300 * time.Millisecond

	// manyGateways is the size of a region from which on a starting gateway waits
	// for a relay: relayPatience at most, with relayRetry between two questions, and
	// directoryPatience for the directory before that.
	manyGateways      = 40
	relayPatience     = 1500 * time.Millisecond
	relayRetry        = 50 * time.Millisecond
	directoryPatience = 300 * time.Millisecond

	changesPath = "/changes"
	newestPath  = "/newest"
)

// errNotRelay is a relay's answer while it does not read the service itself.
var errNotRelay = errors.New("peering: not a relay now")

// Source reads one partition through a relay of the own region if there is one,
// and else from the service. It implements keyedlog.Source.
type Source struct {
	peering *Peering
	log     keyedlog.Reader
	// pausedUntil is how long the service is read, in Unix nanoseconds.
	pausedUntil atomic.Int64
	direct      atomic.Bool
	// last is the relay of the last answer, known to the follower alone.
	last string
}

// NewSource returns a source of the partition that the relays of p pass on.
func (p *Peering) NewSource(log keyedlog.Reader) *Source {
	return &Source{peering: p, log: log}
}

// Direct implements keyedlog.Source.
func (s *Source) Direct() bool { return s.direct.Load() }

// Read implements keyedlog.Reader.
func (s *Source) Read(ctx context.Context, part keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	if relay := s.relay(); relay != "" {
		h, err := s.peering.changes(ctx, relay, from, min(wait, relayWait))
		if err == nil || errors.Is(err, keyedlog.ErrTruncated) {
			s.answered(relay, nil)
			return h, err
		}
		s.pause(err)
		s.answered("", err)
	}
	s.answered("", nil)
	return s.log.Read(ctx, part, from, wait)
}

// Newest implements keyedlog.Reader. In a large region, in which many gateways may
// start at once, it waits for a relay rather than read everything from the service.
func (s *Source) Newest(ctx context.Context, part keyedlog.Partition, after string) (keyedlog.Page, error) {
	if after == "" && s.peering.inLargeRegion(ctx) {
		if page, relay := s.newestOfRelay(ctx); relay != "" {
			s.answered(relay, nil)
			return page, nil
		}
	}
	s.answered("", nil)
	return s.log.Newest(ctx, part, after)
}

// newestOfRelay asks the relay until it answers. It returns no relay if this gateway
// is one itself, or none answers in time.
func (s *Source) newestOfRelay(ctx context.Context) (page keyedlog.Page, relay string) {
	ctx, cancel := context.WithTimeout(ctx, relayPatience)
	defer cancel()
	for {
		relay, own := s.peering.relay()
		if own {
			return keyedlog.Page{}, ""
		}
		if relay != "" {
			if page, err := s.peering.newest(ctx, relay); err == nil {
				return page, relay
			}
		}
		if !delay.Wait(ctx, relayRetry) {
			return keyedlog.Page{}, ""
		}
	}
}

// inLargeRegion reports whether the directory lists many gateways of the own region.
// A process that has just started waits a little for the directory.
func (p *Peering) inLargeRegion(ctx context.Context) bool {
	t := time.NewTimer(directoryPatience)
	defer t.Stop()
	select {
	case <-p.listed:
	case <-t.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, known := range p.peers {
		if !known.far {
			n++
		}
	}
	return n >= manyGateways
}

// answered notes where the next answer comes from; relay is empty for the service.
func (s *Source) answered(relay string, cause error) {
	s.direct.Store(relay == "")
	if relay == s.last {
		return
	}
	s.last = relay
	event.Log(s.peering.opts.Logger, event.SourceChanged, "relay", relay, "cause", cause)
}

func (s *Source) pause(cause error) {
	d := relayPause
	if errors.Is(cause, errNotRelay) {
		d = refusedPause
	}
	s.pausedUntil.Store(time.Now().Add(d).UnixNano())
}

// relay returns the address of the relay to read from, or nothing.
func (s *Source) relay() string {
	if time.Now().UnixNano() < s.pausedUntil.Load() {
		return ""
	}
	address, _ := s.peering.relay()
	return address
}

// candidate is a gateway of the own region.
type candidate struct {
	name, address string
	linkMbps      float64
	rank          uint32
}

// compare orders candidates: those with the widest links first.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.linkMbps, c.linkMbps), cmp.Compare(c.rank, o.rank), cmp.Compare(c.name, o.name))
}

// rankOf orders the gateways of a region alike at each of them.
func rankOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // a hash takes everything
	return h.Sum32()
}

// relay returns the address of the relay of this gateway. It is empty if this gateway
// is a relay itself, which own says, or if the region is small.
func (p *Peering) relay() (address string, own bool) {
	near := p.near()
	if len(near) < fewGateways {
		return "", false
	}
	slices.SortFunc(near, candidate.compare)
	relays := near[:max(leastRelays, len(near)/readersPerRelay)]
	for _, r := range relays {
		if r.name == p.opts.Name {
			return "", true
		}
	}
	return relays[int(rankOf(p.opts.Name)>>16)%len(relays)].address, false
}

// near returns the gateways of the own region that were heard of late, this one
// included.
func (p *Peering) near() []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []candidate{{name: p.opts.Name, linkMbps: p.opts.LinkMbps, rank: rankOf(p.opts.Name)}}
	for name, known := range p.peers {
		if !known.far && known.alive && time.Since(known.heard) <= ReportTTL {
			out = append(out, candidate{name, known.addr.String(), known.linkMbps, rankOf(name)})
		}
	}
	return out
}

func (p *Peering) changes(ctx context.Context, address string, from int64, wait time.Duration) (keyedlog.History, error) {
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	a, err := p.askRelay(ctx, address, changesPath+"?"+q.Encode())
	if err != nil {
		return keyedlog.History{}, err
	}
	return keyedlog.History{Records: a.Records, Next: a.Next, End: a.Next}, nil
}

func (p *Peering) newest(ctx context.Context, address string) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	raw, err := p.get(ctx, address, newestPath)
	if err != nil {
		return keyedlog.Page{}, err
	}
	z, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return keyedlog.Page{}, errors.Wrap(err, "peering: relay")
	}
	var a relayed
	if err := cbor.NewDecoder(z).Decode(&a); err != nil {
		return keyedlog.Page{}, errors.Wrap(err, "peering: relay")
	}
	return keyedlog.Page{Records: a.Records, End: a.Next}, nil
}

func (p *Peering) askRelay(ctx context.Context, address, path string) (relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	raw, err := p.get(ctx, address, path)
	if err != nil {
		return relayed{}, err
	}
	var a relayed
	if err := cbor.Unmarshal(raw, &a); err != nil {
		return relayed{}, errors.Wrap(err, "peering: relay")
	}
	switch {
	case a.Refused:
		return relayed{}, errNotRelay
	case a.Forgotten:
		return relayed{}, keyedlog.ErrTruncated
	}
	return a, nil
}
