package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
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
	heartbeatInterval = 400 * time.Millisecond
	// registrationTimeout is the time without a heartbeat after which the platform
	// removes a registration.
	registrationTimeout = 3 * heartbeatInterval
	// drainTime is how long a draining backend server may still receive work. lingerTime
	// is how long it continues to serve after that.
	drainTime  = 1500 * time.Millisecond
	lingerTime = 1500 * time.Millisecond

	serverSlots   = 6
	streamEvents  = 25
	eventInterval = 10 * time.Millisecond
	callDuration  = 20 * time.Millisecond
)

// The states of an incarnation. Only those that are ready or draining are registered.
const (
	stateReady     = "ready"
	stateDraining  = "draining"
	stateKilled    = "killed"
	stateRestarted = "restarted"
)

// server is a backend server that can be killed or drained and started again. Each start
// creates an incarnation with a new id and address; a restart keeps the address.
type server struct {
	name string
	zone string
	log  *keyedlogtest.Log
	// closes states that the server ends its responses by closing the connection.
	closes bool

	mu           sync.Mutex
	incarnations []*incarnation
}

// incarnation is a run of a backend server from its start to its end.
type incarnation struct {
	backend *platformtest.Backend
	link    *proctest.Forwarder
	zone    string
	// stop ends the heartbeats.
	stop context.CancelFunc
	done chan struct{}

	mu    sync.Mutex
	state string
	// seq numbers the registrations. lateBy is how late the store executes heartbeats; 0 is at once.
	seq    int
	lateBy time.Duration
	fault  platformtest.Fault
	share  int
	// limits is the number of faults in effect that make the server name a limit.
	limits int
}

func newServer(name, zone string, closes bool, log *keyedlogtest.Log) *server {
	return &server{name: name, zone: zone, closes: closes, log: log}
}

// start starts a new incarnation.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	backend, err := platformtest.StartBackend(fmt.Sprintf("%s-boot%d", s.name, len(s.incarnations)))
	if err != nil {
		return err
	}
	backend.Version = versionName(len(s.incarnations))
	if s.closes {
		backend.SetCloses()
	}
	backend.Events, backend.EventInterval, backend.CallDuration = streamEvents, eventInterval, callDuration
	backend.IntervalOf = intervalOf
	link, err := proctest.NewForwarder(backend.Address)
	if err != nil {
		backend.Kill()
		return err
	}
	s.add(backend, link)
	return nil
}

// versionName returns the version of the n-th incarnation, each of which is a release of the other one
// of two software versions.
func versionName(n int) string { return fmt.Sprintf("v%d", 1+n%2) }

// add adds the incarnation of a backend server that has just started. The caller holds mu.
func (s *server) add(backend *platformtest.Backend, link *proctest.Forwarder) {
	ctx, stop := context.WithCancel(context.Background())
	b := &incarnation{backend: backend, link: link, zone: s.zone, stop: stop, done: make(chan struct{}), state: stateReady}
	backend.SetFault(b.faultFor)
	s.incarnations = append(s.incarnations, b)
	go b.heartbeat(ctx, s.log)
}

// current returns the current incarnation.
func (s *server) current() *incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnations[len(s.incarnations)-1]
}

// allIncarnations returns all incarnations so far.
func (s *server) allIncarnations() []*incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*incarnation(nil), s.incarnations...)
}

// kill kills the current incarnation. Its registration is removed after
// registrationTimeout.
func (s *server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.incarnations[len(s.incarnations)-1]
	b.leave(stateKilled, stateReady, stateDraining)
	b.link.Close() // later connections are refused, as the server has ended
	b.backend.Kill()
	b.stop()
	<-b.done
	time.AfterFunc(registrationTimeout, func() { b.remove(s.log) })
}

// close stops all incarnations.
func (s *server) close() {
	for _, b := range s.allIncarnations() {
		b.stop()
		<-b.done
		b.link.Close()
		b.backend.Kill()
	}
}

// drain sends the drain notice of the incarnation. It returns the time at which the store
// acknowledged the notice.
func (i *incarnation) drain(ctx context.Context, log *keyedlogtest.Log) (notice time.Time) {
	i.backend.SetLeaving()
	for i.register(log, stateDraining) != nil && ctx.Err() == nil {
		delay.Wait(ctx, heartbeatInterval)
	}
	return time.Now()
}

// shutDown removes the registration of a drained incarnation and stops it.
func (i *incarnation) shutDown(log *keyedlogtest.Log) {
	i.stop()
	<-i.done
	i.remove(log)
	i.link.Cut()
	i.backend.Kill()
}

// heartbeat renews the registration until ctx ends.
func (i *incarnation) heartbeat(ctx context.Context, log *keyedlogtest.Log) {
	defer close(i.done)
	for ctx.Err() == nil {
		i.mu.Lock()
		// An unavailable store refuses the write. The next heartbeat retries it.
		if i.state == stateReady || i.state == stateDraining {
			_ = i.registerLocked(log, i.state)
		}
		i.mu.Unlock()
		delay.Wait(ctx, heartbeatInterval)
	}
}

func (i *incarnation) register(log *keyedlogtest.Log, state string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.registerLocked(log, state)
}

// registerLocked writes the registration under the next number. The caller holds mu, so that no older state is
// written after a newer one, unless the store executes heartbeats late.
func (i *incarnation) registerLocked(log *keyedlogtest.Log, state string) error {
	i.seq++
	value, err := json.Marshal(map[string]any{
		"Service": service, "Address": i.link.Addr, "Zone": i.zone, "Version": i.backend.Version, "Slots": serverSlots,
		"State": state, "ColdRemainingMs": 0, "Seq": i.seq, "born": i.backend.Born,
	})
	if err != nil {
		return err
	}
	record := keyedlog.Record{Key: i.backend.ID, Value: value}
	if i.lateBy > 0 && state == stateReady {
		time.AfterFunc(i.lateBy, func() { i.writeLate(log, record) })
		return nil
	}
	return write(log, platform.BackendTopic, record)
}

// writeLate executes a heartbeat late. If the incarnation has ended, the registration expires again.
func (i *incarnation) writeLate(log *keyedlogtest.Log, record keyedlog.Record) {
	if write(log, platform.BackendTopic, record) != nil {
		return
	}
	select {
	case <-i.done:
		time.AfterFunc(registrationTimeout, func() { i.remove(log) })
	default:
	}
}

// remove removes the registration, as the platform does. It retries while the store is
// unavailable.
func (i *incarnation) remove(log *keyedlogtest.Log) {
	for range 100 {
		if write(log, platform.BackendTopic, keyedlog.Record{Key: i.backend.ID}) == nil {
			return
		}
		time.Sleep(heartbeatInterval)
	}
}

func write(log *keyedlogtest.Log, topic string, record keyedlog.Record) error {
	_, err := log.Append(context.Background(), keyedlog.Partition{Topic: topic}, []keyedlog.Record{record}, keyedlog.Condition{})
	return err
}

// setFault sets the fault that affects a share of the requests, in percent.
func (i *incarnation) setFault(f platformtest.Fault, share int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault, i.share = f, share
}

// addLimit adds n to the number of faults that make the server name a limit.
func (i *incarnation) addLimit(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limits += n
	if i.limits > 0 {
		i.backend.SetRateLimit(strconv.Itoa(namedLimit))
		return
	}
	i.backend.SetRateLimit("")
}

// faultFor returns the fault of a request.
func (i *incarnation) faultFor(a platformtest.Request) platformtest.Fault {
	switch {
	case strings.HasSuffix(a.ID, poisonSuffix):
		return platformtest.Unprocessable
	case strings.HasSuffix(a.ID, failingSuffix):
		return platformtest.Fail
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.fault == platformtest.CloseDelimited && strings.Contains(a.Path, "/call") {
		return platformtest.None // the response to a call always has its length
	}
	if rand.IntN(100) < i.share {
		return i.fault
	}
	return platformtest.None
}
