package jobs

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

const (
	lockWait = 200 * time.Millisecond
	endWait  = 5 * time.Second
)

// TestResultAndCycleAndRecordDoNotBlockEachOther guards against a process whose batch jobs all stand still for ever.
func TestResultAndCycleAndRecordDoNotBlockEachOther(t *testing.T) {
	s := New(Options{Log: keyedlogtest.New(), ContentTopic: "keyed.contents", Shards: 1, CallBytes: 1 << 20, RecordBytes: 1 << 18, Logger: log.New(io.Discard)})
	sh := s.shards[0]
	assert.Assert(t, sh.claim(t.Context()))
	sh.becomeOwner(1, 0)
	s.table.byID["j"] = newEntry()
	s.table.byID["j"].job, s.table.byID["j"].items = &summary{Tokens: []int64{1}}, []Item{{ID: "i"}}
	sh.enqueue("j", Result{Completed: true}, 0)

	var ended sync.WaitGroup
	reading, decide := make(chan struct{}), make(chan struct{})
	ended.Go(func() { // a cycle of the runner
		s.table.openJobs(func(id string) bool { close(reading); <-decide; return s.runner.ownsJob(id) })
	})
	<-reading
	ended.Go(func() { view{table: s.table}.Apply(nil) }) // a record that a follower has read
	waitUntil(func() bool { return !tryRead(&s.table.mu) })
	ended.Go(func() { sh.nextBatch() }) // the writer of the shard
	waitUntil(func() bool { return !tryLock(&sh.mu) })
	close(decide)

	done := make(chan struct{})
	go func() { ended.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(endWait):
		t.Fatal("the cycle, the follower and the writer wait for each other")
	}
}

func waitUntil(met func() bool) {
	for end := time.Now().Add(lockWait); !met() && time.Now().Before(end); {
		<-time.After(time.Millisecond)
	}
}

func tryRead(mu *sync.RWMutex) bool {
	if !mu.TryRLock() {
		return false
	}
	mu.RUnlock()
	return true
}

func tryLock(mu *sync.Mutex) bool {
	if !mu.TryLock() {
		return false
	}
	mu.Unlock()
	return true
}
