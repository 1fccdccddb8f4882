package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// cases are the cases that a script can play.
var cases = map[string]func(*rig){
	"crashes":  playCrashes,
	"long":     playLongResult,
	"added":    playRouteAdded,
	"blocked":  playBlocked,
	"empty":    playEmpty,
	"entry":    playForeignEntry,
	"outside":  playPathOutside,
	"removed":  playRouteRemoved,
	"slow":     playSlowClients,
	"smuggled": playSmuggled,
}

// longRun answers with the events of an item, which takes about ten seconds.
func longRun(w http.ResponseWriter, r *http.Request, _ []byte) string {
	return sendEvents(w, r, 250, 40*time.Millisecond, func(n int) string { return fmt.Sprintf("piece %d", n) })
}

func shortRun(w http.ResponseWriter, r *http.Request, _ []byte) string {
	return sendEvents(w, r, 20, 10*time.Millisecond, func(n int) string { return fmt.Sprintf("piece %d", n) })
}

func startWorkers(r *rig, n int, serve func(http.ResponseWriter, *http.Request, []byte) string) []*worker {
	var workers []*worker
	for i := range n {
		w := newWorker(r, fmt.Sprintf("i-%d", i+1), "llm", serve)
		if err := w.start(); err != nil {
			fail("%v", err)
		}
		workers = append(workers, w)
	}
	return workers
}

func startFleet(r *rig, workers int, serve func(http.ResponseWriter, *http.Request, []byte) string) (*gateway, []*worker) {
	r.publish(7, []map[string]any{batchRoute(), streamRoute()}, []map[string]any{llmService()})
	list := startWorkers(r, workers, serve)
	g := r.startGateway("front-charlotte-1")
	r.awaitReady()
	return g, list
}

// job is the id of the batch job of a case that has one.
const job = "7c41e09b52d6a3f8"

// sharedItems returns n items whose prompts begin with the same part.
func sharedItems(n int) []item {
	var items []item
	for i := range n {
		items = append(items, newItem(fmt.Sprintf("e5b2907c14da6f%02d", i), fmt.Sprintf("9c2e41:100,5d07b%02d:250", i)))
	}
	return items
}

func describe(rule string, items []string) []string {
	var out []string
	for _, id := range items {
		out = append(out, rule+": item "+id+" is neither completed nor dead_lettered, and no worker has had it for 5 s")
	}
	return out
}

// playCrashes lets all workers of a service crash three times while they run the items of a batch job
// whose prompts share a part. Each time they are back after 4.5 s.
func playCrashes(r *rig) {
	const down, between = 4500 * time.Millisecond, 8 * time.Second
	g, workers := startFleet(r, 3, longRun)
	time.Sleep(8 * time.Second) // as long as traffic starts after the machines
	items := sharedItems(6)
	r.submit(g, job, items)
	time.Sleep(2 * time.Second)
	if r.trouble {
		for range 3 {
			for _, w := range workers {
				w.crashFor(down)
			}
			time.Sleep(between)
		}
	}
	end := time.Now().Add(18*time.Second + finishTime)
	missing := r.awaitResults(g, job, items, end)
	r.finish(describe("LOST", r.leftLying(missing, time.Now())))
}

// playLongResult submits a batch job with one item whose output is longer than one call to the store
// may be, and then jobs with short outputs. With one gateway, which owns all shards, a job whose id falls
// into the same shard shows whether the others are answered.
func playLongResult(r *rig) {
	const events, eventBytes = 8000, 300
	serve := func(w http.ResponseWriter, req *http.Request, body []byte) string {
		if strings.HasSuffix(req.RequestURI, "-long") {
			filler := strings.Repeat("x", eventBytes-20)
			return sendEvents(w, req, events, time.Millisecond, func(n int) string { return fmt.Sprintf("{\"token\":%d,%q:1}", n, filler) })
		}
		return shortRun(w, req, body)
	}
	g, _ := startFleet(r, 3, serve)
	long := newItem("e5b2907c14da0000-long", "9c2e41:100,5d07b0:250")
	long.Headers["Token-Counts"], long.Tokens = fmt.Sprintf("350,%d", events), 350+events
	if r.trouble {
		r.submit(g, "7c41e09b52d6a000", []item{long})
		time.Sleep(15 * time.Second) // its run takes about ten
	}
	jobs := make(map[string][]item)
	var all, missing []string
	for i := range 40 {
		id := fmt.Sprintf("7c41e09b52d6b%03d", i)
		jobs[id] = []item{newItem(fmt.Sprintf("e5b2907c14da1%03d", i), fmt.Sprintf("9c2e41:100,5d08%02d:250", i))}
		r.submit(g, id, jobs[id])
		all = append(all, id)
	}
	if r.trouble {
		jobs["7c41e09b52d6a000"] = []item{long}
		all = append(all, "7c41e09b52d6a000")
	}
	end := time.Now().Add(18*time.Second + finishTime)
	slices.Sort(all)
	for _, id := range all {
		missing = append(missing, r.awaitResults(g, id, jobs[id], end)...)
	}
	r.finish(describe("LOST", r.leftLying(missing, time.Now())))
}

// playPathOutside submits a batch job whose items have paths that do not begin with the prefix of its route.
func playPathOutside(r *rig) {
	g, _ := startFleet(r, 3, shortRun)
	items := sharedItems(6)
	if r.trouble {
		for i := range items {
			items[i].Path = "/v1/generate"
		}
	}
	r.submit(g, job, items)
	missing := r.awaitResults(g, job, items, time.Now().Add(18*time.Second+finishTime))
	r.finish(describe("LOST", r.leftLying(missing, time.Now())))
}

// playRouteRemoved removes the route of a batch job that has been accepted, and keeps another route of
// the same service.
func playRouteRemoved(r *rig) {
	const beyondRetention = 75 * time.Second
	g, _ := startFleet(r, 3, longRun)
	items := sharedItems(40)
	r.submit(g, job, items)
	end := time.Now().Add(beyondRetention)
	time.Sleep(2 * time.Second)
	routes := []map[string]any{batchRoute(), streamRoute()}
	if r.trouble {
		routes = routes[1:]
	}
	r.publish(12, routes, []map[string]any{llmService()})
	missing := r.awaitResults(g, job, items, end)
	r.finish(describe("LOST", r.leftLying(missing, time.Now())))
}

// playRouteAdded adds a stream route with a longer prefix, which begins the paths of the items of a batch
// job that has been accepted. The route of the batch job stays as it is.
func playRouteAdded(r *rig) {
	g, _ := startFleet(r, 3, longRun)
	items := sharedItems(40)
	r.submit(g, job, items)
	time.Sleep(2 * time.Second)
	routes := []map[string]any{batchRoute(), streamRoute()}
	if r.trouble {
		added := streamRoute()
		added["Name"], added["PathPrefix"] = "r-added", "/pule252/3/"
		routes = append(routes, added)
	}
	r.publish(12, routes, []map[string]any{llmService()})
	end := time.Now().Add(18*time.Second + finishTime)
	missing := r.awaitResults(g, job, items, end)
	r.finish(describe("LOST", r.leftLying(missing, time.Now())))
}

// playSmuggled submits a batch job with an item whose path holds a second request.
func playSmuggled(r *rig) {
	g, _ := startFleet(r, 3, shortRun)
	it := newItem("e5b2907c14da6f38", "9c2e41:100,5d07b0:250")
	const foreign = "0000000000005ec0"
	if r.trouble {
		it.Path += " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + it.ID + "\r\nContent-Length: 0\r\n\r\n" +
			"POST /lohu930/2f HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + foreign + "\r\nContent-Length: 0\r\n\r\nPOST " + it.Path
	}
	raw := base64.StdEncoding.EncodeToString([]byte("body"))
	it.Body = raw
	body := fmt.Sprintf(`{"Items":[{"Id":%q,"Path":%q,"Headers":{"Model":"m","Token-Counts":"350,1250","Prompt-Prefix":"9c2e41:100"},"Body":%q,"Tokens":%d}]}`, it.ID, it.Path, it.Body, it.Tokens)
	r.call(g, http.MethodPost, "/pule252/"+job, job, []byte(body), map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"})
	time.Sleep(4 * time.Second)
	var broken []string
	for _, a := range r.runs() {
		if a.id != it.ID || a.target != it.Path {
			broken = append(broken, fmt.Sprintf("UNASKED: worker %s runs request %s %s, which no client sent", a.worker, a.id, a.target))
		}
	}
	r.finish(broken)
}
