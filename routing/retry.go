package routing

const (
	// retryShare is how many retries each first attempt pays for.
	retryShare = 0.1
	// retryReserve is the most retries that may be saved up.
	retryReserve = 10
)

// RetryBudget bounds retries to a share of first attempts, so that a failing
// fleet is not loaded with retries. It is not safe for concurrent use.
type RetryBudget struct{ credit float64 }

// NewRetryBudget returns a budget that is full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{credit: retryReserve} }

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt() { b.credit = min(b.credit+retryShare, retryReserve) }

// TakeRetry takes one retry from the budget; it reports false if there is none.
func (b *RetryBudget) TakeRetry() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
