package bench

import "time"

// maxSlowdown is the maximum ratio of an online time with batch to the same time
// without batch.
const maxSlowdown = 1.05

// idleCapacity returns the batch throughput, in tokens per second, of an oracle
// with advance knowledge of every online step. To each step of the run without
// batch it adds as many batch streams as fit in the free slots and keep the step no
// longer than maxSlowdown times that run's p95 time between tokens. The longer
// steps use up part of the worker's idle time, and the remaining idle time runs
// batch alone in every slot. Streams start, pause and resume at no cost, and
// prefixes are always cached. Each stream pays the prefill of its own prompt,
// spread evenly over its output.
func idleCapacity(d Deployment, withoutBatch *stats, duration time.Duration) float64 {
	tokens := 0.0
	target := tbtTarget(withoutBatch)
	for _, svc := range d.Services {
		if svc.Batch == nil {
			continue
		}
		for k := range svc.Workers {
			tokens += svc.idleTokens(withoutBatch.workerSteps[instanceName(svc.Name, k)], target, duration)
		}
	}
	return tokens / duration.Seconds()
}

// tbtTarget returns maxSlowdown times the p95 time between tokens of a run.
func tbtTarget(withoutBatch *stats) time.Duration {
	return time.Duration(float64(withoutBatch.tbt.ValueAtQuantile(95))*maxSlowdown) * time.Microsecond
}

// idleTokens returns the number of batch tokens that the oracle produces on one
// worker.
func (s Service) idleTokens(steps []stepSample, target, duration time.Duration) float64 {
	cost := s.perBatchStream()
	tokens, left := 0.0, float64(duration)
	for _, st := range steps {
		slack := float64(target - st.duration)
		b := max(min(slack/cost, float64(s.Policy.Slots-st.streams)), 0)
		tokens += b
		left -= float64(st.duration) + b*cost
	}
	if left > 0 {
		slots := float64(s.Policy.Slots)
		tokens += left / (float64(s.Model.StepBase) + slots*cost) * slots
	}
	return tokens
}

// perBatchStream returns how many nanoseconds one batch stream adds to a step.
func (s Service) perBatchStream() float64 {
	prompt := float64(s.Batch.PromptTokens[0]+s.Batch.PromptTokens[1]) / 2
	output := float64(s.Batch.OutputTokens[0]+s.Batch.OutputTokens[1]) / 2
	return float64(s.Model.PerStream) + prompt/output*float64(s.Model.PerPrefill)
}
