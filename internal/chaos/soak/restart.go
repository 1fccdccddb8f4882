package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
)

const (
	// closingPercent is the percentage of servers that end their responses by closing the connection.
	closingPercent = 50
	// maxPause is the longest suspension of a server's process.
	maxPause = 300 * time.Millisecond
)

// identity is what a restarted server takes over from the process before.
type identity uint8

const (
	// sameID: the process has the id and the software of the one before.
	sameID identity = iota
	// newID: the process has another id.
	newID
	// newVersion: the process has another id and runs another version of the software.
	newVersion
	identities
)

// drawRestarts adds the servers that end their responses by closing, and series of faults in which
// they are killed and back at once, while gateways are killed or stopped.
func (p *Plan) drawRestarts() {
	g := generator{chaos.NewRand(p.Seed, 4)}
	for range servers {
		p.Closes = append(p.Closes, g.Percent(closingPercent))
	}
	among := []FaultKind{PauseBackend, PauseBackend, KillGateway, StopGateway, ReloadGateway, DrainBackend}
	if p.Profile == Backends {
		among = []FaultKind{PauseBackend, DrainBackend}
	}
	for range g.IntN(4) {
		at, target := g.Within(workloadDuration*3/4), g.IntN(60)
		for range 2 + g.IntN(5) {
			f := Fault{At: at, Kind: RestartBackend, Target: target, Share: g.IntN(int(identities))}
			if g.Percent(closingPercent) {
				f.Target = g.IntN(60)
			}
			p.Faults = append(p.Faults, f)
			if g.Percent(30) {
				p.Faults = append(p.Faults, Fault{
					At: at + g.Within(50*time.Millisecond), For: g.Between(50*time.Millisecond, maxPause),
					Kind: among[g.IntN(len(among))], Target: g.IntN(60),
				})
			}
			at += g.Between(20*time.Millisecond, 500*time.Millisecond)
		}
	}
}

// restart kills the current incarnation and starts it again at once at its address. A server that is
// down or draining is left alone.
func (s *server) restart(as identity) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.incarnations[len(s.incarnations)-1]
	if !old.leave(stateRestarted, stateReady) {
		return nil
	}
	old.stop()
	<-old.done
	id := old.backend.ID
	if as != sameID || old.limited() {
		id = fmt.Sprintf("%s-boot%d", s.name, len(s.incarnations))
		time.AfterFunc(registrationTimeout, func() { old.remove(s.log) })
	}
	backend, err := old.backend.Restart(id)
	if err != nil {
		return err
	}
	backend.SetRateLimit("")
	switch as {
	case newVersion:
		backend.Version = versionName(len(s.incarnations))
	case sameID, newID: // the software stays the same
	}
	s.add(backend, old.link)
	return nil
}

// leave sets the state of an incarnation unless it has another one than expected.
func (i *incarnation) leave(state string, expected ...string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !slices.Contains(expected, i.state) {
		return false
	}
	i.state = state
	return true
}

func (i *incarnation) limited() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.limits > 0
}
