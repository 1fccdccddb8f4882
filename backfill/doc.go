// Package backfill decides how batch items use the slots that online requests leave: whether
// an item starts now or waits for a better moment, and which runs give their slots back when
// online requests need them.
//
// It answers a load whose peaks and gaps follow each other within the time that an item runs,
// as 2.2 s at 1.85 and 3.0 s at 0.38 of the mean by turns. An item that starts where the last
// free slots are about to be taken is stopped after a few events, and every start costs the
// backend server the reading of the item's prompt and of its output so far, which delays the
// online requests beside it. Nothing in this package does I/O or reads a clock.
package backfill
