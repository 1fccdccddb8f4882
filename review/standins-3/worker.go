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
	version string
	// leaving states that the worker says in all answers that it leaves; silent that it writes nothing any more.
	leaving, silent bool
	// draining states that the worker's entry says so.
	draining bool
	server   *http.Server
	runs     []*run
	record   *recorder
}

func startWorker(s *store, id, service string, slots, events int, interval time.Duration, rec *recorder) *worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w := &worker{id: id, address: ln.Addr().String(), service: service, slots: slots, events: events, interval: interval, record: rec}
	w.serve(ln, firstVersion)
	go func() {
		for {
			if entry, ok := w.nextEntry(); ok {
				s.put(workerTopic, w.id, entry)
			}
			time.Sleep(heartbeat)
		}
	}()
	return w
}

const (
	heartbeat = 1200 * time.Millisecond
	// silentBeats is after how many intervals without a heartbeat the platform removes an entry.
	silentBeats = 3
	workerTopic = "keyed.servers"
)

// nextEntry returns the worker's next entry, or false if it writes nothing any more.
func (w *worker) nextEntry() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return nil, false
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{"Service": w.service, "Address": w.address, "Zone": zone, "Version": w.version, "Slots": w.slots, "State": state, "ColdRemainingMs": 0, "Seq": w.seq, "born": w.born})
	must(err)
	return raw, true
}

// leave makes the worker say in all answers that it leaves, and removes its entry.
func (w *worker) leave(s *store) {
	w.mu.Lock()
	w.leaving, w.silent = true, true
	w.mu.Unlock()
	s.put(workerTopic, w.id, nil)
}

// The versions of the workers' software.
const firstVersion, nextVersion = "v1", "v2"

// serve starts a boot of the worker.
func (w *worker) serve(ln net.Listener, version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.version = time.Now().UnixMilli(), version
	w.leaving, w.draining = false, false
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
}

// exit ends the worker: it closes all channels.
func (w *worker) exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.server.Close()
}

// crash ends the worker, and it writes nothing any more.
func (w *worker) crash() {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	w.exit()
	w.record.add("worker", "%s crashes", w.id)
}

// drain makes the worker report that it drains, and say so in all answers from now on.
func (w *worker) drain(s *store) {
	w.mu.Lock()
	w.leaving, w.draining = true, true
	w.mu.Unlock()
	entry, _ := w.nextEntry()
	s.put(workerTopic, w.id, entry)
	w.record.add("worker", "%s drains", w.id)
}

// startAgain ends the worker and starts it again under its id, at its address, with the next version.
func (w *worker) startAgain(s *store) {
	w.record.add("worker", "%s ends, %d requests in progress", w.id, w.load())
	w.exit()
	ln, err := net.Listen("tcp", w.address)
	must(err)
	w.serve(ln, nextVersion)
	entry, _ := w.nextEntry()
	s.put(workerTopic, w.id, entry)
	w.record.add("worker", "%s starts again with version %s", w.id, nextVersion)
}

// runsVersion returns the version of the worker's software.
func (w *worker) runsVersion() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// isLeaving reports whether the worker says that it leaves.
func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

const (
	// callTime is the work of a request with a single answer, callBytes the length of the answer.
	callTime  = 300 * time.Millisecond
	callBytes = 800
)

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	if w.isLeaving() {
		h.Set("Server-Leaving", "1")
	}
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
		_ = json.NewEncoder(out).Encode(w.report())
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
	if strings.HasPrefix(r.URL.Path, lookPrefix) || strings.HasPrefix(r.URL.Path, bookPrefix) {
		time.Sleep(callTime)
		h.Set("Content-Length", strconv.Itoa(callBytes))
		_, _ = out.Write(make([]byte, callBytes))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", w.load(), w.slots))
	version := w.runsVersion()
	first, _ := strconv.Atoi(u.after)
	for n := first + 1; n <= w.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(w.interval):
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, eventData(u.id, n, version)); err != nil {
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

// eventData is the data of event n of a request: the same at every worker that runs a version.
func eventData(id string, n int, version string) string {
	return fmt.Sprintf("%s.%d.%s", id, n, version)
}

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

// report is what the worker says of itself.
func (w *worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{"Stage": "both", "born": w.born, "Running": w.running, "Waiting": 0}
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
