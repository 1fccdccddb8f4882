// Package commitlog keeps state in an append-only log service: a writer with
// group commit, a follower that folds a stream in offset order, and the rules
// that make the fold indifferent to duplicated, late and lost-answer appends.
package commitlog

import (
	"context"
	"time"
)

// Offset numbers a record of a stream, from zero, without gaps.
type Offset uint64

// Record is one record as the log service keeps it.
type Record struct {
	Offset  Offset
	Payload []byte
}

// Page is the answer to one read.
type Page struct {
	// Records are consecutive and start at the offset asked for, or at First
	// if that is higher.
	Records []Record
	// First is the oldest offset still kept; a reader below it has a gap.
	First Offset
	// Next is the offset after the newest record of the stream.
	Next Offset
}

// Log is the platform's log service. There is no compare-and-append: an append
// whose answer was lost may have taken effect, and may take effect late.
type Log interface {
	// Append adds one record and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (Offset, error)
	// Read returns up to max records from an offset, waiting up to wait for
	// the first one.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Page, error)
}

// EntryKind numbers a type of entry within a stream. Kinds are part of the
// stored format and are never reused.
type EntryKind uint16

// Entry is one typed fact. Body is CBOR.
type Entry struct {
	Kind EntryKind `cbor:"1,keyasint"`
	Body []byte    `cbor:"2,keyasint"`
}

// Position orders entries: by offset, then by index within the record.
type Position struct {
	Offset Offset
	Index  int
}

// Fold is the deterministic meaning of a stream. Apply is called once per
// entry in order of position, never concurrently; late and duplicated records
// have been dropped. An error marks the entry as refused by rule.
type Fold interface {
	Apply(pos Position, e Entry) error
}
