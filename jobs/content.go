package jobs

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// digestBytes is the length of a digest of content.
const digestBytes = 16

// digestOf returns the digest of the chunks of a value. Values with equal digests have equal records.
func digestOf(chunks [][]byte) string {
	h := sha256.New()
	for _, c := range chunks {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(c)))) // never fails
		_, _ = h.Write(c)                                                  // never fails
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// chunksOf returns the chunks that records hold.
func chunksOf(records []keyedlog.Record) [][]byte {
	chunks := make([][]byte, len(records))
	for i, r := range records {
		chunks[i] = r.Value[chunkHeaderBytes:]
	}
	return chunks
}
