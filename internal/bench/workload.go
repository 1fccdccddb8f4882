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
	key           uint64 // cache key of its own context
	service       int
	class         admission.Class
	entry         int
	at            time.Duration
	prefix        uint64
	prefixTokens  int
	promptTokens  int
	outputTokens  int
	deadline      time.Duration
	nonIdempotent bool
}

// attempt is one try of a request at a backend server.
type attempt struct {
	req   *request
	id    string
	entry *entry
	work  *worker
	kept  int // tokens kept from earlier attempts
	tries int
	// held is the worker that was preempted with this attempt's tokens.
	held  *worker
	fails []string
}

// cachedAt estimates how many tokens of the prompt a worker's engine holds.
func (a *attempt) cachedAt(w *worker) int {
	if a.held != w {
		return 0
	}
	return a.req.prefixTokens + a.req.promptTokens + a.kept
}

// onlineArrivals draws the whole online load of a run, in order of time.
func onlineArrivals(d Deployment, seed uint64, duration time.Duration) []*request {
	var out []*request
	start := time.Duration(0)
	for p, ph := range d.Phases {
		length := time.Duration(float64(duration) * ph.Share)
		for s, svc := range d.Services {
			rng := rand.New(rand.NewPCG(seed, uint64(p*16+s)))
			for _, at := range arrivalTimes(rng, ph, svc.OnlineRate*ph.Intensity, length, svc.Batch != nil) {
				r := svc.Online.draw(rng, svc.Name, s, admission.Online)
				r.at, r.deadline = start+at, svc.Deadline
				r.entry = rng.IntN(len(d.Entries))
				r.nonIdempotent = rng.Float64() < svc.NonIdempotentShare
				out = append(out, r)
			}
		}
		start += length
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i, r := range out {
		r.name("o" + strconv.Itoa(i))
	}
	return out
}

// arrivalTimes draws a Poisson process and, if asked for, bursts.
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
		promptTokens: between(rng, m.PromptTokens),
		outputTokens: between(rng, m.OutputTokens),
	}
	if m.Prefixes > 0 {
		name := service + "/" + strconv.Itoa(int(class)) + "/" + strconv.Itoa(rng.IntN(m.Prefixes))
		r.prefix, r.prefixTokens = xxhash.Sum64String(name), m.PrefixTokens
	}
	return r
}

func (r *request) name(id string) {
	r.id, r.key = id, xxhash.Sum64String(id)
}

func between(rng *rand.Rand, span [2]int) int {
	return span[0] + rng.IntN(span[1]-span[0]+1)
}

// prefer names the worker whose engine holds the attempt's tokens.
func (a *attempt) prefer() string {
	if a.held == nil {
		return ""
	}
	return a.held.name
}
