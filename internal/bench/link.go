package bench

import "time"

// purpose classifies the bytes on the region link.
type purpose string

const (
	onlineBytes  purpose = "online"
	batchBytes   purpose = "batch"
	controlBytes purpose = "control"
)

// link is the link between regions: a FIFO queue for each sending region.
type link struct {
	zones     []Zone
	busyUntil map[string]time.Duration
	bytes     map[purpose]int64
}

func newLink(d Deployment) link {
	return link{zones: d.Zones, busyUntil: make(map[string]time.Duration), bytes: make(map[purpose]int64)}
}

// transfer sends bytes from a zone over the link and returns their queueing and
// transmission time.
func (l *link) transfer(now time.Duration, from, bytes int, p purpose) time.Duration {
	l.bytes[p] += int64(bytes)
	region := l.zones[from].Region
	start := max(now, l.busyUntil[region])
	l.busyUntil[region] = start + time.Duration(bytes)*time.Second/linkBytesPerSecond
	return l.busyUntil[region] - now
}

// count adds bytes that cross the link but are not modelled as messages.
func (l *link) count(bytes int, p purpose) { l.bytes[p] += int64(bytes) }
