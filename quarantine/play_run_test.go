package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
)

// runItem runs an item with a part until it is complete, as the owner of its job does.
func (g *playGateway) runItem(ctx context.Context, part string) (complete bool) {
	for from := 0; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		all := g.p.backends("s")
		if len(all) == 0 || g.Check([]string{part}, balance.Batch).Refuses() {
			continue
		}
		g.p.mu.Lock()
		b := all[g.p.rng.IntN(len(all))]
		g.p.mu.Unlock()
		trial, ok := g.Begin([]string{part}, b, balance.Batch)
		if !ok {
			continue
		}
		began := time.Now()
		progress := g.Follow(func() []string { return []string{part} })
		from = g.p.serve(b.ID, part, from, progress)
		if from == g.p.events {
			g.RunCompleted([]string{part})
			trial.End(nil)
			return true
		}
		trial.End(g.RunInterrupted(b, []string{part}, began))
		time.Sleep(400 * time.Millisecond)
	}
	return false
}

// serve is a run at a server. It returns how many events of the item have been sent.
func (p *play) serve(id, part string, from int, progress *Progress) int {
	p.mu.Lock()
	done := p.done[id]
	p.mu.Unlock()
	if part == p.guilty {
		time.AfterFunc(p.guiltyAfter, func() {
			if done.Err() == nil {
				p.mu.Lock()
				p.ended++
				p.mu.Unlock()
			}
			p.crash(id)
		})
	}
	for n := from; n < p.events; n++ {
		select {
		case <-done.Done():
			return n
		case <-time.After(p.eventInterval):
			progress.Event()
		}
	}
	return p.events
}

// runItems lets each gateway run items with a part until ctx ends, and returns how many did not complete.
func (p *play) runItems(ctx context.Context, part string, each int) (open int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, g := range p.gateways {
		for range each {
			wg.Go(func() {
				if !g.runItem(ctx, part) {
					mu.Lock()
					open++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return open
}

// runSuspects runs an item with several suspects until it is complete.
func (g *playGateway) runSuspects(ctx context.Context, suspects []string, guilty bool) bool {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if g.runOnce(suspects, guilty) {
			return true
		}
	}
	return false
}

// runOnce runs an item once, if it may start.
func (g *playGateway) runOnce(suspects []string, guilty bool) (complete bool) {
	all := g.p.backends("s")
	if len(all) == 0 || g.Check(suspects, balance.Batch).Refuses() {
		return false
	}
	g.p.mu.Lock()
	b := all[g.p.rng.IntN(len(all))]
	g.p.mu.Unlock()
	trial, ok := g.Begin(suspects, b, balance.Batch)
	if !ok {
		return false
	}
	began := time.Now()
	progress := g.Follow(func() []string { return suspects })
	part := "sound"
	if guilty {
		part = g.p.guilty
	}
	if g.p.serve(b.ID, part, 0, progress) == g.p.events {
		g.RunCompleted(suspects)
		trial.End(nil)
		return true
	}
	trial.End(g.RunInterrupted(b, suspects, began))
	time.Sleep(400 * time.Millisecond)
	return false
}
