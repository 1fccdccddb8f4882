package batch

import (
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

// The entry kinds of a shard's stream, in addition to blob.KindChunk.
const (
	KindFile         commitlog.EntryKind = 301
	KindDeleteFile   commitlog.EntryKind = 302
	KindJob          commitlog.EntryKind = 303
	KindStarted      commitlog.EntryKind = 304
	KindFailed       commitlog.EntryKind = 305
	KindSegment      commitlog.EntryKind = 306
	KindCancel       commitlog.EntryKind = 307
	KindFinished     commitlog.EntryKind = 308
	KindRenewFile    commitlog.EntryKind = 309
	KindRenewJob     commitlog.EntryKind = 310
	KindRenewSegment commitlog.EntryKind = 311
)

// Limits of records.
const (
	// MaxItems bounds the number of items of one job.
	MaxItems = 1 << 20
	// MaxLineErrors bounds the number of errors that a failed job lists.
	MaxLineErrors = 100
	// BlockItems is the number of consecutive items in a block. The position of
	// each block in the input is stored.
	BlockItems = 64
	maxIDBytes = 128
)

// The purposes of a file.
const (
	PurposeBatch  = "batch"
	PurposeOutput = "batch_output"
)

// File is the record that creates a file. Times are in Unix seconds.
type File struct {
	ID        string        `cbor:"1,keyasint"`
	Workspace string        `cbor:"2,keyasint"`
	Name      string        `cbor:"3,keyasint"`
	Purpose   string        `cbor:"4,keyasint"`
	SHA256    string        `cbor:"5,keyasint"`
	Content   blob.Manifest `cbor:"6,keyasint"`
	Created   int64         `cbor:"7,keyasint"`
	// Expires is when the file stops being readable; zero means never.
	Expires int64 `cbor:"8,keyasint,omitempty"`
	// Key is the caller's idempotency key and may be empty. KeyHash is a hash of
	// everything else that the caller sent with it.
	Key     string `cbor:"9,keyasint,omitempty"`
	KeyHash string `cbor:"10,keyasint,omitempty"`
}

// DeleteFile deletes a file. Jobs that were accepted with it keep its content.
type DeleteFile struct {
	ID        string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	At        int64  `cbor:"3,keyasint"`
}

// Job is the record that accepts a job.
type Job struct {
	ID        string            `cbor:"1,keyasint"`
	Workspace string            `cbor:"2,keyasint"`
	InputFile string            `cbor:"3,keyasint"`
	Endpoint  string            `cbor:"4,keyasint"`
	Window    string            `cbor:"5,keyasint"`
	Created   int64             `cbor:"6,keyasint"`
	Deadline  int64             `cbor:"7,keyasint"`
	Metadata  map[string]string `cbor:"8,keyasint,omitempty"`
	Key       string            `cbor:"9,keyasint,omitempty"`
	KeyHash   string            `cbor:"10,keyasint,omitempty"`
}

// Started reports that a job's input is valid. It depends only on the input, so
// two owners append the same facts.
type Started struct {
	Job     string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Total   uint32 `cbor:"3,keyasint"`
	// Blocks holds the byte offset in the input of each block's first line.
	Blocks []int64 `cbor:"4,keyasint"`
	At     int64   `cbor:"5,keyasint"`
}

// LineError is one error in a job's input.
type LineError struct {
	Code    string `cbor:"1,keyasint" json:"code"`
	Message string `cbor:"2,keyasint" json:"message"`
	Param   string `cbor:"3,keyasint,omitempty" json:"param,omitempty"`
	// Line counts from one; it is zero if the error concerns no single line.
	Line int64 `cbor:"4,keyasint,omitempty" json:"line,omitempty"`
}

// Failed reports that a job's input is invalid and that no item of it was run.
type Failed struct {
	Job    string      `cbor:"1,keyasint"`
	Errors []LineError `cbor:"2,keyasint"`
	At     int64       `cbor:"3,keyasint"`
	// Expires is when the job stops being readable.
	Expires int64 `cbor:"4,keyasint"`
}

// Result is the final result of one item.
type Result struct {
	Index    uint32 `cbor:"1,keyasint"`
	CustomID string `cbor:"2,keyasint"`
	// Status is the HTTP status; it is zero if there is an error and no response.
	Status    int    `cbor:"3,keyasint,omitempty"`
	RequestID string `cbor:"4,keyasint,omitempty"`
	Body      []byte `cbor:"5,keyasint,omitempty"`
	ErrorCode string `cbor:"6,keyasint,omitempty"`
	Error     string `cbor:"7,keyasint,omitempty"`
}

// Failed reports whether the result belongs in the error file.
func (r Result) Failed() bool { return r.Status < 200 || r.Status > 299 }

// Segment holds the results of several items. Items and FailedBits are what the
// fold needs; Data is an encoded []Result in the same order.
type Segment struct {
	Job string `cbor:"1,keyasint"`
	// Items are the item indexes in ascending order.
	Items []uint32 `cbor:"2,keyasint"`
	// FailedBits has bit i set if Items[i] failed.
	FailedBits []byte `cbor:"3,keyasint,omitempty"`
	Data       []byte `cbor:"4,keyasint"`
	At         int64  `cbor:"5,keyasint"`
}

// Cancel requests that a job stops.
type Cancel struct {
	Job       string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	At        int64  `cbor:"3,keyasint"`
}

// Finished ends a job and creates its output files. The first one folded for a
// job wins.
type Finished struct {
	Job string `cbor:"1,keyasint"`
	At  int64  `cbor:"2,keyasint"`
	// Expired reports that the deadline passed before every item was done.
	Expired bool  `cbor:"3,keyasint,omitempty"`
	Output  *File `cbor:"4,keyasint,omitempty"`
	Errors  *File `cbor:"5,keyasint,omitempty"`
	// Done is the number of items that the output files contain.
	Done uint32 `cbor:"6,keyasint,omitempty"`
	// Expires is when the job stops being readable.
	Expires int64 `cbor:"7,keyasint"`
	// OK is the number of Done items that succeeded.
	OK uint32 `cbor:"8,keyasint,omitempty"`
	// Base is the newest position that the writer had folded. The record has no
	// effect if a segment of the job lies between Base and the record.
	Base commitlog.Position `cbor:"9,keyasint"`
}

// NewSegment encodes results, which must be in ascending order of index.
// At is in Unix seconds.
func NewSegment(job string, results []Result, at int64) (Segment, error) {
	s := Segment{Job: job, At: at, Items: make([]uint32, len(results)), FailedBits: make([]byte, (len(results)+7)/8)}
	for i, r := range results {
		s.Items[i] = r.Index
		if r.Failed() {
			s.FailedBits[i/8] |= 1 << (i % 8)
		}
	}
	var err error
	s.Data, err = cbor.Marshal(results)
	return s, errors.Wrap(err, "batch: encode results")
}

// Results decodes the segment's results and checks them against its items.
func (s Segment) Results() ([]Result, error) {
	var rs []Result
	if err := cbor.Unmarshal(s.Data, &rs); err != nil {
		return nil, errors.Wrap(commitlog.ErrFormat, err.Error())
	}
	if len(rs) != len(s.Items) {
		return nil, errors.Wrapf(commitlog.ErrFormat, "segment has %d results for %d items", len(rs), len(s.Items))
	}
	for i, r := range rs {
		if r.Index != s.Items[i] {
			return nil, errors.Wrapf(commitlog.ErrFormat, "segment has item %d instead of %d", r.Index, s.Items[i])
		}
	}
	return rs, nil
}

// failed reports whether the i-th item of the segment failed.
func (s Segment) failed(i int) bool {
	return i/8 < len(s.FailedBits) && s.FailedBits[i/8]&(1<<(i%8)) != 0
}

func (s Segment) check() error {
	if len(s.Items) == 0 {
		return errors.Wrap(commitlog.ErrFormat, "segment has no items")
	}
	for i := 1; i < len(s.Items); i++ {
		if s.Items[i] <= s.Items[i-1] {
			return errors.Wrap(commitlog.ErrFormat, "segment items are not in ascending order")
		}
	}
	return nil
}

func (s Started) check() error {
	if s.Total == 0 || s.Total > MaxItems {
		return errors.Wrapf(commitlog.ErrFormat, "job has an invalid number of items: %d", s.Total)
	}
	if want := (int(s.Total) + BlockItems - 1) / BlockItems; len(s.Blocks) != want {
		return errors.Wrapf(commitlog.ErrFormat, "job has %d blocks instead of %d", len(s.Blocks), want)
	}
	return nil
}

func (f File) check() error {
	if f.ID == "" || len(f.ID) > maxIDBytes || f.Workspace == "" {
		return errors.Wrap(commitlog.ErrFormat, "file has no valid id or no workspace")
	}
	if b, err := hex.DecodeString(f.SHA256); err != nil || len(b)*8 != 256 {
		return errors.Wrap(commitlog.ErrFormat, "file has an invalid SHA-256 hash")
	}
	return nil
}

func (j Job) check() error {
	if j.ID == "" || len(j.ID) > maxIDBytes || j.Workspace == "" || j.InputFile == "" {
		return errors.Wrap(commitlog.ErrFormat, "job has no valid id, workspace or input file")
	}
	return nil
}

// bitmap is a set of item indexes.
type bitmap []uint64

const wordBits = 64

func newBitmap(n uint32) bitmap { return make(bitmap, (n+wordBits-1)/wordBits) }

func (b bitmap) has(i uint32) bool {
	return int(i/wordBits) < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0
}

func (b bitmap) set(i uint32) { b[i/wordBits] |= 1 << (i % wordBits) }
