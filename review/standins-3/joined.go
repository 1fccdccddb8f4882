package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// joinedCut is how long the gateway is partitioned from the store.
	joinedCut = 5 * time.Second
	// slowInterval is the time between two events of the slowest worker, which crashes crashAfter the begin of the cut.
	slowInterval = 230 * time.Millisecond
	crashAfter   = 3700 * time.Millisecond
	// talkers is the number of clients that talk at the same time.
	talkers = 42
)

// joinedCase: two of six workers are replaced, as planned, by a new version under their ids while a gateway is partitioned
// from the store. Then a worker of the old version crashes in the middle of its streams.
func joinedCase(rec *recorder, trouble bool) outcome {
	o := options{gateways: 2, workers: 6, slots: 8, events: 20, interval: 100 * time.Millisecond, memoryMB: 314, cap: 1300000, appendTime: 2 * time.Millisecond}
	d := deploy(o, rec)
	defer d.close()
	if !d.awaitReady() {
		return notRun
	}
	slow, replaced := d.workers[0], d.workers[1:3]
	slow.interval = slowInterval // before its first request
	time.Sleep(4 * time.Second)
	g := d.gateways[0]
	t := &talks{d: d}
	var wg sync.WaitGroup
	for i := range talkers {
		wg.Go(func() { t.talk(context.Background(), g, i) })
	}
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	if trouble {
		rec.add("cut", "%s is partitioned from the store", g.name)
		d.store.setFault(func(c storeCall) callFault {
			if c.gateway == g.name {
				return hangCall
			}
			return serveCall
		})
		time.AfterFunc(joinedCut, func() {
			d.store.setFault(nil)
			rec.add("cut", "the partition ends")
		})
	}
	time.Sleep(100 * time.Millisecond)
	for _, w := range replaced {
		w.drain(d.store)
	}
	time.Sleep(drainTime + 100*time.Millisecond)
	for _, w := range replaced {
		w.startAgain(d.store)
	}
	time.Sleep(time.Until(begin.Add(crashAfter)))
	slow.crash()
	wg.Wait()
	return t.verdict(rec)
}

// talks are the streams of the clients.
type talks struct {
	d *deployment

	mu               sync.Mutex
	complete, joined int
}

func (t *talks) verdict(rec *recorder) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec.add("note", "%d streams were complete, %d of them joined from two versions", t.complete, t.joined)
	switch {
	case t.complete == 0:
		return notRun
	case t.joined > 0:
		return broken
	}
	return held
}

func (t *talks) talk(ctx context.Context, g *gateway, client int) {
	id := fmt.Sprintf("talk-%d", client)
	versions, err := t.d.stream(ctx, g, id)
	if err != nil {
		t.d.record.add("stream", "%s: %v", id, err)
		return
	}
	t.add(id, versions)
}

func (t *talks) add(id string, versions []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.complete++
	for _, v := range versions {
		if v != versions[0] {
			t.joined++
			t.d.record.add("joined", "%s was answered 200 and is complete; the versions of its events: %s", id, strings.Join(versions, " "))
			return
		}
	}
}

// stream sends one request and returns the versions that wrote its events, in order.
func (d *deployment) stream(ctx context.Context, g *gateway, id string) (versions []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8144/talk/"+id, nil)
	must(err)
	req.Host = host
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "5000", "Model": "m", "Token-Counts": "450,40", "Prompt-Prefix": "9c2e41:200,5d07b8:250"} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			versions = append(versions, data[strings.LastIndexByte(data, '.')+1:])
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(versions) == 0 {
		return nil, fmt.Errorf("no event")
	}
	return versions, nil
}
