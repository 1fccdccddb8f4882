package admission

import "time"

const (
	// forget is the weight that one more observation leaves to older ones.
	forget = 0.9995
	// priorWeight is the weight, in observations, of priorPerStream.
	priorWeight = 20
	// meanGain is the gain of exponential moving averages.
	meanGain = 0.05
	// nominalStep stands for the step until one is observed.
	nominalStep = 20 * time.Millisecond
	// priorPerStream is the assumed growth of a step for each stream, as a
	// share of the step.
	priorPerStream = 0.02
)

// mean is an exponential moving average.
type mean struct {
	value float64
	seen  bool
}

func (m *mean) add(v float64) {
	if !m.seen {
		m.value, m.seen = v, true
		return
	}
	m.value += meanGain * (v - m.value)
}

// stepModel learns how the time between tokens grows with the streams that run
// side by side: weighted linear least squares with exponential forgetting over
// steps in which nothing was prefilled.
type stepModel struct {
	w, x, y, xx, xy   float64
	intercept, perOne float64 // seconds
	fitted            bool
}

// observe records the time between two tokens of a stream while streams ran
// side by side.
func (m *stepModel) observe(streams float64, d time.Duration) {
	if d <= 0 {
		return
	}
	s := d.Seconds()
	m.w, m.x, m.y = m.w*forget+1, m.x*forget+streams, m.y*forget+s
	m.xx, m.xy = m.xx*forget+streams*streams, m.xy*forget+streams*s
	m.fit()
}

// fit solves the least squares, pulled towards priorPerStream.
func (m *stepModel) fit() {
	mx, my := m.x/m.w, m.y/m.w
	varX := m.xx/m.w - mx*mx
	cov := m.xy/m.w - mx*my
	prior := priorWeight / (m.w + priorWeight)
	slope := (cov + prior*priorPerStream*my) / (varX + prior)
	m.perOne = max(slope, 0)
	m.intercept = my - m.perOne*mx
	m.fitted = true
}

// predict returns the step with a number of streams.
func (m *stepModel) predict(streams int) time.Duration {
	if !m.fitted {
		return time.Duration(float64(nominalStep) * (1 + priorPerStream*float64(streams)))
	}
	return time.Duration((m.intercept + m.perOne*float64(streams)) * float64(time.Second))
}

// streams returns the most streams whose step does not exceed d.
func (m *stepModel) streams(d time.Duration) int {
	intercept, perOne := m.intercept, m.perOne
	if !m.fitted {
		intercept, perOne = nominalStep.Seconds(), priorPerStream*nominalStep.Seconds()
	}
	if perOne <= 0 {
		return maxStreams
	}
	return int(min(max((d.Seconds()-intercept)/perOne, 0), maxStreams))
}

// perStream is what one more stream adds to a step.
func (m *stepModel) perStream() time.Duration {
	return time.Duration(m.perOne * float64(time.Second))
}

// maxStreams bounds the answer of a model without growth.
const maxStreams = 1 << 16
