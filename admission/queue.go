package admission

import "slices"

// queueSlack is how many holes a queue may hold beside as many as it has rows.
const queueSlack = 16

// queue holds the queued rows of one class in order of arrival. Rows that left
// the queue stay in it as holes until they come to the front.
type queue struct {
	rows []*row
	live int
}

func (q *queue) len() int { return q.live }

func (q *queue) push(r *row) {
	if len(q.rows) > 2*q.live+queueSlack {
		q.rows = slices.DeleteFunc(q.rows, func(r *row) bool { return r.state != queued })
	}
	q.rows = append(q.rows, r)
	q.live++
}

// remove counts a row that has left the queued state.
func (q *queue) remove() { q.live-- }

// front returns the first queued row, or nil.
func (q *queue) front() *row {
	for len(q.rows) > 0 {
		if q.rows[0].state == queued {
			return q.rows[0]
		}
		q.rows[0] = nil
		q.rows = q.rows[1:]
	}
	return nil
}

// cached returns the first queued row whose prompt is cached, or nil.
func (q *queue) cached() *row {
	for _, r := range q.rows {
		if r != nil && r.state == queued && r.cached() {
			return r
		}
	}
	return nil
}

// cachedShare is the share of a prompt that makes its prefill negligible.
const cachedShare = 0.9

func (r *row) cached() bool {
	a := r.attempt
	return a.CachedTokens > 0 && float64(a.CachedTokens) >= cachedShare*float64(a.PromptTokens)
}
