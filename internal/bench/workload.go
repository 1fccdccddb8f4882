package bench

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinrudder/catkinrudder/admission"
)

// request is one online request or batch item.
type request struct {
	id            string
	contextKey    uint64 // cache key of the request's own context
	service       int
	class         admission.Class
	entry         int
	arrival       time.Duration
	prefix        uint64
	prefixTokens  int
	promptTokens  int
	outputTokens  int
	deadline      time.Duration
	nonIdempotent bool
}

// attempt is the current attempt at a request. The same value is used for all
// attempts at the request, with a new ID for each backend server.
type attempt struct {
	req        *request
	id         string
	entry      *entry
	worker     *worker
	keptTokens int // tokens kept from earlier attempts
	tries      int
	// cachedOn is the worker that preempted this attempt and may still have its
	// tokens cached.
	cachedOn      *worker
	failedWorkers []string
}

// cachedTokensOn estimates how many tokens of the prompt a worker's engine has
// cached.
func (a *attempt) cachedTokensOn(w *worker) int {
	if a.cachedOn != w {
		return 0
	}
	return a.req.prefixTokens + a.req.promptTokens + a.keptTokens
}

// onlineArrivals draws all online requests of a run, in order of arrival. Each
// phase and service has its own sequence of random numbers.
func onlineArrivals(d Deployment, seed uint64, duration time.Duration) []*request {
	var out []*request
	start := time.Duration(0)
	for p, ph := range d.Phases {
		length := time.Duration(float64(duration) * ph.Share)
		for s, svc := range d.Services {
			rng := rand.New(rand.NewPCG(seed, uint64(p*16+s)))
			for _, at := range arrivalTimes(rng, ph, svc.OnlineRate*ph.Intensity, length, svc.Batch != nil) {
				r := svc.Online.draw(rng, svc.Name, s, admission.Online)
				r.arrival, r.deadline = start+at, svc.Deadline
				r.entry = rng.IntN(len(d.Entries))
				r.nonIdempotent = rng.Float64() < svc.NonIdempotentShare
				out = append(out, r)
			}
		}
		start += length
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].arrival < out[j].arrival })
	for i, r := range out {
		r.setID("o" + strconv.Itoa(i))
	}
	return out
}

// arrivalTimes draws a Poisson process and, if bursts is set, adds bursts.
func arrivalTimes(rng *rand.Rand, ph Phase, rate float64, length time.Duration, bursts bool) []time.Duration {
	var out []time.Duration
	for t := 0.0; rate > 0; {
		t += rng.ExpFloat64() / rate
		at := time.Duration(t * float64(time.Second))
		if at >= length {
			break
		}
		out = append(out, at)
	}
	if !bursts || ph.BurstEvery == 0 {
		return out
	}
	for b := ph.BurstEvery / 2; b < length; b += ph.BurstEvery {
		for range ph.BurstSize {
			out = append(out, b+time.Duration(rng.Int64N(int64(burstWidth))))
		}
	}
	return out
}

func (m Mix) draw(rng *rand.Rand, service string, index int, class admission.Class) *request {
	r := &request{
		service:      index,
		class:        class,
		promptTokens: drawUniform(rng, m.PromptTokens),
		outputTokens: drawUniform(rng, m.OutputTokens),
	}
	if m.Prefixes > 0 {
		name := service + "/" + strconv.Itoa(int(class)) + "/" + strconv.Itoa(rng.IntN(m.Prefixes))
		r.prefix, r.prefixTokens = xxhash.Sum64String(name), m.PrefixTokens
	}
	return r
}

func (r *request) setID(id string) {
	r.id, r.contextKey = id, xxhash.Sum64String(id)
}

func drawUniform(rng *rand.Rand, span [2]int) int {
	return span[0] + rng.IntN(span[1]-span[0]+1)
}

// preferredWorker returns the name of the worker whose engine may have the
// attempt's tokens cached, or "".
func (a *attempt) preferredWorker() string {
	if a.cachedOn == nil {
		return ""
	}
	return a.cachedOn.name
}
