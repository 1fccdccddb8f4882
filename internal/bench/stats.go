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

// stats gathers what one run measures. Online figures are those of services
// that also run batch items.
type stats struct {
	ttft, tbt    *hdrhistogram.Histogram // microseconds
	online       int
	refused      int
	late         int
	batchTokens  int64
	batchItems   int
	preempted    int
	account      Account
	linkBytes    map[purpose]int64
	workerSteps  map[string][]stepSample
	sampleOnline bool
}

// stepSample is one step without batch: its duration and online streams.
type stepSample struct {
	dur     time.Duration
	streams int
}

func newStats() *stats {
	return &stats{
		ttft: hdrhistogram.New(histMinMicros, histMaxMicros, histDigits),
		tbt:  hdrhistogram.New(histMinMicros, histMaxMicros, histDigits),
	}
}

// step records a step for the oracle.
func (st *stats) step(w *worker, p stepPlan) {
	if w.sim.dep.Services[w.service].Batch != nil {
		st.account.noteStep(w, p)
	}
	if st.sampleOnline && w.sim.dep.Services[w.service].Batch != nil {
		st.workerSteps[w.name] = append(st.workerSteps[w.name], stepSample{p.dur, len(w.engine.streams)})
	}
}

// token records one token of a stream.
func (st *stats) token(s *sim, x *stream) {
	r := x.att.req
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
		st.account.noteGap(s.now-x.lastToken, s.tbtTarget, x.att.work.plan)
		return
	}
	record(st.ttft, s.now+s.path(x.att)-r.at)
}

// path is the one-way delay from the backend server to the caller.
func (s *sim) path(a *attempt) time.Duration {
	from, to := s.dep.Zones[a.work.zone], s.dep.Zones[a.entry.zone]
	d := s.dep.ClientDelay
	switch {
	case from.Region != to.Region:
		return d + s.dep.RegionDelay
	case from.Name != to.Name:
		return d + s.dep.ZoneDelay
	}
	return d + s.dep.ZoneDelay/2
}

// finish records a complete answer.
func (st *stats) finish(s *sim, a *attempt) {
	from, to := s.dep.Zones[a.work.zone].Region, s.dep.Zones[a.entry.zone].Region
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
	if s.now-a.req.at > a.req.deadline {
		st.late++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), histMinMicros))
}
