package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	streamEvents   = 36
	streamInterval = 60 * time.Millisecond
	streams        = 12
	// silence is how long a run of a stream pauses once: less than the two seconds after which a client abandons it.
	silence = time.Second
)

// streamed is what a client has seen of a stream.
type streamed struct {
	id, status string
	events     int
	complete   bool
	took       time.Duration
}

// stream sends a stream request on a new channel and reads the answer to its end.
func stream(g *gateway, id string) (s streamed) {
	s.id = id
	begin := time.Now()
	defer func() { s.took = time.Since(begin).Round(time.Millisecond) }()
	req, err := http.NewRequest("POST", "http://"+g.front+"/pufi791/"+id, strings.NewReader("prompt"))
	must(err)
	req.Host = host
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "5000", "Model": "m", "Token-Counts": "450,36", "Prompt-Prefix": "9c2e41aa:200," + id + ":250"} {
		req.Header.Set(name, value)
	}
	c := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		s.status = err.Error()
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	s.status = fmt.Sprint(resp.StatusCode)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			s.events++
			if data != eventData(id, s.events) {
				s.status = "ORDER: " + data
			}
		}
	}
	s.complete = lines.Err() == nil && s.events == streamEvents
	return s
}

// silentWorker: the runs of streams at a worker pause for a second. The worker is the last one of its version, and drains; the
// gateway that serves the callers is stopped meanwhile.
func silentWorker() (broken bool) {
	st := newStore(12)
	all := &runs{}
	st.put("keyed.op", "config", config(7, 60))
	newWorker := func(name, version string) *worker {
		w := &worker{service: service, zone: "charlotte", slots: 8, events: streamEvents, interval: streamInterval, st: st, runs: all, version: version}
		w.start(name)
		return w
	}
	old := newWorker("i-old", "v1")
	if trouble {
		old.pause = func() time.Duration { return silence }
	}
	newWorker("i-new-1", "v2")
	var gateways []*gateway
	for i := range 2 {
		name := fmt.Sprintf("front-%d", i+1)
		gateways = append(gateways, newGateway(name, "charlotte", st.listen(name)))
	}
	for _, g := range gateways {
		g.start()
	}
	for _, g := range gateways {
		g.awaitReady()
	}
	time.Sleep(6 * time.Second)
	rec.line("two gateways are ready; disruption: %v", trouble)
	newWorker("i-new-2", "v2")
	time.Sleep(time.Second)
	results := make(chan streamed, streams)
	var sent sync.WaitGroup
	for i := range streams {
		sent.Add(1)
		go func() {
			defer sent.Done()
			results <- stream(gateways[0], fmt.Sprintf("s%d", i))
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	rec.line("planned work: a release has put i-new-2 in the place of i-old-1, which drains and serves on")
	old.drain()
	rec.line("planned work: front-1 gets SIGTERM")
	done := make(chan struct{})
	go func() { gateways[0].term(); close(done) }()
	sent.Wait()
	close(results)
	<-done
	at := make(map[string]string)
	for _, x := range all.all() {
		at[x.id] += fmt.Sprintf(" %s (after %q: %s)", x.worker, x.after, x.end)
	}
	for s := range results {
		rec.line("stream %s: status %s, %d of %d events, complete %v, after %s; runs:%s", s.id, s.status, s.events, streamEvents, s.complete, s.took, at[s.id])
		if !s.complete {
			rec.line("LOST: the channel of stream %s ended without a complete answer, %s after the request; its worker was sound and did not break off", s.id, s.took)
			broken = true
		}
	}
	return broken
}
