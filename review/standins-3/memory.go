package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// Each job has as many items as the pages allow, and nearly as many bytes as the config allows.
	largeJobs, largeItems, largeBody, largeTokens = 104, 200, 14500, 600
	// largeInterval is the time between two submissions.
	largeInterval = 720 * time.Millisecond
	// watchedFor is how long the deployment is watched after the loss.
	watchedFor = 18 * time.Second
	// lookers is the number of kept channels.
	lookers = 16
)

// memoryCase: two of three gateways are lost for good at once, after a minute of long batch jobs. All of these are
// finished.
func memoryCase(rec *recorder, trouble bool) outcome {
	o := options{gateways: 3, workers: 8, slots: 8, events: 5, interval: 5 * time.Millisecond, memoryMB: 314, cap: 1300000, appendTime: 2 * time.Millisecond}
	d := deploy(o, rec)
	defer d.close()
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(2 * time.Second)
	cuts := &cutCounter{}
	d.watchMemory()
	for i := range largeJobs {
		begin := time.Now()
		if s := d.submit(newJob(fmt.Sprintf("%08x", i*7919+1), largeItems, largeBody, largeTokens), d.gateways, i); !s.accepted() {
			return notRun
		}
		time.Sleep(time.Until(begin.Add(largeInterval)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	survivor := d.gateways[0]
	for i := range lookers {
		go d.look(ctx, survivor, i, cuts)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var wg sync.WaitGroup
		for _, g := range d.gateways[1:] {
			wg.Go(g.close)
		}
		wg.Wait()
	}
	time.Sleep(watchedFor)
	n := cuts.count()
	rec.add("note", "%d requests of kept channels were passed on to a worker by %s and got no answer", n, survivor.name)
	if n > 3 {
		return broken
	}
	return held
}

// cutCounter counts requests that were passed on and got no answer.
type cutCounter struct {
	mu sync.Mutex
	n  int
}

func (c *cutCounter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *cutCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// look sends safe requests one after the other on a kept channel.
func (d *deployment) look(ctx context.Context, g *gateway, channel int, cuts *cutCounter) {
	kept := 0
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("look-%d-%d", channel, n)
		_, err := callOnce(ctx, client, g, lookPrefix, id)
		if err == nil {
			kept++
			continue
		}
		passed := 0
		for _, w := range d.workers {
			passed += w.runsOf(id)
		}
		if kept > 0 && passed > 0 && ctx.Err() == nil {
			d.record.add("cut", "%s on a channel that has carried %d requests, passed on to %d workers: %v", id, kept, passed, err)
			cuts.add()
		}
		kept = 0
		time.Sleep(200 * time.Millisecond)
	}
}
