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

// collector gathers the results of one job until they make a segment.
type collector struct {
	results []Result
	bytes   int
	since   time.Time
}

func (c *collector) add(now time.Time, r Result) {
	if len(c.results) == 0 {
		c.since = now
	}
	c.results = append(c.results, r)
	c.bytes += r.size()
}

// due reports whether the results should be committed now.
func (c *collector) due(now time.Time) bool {
	if len(c.results) == 0 {
		return false
	}
	return c.bytes >= segmentBytes || len(c.results) >= segmentItems || now.Sub(c.since) >= segmentAge
}

// take returns the results in order of index and empties the collector. An
// item that was run again here after its job had been away has two results, of
// which the first stays.
func (c *collector) take() ([]Result, int) {
	rs, n := c.results, c.bytes
	c.results, c.bytes = nil, 0
	slices.SortStableFunc(rs, func(a, b Result) int { return cmp.Compare(a.Index, b.Index) })
	return slices.CompactFunc(rs, func(a, b Result) bool { return a.Index == b.Index }), n
}

func (r Result) size() int {
	return len(r.Body) + len(r.CustomID) + len(r.Error) + len(r.RequestID) + 16
}
