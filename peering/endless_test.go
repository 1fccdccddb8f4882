package peering_test

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// TestRelayResponseThatGrowsWithoutEndIsNotRead covers a response of a few hundred kilobytes that
// decompresses to half a gigabyte.
func TestRelayResponseThatGrowsWithoutEndIsNotRead(t *testing.T) {
	const chunkBytes, chunks, maxAllocated = 1 << 20, 512, 384 << 20
	var raw bytes.Buffer
	z := gzip.NewWriter(&raw)
	_, err := z.Write([]byte{0x5a, 0xff, 0xff, 0xff, 0xff}) // a byte string of four gigabytes
	assert.NilError(t, err)
	chunk := make([]byte, chunkBytes)
	for range chunks {
		_, err := z.Write(chunk)
		assert.NilError(t, err)
	}
	assert.NilError(t, z.Close())
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(raw.Bytes()) // the client's error shows a failure
	}))
	defer relay.Close()
	g := startGateway(t, "a", "127.0.0.1:0", "r")
	used := platformtest.Allocated(func() { err = g.ReadNewest(t.Context(), strings.TrimPrefix(relay.URL, "http://")) })
	assert.Assert(t, err != nil)
	assert.Assert(t, used < maxAllocated, "%d bytes allocated", used)
}
