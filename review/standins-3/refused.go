package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// submission is a job with the answers to all of its client attempts.
type submission struct {
	job     *job
	answers []answer
}

// accepted reports whether an attempt was answered with 202.
func (s *submission) accepted() bool {
	return len(s.answers) > 0 && s.answers[len(s.answers)-1].status == http.StatusAccepted
}

// refusedOnly reports whether every client attempt was answered with the promise that nothing runs.
func (s *submission) refusedOnly() bool {
	for _, a := range s.answers {
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return false
		}
	}
	return len(s.answers) > 0
}

const (
	// submitLimit is the time limit of clients for a submission.
	submitLimit = 4 * time.Second
	// repeatDelay is the delay before the next attempt if the answer names none.
	repeatDelay = 50 * time.Millisecond
)

// submit sends a job as clients do: again at another node, within the time limit.
func (d *deployment) submit(j *job, nodes []*gateway, first int) *submission {
	s := &submission{job: j}
	end := time.Now().Add(submitLimit)
	for n := first; time.Until(end) > 2*repeatDelay; n++ {
		a := d.submitOnce(nodes[n%len(nodes)], j, time.Until(end))
		s.answers = append(s.answers, a)
		if a.status == http.StatusAccepted {
			return s
		}
		time.Sleep(min(max(a.retryAfter, repeatDelay), time.Until(end)/3))
	}
	return s
}

const (
	// The jobs before the disruption: all of them are finished when it begins.
	earlyJobs, earlyItems, earlyTokens = 60, 10, 100
	// refusedCap is the Cap of the route: a quarter of the tokens that have been finished by then.
	refusedCap = earlyJobs * earlyItems * earlyTokens / 4
	// outageAfter is the time between the kill and the outage. The killed gateway's last report is still
	// valid when the outage begins.
	outageAfter  = 730 * time.Millisecond
	outageLength = 4500 * time.Millisecond
	// settle is the time after the last attempt in which a job that is on the log is run.
	settle = 10 * time.Second
)

// refusedCase: a gateway is killed, the store is down 0.7 s later, and the answer to the acceptance of one job is lost
// with it.
func refusedCase(rec *recorder, trouble bool) outcome {
	o := options{gateways: 3, workers: 3, slots: 8, events: 4, interval: 5 * time.Millisecond, memoryMB: 314, cap: refusedCap, appendTime: 2 * time.Millisecond}
	d := deploy(o, rec)
	defer d.close()
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(2 * time.Second)
	for i := range earlyJobs {
		if s := d.submit(newJob(fmt.Sprintf("e%07x", i*7919+1), earlyItems, 100, earlyTokens), d.gateways, i); !s.accepted() {
			return notRun
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		time.AfterFunc(time.Second, func() {
			d.gateways[2].kill()
			time.Sleep(outageAfter)
			d.outage(outageLength)
		})
	}
	subs := d.submitSmall(3 * time.Second)
	time.Sleep(settle)
	out := held
	for _, s := range subs {
		if n := d.itemsRun(s.job); s.refusedOnly() && n > 0 {
			rec.add("broken", "job %s was refused at all %d attempts, and %d runs of its item began", s.job.id, len(s.answers), n)
			out = broken
		}
	}
	return out
}

// submitSmall submits jobs of one item to the first two gateways for a time, and waits for the last answers.
func (d *deployment) submitSmall(length time.Duration) (subs []*submission) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	stop := time.Now().Add(length)
	for i := 0; time.Now().Before(stop); i++ {
		j := newJob(fmt.Sprintf("%08x", i*104729+5), 1, 100, 100)
		wg.Go(func() {
			s := d.submit(j, d.gateways[:2], i)
			mu.Lock()
			defer mu.Unlock()
			subs = append(subs, s)
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return subs
}

// outage makes the store append the next summary of a job without an answer, and answer nothing from then on.
func (d *deployment) outage(length time.Duration) {
	var down atomic.Bool
	d.store.setFault(func(c storeCall) callFault {
		switch {
		case down.Load():
			return hangCall
		case c.name != "append" || c.topic != "keyed.jobs" || !down.CompareAndSwap(false, true):
			return serveCall
		}
		d.record.add("store", "goes silent; the answer to an append of %s is lost", c.gateway)
		time.AfterFunc(length, func() {
			d.record.add("store", "is back")
			d.store.setFault(nil)
		})
		return loseAnswer
	})
}
