package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	deadlyItems = 40
	// deadlyAt is the item that ends each worker that begins it: 1 of 40 is less than the share .03 of the day in
	// the seventh letter.
	deadlyAt = 17
	// observation is the time after their start for which the gateways watch before the job is handed in.
	observation = 8 * time.Second
	// trafficEnds is when the last request of a client is sent, after the job was accepted; finish is FinishS.
	trafficEnds = 34 * time.Second
	finishTime  = 18 * time.Second
)

// deadlyItem: one item of a batch job ends each worker that begins it. The others are done.
func deadlyItem() (broken bool) {
	st := newStore(12)
	all := &runs{}
	st.put("keyed.op", "config", config(7, 60))
	sum := sha256.Sum256([]byte(fmt.Sprint("job", time.Now().UnixNano())))
	id := hex.EncodeToString(sum[:8])
	var items []item
	for n := range deadlyItems {
		it := item{ID: fmt.Sprintf("%s%04x", id[:8], n), Path: fmt.Sprintf("%s3/%04x", batchPrefix, n), Tokens: int64(300 + itemEvents)}
		it.Headers = map[string]string{"Model": "m", "Token-Counts": fmt.Sprintf("300,%d", itemEvents), "Prompt-Prefix": fmt.Sprintf("9c2e41a%d:100,5d07b8%02d:200", n%3, n)}
		it.Body = body(it.ID, 600)
		items = append(items, it)
	}
	deadly := items[deadlyAt].ID
	var lastCrash atomic.Int64
	for i := range 9 {
		w := &worker{service: service, zone: []string{"charlotte", "raleigh"}[i%2], slots: 8, events: itemEvents, interval: itemInterval, st: st, runs: all, downFor: 3 * time.Second}
		w.deadly = func(id string) bool {
			if !trouble || id != deadly {
				return false
			}
			lastCrash.Store(time.Now().UnixNano())
			rec.line("a worker runs item %s and ends", id)
			return true
		}
		w.start(fmt.Sprintf("i-%02d", i))
	}
	var gateways []*gateway
	for i := range 3 {
		name := fmt.Sprintf("front-%d", i+1)
		gateways = append(gateways, newGateway(name, []string{"charlotte", "raleigh"}[i%2], st.listen(name)))
	}
	for _, g := range gateways {
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(observation)
	rec.line("three gateways are ready; disruption: %v, item %s", trouble, deadly)
	if !submit(gateways, id, items) {
		cannotRun("the batch job was not accepted")
	}
	accepted := time.Now()
	time.Sleep(trafficEnds)
	rec.line("the traffic ends; FinishS begins")
	time.Sleep(finishTime)
	calm := time.Since(time.Unix(0, lastCrash.Load()))
	results, total, readable, last := readAll(gateways, id, time.Now().Add(3*time.Second))
	listed := make(map[string]string)
	for _, r := range results {
		listed[r.ID] = r.State
		if r.State == "completed" && r.Text != wholeText(r.ID, itemEvents) {
			rec.line("MIXED: the text of item %s is not its whole output", r.ID)
			broken = true
		}
	}
	rec.line("%s after the 202: readable %v (%s), %d of %d items listed, the deadly one %q", time.Since(accepted).Round(time.Millisecond), readable, last, len(listed), total, listed[deadly])
	runsOf, newest := 0, time.Time{}
	for _, x := range all.all() {
		if x.id == deadly {
			runsOf++
			newest = x.began
		}
	}
	rec.line("the deadly item was run %d times, last %s ago", runsOf, time.Since(newest).Round(time.Millisecond))
	for _, it := range items {
		if listed[it.ID] == "" && it.ID != deadly {
			rec.line("LOST: item %s is not listed", it.ID)
			broken = true
		}
	}
	if trouble && listed[deadly] == "" && calm > 20*time.Second {
		rec.line("LOST: item %s is open and not listed, has not failed at a worker for 20 s, and no worker has it", deadly)
		broken = true
	}
	return broken
}
