package admission

import "slices"

// maxExtraHoles is the number of holes that a queue may have in excess of its
// number of rows.
const maxExtraHoles = 16

// queue holds the queued rows of one class in order of arrival. Rows that have
// left the queued state remain as holes until they reach the front or the queue
// is compacted.
type queue struct {
	rows  []*row
	count int
}

func (q *queue) len() int { return q.count }

func (q *queue) push(r *row) {
	if len(q.rows) > 2*q.count+maxExtraHoles {
		q.rows = slices.DeleteFunc(q.rows, func(r *row) bool { return r.state != queued })
	}
	q.rows = append(q.rows, r)
	q.count++
}

// remove updates the count for a row that has left the queued state.
func (q *queue) remove() { q.count-- }

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

// firstCached returns the first queued row whose prompt is cached, or nil.
func (q *queue) firstCached() *row {
	for _, r := range q.rows {
		if r != nil && r.state == queued && r.promptCached() {
			return r
		}
	}
	return nil
}

// cachedShare is the cached share of a prompt above which its prefill is
// negligible.
const cachedShare = 0.9

func (r *row) promptCached() bool {
	a := r.attempt
	return a.CachedTokens > 0 && float64(a.CachedTokens) >= cachedShare*float64(a.PromptTokens)
}
