package main

import (
	"fmt"
	"net/http"
	"sync"
)

// playEmpty lets each worker cut the answer to the first run of each item short, before its first event,
// and end it as an answer in chunks ends. Later runs are sound.
func playEmpty(r *rig) {
	var mu sync.Mutex
	seen := make(map[string]bool)
	serve := func(w http.ResponseWriter, req *http.Request, body []byte) string {
		id := req.Header.Get("Request-Id")
		mu.Lock()
		first := !seen[id]
		seen[id] = true
		mu.Unlock()
		if first && r.trouble {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush() // the answer has no length, so it is sent in chunks
			return "cut before its first event"
		}
		return shortRun(w, req, body)
	}
	g, _ := startFleet(r, 3, serve)
	items := sharedItems(6)
	r.submit(g, job, items)
	_ = r.awaitResults(g, job, items, r.begin.Add(finishTime*2))
	_, results, _ := r.list(g, job)
	var broken []string
	for _, res := range results {
		if res.State == "completed" && res.Text == "" {
			broken = append(broken, fmt.Sprintf("MIXED: item %s is listed as completed with an empty text; its whole output has 20 events", res.ID))
		}
	}
	r.finish(broken)
}
