package peering

import "math"

// maxServerAttempts bounds the attempts in progress that a report may state for one backend server. No
// server accepts as many connections.
const maxServerAttempts = 1 << 16

// validLoads reports whether the counts of a report are possible ones. Choices loop over counts, so a
// malformed one must not reach them.
func validLoads(loads map[uint32][2]int) bool {
	for _, counts := range loads {
		for _, n := range counts {
			if n < 0 || n > maxServerAttempts {
				return false
			}
		}
	}
	return true
}

// valid reports whether a datagram can have been sent by a gateway.
func (d datagram) valid() bool {
	switch {
	case d.Summary != nil:
		return validLoads(d.Summary.Loads)
	case d.Limits != nil:
		return d.Limits.valid()
	case d.Quotas != nil:
		return d.Quotas.valid()
	}
	return validLoads(d.Loads) && validWaiting(d.Waiting) && validRate(d.Capacity)
}

// maxServiceWaiting bounds the requests that may wait at one gateway for one service in a report.
const maxServiceWaiting = 1 << 20

// validWaiting reports whether the numbers of waiting requests in a report are possible ones.
func validWaiting(waiting map[uint32][2]int) bool {
	for _, counts := range waiting {
		for _, n := range counts {
			if n < 0 || n > maxServiceWaiting {
				return false
			}
		}
	}
	return true
}

// valid reports whether all limits in a message are numbers: a bucket that is filled with anything
// else grants permits without end.
func (m limitMessage) valid() bool {
	for _, records := range []map[string]limitRecord{m.Announced, m.Reported} {
		for _, r := range records {
			if !r.valid() {
				return false
			}
		}
	}
	return (m.Request == nil || m.Request.Limit.valid()) && (m.Reply == nil || m.Reply.Limit.valid())
}

func (r limitRecord) valid() bool { return validRate(r.PerSecond) }

func validRate(r float64) bool { return r >= 0 && !math.IsInf(r, 0) }

// maxPermits bounds the permits of one message about quotas.
const maxPermits = 1 << 20

func validPermits(counts ...int) bool {
	for _, n := range counts {
		if n < 0 || n > maxPermits {
			return false
		}
	}
	return true
}

// valid reports whether the numbers of a message about quotas are possible ones: permits that are
// granted or returned without end would let a workspace exceed its quota.
func (m quotaMessage) valid() bool {
	for _, e := range m.Exchanges {
		if !validRate(e.PerSecond) || !validRate(e.Burst) {
			return false
		}
	}
	if r := m.Request; r != nil && !(validPermits(r.Want, r.Returned, r.Spent, r.Denied) && validRate(r.PerSecond) && validRate(r.Burst)) {
		return false
	}
	return m.Reply == nil || validPermits(m.Reply.Granted) && m.Reply.WaitUs >= 0
}
