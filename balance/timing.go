package balance

import (
	"math"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
)

const (
	// timingMemory is how many of the last times a mean takes into account.
	timingMemory = 128
	// minSpeedTimes is the number of times of one backend server from which on its own speed can
	// differ, and speedCertainty the number of standard errors that the difference has to exceed.
	minSpeedTimes  = 16
	speedCertainty = 3
	// The bounds of a backend server's own speed.
	minSpeed = 0.5
	maxSpeed = 3.0
	// maxTimed bounds the services and the backend servers whose times are kept.
	maxTimed = 4096
)

// timing is the moving mean and variance of the logarithm of a time: times of requests of many
// sizes differ by factors.
type timing struct {
	n              int
	mean, variance float64
}

func (t *timing) observe(x float64) {
	t.n++
	weight := 1 / float64(min(t.n, timingMemory))
	d := x - t.mean
	t.mean += weight * d
	t.variance = (1 - weight) * (t.variance + weight*d*d)
}

// certain reports whether the mean clearly differs from 0.
func (t *timing) certain() bool {
	if t.n < minSpeedTimes {
		return false
	}
	standardError := math.Sqrt(t.variance / float64(min(t.n, timingMemory)))
	return math.Abs(t.mean) > speedCertainty*standardError
}

// timings holds the times until the first byte of a response, by service, and how those of single
// backend servers differ from them.
type timings struct {
	services map[string]*timing
	servers  map[string]*timing
}

func newTimings() timings {
	return timings{services: make(map[string]*timing), servers: make(map[string]*timing)}
}

// observe records the time until the first byte that a backend server took at the given pace.
func (t *timings) observe(b catalog.Backend, took time.Duration, pace float64) {
	x := math.Log(max(took.Seconds(), time.Millisecond.Seconds()) / pace)
	service := timingOf(t.services, b.Service)
	server := timingOf(t.servers, b.ID)
	if service == nil || server == nil {
		return
	}
	if service.n > 0 {
		server.observe(x - service.mean)
	}
	service.observe(x)
}

func timingOf(all map[string]*timing, name string) *timing {
	if all[name] == nil && len(all) < maxTimed {
		all[name] = &timing{}
	}
	return all[name]
}

// firstByte returns the usual time until the first byte of a service's responses in milliseconds;
// 0 if it is not known.
func (t *timings) firstByte(service string) float64 {
	s := t.services[service]
	if s == nil {
		return 0
	}
	return math.Exp(s.mean) * millisecondsPerSecond
}

// speed returns how long a backend server steadily takes, relative to its service.
func (t *timings) speed(id string) float64 {
	s := t.servers[id]
	if s == nil || !s.certain() {
		return usualPace
	}
	return min(max(math.Exp(s.mean), minSpeed), maxSpeed)
}

// ObserveFirstByte records how long the first byte of a response took that a choice has led to.
// Only what waits for nothing shows the time of the work itself.
func (t *Table) ObserveFirstByte(c Choice, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Reason != FreeSlot || t.otherRegion(c.Backend) {
		return
	}
	t.timings.observe(c.Backend, took, t.paces.believed(Key(c.Backend.ID), now))
}
