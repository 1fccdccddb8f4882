package peering

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// relayResponse is the response of a relay. Truncated states that the history before the
// requested offset is no longer available, Refused that the relay does not read from
// the log service itself.
type relayResponse struct {
	Records   []keyedlog.Record `cbor:"1,keyasint,omitempty"`
	Next      int64             `cbor:"2,keyasint"`
	Truncated bool              `cbor:"3,keyasint,omitempty"`
	Refused   bool              `cbor:"4,keyasint,omitempty"`
}

// serveChanges serves the records that this gateway reads from the log service.
func serveChanges(r *keyedlog.Relay) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
		waitMs, err2 := strconv.Atoi(q.Get("wait_ms"))
		if err1 != nil || err2 != nil {
			http.Error(w, "from and wait_ms are numbers", http.StatusBadRequest)
			return
		}
		h, err := r.Read(req.Context(), from, time.Duration(waitMs)*time.Millisecond)
		writeRelayResponse(w, h.Records, h.Next, err)
	}
}

// newestCache holds the encoded newest records, which many readers request at the same
// time after a restart.
type newestCache struct {
	relay *keyedlog.Relay

	mu      sync.Mutex
	version int64
	raw     []byte
}

func (n *newestCache) serve(w http.ResponseWriter, _ *http.Request) {
	page, version, err := n.relay.Newest()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	raw, err := n.encoded(page, version)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // on a write error, the peer receives a truncated body
}

// encoded returns the compressed response, which is encoded once for each version.
func (n *newestCache) encoded(page keyedlog.Page, version int64) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.raw != nil && n.version == version {
		return n.raw, nil
	}
	raw, err := cbor.Marshal(relayResponse{Records: page.Records, Next: page.End})
	if err != nil {
		return nil, errors.Wrap(err, "peering: encode newest records")
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if _, err := z.Write(raw); err != nil {
		return nil, errors.Wrap(err, "peering: compress newest records")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "peering: compress newest records")
	}
	n.raw, n.version = out.Bytes(), version
	return n.raw, nil
}

func writeRelayResponse(w http.ResponseWriter, records []keyedlog.Record, next int64, err error) {
	writeCBOR(w, relayResponse{records, next, errors.Is(err, keyedlog.ErrTruncated), err != nil && !errors.Is(err, keyedlog.ErrTruncated)})
}
