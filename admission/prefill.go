package admission

import "time"

const (
	// priorPerToken is the assumed increase of a step per prompt token.
	priorPerToken = 60 * time.Microsecond
	// minObservedTokens is the smallest number of prefilled tokens that updates
	// the model.
	minObservedTokens = 32
	// perTokenDecay reduces the influence of older observations.
	perTokenDecay = 0.98
)

// prefillModel estimates by how much one prompt token lengthens a step. It uses
// the largest recent observation, because parts of a prompt may have been
// cached.
type prefillModel struct{ perToken float64 } // seconds

func (m *prefillModel) observe(tokens int, excess time.Duration) {
	if tokens < minObservedTokens || excess <= 0 {
		return
	}
	if m.perToken == 0 {
		m.perToken = priorPerToken.Seconds()
	}
	m.perToken = max(m.perToken*perTokenDecay, excess.Seconds()/float64(tokens))
}

// cost returns the time that a number of prompt tokens adds to a step.
func (m *prefillModel) cost(tokens int) time.Duration {
	return time.Duration(float64(tokens) * m.perToken * float64(time.Second))
}

// tokensWithin returns the number of prompt tokens that can be prefilled within
// a duration.
func (m *prefillModel) tokensWithin(d time.Duration) int {
	per := m.perToken
	if per == 0 {
		per = priorPerToken.Seconds()
	}
	return int(max(d.Seconds(), 0) / per)
}
