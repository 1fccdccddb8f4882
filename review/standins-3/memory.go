package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

func env(name string, or int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return or
}

func memoryCase(rec *recorder, trouble bool) outcome {
	o := options{gateways: env("GW", 3), workers: 6, slots: 8, events: 5, interval: 5 * time.Millisecond, memoryMB: 314, cap: 1300000, appendTime: 2 * time.Millisecond}
	d := deploy(o, rec)
	defer d.close()
	if !d.awaitReady() {
		return notRun
	}
	time.Sleep(2 * time.Second)
	go func() {
		for {
			time.Sleep(time.Second)
			s := ""
			for _, g := range d.gateways {
				s += fmt.Sprintf(" %s %.0f MB", g.name, g.residentMB())
			}
			rec.add("memory", "%s store %d MB", s, d.store.bytes>>20)
		}
	}()
	n := env("JOBS", 30)
	for i := range n {
		j := newJob(fmt.Sprintf("%08x", i*7919), 200, env("BODY", 14500), 600)
		a := d.submitOnce(d.gateways[i%len(d.gateways)], j, 4*time.Second)
		if a.status != http.StatusAccepted {
			rec.add("note", "not accepted")
		}
		time.Sleep(time.Duration(env("GAP", 700)) * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, g := range d.gateways[1:] {
			g.kill()
		}
	}
	time.Sleep(15 * time.Second)
	return held
}
