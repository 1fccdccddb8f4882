package main

import (
	"fmt"
	"time"
)

// playBlocked lets all workers of one service be lost for good, while batch jobs come on two routes, one of
// that service and one of another.
func playBlocked(r *rig) {
	other := batchRoute()
	other["Name"], other["PathPrefix"], other["Service"] = "r-other", "/zulo777/", "llm2"
	service := llmService()
	service["Name"] = "llm2"
	r.publish(7, []map[string]any{batchRoute(), other, streamRoute()}, []map[string]any{llmService(), service})
	lost := startWorkers(r, 2, shortRun)
	for i := range 2 {
		w := newWorker(r, fmt.Sprintf("i-other-%d", i+1), "llm2", shortRun)
		if err := w.start(); err != nil {
			fail("%v", err)
		}
	}
	g := r.startGateway("front-charlotte-1")
	r.awaitReady()
	if r.trouble {
		for _, w := range lost {
			w.crash()
		}
	}
	time.Sleep(6 * time.Second) // the entries of lost workers are gone after three liveness reports
	jobs := make(map[string][]item)
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("7c41e09b52d6a%03d", i)
		r.submit(g, id, []item{newItem(fmt.Sprintf("e5b2907c14da0%03d", i), fmt.Sprintf("9c2e41:100,5d07%02d:250", i))})
		id = fmt.Sprintf("7c41e09b52d6b%03d", i)
		it := newItem(fmt.Sprintf("e5b2907c14da1%03d", i), fmt.Sprintf("9c2e42:100,5d08%02d:250", i))
		it.Path = "/zulo777/3/" + it.ID
		jobs[id] = []item{it}
		ids = append(ids, id)
		r.submitAt(g, "/zulo777/", id, jobs[id])
		time.Sleep(500 * time.Millisecond)
	}
	end := time.Now().Add(18*time.Second + finishTime)
	var missing []string
	for _, id := range ids {
		missing = append(missing, r.awaitResults(g, id, jobs[id], end)...)
	}
	r.finish(describe("LOST", r.leftLying(missing, time.Now())))
}
