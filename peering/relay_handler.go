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

// relayed is a relay's answer. Forgotten says that the history before the offset
// asked for is gone, Refused that the relay does not read the service itself.
type relayed struct {
	Records   []keyedlog.Record `cbor:"1,keyasint,omitempty"`
	Next      int64             `cbor:"2,keyasint"`
	Forgotten bool              `cbor:"3,keyasint,omitempty"`
	Refused   bool              `cbor:"4,keyasint,omitempty"`
}

// serveChanges answers other gateways from what this one reads of the service.
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
		writeRelayed(w, h.Records, h.Next, err)
	}
}

// newestAnswer keeps the encoded newest records, which many readers ask for at once
// after a start.
type newestAnswer struct {
	relay *keyedlog.Relay

	mu      sync.Mutex
	version int64
	raw     []byte
}

func (n *newestAnswer) serve(w http.ResponseWriter, _ *http.Request) {
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
	_, _ = w.Write(raw) // the peer sees a short body if its connection broke
}

// encoded returns the compressed answer; it is encoded once for each version.
func (n *newestAnswer) encoded(page keyedlog.Page, version int64) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.raw != nil && n.version == version {
		return n.raw, nil
	}
	raw, err := cbor.Marshal(relayed{Records: page.Records, Next: page.End})
	if err != nil {
		return nil, errors.Wrap(err, "peering: relay")
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if _, err := z.Write(raw); err != nil {
		return nil, errors.Wrap(err, "peering: relay")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "peering: relay")
	}
	n.raw, n.version = out.Bytes(), version
	return n.raw, nil
}

func writeRelayed(w http.ResponseWriter, records []keyedlog.Record, next int64, err error) {
	writeCBOR(w, relayed{records, next, errors.Is(err, keyedlog.ErrTruncated), err != nil && !errors.Is(err, keyedlog.ErrTruncated)})
}
