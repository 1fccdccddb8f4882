package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"
)

const (
	staleJobs  = 24
	staleItems = 10
	// turnedFor is how long the store turns one machine of three away (platform_down "nodes busy": share .35 for 9 s),
	// cutFor how long another one of three is partitioned from the other machines (node_cut: share .35 for 5.5 s and more).
	turnedFor = 9 * time.Second
	cutFor    = 7500 * time.Millisecond
	// settle is SettleMs.
	settle = time.Second
)

// seenAt is when a position of a batch job was first read.
type seenAt struct {
	mu   sync.Mutex
	from map[string][]time.Time
}

// staleOwner: the store turns away one gateway, which owns shards of batch jobs, and another one, which gets some of them,
// is cut off from the other gateways. Clients read at all gateways.
func staleOwner() (broken bool) {
	st := newStore(12)
	all := &runs{}
	st.put("keyed.op", "config", config(7, 60))
	for i := range 6 {
		w := &worker{service: service, zone: []string{"charlotte", "raleigh"}[i%2], slots: 8, events: itemEvents, interval: itemInterval, st: st, runs: all}
		w.start(fmt.Sprintf("i-%02d", i))
	}
	var gateways []*gateway
	for i := range 3 {
		g := newGateway(fmt.Sprintf("front-%d", i+1), []string{"charlotte", "raleigh"}[i%2], "")
		gateways = append(gateways, g)
	}
	peer := func(g *gateway) string { return g.ip + ":7660" }
	links := make(map[[2]int]*link)
	for a := range gateways {
		for b := a + 1; b < len(gateways); b++ {
			links[[2]int{a, b}] = newLink(peer(gateways[a]), peer(gateways[b]))
		}
	}
	for i, g := range gateways {
		shown := make(map[string]string)
		for pair, l := range links {
			if pair[0] == i {
				shown[peer(gateways[pair[1]])] = l.at[0]
			}
			if pair[1] == i {
				shown[peer(gateways[pair[0]])] = l.at[1]
			}
		}
		g.setStore(st.listenAs(g.name, filter(shown)))
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(4 * time.Second)
	rec.line("three gateways are ready; disruption: %v", trouble)
	turned, cut, other := gateways[0], gateways[1], gateways[2]

	var ids []string
	for n := range staleJobs {
		sum := sha256.Sum256([]byte(fmt.Sprint("job", n, time.Now().UnixNano())))
		id := hex.EncodeToString(sum[:8])
		var items []item
		for i := range staleItems {
			it := item{ID: fmt.Sprintf("%s%04x", id[:8], i), Path: fmt.Sprintf("%s3/%04x", batchPrefix, i), Tokens: 360}
			it.Headers = map[string]string{"Model": "m", "Token-Counts": "300,60", "Prompt-Prefix": fmt.Sprintf("9c2e41a%d:100,5d07b8%02d:200", i%3, i)}
			it.Body = body(it.ID, 600)
			items = append(items, it)
		}
		if !submit(gateways, id, items) {
			cannotRun("a batch job was not accepted")
		}
		ids = append(ids, id)
	}
	begin := time.Now()
	if trouble {
		rec.line("the store turns %s away with 503; %s is partitioned from the other machines", turned.name, cut.name)
		st.turnAway(turned.name, true)
		for pair, l := range links {
			if pair[0] == 1 || pair[1] == 1 {
				l.cut.Store(true)
			}
		}
		time.AfterFunc(cutFor, func() {
			rec.line("%s reaches the other machines again", cut.name)
			for _, l := range links {
				l.cut.Store(false)
			}
		})
		time.AfterFunc(turnedFor, func() {
			rec.line("the store serves %s again", turned.name)
			st.turnAway(turned.name, false)
		})
	}
	seen := &seenAt{from: make(map[string][]time.Time)}
	missing := 0
	for time.Since(begin) < turnedFor+6*time.Second {
		for _, id := range ids {
			missing += readPositions(cut, id, seen, false)
			missing += readPositions(other, id, seen, true)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if missing > 0 {
		rec.line("LOST: %s, which reaches the store and runs undisturbed, had nothing %d times at a position that was read more than SettleMs before", other.name, missing)
		broken = true
		quoteLogs("verify ownership", 3)
	}
	for _, id := range ids {
		results, total, readable, last := readAll(gateways, id, time.Now().Add(8*time.Second))
		if !readable || len(results) != total || total != staleItems {
			rec.line("LOST: batch job %s: readable %v (%s), %d of %d items", id, readable, last, len(results), total)
			broken = true
		}
	}
	return broken
}

// readPositions reads a batch job at a gateway: from the first position that nobody has read, and the last one that was read
// more than SettleMs before if judged is set. It returns 1 if the gateway has nothing there.
func readPositions(g *gateway, id string, seen *seenAt, judged bool) (missing int) {
	seen.mu.Lock()
	known := append([]time.Time(nil), seen.from[id]...)
	seen.mu.Unlock()
	if l, status, err := read(g, id, len(known)); err == nil && status == 200 && len(l.Results) > 0 {
		seen.mu.Lock()
		for range l.Results {
			seen.from[id] = append(seen.from[id], time.Now())
		}
		seen.mu.Unlock()
		rec.line("batch job %s: positions %d to %d read at %s", id, len(known), len(known)+len(l.Results)-1, g.name)
	}
	if !judged {
		return 0
	}
	at := -1
	for i, t := range known {
		if time.Since(t) > settle+500*time.Millisecond {
			at = i
		}
	}
	if at < 0 {
		return 0
	}
	l, status, err := read(g, id, at)
	if err == nil && status == 200 && len(l.Results) == 0 {
		rec.line("batch job %s: %s answers 200 with nothing at position %d, which was read %s before", id, g.name, at, time.Since(known[at]).Round(time.Millisecond))
		return 1
	}
	return 0
}
