package bench

import "time"

// purpose says what bytes on the region link are for.
type purpose string

const (
	onlineBytes  purpose = "online"
	batchBytes   purpose = "batch"
	controlBytes purpose = "control"
)

// link is the region link: a first-in-first-out line in each direction.
type link struct {
	zones     []Zone
	busyUntil map[string]time.Duration
	bytes     map[purpose]int64
}

func newLink(d Deployment) link {
	return link{zones: d.Zones, busyUntil: make(map[string]time.Duration), bytes: make(map[purpose]int64)}
}

// transfer returns how long bytes that leave a zone now wait and take.
func (l *link) transfer(now time.Duration, from, bytes int, p purpose) time.Duration {
	l.bytes[p] += int64(bytes)
	region := l.zones[from].Region
	start := max(now, l.busyUntil[region])
	l.busyUntil[region] = start + time.Duration(bytes)*time.Second/linkBytesPerSecond
	return l.busyUntil[region] - now
}

// count adds bytes that cross the link beside the modelled messages.
func (l *link) count(bytes int, p purpose) { l.bytes[p] += int64(bytes) }
