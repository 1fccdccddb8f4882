// Package keyedlog defines the interface to a log service that retains a limited
// history and, beside it, the newest record of each key. It also provides a follower
// that combines both into one view: on a cold start, and when a reader has fallen
// behind the retained history, the view is rebuilt from the newest records in the
// same way.
package keyedlog

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of a log. Any other error leaves open whether the call took effect.
var (
	// ErrRefused means that the log service did nothing.
	ErrRefused = errors.New("keyedlog: call refused, nothing was done")
	// ErrConflict means that the partition does not end where Append expected.
	ErrConflict = errors.New("keyedlog: partition end does not match")
	// ErrFenced means that a producer with a higher epoch writes the partition.
	ErrFenced = errors.New("keyedlog: producer is fenced")
	// ErrSequence means that the producer's sequence number is out of order.
	ErrSequence = errors.New("keyedlog: sequence number is out of order")
	// ErrTruncated means that the history at the requested offset is no longer
	// retained.
	ErrTruncated = errors.New("keyedlog: history is truncated")
)

// Partition identifies one log.
type Partition struct {
	Topic string
	Index int
}

// Record is one keyed record. A nil Value is a tombstone, which deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Condition restricts an append. The zero value is unconditional.
type Condition struct {
	// ExpectedEnd is the offset at which the partition must end if Conditional is set.
	ExpectedEnd int64
	Conditional bool
	// Producer with Epoch and Sequence makes the appends of one writer idempotent
	// and fences older epochs. An empty Producer disables both.
	Producer string
	Epoch    int64
	Sequence int64
}

// AppendResult is the position of appended records.
type AppendResult struct {
	// First is the offset of the first record, End the offset after the last.
	First, End int64
}

// History is a section of a partition's history.
type History struct {
	Records []Record
	// Next is the offset after the last record in Records, or the requested offset
	// if there is none. End is the end of the partition.
	Next, End int64
}

// Page is a page of the newest records of all keys, ordered by key.
type Page struct {
	Records []Record
	// More reports whether records with greater keys follow.
	More bool
	// End is the end of the partition when the page was read.
	End int64
}

// Membership is the response to a member's heartbeat.
type Membership struct {
	Generation int64
	Owned      []Partition
}

// Log is the log service.
type Log interface {
	Reader
	// Append appends records if the condition is met. An append without records only
	// sets the producer's epoch.
	Append(ctx context.Context, p Partition, records []Record, c Condition) (AppendResult, error)
}

// Reader is the part of the log service that a follower needs.
type Reader interface {
	// Read returns the history from an offset on. If there is none yet, it waits up to
	// wait for a record; with a zero or negative wait it returns at once.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (History, error)
	// Newest returns a page of the newest records, of the keys after the given one.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Groups assigns partitions to live members.
type Groups interface {
	// Join adds a member to a group or renews its membership for ttl. generation is that
	// of the member's last heartbeat, or 0.
	Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (Membership, error)
	// Leave removes a member, so that its partitions are assigned to others at once.
	Leave(ctx context.Context, group, member string) error
}
