package batch

import (
	"cmp"
	"slices"
	"time"
)

// Limits of a result segment.
const (
	segmentBytes = 128 << 10
	segmentItems = 2048
	segmentAge   = 250 * time.Millisecond
)

// collector buffers the results of one job until they fill a segment.
type collector struct {
	results []Result
	bytes   int
	firstAt time.Time
}

func (c *collector) add(now time.Time, r Result) {
	if len(c.results) == 0 {
		c.firstAt = now
	}
	c.results = append(c.results, r)
	c.bytes += r.size()
}

// shouldFlush reports whether the results should be committed now.
func (c *collector) shouldFlush(now time.Time) bool {
	if len(c.results) == 0 {
		return false
	}
	return c.bytes >= segmentBytes || len(c.results) >= segmentItems || now.Sub(c.firstAt) >= segmentAge
}

// takeAll returns the results in order of index with their total size in bytes,
// and empties the collector. An item that ran again in this process, after the
// ownership of its job had changed in the meantime, has two results, of which the
// first is kept.
func (c *collector) takeAll() ([]Result, int) {
	rs, n := c.results, c.bytes
	c.results, c.bytes = nil, 0
	slices.SortStableFunc(rs, func(a, b Result) int { return cmp.Compare(a.Index, b.Index) })
	return slices.CompactFunc(rs, func(a, b Result) bool { return a.Index == b.Index }), n
}

func (r Result) size() int {
	return len(r.Body) + len(r.CustomID) + len(r.Error) + len(r.RequestID) + 16
}
