package batch

import (
	"sort"
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

// take returns the results in order of index and empties the collector.
func (c *collector) take() ([]Result, int) {
	rs, n := c.results, c.bytes
	c.results, c.bytes = nil, 0
	sort.Slice(rs, func(a, b int) bool { return rs[a].Index < rs[b].Index })
	return rs, n
}

func (r Result) size() int {
	return len(r.Body) + len(r.CustomID) + len(r.Error) + len(r.RequestID) + 16
}
