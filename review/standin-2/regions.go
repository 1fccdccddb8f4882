package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// regionLost is how long the regions lose each other.
	regionLost = 66 * time.Second
	// regionDelay is the time of a call to the store from the other region beyond that from its own.
	regionDelay = 60 * time.Millisecond
	// afterLoss is the time after the partition for which the batch jobs are read: RecoveryS, ContactMs and more.
	afterLoss = 24 * time.Second

	// earlyJobs are done before the partition, lateJobs come after it.
	earlyJobs, lateJobs, regionItems = 8, 4, 6
)

func smallJob(seed string, n int) (id string, items []item) {
	sum := sha256.Sum256([]byte(fmt.Sprint(seed, time.Now().UnixNano())))
	id = hex.EncodeToString(sum[:8])
	for i := range n {
		it := item{ID: fmt.Sprintf("%s%04x", id[:8], i), Path: fmt.Sprintf("%s3/%04x", batchPrefix, i), Tokens: 360}
		it.Headers = map[string]string{"Model": "m", "Token-Counts": "300,60", "Prompt-Prefix": fmt.Sprintf("9c2e41a%d:100,5d07b8%02d:200", i%3, i)}
		it.Body = body(it.ID, 600)
		items = append(items, it)
	}
	return id, items
}

// readDone reads a batch job at gateways of one region until it is done or the time is over.
func readDone(gateways []*gateway, id string, want int, end time.Time) (results int, readable bool, last string) {
	for {
		var list []result
		list, _, readable, last = readAll(gateways, id, end)
		if results = len(list); results >= want || !readable || !time.Now().Before(end) {
			return results, readable, last
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// lostRegion: the regions lose each other for a minute. Gateways of georgia reach their clients and workers meanwhile, and
// neither the other gateways nor the store.
func lostRegion() (broken bool) {
	st := newStore(12)
	all := &runs{}
	st.put("keyed.op", "config", config(7, 100))
	zones := []string{"charlotte", "raleigh", "atlanta", "atlanta"}
	for i := range 8 {
		w := &worker{service: service, zone: zones[i%4], slots: 8, events: itemEvents, interval: itemInterval, st: st, runs: all}
		w.start(fmt.Sprintf("i-%02d", i))
	}
	var gateways []*gateway
	for i, zone := range zones {
		g := newGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone, "")
		gateways = append(gateways, g)
		if regionOf(zone) == "georgia" {
			st.delays[g.name] = regionDelay
		}
	}
	peer := func(g *gateway) string { return g.ip + ":7660" }
	shown := make([]map[string]string, len(gateways))
	for i := range shown {
		shown[i] = make(map[string]string)
	}
	var between []*link
	for a := range gateways {
		for b := a + 1; b < len(gateways); b++ {
			l := newLink(peer(gateways[a]), peer(gateways[b]))
			shown[a][peer(gateways[b])], shown[b][peer(gateways[a])] = l.at[0], l.at[1]
			if regionOf(zones[a]) != regionOf(zones[b]) {
				between = append(between, l)
			}
		}
	}
	for i, g := range gateways {
		g.setStore(st.listenAs(g.name, filter(shown[i])))
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(4 * time.Second)
	near, far := gateways[:2], gateways[2:]
	rec.line("four gateways are ready; disruption: %v", trouble)
	want := make(map[string]int)
	var ids []string
	handIn := func(name string, n int) {
		for i := range n {
			id, items := smallJob(fmt.Sprint(name, i), regionItems)
			if !submit(far, id, items) {
				rec.line("batch job %s was not accepted", id)
				continue
			}
			ids = append(ids, id)
			want[id] = len(items)
		}
	}
	handIn("early", earlyJobs)
	if len(ids) != earlyJobs {
		cannotRun("a batch job was not accepted")
	}
	time.Sleep(4 * time.Second)
	for _, id := range ids {
		results, total, _, last := readAll(far, id, time.Now().Add(2*time.Second))
		rec.line("batch job %s: %d of %d results read in georgia (%s)", id, len(results), total, last)
		if len(results) != want[id] {
			cannotRun("a batch job was not done")
		}
	}
	cut := func(on bool) {
		for _, l := range between {
			l.cut.Store(on)
		}
		for _, g := range far {
			st.silence(g.name, on)
		}
	}
	if trouble {
		rec.line("the regions lose each other for %s", regionLost)
		cut(true)
	}
	time.Sleep(regionLost)
	cut(false)
	rec.line("the regions reach each other again")
	healed := time.Now()
	time.Sleep(6 * time.Second)
	handIn("late", lateJobs)
	var unread atomic.Int64
	var reads sync.WaitGroup
	for _, id := range ids {
		for region, own := range map[string][]*gateway{"georgia": far, "carolinas": near} {
			reads.Go(func() {
				results, readable, last := readDone(own, id, want[id], healed.Add(afterLoss))
				rec.line("batch job %s: read in %s, %s after the partition: readable %v, %d of %d results (%s)", id, region, time.Since(healed).Round(time.Millisecond), readable, results, want[id], last)
				if !readable || results < want[id] {
					rec.line("LOST: batch job %s can't be read by the clients of %s", id, region)
					unread.Add(1)
				}
			})
		}
	}
	reads.Wait()
	broken = unread.Load() > 0
	if broken {
		quoteLogs("peer=", 12)
	}
	return broken
}
