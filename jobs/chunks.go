package jobs

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// A value that is longer than a record is written in chunks. Each chunk starts with
// the number of chunks and has its own key.
const (
	chunkHeaderBytes = 2
	chunkSeparator   = "#"
	// recordOverhead is the space that is reserved in a record beside the value, for
	// the header and the key.
	recordOverhead = 300
)

// splitValue returns the records of a value, none longer than recordBytes.
func splitValue(key string, value []byte, recordBytes int) []keyedlog.Record {
	room := recordBytes - recordOverhead
	count := chunkCount(len(value), recordBytes)
	records := make([]keyedlog.Record, 0, count)
	for i := range count {
		part := value[i*room : min((i+1)*room, len(value))]
		raw := binary.BigEndian.AppendUint16(nil, uint16(count))
		records = append(records, keyedlog.Record{Key: chunkKey(key, i), Value: append(raw, part...)})
	}
	return records
}

// chunkCount returns how many records hold a value of n bytes.
func chunkCount(n, recordBytes int) int {
	room := recordBytes - recordOverhead
	return max((n+room-1)/room, 1)
}

// tombstones returns the records that delete a value of count chunks.
func tombstones(key string, count int) []keyedlog.Record {
	records := make([]keyedlog.Record, 0, count)
	for i := range count {
		records = append(records, keyedlog.Record{Key: chunkKey(key, i)})
	}
	return records
}

func chunkKey(key string, i int) string { return key + chunkSeparator + strconv.Itoa(i) }

// parseChunkKey splits the key of a chunk into the value's key and the chunk's index.
func parseChunkKey(recordKey string) (key string, i int, err error) {
	key, number, found := strings.Cut(recordKey, chunkSeparator)
	if !found {
		return "", 0, errors.Errorf("jobs: key %q has no chunk index", recordKey)
	}
	i, err = strconv.Atoi(number)
	return key, i, errors.Wrapf(err, "jobs: key %q", recordKey)
}

// assembler reassembles values from their chunks. partial holds the chunks of values that are not whole yet, by key
// and number of chunks: the log may hold chunks of a longer or shorter value that was not finished under the same key.
type assembler struct{ partial map[string]map[int][][]byte }

func newAssembler() assembler { return assembler{partial: make(map[string]map[int][][]byte)} }

// add stores a chunk and returns how many chunks the value has. Once all of them are there, it returns them.
func (a assembler) add(key string, i int, raw []byte) (chunks [][]byte, count int, err error) {
	if len(raw) < chunkHeaderBytes {
		return nil, 0, errors.Errorf("jobs: chunk %d of %s: value of %d bytes is too short", i, key, len(raw))
	}
	count = int(binary.BigEndian.Uint16(raw))
	part := raw[chunkHeaderBytes:]
	if i < 0 || i >= count {
		return nil, 0, errors.Errorf("jobs: chunk %d of %s: index is out of range, chunk count is %d", i, key, count)
	}
	if count == 1 {
		return [][]byte{part}, count, nil
	}
	parts := a.parts(key, count)
	parts[i] = part
	if slices.ContainsFunc(parts, func(p []byte) bool { return p == nil }) {
		return nil, count, nil
	}
	if delete(a.partial[key], count); len(a.partial[key]) == 0 {
		a.drop(key)
	}
	return parts, count, nil
}

// parts returns the chunks so far of a value of count chunks.
func (a assembler) parts(key string, count int) [][]byte {
	if a.partial[key] == nil {
		a.partial[key] = make(map[int][][]byte)
	}
	parts := a.partial[key][count]
	if parts == nil {
		parts = make([][]byte, count)
		a.partial[key][count] = parts
	}
	return parts
}

// drop discards all chunks of a key.
func (a assembler) drop(key string) { delete(a.partial, key) }

// dropIf discards the chunks of all keys for which dropped returns true.
func (a assembler) dropIf(dropped func(key string) bool) {
	maps.DeleteFunc(a.partial, func(key string, _ map[int][][]byte) bool { return dropped(key) })
}
