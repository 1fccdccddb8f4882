package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// exits counts how often the processes have ended by themselves.
type exits struct {
	mu    sync.Mutex
	byOne map[string]int
}

// superviseAll restarts the gateways whenever they end, as the platform does, until stop is closed.
func (r *rig) superviseAll(stop <-chan struct{}) *exits {
	e := &exits{byOne: make(map[string]int)}
	for _, g := range r.gateways {
		go func() {
			for {
				err := g.cmd.Wait()
				select {
				case <-stop:
					return
				default:
				}
				e.mu.Lock()
				e.byOne[g.name]++
				r.note("gateway %s has ended by itself: %v", g.name, err)
				e.mu.Unlock()
				time.Sleep(restartDelay)
				next := exec.Command(r.binary)
				next.Env, next.Stdout, next.Stderr = g.cmd.Env, g.cmd.Stdout, g.cmd.Stderr
				next.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
				r.mu.Lock()
				err = next.Start()
				g.cmd = next
				r.mu.Unlock()
				if err != nil {
					fail("%v", err)
				}
				r.note("gateway %s is started again, process %d", g.name, next.Process.Pid)
			}
		}()
	}
	return e
}

// playForeignEntry lets another writer write one entry beside those of the workers. Its fields are those of
// a worker, its id has a quotation mark.
func playForeignEntry(r *rig) {
	const foreignID = `i-5"2e`
	r.publish(7, []map[string]any{batchRoute(), streamRoute()}, []map[string]any{llmService()})
	workers := startWorkers(r, 3, shortRun)
	first := r.startGateway("front-charlotte-1")
	second := r.startGateway("front-charlotte-2")
	r.awaitReady()
	stop := make(chan struct{})
	ended := r.superviseAll(stop)
	if r.trouble {
		go r.writeForeignEntry(foreignID, workers[0].address, stop)
		r.note("another writer writes the entry %s", foreignID)
	}
	const jobs, itemsEach = 70, 4
	for i := range jobs {
		var items []item
		for n := range itemsEach {
			items = append(items, newItem(fmt.Sprintf("e5b2907c14d%d1%03d", n, i), fmt.Sprintf("9c2e41:100,5d08%d%02d:250", n, i)))
		}
		raw, _ := json.Marshal(map[string]any{"Items": items})
		id := fmt.Sprintf("7c41e09b52d6b%03d", i)
		for _, g := range []*gateway{first, second} {
			if status, _ := r.call(g, "POST", "/pule252/"+id, id, raw, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"}); status == 202 {
				break
			}
		}
		time.Sleep(time.Second)
	}
	close(stop)
	ended.mu.Lock()
	defer ended.mu.Unlock()
	const allowed = 2
	var broken []string
	for _, g := range []*gateway{first, second} {
		r.note("gateway %s has ended by itself %d times", g.name, ended.byOne[g.name])
		if n := ended.byOne[g.name]; n > allowed {
			broken = append(broken, fmt.Sprintf("Fault: gateway %s has ended by itself %d times with no disturbance on its machine", g.name, n))
		}
	}
	if len(broken) < 2 {
		broken = nil // the rule asks for two machines at least
	}
	r.finish(broken)
}

// writeForeignEntry writes an entry again and again, as a worker does, until stop is closed.
func (r *rig) writeForeignEntry(id, address string, stop <-chan struct{}) {
	for seq := 1; ; seq++ {
		raw, _ := json.Marshal(map[string]any{
			"Service": "llm", "Address": address, "Zone": "charlotte", "Version": "v1", "Slots": 8, "State": "ready",
			"ColdRemainingMs": 0, "Seq": seq, "born": 1_790_000_000_000,
		})
		r.store.put("keyed.servers", id, raw)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}
