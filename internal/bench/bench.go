// Package bench measures the admission and routing policies in virtual time.
// The real admission.Core and routing.Table run against a small model of
// engines and network. A run is deterministic: the same seed gives the same
// figures.
package bench

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configure a benchmark run.
type Options struct {
	Seed uint64
	// Duration is the virtual time of each run.
	Duration time.Duration
	// RatiosOnly skips the policies that no ratio refers to.
	RatiosOnly bool
	// Deployment selects one deployment by name; if empty, all deployments run.
	Deployment string

	// tbtTarget is the gap between online tokens above which a gap counts as late.
	// It is zero in the run without batch, from which it is computed.
	tbtTarget time.Duration
}

// Figures are the results of one policy on one deployment. Times are in
// milliseconds and cover only the services that also run batch items.
type Figures struct {
	Policy  string  `json:"policy"`
	TTFTp50 float64 `json:"ttft_p50_ms"`
	TTFTp95 float64 `json:"ttft_p95_ms"`
	TTFTp99 float64 `json:"ttft_p99_ms"`
	TBTp95  float64 `json:"tbt_p95_ms"`
	// Online counts the complete responses to online requests of all services,
	// and Late those of them that took longer than their deadline. Refused counts
	// the online requests that failed because their last attempt was refused or no
	// backend server was available.
	Online     int     `json:"online_complete"`
	Refused    int     `json:"refused"`
	Late       int     `json:"late"`
	BatchRate  float64 `json:"batch_tokens_per_second"`
	BatchItems int     `json:"batch_items"`
	Preempted  int     `json:"preempted"`
	// IdleUsed is BatchRate as a share of the idle capacity.
	IdleUsed  float64          `json:"idle_used"`
	LinkBytes map[string]int64 `json:"link_bytes"`
}

// Result holds the figures of one deployment under every policy.
type Result struct {
	Deployment string `json:"deployment"`
	// Idle is the idle capacity: the batch throughput that an oracle reaches.
	Idle    float64   `json:"idle_capacity_tokens_per_second"`
	Figures []Figures `json:"figures"`
	Ratios  Ratios    `json:"ratios"`
	// Account is the account of the catkinrudder policy.
	Account Account `json:"account"`
}

// Ratios compare the catkinrudder policy with the run without batch, with the
// idle capacity, and with naive mixing at the same batch throughput.
type Ratios struct {
	// OnlineP99TTFT and OnlineP95TBT divide the policy's figure by that of the run
	// without batch. NaiveP99TTFT divides the figure of naive mixing by the
	// policy's.
	OnlineP99TTFT float64 `json:"online_p99_ttft"`
	OnlineP95TBT  float64 `json:"online_p95_tbt"`
	IdleUsed      float64 `json:"idle_used"`
	NaiveP99TTFT  float64 `json:"naive_p99_ttft"`
}

// Run measures every policy on the selected deployments.
func Run(o Options) ([]Result, error) {
	var chosen []Deployment
	for _, d := range Deployments() {
		if o.Deployment == "" || o.Deployment == d.Name {
			chosen = append(chosen, d)
		}
	}
	if len(chosen) == 0 {
		return nil, errors.Errorf("no deployment %q", o.Deployment)
	}
	out := make([]Result, len(chosen))
	var wg sync.WaitGroup
	for i, d := range chosen {
		wg.Go(func() { out[i] = runDeployment(d, o) })
	}
	wg.Wait()
	return out, nil
}

func runDeployment(d Deployment, o Options) Result {
	withoutBatch := runPolicy(d, catkinrudderPolicy(noBatch, false), o)
	idle := idleCapacity(d, withoutBatch, o.Duration)
	o.tbtTarget = tbtTarget(withoutBatch)
	withBatch := runPolicy(d, catkinrudderPolicy(catkinrudder, true), o)
	res := Result{Deployment: d.Name, Idle: idle}
	res.Account = withBatch.account
	res.add(noBatch, withoutBatch, o)
	res.add(catkinrudder, withBatch, o)
	if !o.RatiosOnly {
		res.addBaselines(d, withBatch, o)
	}
	res.add(naiveGroups, runPolicy(d, naiveGroupsPolicy(groupSize(d, withBatch, o)), o), o)
	res.Ratios = res.ratios()
	return res
}

// addBaselines runs the policies that no ratio refers to.
func (r *Result) addBaselines(d Deployment, withBatch *stats, o Options) {
	for _, p := range []policy{noPausePolicy(), previousPolicy(), staticPolicy(), naivePolicy(naive, maxNaiveItems(d))} {
		r.add(p.name, runPolicy(d, p, o), o)
	}
	r.add(naiveCapped, naiveWithThroughput(d, o, withBatch.batchTokens), o)
}

// naiveWithThroughput runs naive mixing with the smallest number of batch items
// at each worker that produces at least the given number of batch tokens, or
// with the maximum number of items if none does.
func naiveWithThroughput(d Deployment, o Options, tokens int64) *stats {
	low, high := 1, maxNaiveItems(d)
	best := runPolicy(d, naivePolicy(naiveCapped, high), o)
	for low < high {
		mid := (low + high) / 2
		st := runPolicy(d, naivePolicy(naiveCapped, mid), o)
		if st.batchTokens < tokens {
			low = mid + 1
			continue
		}
		high, best = mid, st
	}
	return best
}

// groupSize divides the batch items of a run evenly among its groups. Each feeder
// sends one group every groupInterval, the first at the start of the run. A group that
// is due at the very end of the run is not counted.
func groupSize(d Deployment, withBatch *stats, o Options) int {
	regions := make(map[string]bool)
	for _, z := range d.Zones {
		regions[z.Region] = true
	}
	groups := (int(o.Duration/groupInterval) + 1) * len(regions)
	if o.Duration%groupInterval == 0 {
		groups -= len(regions)
	}
	return max(withBatch.batchItems/groups, 1)
}

// maxNaiveItems is the maximum number of batch items that naive mixing keeps at
// a worker.
func maxNaiveItems(d Deployment) int {
	n := 1
	for _, s := range d.Services {
		n = max(n, s.Policy.Slots)
	}
	return n
}

func runPolicy(d Deployment, p policy, o Options) *stats {
	s := newSim(d, p, o.Seed, o.Duration)
	s.tbtTarget = o.tbtTarget
	if !p.batch {
		s.stats.sampleSteps, s.stats.workerSteps = true, make(map[string][]stepSample)
	}
	return s.run(onlineArrivals(d, o.Seed, o.Duration))
}

func (r *Result) add(name string, st *stats, o Options) {
	ms := func(q float64, micros func(float64) int64) float64 { return float64(micros(q)) / 1000 }
	f := Figures{
		Policy:  name,
		TTFTp50: ms(50, st.ttft.ValueAtQuantile), TTFTp95: ms(95, st.ttft.ValueAtQuantile),
		TTFTp99: ms(99, st.ttft.ValueAtQuantile), TBTp95: ms(95, st.tbt.ValueAtQuantile),
		Online: st.online, Refused: st.refused, Late: st.late,
		BatchRate:  float64(st.batchTokens) / o.Duration.Seconds(),
		BatchItems: st.batchItems, Preempted: st.preempted,
		LinkBytes: make(map[string]int64),
	}
	f.IdleUsed = f.BatchRate / r.Idle
	for p, n := range st.linkBytes {
		f.LinkBytes[string(p)] = n
	}
	r.Figures = append(r.Figures, f)
}

// figuresOf returns the figures of a policy.
func (r *Result) figuresOf(name string) Figures {
	for _, f := range r.Figures {
		if f.Policy == name {
			return f
		}
	}
	return Figures{}
}

func (r *Result) ratios() Ratios {
	withoutBatch, withBatch, naiveMix := r.figuresOf(noBatch), r.figuresOf(catkinrudder), r.figuresOf(naiveGroups)
	return Ratios{
		OnlineP99TTFT: withBatch.TTFTp99 / withoutBatch.TTFTp99,
		OnlineP95TBT:  withBatch.TBTp95 / withoutBatch.TBTp95,
		IdleUsed:      withBatch.IdleUsed,
		NaiveP99TTFT:  naiveMix.TTFTp99 / withBatch.TTFTp99,
	}
}

// Worst returns the worst value of each ratio over all results.
func Worst(results []Result) Ratios {
	w := results[0].Ratios
	for _, r := range results[1:] {
		w.OnlineP99TTFT = max(w.OnlineP99TTFT, r.Ratios.OnlineP99TTFT)
		w.OnlineP95TBT = max(w.OnlineP95TBT, r.Ratios.OnlineP95TBT)
		w.IdleUsed = min(w.IdleUsed, r.Ratios.IdleUsed)
		w.NaiveP99TTFT = min(w.NaiveP99TTFT, r.Ratios.NaiveP99TTFT)
	}
	return w
}
