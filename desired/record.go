package desired

import (
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// Stream is the name of the configuration stream in the log service.
const Stream = "configuration"

// The entry kinds of the configuration stream.
const (
	KindPublish commitlog.EntryKind = 1
	KindRenewal commitlog.EntryKind = 2
)

// Errors of Table.Apply; commitlog logs them with the position of the entry.
var (
	// ErrMalformed is returned for an entry that contradicts itself or the log.
	ErrMalformed = errors.New("desired: malformed entry")
	// ErrStaleRenewal is returned for a renewal that was prepared so long ago
	// that a newer version may have been accepted and expired since.
	ErrStaleRenewal = errors.New("desired: renewal was prepared before the oldest retained record")
)

// PublishRecord is a request for a document to become the next version. The number
// of the version is the offset of the record plus one.
type PublishRecord struct {
	// ID identifies the publication in the history. The publisher chooses it.
	ID string `cbor:"1,keyasint"`
	// Base is the version that the document is based on, or zero for none.
	Base uint64 `cbor:"2,keyasint"`
	// Document is TOML as Parse reads it. The base that it contains is ignored.
	Document []byte `cbor:"3,keyasint"`
	Author   string `cbor:"4,keyasint,omitempty"`
	Note     string `cbor:"5,keyasint,omitempty"`
	// Recover replaces the check of Base after every copy of the version in force
	// has expired. The publication is then accepted if no version was accepted at
	// or after the offset Seen, which is the offset after the newest record that
	// the publisher had applied.
	Recover bool             `cbor:"6,keyasint,omitempty"`
	Seen    commitlog.Offset `cbor:"7,keyasint,omitempty"`
}

// Renewal repeats the version in force before its newest copy expires. It certifies
// that Version was in force after all records below Seen had been applied. It has
// no effect on a reader that has a newer version.
type Renewal struct {
	Version uint64 `cbor:"1,keyasint"`
	Base    uint64 `cbor:"2,keyasint"`
	// Document is empty if Version is zero.
	Document []byte           `cbor:"3,keyasint"`
	Author   string           `cbor:"4,keyasint,omitempty"`
	Note     string           `cbor:"5,keyasint,omitempty"`
	Seen     commitlog.Offset `cbor:"6,keyasint"`
	ID       string           `cbor:"7,keyasint,omitempty"`
}

// check rejects a renewal that no process can have prepared.
func (r Renewal) check(at commitlog.Offset) error {
	if r.Seen > at || r.Version > uint64(r.Seen) {
		return errors.Wrapf(ErrMalformed, "renewal of version %d, prepared at offset %d, was appended at offset %d", r.Version, r.Seen, at)
	}
	return nil
}

func (p PublishRecord) check(pos commitlog.Position) error {
	if pos.Index > 0 {
		return errors.Wrap(ErrMalformed, "a publication must be the first entry of its record")
	}
	if p.Seen > pos.Offset {
		return errors.Wrapf(ErrMalformed, "publication prepared at offset %d was appended at offset %d", p.Seen, pos.Offset)
	}
	return nil
}
