package keyedlog_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/keyedlog"
	"github.com/catkinrudder/catkinrudder/keyedlog/keyedlogtest"
)

var part = keyedlog.Partition{Topic: "t"}

// mapView is a minimal view: the newest value of each key.
type mapView struct {
	mu       sync.Mutex
	values   map[string]string
	rebuilds int
}

func newMapView() *mapView { return &mapView{values: make(map[string]string)} }

func (v *mapView) Rebuild(records []keyedlog.Record) {
	v.mu.Lock()
	v.values = make(map[string]string)
	v.rebuilds++
	v.mu.Unlock()
	v.Apply(records)
}

func (v *mapView) Apply(records []keyedlog.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		if r.Value == nil {
			delete(v.values, r.Key)
			continue
		}
		v.values[r.Key] = string(r.Value)
	}
}

func (v *mapView) holds(want map[string]string) poll.Result {
	v.mu.Lock()
	defer v.mu.Unlock()
	if maps.Equal(v.values, want) {
		return poll.Success()
	}
	return poll.Continue("view holds %v, want %v", v.values, want)
}

func put(t *testing.T, l *keyedlogtest.Log, kv ...string) {
	t.Helper()
	for i := 0; i < len(kv); i += 2 {
		r := keyedlog.Record{Key: kv[i]}
		if kv[i+1] != "" {
			r.Value = []byte(kv[i+1])
		}
		_, err := l.Append(t.Context(), part, []keyedlog.Record{r}, keyedlog.Condition{})
		assert.NilError(t, err)
	}
}

func follow(t *testing.T, l keyedlog.Log, v keyedlog.View, observe keyedlog.Observer) *keyedlog.Follower {
	t.Helper()
	f := keyedlog.NewFollower(l, part, v, keyedlog.PollConfig{MaxWait: 20 * time.Millisecond, RetryDelay: time.Millisecond}, observe)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func TestFollowerColdStart(t *testing.T) {
	l, v := keyedlogtest.New(), newMapView()
	want := make(map[string]string)
	for i := range 8 {
		put(t, l, fmt.Sprint("k", i), "1")
		want[fmt.Sprint("k", i)] = "1"
	}
	follow(t, l, v, nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(want) })
	put(t, l, "k0", "2", "k1", "")
	want["k0"] = "2"
	delete(want, "k1")
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(want) })
}

func TestFollowerRebuildsAfterTruncation(t *testing.T) {
	l, v := keyedlogtest.New(), newMapView()
	put(t, l, "a", "1", "b", "1")
	f := follow(t, l, v, nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(map[string]string{"a": "1", "b": "1"}) })
	l.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.Refuse })
	refused := l.Calls("read")
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the waiting read has ended
		if l.Calls("read") > refused {
			return poll.Success()
		}
		return poll.Continue("the follower's read is still waiting")
	}, poll.WithDelay(time.Millisecond))
	l.SetFault(func(call string, _ keyedlog.Partition) keyedlogtest.Fault {
		if call == "append" {
			return keyedlogtest.None
		}
		return keyedlogtest.Refuse
	})
	put(t, l, "a", "", "c", "1")
	l.Truncate()
	l.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(map[string]string{"b": "1", "c": "1"}) })
	assert.Equal(t, f.Next(), int64(4))
}

// changingLog changes keys while a rebuild reads the pages, one of them on a page that
// was already read.
type changingLog struct {
	*keyedlogtest.Log
	t       *testing.T
	changed bool
}

func (l *changingLog) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.Page, error) {
	if after != "" && !l.changed {
		l.changed = true
		put(l.t, l.Log, "k0", "", "k7", "2", "k7", "3")
	}
	return l.Log.Newest(ctx, p, after)
}

func TestChangesDuringRebuildAreReplayed(t *testing.T) {
	l, v := &changingLog{Log: keyedlogtest.New(), t: t}, newMapView()
	want := make(map[string]string)
	for i := range 8 {
		put(t, l.Log, fmt.Sprint("k", i), "1")
		want[fmt.Sprint("k", i)] = "1"
	}
	delete(want, "k0")
	want["k7"] = "3"
	follow(t, l, v, nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(want) })
}

func TestFollowerReportsLossAndRecovery(t *testing.T) {
	l, v := keyedlogtest.New(), newMapView()
	reported := make(chan error, 16)
	put(t, l, "a", "1")
	f := follow(t, l, v, func(_ keyedlog.Partition, err error) { reported <- err })
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(map[string]string{"a": "1"}) })
	l.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.Refuse })
	assert.ErrorIs(t, <-reported, keyedlog.ErrRefused)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if age, known := f.Age(); known && age >= 300*time.Millisecond {
			return poll.Success()
		}
		return poll.Continue("the age does not increase")
	})
	l.SetFault(func(string, keyedlog.Partition) keyedlogtest.Fault { return keyedlogtest.None })
	assert.NilError(t, <-reported)
}

// replacedLog is a log that is replaced by an earlier state of itself.
type replacedLog struct {
	mu      sync.Mutex
	current *keyedlogtest.Log
}

func (l *replacedLog) log() *keyedlogtest.Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *replacedLog) replace(by *keyedlogtest.Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = by
}

func (l *replacedLog) Append(ctx context.Context, p keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	return l.log().Append(ctx, p, records, c)
}

func (l *replacedLog) Newest(ctx context.Context, p keyedlog.Partition, after string) (keyedlog.Page, error) {
	return l.log().Newest(ctx, p, after)
}

// Read returns nothing from an offset that the log has not reached, as the platform's store does.
func (l *replacedLog) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	page, err := l.log().Newest(ctx, p, "")
	if err != nil || page.End < from {
		return keyedlog.History{Next: from, End: page.End}, err
	}
	return l.log().Read(ctx, p, from, wait)
}

// TestLogThatWasSetBackIsReadAgain sets a log back: the records that follow are not missed, although
// they come before the offset that the follower had reached.
func TestLogThatWasSetBackIsReadAgain(t *testing.T) {
	l, v := &replacedLog{current: keyedlogtest.New()}, newMapView()
	put(t, l.current, "a", "1", "a", "2", "a", "3", "b", "1")
	follow(t, l, v, nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(map[string]string{"a": "3", "b": "1"}) })
	past := keyedlogtest.New()
	put(t, past, "a", "1")
	l.replace(past)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(map[string]string{"a": "1"}) })
	put(t, past, "a", "4")
	poll.WaitOn(t, func(poll.LogT) poll.Result { return v.holds(map[string]string{"a": "4"}) })
}

// lateLog holds back the responses of reads.
type lateLog struct {
	*keyedlogtest.Log
	hold chan struct{}
	held chan struct{}
}

func (l *lateLog) Read(ctx context.Context, p keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	h, err := l.Log.Read(ctx, p, from, wait)
	select {
	case l.held <- struct{}{}:
		<-l.hold
	case <-ctx.Done():
	}
	return h, err
}

// TestOldResponseConfirmsNothingNew lets a response of the log arrive late, as after a suspension of
// the process: what it shows is as old as the call.
func TestOldResponseConfirmsNothingNew(t *testing.T) {
	l := &lateLog{Log: keyedlogtest.New(), hold: make(chan struct{}), held: make(chan struct{})}
	put(t, l.Log, "a", "1")
	f := follow(t, l, newMapView(), nil)
	t.Cleanup(func() { close(l.hold) })
	<-l.held
	const late = 200 * time.Millisecond
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if age, known := f.ConfirmedAge(); known && age > late {
			return poll.Success()
		}
		return poll.Continue("the confirmation is not old enough")
	}, poll.WithDelay(10*time.Millisecond))
	l.hold <- struct{}{}
	<-l.held // the next call has begun
	age, known := f.Age()
	assert.Assert(t, known && age < late, "%s", age)
	age, known = f.ConfirmedAge()
	assert.Assert(t, known && age > late, "%s", age)
}
