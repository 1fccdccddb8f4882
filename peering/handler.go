package peering

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/jobs"
	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/origins"
)

// serveBody serves the bodies of items of this process's own shards.
func serveBody(h Host) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := h.ItemBodyLocal(r.URL.Query().Get("job"), r.URL.Query().Get("item"))
		switch {
		case err == nil:
			writeCBOR(w, bodyResponse{true, body})
		case errkind.Is(err, errkind.NotFound):
			writeCBOR(w, bodyResponse{})
		default:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	}
}

// Host is the process that serves the calls of peers.
type Host interface {
	// ListLocal lists the results of a job in the shards that the process owns.
	ListLocal(ctx context.Context, id string, after int, wait time.Duration) (jobs.Listing, error)
	// ItemBodyLocal returns the body of an item in a shard that the process owns.
	ItemBodyLocal(id, itemID string) ([]byte, error)
	// SubmitLocal accepts a job for the process itself.
	SubmitLocal(ctx context.Context, job *jobs.Job, quota int64) error
}

// serveSubmit accepts a job that a peer submits.
func serveSubmit(h Host) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
		var s submission
		if err == nil {
			err = cbor.Unmarshal(raw, &s)
		}
		if err != nil || s.Job == nil {
			http.Error(w, "no job", http.StatusBadRequest)
			return
		}
		if err := h.SubmitLocal(r.Context(), s.Job, s.Quota); err != nil {
			e := errkind.From(err)
			writeCBOR(w, submitResponse{e.Kind, e.Response().Outcome, e.Message, e.Response().RetryAfter.Milliseconds()})
			return
		}
		writeCBOR(w, submitResponse{})
	}
}

// Handler returns the HTTP handler of a gateway for its peers. relay holds the records
// that this gateway reads for them, streams the origins of streams that it knows.
func Handler(host Host, snapshot func() Snapshot, relay *keyedlog.Relay, streams *origins.Table) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+changesPath, serveChanges(relay))
	mux.HandleFunc("GET "+newestPath, (&newestCache{relay: relay}).serve)
	mux.HandleFunc("GET "+bodyPath, serveBody(host))
	mux.HandleFunc("GET "+originPath, serveOrigin(streams))
	mux.HandleFunc("POST "+submitPath, serveSubmit(host))
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, _ *http.Request) { writeCBOR(w, snapshot()) })
	mux.HandleFunc("GET "+listPath, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, err1 := strconv.Atoi(q.Get("after"))
		waitMs, err2 := strconv.Atoi(q.Get("wait_ms"))
		if err1 != nil || err2 != nil {
			http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
			return
		}
		listing, err := host.ListLocal(r.Context(), q.Get("job"), after, time.Duration(waitMs)*time.Millisecond)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		writeCBOR(w, listing)
	})
	return mux
}

func writeCBOR(w http.ResponseWriter, v any) {
	raw, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // on a write error, the peer receives a truncated body
}
