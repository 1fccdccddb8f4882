package peering

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"hash/fnv"
	"io"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/event"
	"github.com/catkinrudder/catkinrudder/internal/boottime"
	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

const (
	// minRelayedGateways is the minimum number of gateways in a region that uses relays.
	// In a smaller region each gateway reads from the log service itself.
	minRelayedGateways = 8
	// minRelays and readersPerRelay determine how many gateways of a region read from
	// the log service for the others.
	minRelays       = 2
	readersPerRelay = 40
	// relayWait is how long a relay may delay a response until there are changes.
	// relayTimeout is the time after which a call to a relay fails. After a failed
	// call, the gateway reads from the log service itself for relayPause, or for
	// refusedPause if the relay has responded that it is not a relay at the moment.
	relayWait    = 500 * time.Millisecond
	relayTimeout = 900 * time.Millisecond
	relayPause   = 3 * time.Second
	refusedPause = 300 * time.Millisecond

	// A starting gateway waits for the directory for directoryTimeout at most. If it has
	// at least largeRegion gateways in its region then, it calls its relay until it gets a
	// response, for startRelayTimeout at most, with relayRetry between two calls.
	startRelayTimeout = 1500 * time.Millisecond
	relayRetry        = 50 * time.Millisecond
	directoryTimeout  = 300 * time.Millisecond

	// maxDecompressedBytes bounds the newest records of a relay.
	maxDecompressedBytes = 64 << 20

	changesPath = "/changes"
	newestPath  = "/newest"
)

// errNotRelay is returned while a relay does not read from the log service itself.
var errNotRelay = errors.New("peering: gateway is not a relay at the moment")

// Source reads one partition through a relay of the own region if there is one,
// otherwise from the log service. It implements keyedlog.Source.
type Source struct {
	peering *Peering
	log     keyedlog.Reader
	// pause is the time until which relays are not used.
	pause boottime.Deadline
	// direct states that the last response came from the log service itself.
	direct atomic.Bool
	// lastRelay is the relay of the last response. Only the follower accesses it.
	lastRelay string
}

// NewSource returns a source of the partition that the relays of p serve.
func (p *Peering) NewSource(log keyedlog.Reader) *Source {
	return &Source{peering: p, log: log}
}

// Direct implements keyedlog.Source.
func (s *Source) Direct() bool { return s.direct.Load() }

// Read implements keyedlog.Reader.
func (s *Source) Read(ctx context.Context, part keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	if relay := s.relay(); relay != "" {
		h, err := s.peering.readChanges(ctx, relay, from, min(wait, relayWait))
		if err == nil || errors.Is(err, keyedlog.ErrTruncated) {
			s.setSource(relay, nil)
			return h, err
		}
		if ctx.Err() != nil {
			return keyedlog.History{}, errors.Wrap(ctx.Err(), "peering: read from a relay")
		}
		s.pauseRelays(err)
		s.setSource("", err)
	}
	s.setSource("", nil)
	return s.log.Read(ctx, part, from, wait)
}

// Newest implements keyedlog.Reader. In a large region, where many gateways may start
// at the same time, it waits for a relay instead of reading all records from the
// service.
func (s *Source) Newest(ctx context.Context, part keyedlog.Partition, after string) (keyedlog.Page, error) {
	if after == "" && s.peering.startsInLargeRegion(ctx) {
		if page, relay := s.newestOfRelay(ctx); relay != "" {
			s.setSource(relay, nil)
			return page, nil
		}
	}
	s.setSource("", nil)
	return s.log.Newest(ctx, part, after)
}

// newestOfRelay calls the relay until it responds. It returns an empty relay if this
// gateway is a relay itself or if no relay responds in time.
func (s *Source) newestOfRelay(ctx context.Context) (page keyedlog.Page, relay string) {
	ctx, cancel := context.WithTimeout(ctx, startRelayTimeout)
	defer cancel()
	for {
		relay, isRelay := s.peering.relay()
		if isRelay {
			return keyedlog.Page{}, ""
		}
		if relay != "" {
			if page, err := s.peering.readNewest(ctx, relay); err == nil {
				return page, relay
			}
		}
		if !delay.Wait(ctx, relayRetry) {
			return keyedlog.Page{}, ""
		}
	}
}

// startsInLargeRegion reports whether the directory lists many gateways of the own region.
// A process that has just started first waits a short time for the directory.
func (p *Peering) startsInLargeRegion(ctx context.Context) bool {
	t := time.NewTimer(directoryTimeout)
	defer t.Stop()
	select {
	case <-p.directoryRead:
	case <-t.C:
	case <-ctx.Done():
	}
	return p.inLargeRegion()
}

// setSource records the source of the last response and logs a change of the source;
// relay is empty for the log service. cause is why a relay is no longer used, or nil.
func (s *Source) setSource(relay string, cause error) {
	s.direct.Store(relay == "")
	if relay == s.lastRelay {
		return
	}
	s.lastRelay = relay
	event.Log(s.peering.opts.Logger, event.SourceChanged, "relay", relay, "cause", cause)
}

// pauseRelays stops the use of relays for a time that depends on why a relay failed.
func (s *Source) pauseRelays(cause error) {
	d := relayPause
	if errors.Is(cause, errNotRelay) {
		d = refusedPause
	}
	s.pause.Extend(d)
}

// relay returns the address of the relay to read from, or an empty string.
func (s *Source) relay() string {
	if !s.pause.Passed() {
		return ""
	}
	address, _ := s.peering.relay()
	return address
}

// candidate is a reachable gateway of the own region, which may be a relay.
type candidate struct {
	name, address string
	linkMbps      float64
	rank          uint32
}

// compare orders candidates by decreasing bandwidth of their links.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.linkMbps, c.linkMbps), cmp.Compare(c.rank, o.rank), cmp.Compare(c.name, o.name))
}

// rankOf returns a hash that orders the gateways of a region the same way at each of
// them.
func rankOf(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32()
}

// relay returns the address of this gateway's relay. The address is empty if this
// gateway is a relay itself, which isRelay reports, or if the region is small.
func (p *Peering) relay() (address string, isRelay bool) {
	near := p.nearGateways()
	if len(near) < minRelayedGateways {
		return "", false
	}
	slices.SortFunc(near, candidate.compare)
	relays := near[:max(minRelays, len(near)/readersPerRelay)]
	for _, r := range relays {
		if r.name == p.opts.Name {
			return "", true
		}
	}
	return relays[int(rankOf(p.opts.Name)>>16)%len(relays)].address, false
}

// nearGateways returns the reachable gateways of the own region, including this one.
func (p *Peering) nearGateways() []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []candidate{{name: p.opts.Name, linkMbps: p.opts.LinkMbps, rank: rankOf(p.opts.Name)}}
	for name, other := range p.peers {
		if !other.far && other.reachable && time.Since(other.lastReport) <= ReportTTL {
			out = append(out, candidate{name, other.addr.String(), other.linkMbps, rankOf(name)})
		}
	}
	return out
}

func (p *Peering) readChanges(ctx context.Context, address string, from int64, wait time.Duration) (keyedlog.History, error) {
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	resp, err := p.callRelay(ctx, address, changesPath+"?"+q.Encode())
	if err != nil {
		return keyedlog.History{}, err
	}
	return keyedlog.History{Records: resp.Records, Next: resp.Next, End: resp.Next}, nil
}

func (p *Peering) readNewest(ctx context.Context, address string) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	raw, err := p.get(ctx, address, newestPath)
	if err != nil {
		return keyedlog.Page{}, err
	}
	decoder, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return keyedlog.Page{}, errors.Wrap(err, "peering: decompress newest records")
	}
	var resp relayResponse
	if err := cbor.NewDecoder(io.LimitReader(decoder, maxDecompressedBytes)).Decode(&resp); err != nil {
		return keyedlog.Page{}, errors.Wrap(err, "peering: decode newest records")
	}
	return keyedlog.Page{Records: resp.Records, End: resp.Next}, nil
}

func (p *Peering) callRelay(ctx context.Context, address, path string) (relayResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	raw, err := p.get(ctx, address, path)
	if err != nil {
		return relayResponse{}, err
	}
	var resp relayResponse
	if err := cbor.Unmarshal(raw, &resp); err != nil {
		return relayResponse{}, errors.Wrap(err, "peering: decode relay response")
	}
	switch {
	case resp.Refused:
		return relayResponse{}, errNotRelay
	case resp.Truncated:
		return relayResponse{}, keyedlog.ErrTruncated
	}
	return resp, nil
}
