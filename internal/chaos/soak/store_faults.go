package soak

import (
	"math/rand/v2"
	"sync"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
	"github.com/catkinrudder/catkinrudder/platform"
)

// storeFaults holds the faults in effect at the store. Several faults may overlap.
type storeFaults struct {
	log *keyedlogtest.Log

	mu     sync.Mutex
	active []storeFault
}

type storeFault struct {
	fault keyedlogtest.Fault
	// share is the percentage of calls that the fault affects.
	share int
}

func (s *storeFaults) begin(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = append(s.active, f)
	s.apply()
}

func (s *storeFaults) end(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.active {
		if s.active[i] == f {
			s.active = append(s.active[:i], s.active[i+1:]...)
			break
		}
	}
	s.apply()
}

// apply puts the active faults into effect. The caller holds mu. Writes of the platform
// itself may be refused, but are never dropped or delayed.
func (s *storeFaults) apply() {
	active := append([]storeFault(nil), s.active...)
	s.log.SetFault(func(call string, p keyedlog.Partition) keyedlogtest.Fault {
		ofPlatform := call == "append" && (p.Topic == platform.BackendTopic || p.Topic == platform.ConfigTopic)
		for _, f := range active {
			if ofPlatform && f.fault != keyedlogtest.Refuse || rand.IntN(100) >= f.share {
				continue
			}
			return f.fault
		}
		return keyedlogtest.None
	})
}
