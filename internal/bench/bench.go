// Package bench measures the admission and routing policies in virtual time.
// The real admission.Core and routing.Table run against a small model of
// engines and network; the same seed gives the same figures.
package bench

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options choose a run.
type Options struct {
	Seed uint64
	// Duration is the virtual time of each run.
	Duration time.Duration
	// RatiosOnly leaves out the policies that no ratio is about.
	RatiosOnly bool
	// Deployment names one deployment; empty runs all.
	Deployment string

	tbtTarget time.Duration
}

// Figures are what one policy reached on one deployment. Times are in
// milliseconds.
type Figures struct {
	Policy     string           `json:"policy"`
	TTFTp50    float64          `json:"ttft_p50_ms"`
	TTFTp95    float64          `json:"ttft_p95_ms"`
	TTFTp99    float64          `json:"ttft_p99_ms"`
	TBTp95     float64          `json:"tbt_p95_ms"`
	Online     int              `json:"online_complete"`
	Refused    int              `json:"refused"`
	Late       int              `json:"late"`
	BatchRate  float64          `json:"batch_tokens_per_second"`
	BatchItems int              `json:"batch_items"`
	Preempted  int              `json:"preempted"`
	IdleUsed   float64          `json:"idle_used"`
	LinkBytes  map[string]int64 `json:"link_bytes"`
}

// Result is one deployment under every policy.
type Result struct {
	Deployment string    `json:"deployment"`
	Idle       float64   `json:"idle_capacity_tokens_per_second"`
	Figures    []Figures `json:"figures"`
	Ratios     Ratios    `json:"ratios"`
	// Account is that of the project's policy.
	Account Account `json:"account"`
}

// Ratios compare the project's policy with the run without batch, with the
// idle capacity, and with naive mixing at the same batch throughput.
type Ratios struct {
	OnlineP99TTFT float64 `json:"online_p99_ttft"`
	OnlineP95TBT  float64 `json:"online_p95_tbt"`
	IdleUsed      float64 `json:"idle_used"`
	NaiveP99TTFT  float64 `json:"naive_p99_ttft"`
}

// Run measures every policy on the chosen deployments.
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
	none := runPolicy(d, oursPolicy(noBatch, false), o)
	idle := idleCapacity(d, none, o.Duration)
	o.tbtTarget = tbtTarget(none)
	mine := runPolicy(d, oursPolicy(ours, true), o)
	res := Result{Deployment: d.Name, Idle: idle}
	res.Account = mine.account
	res.add(noBatch, none, o)
	res.add(ours, mine, o)
	if !o.RatiosOnly {
		res.addBaselines(d, mine, o)
	}
	res.add(naiveLots, runPolicy(d, naiveLotsPolicy(lotSize(d, mine, o)), o), o)
	res.Ratios = res.ratios()
	return res
}

// addBaselines runs the policies that no ratio is about.
func (r *Result) addBaselines(d Deployment, mine *stats, o Options) {
	for _, p := range []policy{noPausePolicy(), previousPolicy(), staticPolicy(), naivePolicy(naive, maxNaiveItems(d))} {
		r.add(p.name, runPolicy(d, p, o), o)
	}
	r.add(naiveCap, naiveAt(d, o, mine.batchTokens), o)
}

// naiveAt runs naive mixing with the fewest batch items at each worker that
// produce at least the given batch tokens, or with the most there are.
func naiveAt(d Deployment, o Options, tokens int64) *stats {
	low, high := 1, maxNaiveItems(d)
	best := runPolicy(d, naivePolicy(naiveCap, high), o)
	for low < high {
		mid := (low + high) / 2
		st := runPolicy(d, naivePolicy(naiveCap, mid), o)
		if st.batchTokens < tokens {
			low = mid + 1
			continue
		}
		high, best = mid, st
	}
	return best
}

// lotSize spreads the batch items of a run over lots, one from each feeder
// every lotEvery.
func lotSize(d Deployment, mine *stats, o Options) int {
	regions := make(map[string]bool)
	for _, z := range d.Zones {
		regions[z.Region] = true
	}
	lots := (int(o.Duration/lotEvery) + 1) * len(regions)
	if o.Duration%lotEvery == 0 {
		lots -= len(regions)
	}
	return max(mine.batchItems/lots, 1)
}

// maxNaiveItems is the most batch items that naive mixing keeps at a worker.
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
		s.stats.sampleOnline, s.stats.workerSteps = true, make(map[string][]stepSample)
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

// of returns the figures of a policy.
func (r *Result) of(name string) Figures {
	for _, f := range r.Figures {
		if f.Policy == name {
			return f
		}
	}
	return Figures{}
}

func (r *Result) ratios() Ratios {
	none, mine, mixed := r.of(noBatch), r.of(ours), r.of(naiveLots)
	return Ratios{
		OnlineP99TTFT: mine.TTFTp99 / none.TTFTp99,
		OnlineP95TBT:  mine.TBTp95 / none.TBTp95,
		IdleUsed:      mine.IdleUsed,
		NaiveP99TTFT:  mixed.TTFTp99 / mine.TTFTp99,
	}
}

// Worst returns the worst of each ratio over all deployments.
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
