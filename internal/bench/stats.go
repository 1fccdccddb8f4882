package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinrudder/catkinrudder/admission"
)

const (
	histMinMicros = 1
	histMaxMicros = int64(120 * time.Second / time.Microsecond)
	histDigits    = 3
)

// stats collects the measurements of one run. Online latencies cover only
// services that also run batch items.
type stats struct {
	ttft, tbt   *hdrhistogram.Histogram // microseconds
	online      int
	refused     int
	late        int
	batchTokens int64
	batchItems  int
	preempted   int
	account     Account
	linkBytes   map[purpose]int64
	workerSteps map[string][]stepSample // by worker name
	sampleSteps bool
}

// stepSample is one step of a run without batch: its duration and its number of
// online streams.
type stepSample struct {
	duration time.Duration
	streams  int
}

func newStats() *stats {
	return &stats{
		ttft: hdrhistogram.New(histMinMicros, histMaxMicros, histDigits),
		tbt:  hdrhistogram.New(histMinMicros, histMaxMicros, histDigits),
	}
}

// recordStep records a step for the account and, if sampleSteps is set, for the
// oracle.
func (st *stats) recordStep(w *worker, p stepPlan) {
	if w.sim.dep.Services[w.service].Batch != nil {
		st.account.recordStep(w, p)
	}
	if st.sampleSteps && w.sim.dep.Services[w.service].Batch != nil {
		st.workerSteps[w.name] = append(st.workerSteps[w.name], stepSample{p.duration, len(w.engine.streams)})
	}
}

// recordToken records one token of a stream. The time to first token includes the
// delay to the client; the time between tokens is measured at the backend server.
func (st *stats) recordToken(s *sim, x *stream) {
	r := x.attempt.req
	defer func() { x.emitted, x.lastToken = true, s.now }()
	if r.class == admission.Batch {
		st.batchTokens++
		return
	}
	if s.dep.Services[r.service].Batch == nil {
		return
	}
	if x.emitted {
		record(st.tbt, s.now-x.lastToken)
		st.account.recordGap(s.now-x.lastToken, s.tbtTarget, x.attempt.worker.plan)
		return
	}
	record(st.ttft, s.now+s.responseDelay(x.attempt)-r.arrival)
}

// responseDelay returns the one-way delay from the backend server to the client.
func (s *sim) responseDelay(a *attempt) time.Duration {
	from, to := s.dep.Zones[a.worker.zone], s.dep.Zones[a.entry.zone]
	d := s.dep.ClientDelay
	switch {
	case from.Region != to.Region:
		return d + s.dep.RegionDelay
	case from.Name != to.Name:
		return d + s.dep.ZoneDelay
	}
	return d + s.dep.ZoneDelay/2
}

// recordFinish records a complete response.
func (st *stats) recordFinish(s *sim, a *attempt) {
	from, to := s.dep.Zones[a.worker.zone].Region, s.dep.Zones[a.entry.zone].Region
	if a.req.class == admission.Batch {
		st.batchItems++
		if from != to {
			s.link.count(a.req.outputTokens*bytesPerToken, batchBytes)
		}
		return
	}
	if from != to {
		s.link.count(a.req.outputTokens*tokenFrameBytes, onlineBytes)
	}
	st.online++
	if s.now-a.req.arrival > a.req.deadline {
		st.late++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), histMinMicros))
}
