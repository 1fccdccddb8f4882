package admission

import "time"

const (
	// priorPerToken is the assumed growth of a step for each prompt token.
	priorPerToken = 60 * time.Microsecond
	// learnTokens is the least prefill from which the growth is learned.
	learnTokens = 32
	// perTokenDecay makes older observations count less.
	perTokenDecay = 0.98
)

// prefillModel estimates what a prompt token adds to a step: the largest
// recent observation, since a part of a prompt may have been cached.
type prefillModel struct{ perToken float64 } // seconds

func (m *prefillModel) observe(tokens int, excess time.Duration) {
	if tokens < learnTokens || excess <= 0 {
		return
	}
	if m.perToken == 0 {
		m.perToken = priorPerToken.Seconds()
	}
	m.perToken = max(m.perToken*perTokenDecay, excess.Seconds()/float64(tokens))
}

// cost returns what prompt tokens add to a step.
func (m *prefillModel) cost(tokens int) time.Duration {
	return time.Duration(float64(tokens) * m.perToken * float64(time.Second))
}

// tokens returns how many prompt tokens fit a duration.
func (m *prefillModel) tokens(d time.Duration) int {
	per := m.perToken
	if per == 0 {
		per = priorPerToken.Seconds()
	}
	return int(max(d.Seconds(), 0) / per)
}
