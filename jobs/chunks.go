package jobs

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// A value that is longer than a record is written in pieces. Each piece starts
// with the number of pieces and has a key of its own.
const (
	pieceHeader    = 2
	pieceSeparator = "#"
	// recordOverhead is what a record holds beside the value: the header and
	// the key.
	recordOverhead = 300
)

// split returns the records of a value, none longer than recordBytes.
func split(key string, value []byte, recordBytes int) []keyedlog.Record {
	room := recordBytes - recordOverhead
	count := pieceCount(len(value), recordBytes)
	records := make([]keyedlog.Record, 0, count)
	for i := range count {
		part := value[i*room : min((i+1)*room, len(value))]
		raw := binary.BigEndian.AppendUint16(nil, uint16(count))
		records = append(records, keyedlog.Record{Key: pieceKey(key, i), Value: append(raw, part...)})
	}
	return records
}

// pieceCount returns how many records hold a value of n bytes.
func pieceCount(n, recordBytes int) int {
	room := recordBytes - recordOverhead
	return max((n+room-1)/room, 1)
}

// tombstones returns the records that drop a value of count pieces.
func tombstones(key string, count int) []keyedlog.Record {
	records := make([]keyedlog.Record, 0, count)
	for i := range count {
		records = append(records, keyedlog.Record{Key: pieceKey(key, i)})
	}
	return records
}

func pieceKey(key string, i int) string { return key + pieceSeparator + strconv.Itoa(i) }

// pieceName parts the key of a piece.
func pieceName(recordKey string) (key string, i int, err error) {
	key, number, found := strings.Cut(recordKey, pieceSeparator)
	if !found {
		return "", 0, errors.Errorf("jobs: key %q names no piece", recordKey)
	}
	i, err = strconv.Atoi(number)
	return key, i, errors.Wrapf(err, "jobs: key %q", recordKey)
}

// assembler puts values together from their pieces.
type assembler struct{ open map[string][][]byte }

func newAssembler() assembler { return assembler{open: make(map[string][][]byte)} }

// add takes a piece and returns the value, and the number of its pieces, once it
// is whole.
func (a assembler) add(key string, i int, raw []byte) (value []byte, count int, whole bool, err error) {
	if len(raw) < pieceHeader {
		return nil, 0, false, errors.Errorf("jobs: piece %d of %s: %d bytes", i, key, len(raw))
	}
	count = int(binary.BigEndian.Uint16(raw))
	part := raw[pieceHeader:]
	if i < 0 || i >= count {
		return nil, 0, false, errors.Errorf("jobs: piece %d of %s: of %d", i, key, count)
	}
	if count == 1 {
		return part, count, true, nil
	}
	parts := a.open[key]
	if len(parts) != count {
		parts = make([][]byte, count)
		a.open[key] = parts
	}
	parts[i] = part
	for _, p := range parts {
		if p == nil {
			return nil, count, false, nil
		}
		value = append(value, p...)
	}
	delete(a.open, key)
	return value, count, true, nil
}
