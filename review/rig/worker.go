package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two liveness reports of a worker; its entry is removed after three
// of silence.
const heartbeat = 1200 * time.Millisecond

// runComplete is the end of a run that has sent its whole output.
const runComplete = "complete"

// worker is a stand-in for a backend server. It runs what it gets and answers with events.
type worker struct {
	rig     *rig
	service string
	zone    string
	address string
	// serve runs one request and returns how it ended.
	serve func(w http.ResponseWriter, r *http.Request, body []byte) string

	mu     sync.Mutex
	id     string
	boots  int
	born   int64
	server *http.Server
	seq    int
	stop   context.CancelFunc
	// running and waiting count the requests that have a slot and those that wait for one.
	running, waiting int
	free             chan struct{}
}

// The requests that a worker processes at once, and those that may wait for a slot.
const (
	slots    = 8
	maxQueue = 24
)

func newWorker(r *rig, name, service string, serve func(http.ResponseWriter, *http.Request, []byte) string) *worker {
	w := &worker{rig: r, service: service, zone: "charlotte", serve: serve, id: name}
	w.address = r.ip + ":" + strconv.Itoa(freePort(r.ip))
	return w
}

// start starts the worker under a new id and registers it.
func (w *worker) start() error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.boots++
	if w.boots > 1 {
		w.id = fmt.Sprintf("%.10s-b%d", w.id, w.boots)
	}
	w.running, w.waiting, w.free = 0, 0, make(chan struct{}, slots)
	w.born, w.stop = time.Now().UnixMilli(), cancel
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go w.report(ctx)
	return nil
}

// crash ends the worker as the loss of its process does: its connections are closed, and nothing
// listens at its address. Its entry is removed after three liveness reports.
func (w *worker) crash() {
	w.mu.Lock()
	server, id := w.server, w.id
	w.stop()
	w.mu.Unlock()
	w.rig.note("worker %s crashes", id)
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { w.rig.store.put("keyed.servers", id, nil) })
}

// crashFor crashes the worker and starts it again after down.
func (w *worker) crashFor(down time.Duration) {
	w.crash()
	time.AfterFunc(down, func() {
		if err := w.start(); err == nil {
			w.rig.note("worker %s has started", w.name())
		}
	})
}

func (w *worker) name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *worker) report(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		raw, _ := json.Marshal(map[string]any{
			"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": slots, "State": "ready",
			"ColdRemainingMs": 0, "Stage": "both", "Models": []any{}, "Seq": w.seq, "born": w.born,
		})
		id := w.id
		w.mu.Unlock()
		w.rig.store.put("keyed.servers", id, raw)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id, born, running, waiting := w.id, w.born, w.running, w.waiting
	w.mu.Unlock()
	h := rw.Header()
	h.Set("Instance-Id", id)
	if r.Method == http.MethodGet && (r.URL.Path == "/api/report" || r.URL.Path == "/health") {
		writeJSON(rw, http.StatusOK, map[string]any{"Stage": "both", "Busy": false, "Seq": 0, "Waiting": waiting, "Running": running, "KvUsed": 0, "KvTotal": 100000, "born": born})
		return
	}
	request := r.Header.Get("Request-Id")
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != id {
		h.Set("Request-Id", request)
		w.rig.note("worker %s: request %s is for another instance", id, request)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request == "" {
		h.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h.Set("Request-Id", request)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
		defer cancel()
		r = r.WithContext(ctx)
	}
	release, ok := w.admit(r.Context())
	w.mu.Lock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", w.running, w.waiting, slots))
	w.mu.Unlock()
	if !ok {
		w.rig.note("worker %s is full and doesn't run request %s", id, request)
		h.Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	h.Set("Response-Stamp", "stamp-"+request)
	w.rig.arrived(id, request, r, body)
	end := w.serve(rw, r, body)
	w.rig.ended(id, request, end)
}

// admit waits for a slot. It returns false if too many requests wait already, or if the caller's time is
// over first.
func (w *worker) admit(ctx context.Context) (release func(), ok bool) {
	w.mu.Lock()
	free := w.free
	if w.waiting >= maxQueue {
		w.mu.Unlock()
		return nil, false
	}
	w.waiting++
	w.mu.Unlock()
	select {
	case free <- struct{}{}:
		ok = true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if free == w.free { // the counts are those of this boot
		w.waiting--
		if ok {
			w.running++
		}
	}
	return func() {
		<-free
		w.mu.Lock()
		defer w.mu.Unlock()
		if free == w.free {
			w.running--
		}
	}, ok
}

// sendEvents sends the events after Last-Event-Id, one at a time with a pause after each.
func sendEvents(w http.ResponseWriter, r *http.Request, events int, pause time.Duration, data func(n int) string) string {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data(n)); err != nil {
			return "the caller has gone"
		}
		if err := controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return "the caller has gone"
		}
		select {
		case <-r.Context().Done():
			return fmt.Sprintf("broken off after event %d", n)
		case <-time.After(pause):
		}
	}
	return runComplete
}
