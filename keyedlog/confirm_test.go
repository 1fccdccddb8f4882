package keyedlog_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

// staleSource is a relay that answers reads late, and not with what the log holds by then.
type staleSource struct{ keyedlog.Reader }

func (staleSource) Direct() bool { return false }

func (s staleSource) Read(ctx context.Context, _ keyedlog.Partition, from int64, _ time.Duration) (keyedlog.History, error) {
	<-ctx.Done()
	return keyedlog.History{}, errors.Wrap(ctx.Err(), "stale")
}

// countedReader counts reads, and holds or fails them if it is told to.
type countedReader struct {
	keyedlog.Reader
	reads atomic.Int64
	fails atomic.Bool
	held  sync.RWMutex
}

func (r *countedReader) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	r.reads.Add(1)
	r.held.RLock()
	defer r.held.RUnlock()
	if r.fails.Load() {
		return keyedlog.History{}, keyedlog.ErrRefused
	}
	return r.Reader.Read(ctx, p, from, wait)
}

// hold makes reads wait until release is called.
func (r *countedReader) hold() (release func()) {
	r.held.Lock()
	return r.held.Unlock
}

// TestConfirmedViewHoldsAllEarlierRecords guards against a conclusion from a view that lacks a record of a moment
// ago, because its reads go to a relay that has missed it.
func TestConfirmedViewHoldsAllEarlierRecords(t *testing.T) {
	l, view := keyedlogtest.New(), newMapView()
	put(t, l, "a", "1")
	reader := &countedReader{Reader: l}
	f := keyedlog.NewRelayedFollower(staleSource{l}, reader, part, keyedlog.NewRelay(view, func(value []byte) any { return string(value) }),
		keyedlog.PollConfig{MaxWait: time.Minute, MinInterval: time.Minute, RetryDelay: time.Minute}, nil)
	go f.Run(t.Context())
	poll.WaitOn(t, func(poll.LogT) poll.Result { return view.holds(map[string]string{"a": "1"}) })
	for _, value := range []string{"2", "3"} {
		put(t, l, "a", value)
		assert.NilError(t, f.Confirm(t.Context()))
		assert.Assert(t, view.holds(map[string]string{"a": value}) == poll.Success())
	}
	before := reader.reads.Load()
	const callers = 50
	release := reader.hold()
	var begun sync.WaitGroup
	var wg sync.WaitGroup
	begun.Add(callers)
	for range callers {
		wg.Go(func() {
			begun.Done()
			assert.Check(t, f.Confirm(t.Context()) == nil)
		})
	}
	begun.Wait()
	release()
	wg.Wait()
	assert.Assert(t, reader.reads.Load()-before <= 25, "%d reads", reader.reads.Load()-before)

	reader.fails.Store(true)
	assert.Assert(t, errors.Is(f.Confirm(t.Context()), keyedlog.ErrRefused))
	reader.fails.Store(false)
	assert.NilError(t, f.Confirm(t.Context()))
}
