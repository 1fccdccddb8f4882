package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	id, worker, after string
	at                time.Time
	events            int
	whole             bool
}

// worker is a stand-in of a sound worker of one service.
type worker struct {
	id, address, service string
	slots                int
	events               int
	interval             time.Duration
	born                 int64

	mu      sync.Mutex
	seq     int64
	running int
	runs    []*run
	record  *recorder
}

func startWorker(s *store, id, service string, slots, events int, interval time.Duration, rec *recorder) *worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w := &worker{id: id, address: ln.Addr().String(), service: service, slots: slots, events: events, interval: interval, born: time.Now().UnixMilli(), record: rec}
	go func() { _ = (&http.Server{Handler: w}).Serve(ln) }()
	go func() {
		for {
			w.register(s)
			time.Sleep(heartbeat)
		}
	}()
	return w
}

const heartbeat = 1200 * time.Millisecond

// register writes the worker's entry to the store.
func (w *worker) register(s *store) {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{"Service": w.service, "Address": w.address, "Zone": zone, "Version": "v1", "Slots": w.slots, "State": "ready", "ColdRemainingMs": 0, "Seq": w.seq, "born": w.born}
	w.mu.Unlock()
	raw, err := json.Marshal(entry)
	must(err)
	s.put("keyed.servers", w.id, raw)
}

const (
	// lookTime is the work of a safe request, lookBytes the length of its answer.
	lookTime  = 300 * time.Millisecond
	lookBytes = 800
)

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		h.Set("Request-Id", r.Header.Get("Request-Id"))
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		h.Set("Instance-Id", w.id)
		return
	case "/api/report":
		_ = json.NewEncoder(out).Encode(map[string]any{"Stage": "both", "born": w.born, "Running": w.running, "Waiting": 0})
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	u := w.begin(r)
	if u == nil {
		h.Set("Request-Id", r.Header.Get("Request-Id"))
		h.Set("Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.end()
	h.Set("Request-Id", u.id)
	h.Set("Response-Stamp", "stamp-"+w.id)
	if strings.HasPrefix(r.URL.Path, lookPrefix) {
		time.Sleep(lookTime)
		h.Set("Content-Length", strconv.Itoa(lookBytes))
		_, _ = out.Write(make([]byte, lookBytes))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", w.load(), w.slots))
	first, _ := strconv.Atoi(u.after)
	for n := first + 1; n <= w.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.interval):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, eventData(u.id, n)); err != nil {
			return
		}
		if http.NewResponseController(out).Flush() != nil {
			return
		}
		w.mu.Lock()
		u.events = n
		w.mu.Unlock()
	}
	w.mu.Lock()
	u.whole = true
	w.mu.Unlock()
}

// eventData is the data of event n of a request: the same at every worker.
func eventData(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

func (w *worker) begin(r *http.Request) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots {
		return nil
	}
	w.running++
	u := &run{id: r.Header.Get("Request-Id"), worker: w.id, after: r.Header.Get("Last-Event-Id"), at: time.Now()}
	w.runs = append(w.runs, u)
	w.record.add("run", "%s at %s, after event %q", u.id, w.id, u.after)
	return u
}

func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

func (w *worker) load() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// runsOf returns how many runs of a request have begun.
func (w *worker) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, u := range w.runs {
		if u.id == id {
			n++
		}
	}
	return n
}
