package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	jobs         = 3
	jobItems     = 24
	itemBytes    = 103000
	itemEvents   = 60
	itemInterval = 20 * time.Millisecond
	// lostWindow, lostShare: platform_lost loses the answers of at most .35 of the writes for 4.5 s; with
	// "late" the calls are executed 1 to 6 s later.
	lostWindow = 4500 * time.Millisecond
	lostShare  = 0.35
	lateBy     = 5500 * time.Millisecond
)

// itemHeaders are the headers of an item, as PROTOCOL.md names them.
func itemHeaders(n int) map[string]string {
	return map[string]string{
		"Model": "m", "Token-Counts": fmt.Sprintf("%d,%d", 300+n, itemEvents), "Length-Hint": fmt.Sprint(40 + n),
		"Prompt-Prefix": fmt.Sprintf("9c2e41a%d:100,5d07b8%02d:%d", n%3, n, 200+n),
		"Content-Type":  "application/octet-stream", "Accept": "text/event-stream",
	}
}

// bigJob returns a batch job of 24 items of about 100 KB. The sizes of the bodies are such that the
// boundary between two records of the gateways' content topic lies in the headers of an item.
func bigJob(id string, boundary int) []item {
	var items []item
	offset := jobHead(id)
	for n := range jobItems {
		it := item{ID: fmt.Sprintf("%s%04x", id[:8], n), Path: fmt.Sprintf("%s3/%04x", batchPrefix, n), Headers: itemHeaders(n), Tokens: int64(300 + n + itemEvents)}
		size := itemBytes
		// The next item's headers begin itemHead bytes after the end of this one's body.
		next := offset + itemHead(it) + headersLen(it.Headers) + bodyHead + size + itemTail
		if next < boundary && next+itemBytes+500 > boundary {
			size += boundary - next - nextItemHead(id, n+1) - headersLen(itemHeaders(n+1))/2
		}
		it.Body = body(it.ID, size)
		offset += itemHead(it) + headersLen(it.Headers) + bodyHead + size + itemTail
		items = append(items, it)
	}
	return items
}

// body returns bytes that follow from the id of an item.
func body(id string, n int) []byte {
	seed := sha256.Sum256([]byte(id))
	out := make([]byte, 0, n+32)
	for len(out) < n {
		out = append(out, seed[:]...)
		seed = sha256.Sum256(seed[:])
	}
	return out[:n]
}

// textLen is the length of a text in CBOR.
func textLen(s string) int {
	switch {
	case len(s) < 24:
		return 1 + len(s)
	case len(s) < 256:
		return 2 + len(s)
	}
	return 3 + len(s)
}

// The lengths of the parts of a stored batch job.
func jobHead(id string) int {
	return 1 + 1 + textLen(id) + 1 + textLen(host) + 1 + textLen("r-batch") + 1 + 9 + 1 + 2
}
func itemHead(it item) int { return 1 + 1 + textLen(it.ID) + 1 + textLen(it.Path) + 1 }
func headersLen(h map[string]string) int {
	n := 1
	for name, value := range h {
		n += textLen(name) + textLen(value)
	}
	return n
}

const (
	bodyHead = 1 + 5 // key, and a length above 65,535
	itemTail = 1 + 3 // key, and a number from 256 to 65,535
)

func nextItemHead(id string, n int) int {
	return itemHead(item{ID: fmt.Sprintf("%s%04x", id[:8], n), Path: fmt.Sprintf("%s3/%04x", batchPrefix, n)})
}

// callBoundary is where the first append of a batch job's content ends: the gateways write it in records of
// RecordBytes less 300, as many in a call as CallBytes holds.
// calm is the time after the planned work in which the batch jobs can end: FinishS and more.
const calm = 20 * time.Second

const callBoundary = 7 * (262144 - 300)

// mixedContent: the store loses answers and executes two calls late while batch jobs are handed in; later all gateways
// are stopped and started in turn.
func mixedContent() bool {
	st := newStore(12)
	all := &runs{}
	st.put("keyed.op", "config", config(7, 60))
	for i := range 6 {
		w := &worker{service: service, zone: []string{"charlotte", "raleigh"}[i%2], slots: 8, events: itemEvents, interval: itemInterval, st: st, runs: all}
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
	time.Sleep(3 * time.Second)
	rec.line("three gateways are ready; disruption: %v", trouble)

	ids := make([]string, jobs)
	items := make(map[string][]item)
	for i := range ids {
		sum := sha256.Sum256([]byte(fmt.Sprint("job", i, time.Now().UnixNano())))
		ids[i] = hex.EncodeToString(sum[:8])
		items[ids[i]] = bigJob(ids[i], callBoundary)
	}
	if trouble {
		until := time.Now().Add(lostWindow)
		lostOf := make(map[string]int)
		st.mu.Lock()
		st.counting = true
		st.fault = func(from, topic string, part int, records []logRecord) storeFault {
			if from != "front-1" || topic != "keyed.contents" || !time.Now().Before(until) {
				return storeFault{}
			}
			first := slices.IndexFunc(records, func(r logRecord) bool { return strings.HasSuffix(r.key(), "#0") })
			if first < 0 {
				return storeFault{}
			}
			job := records[first].key()
			if lostOf[job] == 2 {
				return storeFault{}
			}
			lostOf[job]++
			rec.line("the store loses the answer to a call of %s (%d records of %s) and executes it %s later", from, len(records), job, lateBy)
			return storeFault{lost: true, late: lateBy}
		}
		st.mu.Unlock()
	}
	for _, id := range ids {
		if !submit(gateways, id, items[id]) {
			cannotRun("a batch job was not accepted")
		}
	}
	if trouble {
		st.mu.Lock()
		st.counting = false
		rec.line("the store has lost the answers of %d of %d writes", st.lost, st.writes)
		share := float64(st.lost) / float64(max(st.writes, 1))
		st.fault = nil
		st.mu.Unlock()
		if share > lostShare {
			cannotRun("the share of lost answers is too large")
		}
	}
	time.Sleep(2 * time.Second)
	for _, id := range ids {
		l, status, err := read(gateways[1], id, 0)
		rec.line("batch job %s: read at front-2: %s, %d of %d results", id, outcome(status, err), len(l.Results), l.Total)
	}
	time.Sleep(5 * time.Second)
	rec.line("planned work: the gateways are stopped with SIGTERM and started again, one after the other")
	for _, g := range gateways {
		g.term()
		g.start()
		g.awaitReady()
		time.Sleep(time.Second)
	}
	rec.line("all gateways are back; %s of calm follow", calm)
	time.Sleep(calm)
	broken := checkJobs(gateways, ids, items, all)
	if broken {
		quoteLogs("keyed.contents", 3)
	}
	return broken
}

// checkJobs reads the batch jobs from the start and checks them by the rules LOST, MIXED and UNASKED.
func checkJobs(gateways []*gateway, ids []string, items map[string][]item, all *runs) (broken bool) {
	for _, id := range ids {
		results, total, readable, last := readAll(gateways, id, time.Now().Add(6*time.Second))
		listed := make(map[string]string)
		for _, r := range results {
			if _, twice := listed[r.ID]; twice {
				rec.line("TWICE: item %s of batch job %s stands at two positions", r.ID, id)
				broken = true
			}
			listed[r.ID] = r.State
			if r.State == "completed" && r.Text != wholeText(r.ID, itemEvents) {
				rec.line("MIXED: the text of item %s of batch job %s is not its whole output", r.ID, id)
				broken = true
			}
		}
		rec.line("batch job %s: readable %v (last answer %s), %d of %d items listed", id, readable, last, len(listed), len(items[id]))
		switch {
		case !readable:
			rec.line("LOST: batch job %s, which was accepted, can't be read", id)
			broken = true
		case total != len(items[id]):
			rec.line("MIXED: Total of batch job %s is %d", id, total)
			broken = true
		case len(listed) < total:
			rec.line("LOST: %d items of batch job %s are not listed", total-len(listed), id)
			broken = true
		}
	}
	sent := make(map[string]item)
	for _, list := range items {
		for _, it := range list {
			sent[it.ID] = it
		}
	}
	count := 0
	for _, x := range all.all() {
		count++
		it, known := sent[x.id]
		if !known {
			rec.line("UNASKED: worker %s ran %s, which nobody sent", x.worker, x.id)
			broken = true
			continue
		}
		if x.body != string(it.Body) || x.path != it.Path {
			rec.line("UNASKED: worker %s ran item %s with another body or path", x.worker, x.id)
			broken = true
		}
		for _, name := range slices.Sorted(maps.Keys(it.Headers)) {
			if x.header.Get(name) != it.Headers[name] {
				rec.line("UNASKED: worker %s ran item %s with %s %q in place of %q", x.worker, x.id, name, x.header.Get(name), it.Headers[name])
				broken = true
			}
		}
	}
	rec.line("workers ran %d requests for %d items", count, len(sent))
	return broken
}
