// Package commitlog keeps state in an append-only log service. It consists of a
// writer with group commit, a follower that folds a stream in offset order, and
// the rules that make the result independent of duplicated and late appends and
// of appends whose response was lost.
package commitlog

import (
	"context"
	"time"
)

// Offset is the number of a record in a stream, from zero and without gaps.
type Offset uint64

// Record is one record as the log service stores it.
type Record struct {
	Offset  Offset
	Payload []byte
}

// Page is the result of one read.
type Page struct {
	// Records are consecutive and start at the requested offset, or at First
	// if that is higher.
	Records []Record
	// First is the oldest retained offset; a reader below it has a gap.
	First Offset
	// Next is the offset after the newest record of the stream.
	Next Offset
}

// Log is the platform's log service. It has no compare-and-append operation: an
// append whose response was lost may have taken effect, or may take effect later.
type Log interface {
	// Append adds one record and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (Offset, error)
	// Read returns up to max records from an offset on. It waits up to wait for
	// the first one.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Page, error)
}

// EntryKind identifies a type of entry within a stream. Kinds are part of the
// stored format and are never reused.
type EntryKind uint16

// Entry is one typed fact. Body is encoded as CBOR.
type Entry struct {
	Kind EntryKind `cbor:"1,keyasint"`
	Body []byte    `cbor:"2,keyasint"`
}

// Position identifies an entry by the offset of its record and its index within
// the record. Entries are ordered by offset, then by index.
type Position struct {
	Offset Offset
	Index  int
}

// Fold is a deterministic state machine over the entries of a stream: its state
// is a left fold of them. Apply is called once per entry in order of position and
// never concurrently; late and duplicated records have been removed. An error
// means that the entry is invalid and has no effect.
type Fold interface {
	Apply(pos Position, e Entry) error
}
