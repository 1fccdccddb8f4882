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
	}
	return validLoads(d.Loads) && validWaiting(d.Waiting)
}

// maxServiceWaiting bounds the requests that may wait at one gateway for one service in a report.
const maxServiceWaiting = 1 << 20

// validWaiting reports whether the numbers of waiting requests in a report are possible ones.
func validWaiting(waiting map[uint32]int) bool {
	for _, n := range waiting {
		if n < 0 || n > maxServiceWaiting {
			return false
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

func (r limitRecord) valid() bool {
	return r.PerSecond >= 0 && !math.IsInf(r.PerSecond, 0)
}
