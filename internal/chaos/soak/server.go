package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/delay"
	"github.com/catkinrudder/catkinrudder/internal/proctest"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

const (
	beatInterval = 400 * time.Millisecond
	// lapse is the silence after which the platform removes a registration.
	lapse = 3 * beatInterval
	// drainTime is how long a leaving backend server may still get work, and
	// lingerTime how much longer it serves.
	drainTime  = 1500 * time.Millisecond
	lingerTime = 1500 * time.Millisecond

	serverSlots = 6
	streamSize  = 25
	streamGap   = 10 * time.Millisecond
	callTime    = 20 * time.Millisecond
)

// server is one place for a backend server. Each start of it is a new boot with
// a new id and address.
type server struct {
	name string
	zone string
	log  *keyedlogtest.Log

	mu    sync.Mutex
	boots []*boot
}

// boot is one life of a backend server.
type boot struct {
	backend *platformtest.Backend
	link    *proctest.Forwarder
	zone    string
	// stop ends the registration.
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	state string
	fault platformtest.Fault
	share int
}

func newServer(name, zone string, log *keyedlogtest.Log) *server {
	return &server{name: name, zone: zone, log: log}
}

// start begins a new life.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	backend, err := platformtest.StartBackend(fmt.Sprintf("%s-boot%d", s.name, len(s.boots)))
	if err != nil {
		return err
	}
	backend.Events, backend.EventInterval, backend.CallDuration = streamSize, streamGap, callTime
	link, err := proctest.NewForwarder(backend.Address)
	if err != nil {
		backend.Kill()
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &boot{backend: backend, link: link, zone: s.zone, stop: stop, done: make(chan struct{}), state: "ready"}
	backend.SetFault(b.choose)
	s.boots = append(s.boots, b)
	go b.beat(ctx, s.log)
	return nil
}

// now returns the current life.
func (s *server) now() *boot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boots[len(s.boots)-1]
}

// lives returns every life so far.
func (s *server) lives() []*boot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*boot(nil), s.boots...)
}

// kill ends the current life without a word; the platform notices later.
func (s *server) kill() {
	b := s.now()
	b.link.Cut()
	b.backend.Kill()
	b.stop()
	<-b.done
	time.AfterFunc(lapse, func() { b.remove(s.log) })
}

// close ends every life.
func (s *server) close() {
	for _, b := range s.lives() {
		b.stop()
		<-b.done
		b.link.Close()
		b.backend.Kill()
	}
}

// leave ends the current life as planned. It returns when the store acknowledged
// the notice.
func (b *boot) leave(ctx context.Context, log *keyedlogtest.Log) (notice time.Time) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for b.register(log, "draining", 0) != nil && ctx.Err() == nil {
		delay.Wait(ctx, beatInterval)
	}
	return time.Now()
}

// depart ends a life that has left.
func (b *boot) depart(log *keyedlogtest.Log) {
	b.stop()
	<-b.done
	b.remove(log)
	b.link.Cut()
	b.backend.Kill()
}

// beat renews the registration until ctx ends.
func (b *boot) beat(ctx context.Context, log *keyedlogtest.Log) {
	defer close(b.done)
	for seq := 1; ctx.Err() == nil; seq++ {
		b.mu.Lock()
		// A store that is down refuses; the next beat comes anyway.
		_ = b.registerLocked(log, b.state, seq)
		b.mu.Unlock()
		delay.Wait(ctx, beatInterval)
	}
}

func (b *boot) register(log *keyedlogtest.Log, state string, seq int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registerLocked(log, state, seq)
}

// registerLocked writes the registration; the caller holds mu, so that no older
// state follows a newer one.
func (b *boot) registerLocked(log *keyedlogtest.Log, state string, seq int) error {
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": b.link.Addr, "Zone": b.zone, "Version": "v1", "Slots": serverSlots,
		"State": state, "ColdRemainingMs": 0, "Seq": seq,
	})
	if err != nil {
		return err
	}
	return write(log, platform.BackendTopic, keyedlog.Record{Key: b.backend.ID, Value: value})
}

// remove takes the registration away, as the platform does; while the store is
// down it tries again.
func (b *boot) remove(log *keyedlogtest.Log) {
	for range 100 {
		if write(log, platform.BackendTopic, keyedlog.Record{Key: b.backend.ID}) == nil {
			return
		}
		time.Sleep(beatInterval)
	}
}

func write(log *keyedlogtest.Log, topic string, record keyedlog.Record) error {
	_, err := log.Append(context.Background(), keyedlog.Partition{Topic: topic}, []keyedlog.Record{record}, keyedlog.Condition{})
	return err
}

// disturb makes a share of the requests, in percent, meet a fault.
func (b *boot) disturb(f platformtest.Fault, share int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault, b.share = f, share
}

// choose returns the fault of a request.
func (b *boot) choose(a platformtest.Request) platformtest.Fault {
	switch {
	case strings.HasSuffix(a.ID, poisonMark):
		return platformtest.Unprocessable
	case strings.HasSuffix(a.ID, failingMark):
		return platformtest.Fail
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault == platformtest.CloseDelimited && strings.Contains(a.Path, "/call") {
		return platformtest.None // a call's answer always has its length
	}
	if rand.IntN(100) < b.share {
		return b.fault
	}
	return platformtest.None
}
