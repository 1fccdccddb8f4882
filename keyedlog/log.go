// Package keyedlog is the interface to a log service that keeps, beside its
// limited history, the newest record of each key, and a follower that turns
// both into one view: a cold start and a reader that fell behind the history
// rebuild from the newest records in the same way.
package keyedlog

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a log. What is none of these leaves it open whether the call took
// effect.
var (
	// ErrRefused says that the service did nothing.
	ErrRefused = errors.New("keyedlog: refused, nothing done")
	// ErrConflict says that the partition does not end where Append expected.
	ErrConflict = errors.New("keyedlog: partition ends elsewhere")
	// ErrFenced says that a producer with a higher epoch writes the partition.
	ErrFenced = errors.New("keyedlog: producer is fenced")
	// ErrSequence says that the producer's sequence number does not follow.
	ErrSequence = errors.New("keyedlog: sequence number does not follow")
	// ErrForgotten says that the history before an offset is gone.
	ErrTruncated = errors.New("keyedlog: history is gone")
)

// Partition names one log.
type Partition struct {
	Topic string
	Index int
}

// Record is one keyed record. A nil Value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Condition restricts an append. The zero value is unconditional.
type Condition struct {
	// AtEnd, with Conditional, is the offset at which the partition must end.
	AtEnd       int64
	Conditional bool
	// Producer with Epoch and Sequence makes appends of one writer idempotent
	// and fences older epochs; empty for neither.
	Producer string
	Epoch    int64
	Sequence int64
}

// AppendResult tells where records stand.
type AppendResult struct {
	// First is the offset of the first record, End the offset after the last.
	First, End int64
}

// History is a part of a partition's history.
type History struct {
	Records []Record
	// Next is the offset after the last record in Records, or the offset asked
	// for if there is none. End is the end of the partition.
	Next, End int64
}

// Page is a part of the newest records of all keys, in the order of keys.
type Page struct {
	Records []Record
	More    bool
	End     int64
}

// Membership is the answer to a member's heartbeat.
type Membership struct {
	Generation int64
	Owned      []Partition
}

// Log is the service.
type Log interface {
	Reader
	Append(ctx context.Context, p Partition, records []Record, c Condition) (AppendResult, error)
}

// Reader is what a follower needs of the service. A zero or negative wait returns at
// once.
type Reader interface {
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (History, error)
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// Groups hands out partitions to live members.
type Groups interface {
	Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation int64) (Membership, error)
	Leave(ctx context.Context, group, member string) error
}
