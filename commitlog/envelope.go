package commitlog

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// formatVersion is the newest envelope format this code reads and the one it
// writes.
const formatVersion = 1

// envelope is the payload of one log record: the entries of one group commit.
type envelope struct {
	Version uint8   `cbor:"1,keyasint"`
	Writer  string  `cbor:"2,keyasint"`
	Seq     uint64  `cbor:"3,keyasint"`
	Entries []Entry `cbor:"4,keyasint"`
}

// ErrFormat says that a record could not be read: truncated, damaged or of a
// newer format.
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
		return envelope{}, errors.Wrapf(ErrFormat, "version %d", e.Version)
	}
	if e.Writer == "" || e.Seq == 0 {
		return envelope{}, errors.Wrap(ErrFormat, "no writer or sequence number")
	}
	return e, nil
}

// NewEntry encodes body as CBOR under kind.
func NewEntry(kind EntryKind, body any) (Entry, error) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return Entry{}, errors.Wrap(err, "commitlog: encode entry")
	}
	return Entry{Kind: kind, Body: b}, nil
}

// Decode reads the entry's body into out.
func (e Entry) Decode(out any) error {
	if err := cbor.Unmarshal(e.Body, out); err != nil {
		return errors.Wrap(ErrFormat, err.Error())
	}
	return nil
}
