// Package waiting decides who waits for a free slot of a service at one gateway, who is
// served first, who is refused, and when a refused caller should come back. It answers
// bursts that exceed the slots for a second or two, a workspace that sends many times its
// usual, and backend servers that have turned slow.
//
// Line orders those who wait. Pace, Mean and Limits measure how fast slots become free, how
// long requests take and how much time callers give. Crowd holds what other gateways report.
// Decide judges one request from all of these, and Returns says when to come back.
//
// The types are not safe for concurrent use, apart from Crowd; the time is passed in.
package waiting

import "time"

// Claim is what a request brings into a line.
type Claim struct {
	// Workspace is the name of the caller's workspace; empty if there is none.
	Workspace string
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Returned states that the caller has spent a part of its time elsewhere: it has probably
	// been refused before and has no further attempt.
	Returned bool
	// Arrived is when the request was received.
	Arrived time.Time
	// Objective is the time within which callers want the first byte.
	Objective time.Duration
	// InTimeUntil is until when a first byte is in time for the caller.
	InTimeUntil time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// CanBeInTime reports whether a request that is sent now, and whose first byte takes start,
// is in time.
func (c Claim) CanBeInTime(now time.Time, start time.Duration) bool {
	return !now.Add(start).After(c.InTimeUntil)
}
