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
	drainTime = 3 * time.Second
	// lateBy is how long after the removal of the entry an earlier heartbeat is executed.
	lateBy = 4500 * time.Millisecond
	// servesOn is how long the leaving worker serves after the removal: its drain time and a little longer.
	servesOn = lateBy + 250*time.Millisecond
	// leavingWatch is how long clients go on after the worker has ended.
	leavingWatch = 5 * time.Second
)

// leavingCase: a worker leaves, which its answers say, and its entry is removed. Its last heartbeat before that got no
// answer from the store and is executed after the removal.
func leavingCase(rec *recorder, trouble bool) outcome {
	o := options{gateways: 2, workers: 3, slots: 8, events: 5, interval: 5 * time.Millisecond, memoryMB: 314, cap: 1300000, appendTime: 2 * time.Millisecond}
	d := deploy(o, rec)
	defer d.close()
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	witness := &leavingWitness{d: d, leaver: d.workers[0], passedOn: make(map[*gateway]time.Time), sent: make(map[string]sentRequest)}
	for _, g := range d.gateways {
		for i := range 6 {
			go witness.book(ctx, g, i)
		}
	}
	time.Sleep(2 * time.Second)
	late, _ := witness.leaver.nextEntry()
	rec.add("worker", "%s sends a heartbeat, which gets no answer", witness.leaver.id)
	if !trouble {
		d.store.put(workerTopic, witness.leaver.id, late)
	}
	time.Sleep(300 * time.Millisecond)
	witness.leaver.leave(d.store)
	rec.add("worker", "%s leaves, its entry is removed", witness.leaver.id)
	if trouble {
		time.AfterFunc(lateBy, func() {
			d.store.put(workerTopic, witness.leaver.id, late)
			rec.add("store", "executes the heartbeat of %s", witness.leaver.id)
		})
		time.AfterFunc(lateBy+silentBeats*heartbeat, func() {
			d.store.put(workerTopic, witness.leaver.id, nil)
			rec.add("store", "removes the entry of %s, which was silent", witness.leaver.id)
		})
	}
	time.Sleep(servesOn)
	witness.leaver.exit()
	rec.add("worker", "%s ends", witness.leaver.id)
	time.Sleep(leavingWatch)
	cancel()
	return witness.verdict(rec)
}

// sentRequest is a request of a client.
type sentRequest struct {
	gateway *gateway
	at      time.Time
}

// leavingWitness records what clients send, and when each gateway first passed on that a worker leaves.
type leavingWitness struct {
	d      *deployment
	leaver *worker

	mu       sync.Mutex
	passedOn map[*gateway]time.Time
	sent     map[string]sentRequest
}

func (v *leavingWitness) book(ctx context.Context, g *gateway, channel int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d-%d", g.name, channel, n)
		v.mu.Lock()
		v.sent[id] = sentRequest{g, time.Now()}
		v.mu.Unlock()
		result, err := callOnce(ctx, client, g, bookPrefix, id)
		if (err != nil || result.status != http.StatusOK) && ctx.Err() == nil {
			v.d.record.add("answer", "%s from %s: %d %v", id, g.name, result.status, err)
			time.Sleep(100 * time.Millisecond)
		}
		if !result.leaving {
			continue
		}
		v.mu.Lock()
		if v.passedOn[g].IsZero() {
			v.passedOn[g] = time.Now()
			v.d.record.add("answer", "%s passes on that the worker leaves, request %s", g.name, id)
		}
		v.mu.Unlock()
	}
}

func (v *leavingWitness) verdict(rec *recorder) outcome {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaver.mu.Lock()
	defer v.leaver.mu.Unlock()
	out := held
	for _, u := range v.leaver.runs {
		s, known := v.sent[u.id]
		if !known || v.passedOn[s.gateway].IsZero() {
			continue
		}
		if after := s.at.Sub(v.passedOn[s.gateway]); after > drainTime {
			rec.add("broken", "request %s was sent to %s %.3f s after that gateway had passed on that %s leaves, and reached it", u.id, s.gateway.name, after.Seconds(), v.leaver.id)
			out = broken
		}
	}
	if len(v.passedOn) < len(v.d.gateways) {
		return notRun
	}
	return out
}
