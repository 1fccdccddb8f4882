package routing

const (
	// retryCredit is how many retries each first attempt adds to the budget.
	retryCredit = 0.1
	// maxCredit is the largest number of unused retries in the budget.
	maxCredit = 10
)

// RetryBudget bounds retries to a fraction of the first attempts, so that retries do
// not overload failing backend servers. It is not safe for concurrent use.
type RetryBudget struct{ credit float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{credit: maxCredit} }

// RecordFirstAttempt adds the credit of a first attempt.
func (b *RetryBudget) RecordFirstAttempt() { b.credit = min(b.credit+retryCredit, maxCredit) }

// TakeRetry takes one retry from the budget. It reports false if none is left.
func (b *RetryBudget) TakeRetry() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
