package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// otherItems are items of batch jobs with other shared parts; guiltyItems carry the part that ends workers: 3 of
	// 105 are less than the share .03 of the day in the seventh letter.
	otherItems  = 94
	guiltyItems = 3
	soundItems  = 8
	// soundAfter is when the sound batch job comes after the other two.
	soundAfter = 20 * time.Second
	// observation is the time after their start for which the gateways watch before the first batch job is handed in.
	observation = 8 * time.Second
	// trafficEnds is when the last request of a client is sent, after the first batch job; finishTime is FinishS.
	trafficEnds = 34 * time.Second
	finishTime  = 18 * time.Second

	// sharedPart is one of the ten shared parts of the sheet, deadlyPart one that ends a worker that begins to run it.
	sharedPart = "9c2e41aa"
	deadlyPart = "dead0001"
)

// partItems returns n items whose prompts begin with the parts that prefix returns.
func partItems(seed string, n int, prefix func(i int) string) (id string, items []item) {
	sum := sha256.Sum256([]byte(fmt.Sprint(seed, time.Now().UnixNano())))
	id = hex.EncodeToString(sum[:8])
	for i := range n {
		it := item{ID: fmt.Sprintf("%s%04x", id[:8], i), Path: fmt.Sprintf("%s3/%04x", batchPrefix, i), Tokens: int64(350 + itemEvents)}
		it.Headers = map[string]string{"Model": "m", "Token-Counts": fmt.Sprintf("350,%d", itemEvents), "Prompt-Prefix": fmt.Sprintf("%s,%s%02x:250", prefix(i), id[:6], i)}
		it.Body = body(it.ID, 600)
		items = append(items, it)
	}
	return id, items
}

// partitionOf returns the partition of the store that the gateways keep a batch job in.
func partitionOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32() % 12
}

// heldPart: three items of a batch job carry a prompt part that ends each worker that begins to run it. Another batch job shares
// with them only the first part, with which nothing is wrong.
func heldPart() (broken bool) {
	st := newStore(12)
	all := &runs{}
	st.put("keyed.op", "config", config(7, 60))
	guilty := make(map[string]bool)
	var lastCrash atomic.Int64
	for i := range 9 {
		w := &worker{service: service, zone: []string{"charlotte", "raleigh"}[i%2], slots: 8, events: itemEvents, interval: itemInterval, st: st, runs: all, downFor: 3 * time.Second}
		w.deadly = func(id string) bool {
			if !trouble || !guilty[id] {
				return false
			}
			lastCrash.Store(time.Now().UnixNano())
			rec.line("a worker runs item %s, which carries the deadly part, and ends", id)
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

	others, otherList := partItems("others", otherItems, func(i int) string { return fmt.Sprintf("9c2e41b%d:100", i%9) })
	bad, badList := partItems("bad", guiltyItems, func(int) string { return sharedPart + ":100," + deadlyPart + ":50" })
	sound, soundList := partItems("sound", soundItems, func(int) string { return sharedPart + ":100" })
	for n := 0; partitionOf(sound) != partitionOf(bad); n++ { // one gateway runs both
		sound, soundList = partItems(fmt.Sprint("sound", n), soundItems, func(int) string { return sharedPart + ":100" })
	}
	for _, it := range badList {
		guilty[it.ID] = true
	}
	rec.line("three gateways are ready; disruption: %v, batch job %s", trouble, bad)
	begin := time.Now()
	if !submit(gateways, others, otherList) || !submit(gateways, bad, badList) {
		cannotRun("a batch job was not accepted")
	}
	time.Sleep(soundAfter)
	if !submit(gateways, sound, soundList) {
		cannotRun("a batch job was not accepted")
	}
	time.Sleep(time.Until(begin.Add(trafficEnds)))
	rec.line("the traffic ends; FinishS begins")
	time.Sleep(finishTime)
	calm := time.Since(time.Unix(0, lastCrash.Load()))
	for id, list := range map[string][]item{others: otherList, sound: soundList} {
		results, total, readable, last := readAll(gateways, id, time.Now().Add(3*time.Second))
		listed := make(map[string]string)
		for _, r := range results {
			listed[r.ID] = r.State
			if r.State != "completed" || r.Text != wholeText(r.ID, itemEvents) {
				rec.line("MIXED: the text of item %s is not its whole output, or it is %s", r.ID, r.State)
				broken = true
			}
		}
		rec.line("batch job %s: readable %v (%s), %d of %d items listed", id, readable, last, len(listed), total)
		for _, it := range list {
			if listed[it.ID] != "" {
				continue
			}
			n := len(slices.DeleteFunc(all.all(), func(x run) bool { return x.id != it.ID }))
			rec.line("LOST: item %s with the prompt %s is not listed; it was run %d times", it.ID, it.Headers["Prompt-Prefix"], n)
			broken = true
		}
	}
	rec.line("%d runs carried the deadly part; the last one was %s ago", len(slices.DeleteFunc(all.all(), func(x run) bool { return !strings.Contains(x.header.Get("Prompt-Prefix"), deadlyPart) })), calm.Round(time.Millisecond))
	for _, event := range []string{"msg=part_held", "msg=part_released", "msg=trial_started", "msg=trial_ended"} {
		quoteLogs(event, 12)
	}
	for _, x := range all.all() {
		if x.end == "" || time.Since(x.ended) < 6*time.Second {
			cannotRun("a worker has, or has just had, item " + x.id)
		}
	}
	if calm < 20*time.Second {
		cannotRun("a worker has ended in the last 20 s")
	}
	return broken
}
