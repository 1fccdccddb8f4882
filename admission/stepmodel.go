package admission

import "time"

const (
	// forgettingFactor multiplies the weight of all older observations at each
	// new one.
	forgettingFactor = 0.9995
	// priorWeight is the weight of priorPerStream, in observations.
	priorWeight = 20
	// ewmaGain is the gain of exponentially weighted moving averages.
	ewmaGain = 0.05
	// nominalStep is the assumed step duration before the first observation.
	nominalStep = 20 * time.Millisecond
	// priorPerStream is the assumed increase of a step per stream, as a share of
	// the step.
	priorPerStream = 0.02
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	value       float64
	initialized bool
}

func (m *ewma) add(v float64) {
	if !m.initialized {
		m.value, m.initialized = v, true
		return
	}
	m.value += ewmaGain * (v - m.value)
}

// stepModel estimates how the time between tokens grows with the number of
// concurrent streams. It uses weighted linear least squares with exponential
// forgetting over steps in which nothing was prefilled.
type stepModel struct {
	// w is the sum of the weights of all observations. x, y, xx and xy are the
	// weighted sums of the streams, the seconds, and their products.
	w, x, y, xx, xy  float64
	intercept, slope float64 // seconds
	fitted           bool
}

// observe records the time between two tokens of a stream while the given number
// of streams ran concurrently.
func (m *stepModel) observe(streams float64, d time.Duration) {
	if d <= 0 {
		return
	}
	s := d.Seconds()
	m.w, m.x, m.y = m.w*forgettingFactor+1, m.x*forgettingFactor+streams, m.y*forgettingFactor+s
	m.xx, m.xy = m.xx*forgettingFactor+streams*streams, m.xy*forgettingFactor+streams*s
	m.fit()
}

// fit solves the least-squares problem, regularized towards priorPerStream.
func (m *stepModel) fit() {
	mx, my := m.x/m.w, m.y/m.w
	varX := m.xx/m.w - mx*mx
	cov := m.xy/m.w - mx*my
	prior := priorWeight / (m.w + priorWeight)
	slope := (cov + prior*priorPerStream*my) / (varX + prior)
	m.slope = max(slope, 0)
	m.intercept = my - m.slope*mx
	m.fitted = true
}

// predict returns the estimated step duration for a number of streams.
func (m *stepModel) predict(streams int) time.Duration {
	if !m.fitted {
		return time.Duration(float64(nominalStep) * (1 + priorPerStream*float64(streams)))
	}
	return time.Duration((m.intercept + m.slope*float64(streams)) * float64(time.Second))
}

// streamsWithin returns the largest number of streams whose estimated step does
// not exceed d.
func (m *stepModel) streamsWithin(d time.Duration) int {
	intercept, slope := m.intercept, m.slope
	if !m.fitted {
		intercept, slope = nominalStep.Seconds(), priorPerStream*nominalStep.Seconds()
	}
	if slope <= 0 {
		return maxStreams
	}
	return int(min(max((d.Seconds()-intercept)/slope, 0), maxStreams))
}

// perStream returns the time that one more stream adds to a step.
func (m *stepModel) perStream() time.Duration {
	return time.Duration(m.slope * float64(time.Second))
}

// maxStreams bounds the result of streamsWithin for a model without growth.
const maxStreams = 1 << 16
