package commitlog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// formatVersion is the newest envelope format that this code reads, and the
// format that it writes.
const formatVersion = 1

// envelope is the payload of one log record. It holds the entries of one group
// commit.
type envelope struct {
	Version uint8   `cbor:"1,keyasint"`
	Writer  string  `cbor:"2,keyasint"`
	Seq     uint64  `cbor:"3,keyasint"`
	Entries []Entry `cbor:"4,keyasint"`
}

// ErrFormat reports a record that cannot be decoded because it is truncated,
// corrupt or of a newer format.
var ErrFormat = errors.New("commitlog: unreadable record")

func (e envelope) marshal() ([]byte, error) {
	b, err := cbor.Marshal(e)
	return b, errors.Wrap(err, "commitlog: encode record")
}

func unmarshalEnvelope(b []byte) (envelope, error) {
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return envelope{}, errors.Wrap(ErrFormat, err.Error())
	}
	if e.Version != formatVersion {
		return envelope{}, errors.Wrapf(ErrFormat, "unsupported version %d", e.Version)
	}
	if e.Writer == "" || e.Seq == 0 {
		return envelope{}, errors.Wrap(ErrFormat, "missing writer or sequence number")
	}
	return e, nil
}

// NewEntry returns an entry of the given kind with body encoded as CBOR.
func NewEntry(kind EntryKind, body any) (Entry, error) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return Entry{}, errors.Wrap(err, "commitlog: encode entry")
	}
	return Entry{Kind: kind, Body: b}, nil
}

// Decode decodes the entry's body into out.
func (e Entry) Decode(out any) error {
	if err := cbor.Unmarshal(e.Body, out); err != nil {
		return errors.Wrap(ErrFormat, err.Error())
	}
	return nil
}
