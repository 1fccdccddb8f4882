package bench

import "time"

// harmBound is how much longer an online time may be with batch than without.
const harmBound = 1.05

// idleCapacity is the batch throughput, in tokens a second, of an oracle that
// knows every online step in advance. Beside each step of the run without
// batch it adds as many batch streams as fit the free slots and keep the step
// no longer than harmBound times the run's p95 time between tokens; the longer
// steps take their time from the worker's idle time, and the idle time that is
// left runs batch alone in every slot. Streams start, pause and resume at no
// cost, prefixes are always cached, and each stream pays the prefill of its
// own prompt, spread evenly over its output.
func idleCapacity(d Deployment, none *stats, duration time.Duration) float64 {
	tokens := 0.0
	target := tbtTarget(none)
	for _, svc := range d.Services {
		if svc.Batch == nil {
			continue
		}
		for k := range svc.Workers {
			tokens += svc.idleTokens(none.workerSteps[instanceName(svc.Name, k)], target, duration)
		}
	}
	return tokens / duration.Seconds()
}

// tbtTarget is harmBound times the p95 time between tokens of a run.
func tbtTarget(none *stats) time.Duration {
	return time.Duration(float64(none.tbt.ValueAtQuantile(95))*harmBound) * time.Microsecond
}

// idleTokens is what the oracle produces on one worker.
func (s Service) idleTokens(steps []stepSample, target, duration time.Duration) float64 {
	cost := s.perBatchStream()
	tokens, left := 0.0, float64(duration)
	for _, st := range steps {
		slack := float64(target - st.dur)
		b := max(min(slack/cost, float64(s.Policy.Slots-st.streams)), 0)
		tokens += b
		left -= float64(st.dur) + b*cost
	}
	if left > 0 {
		slots := float64(s.Policy.Slots)
		tokens += left / (float64(s.Model.StepBase) + slots*cost) * slots
	}
	return tokens
}

// perBatchStream is what one batch stream adds to a step, in nanoseconds.
func (s Service) perBatchStream() float64 {
	prompt := float64(s.Batch.PromptTokens[0]+s.Batch.PromptTokens[1]) / 2
	output := float64(s.Batch.OutputTokens[0]+s.Batch.OutputTokens[1]) / 2
	return float64(s.Model.PerStream) + prompt/output*float64(s.Model.PerPrefill)
}
