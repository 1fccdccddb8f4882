// Package keyedlogtest provides an in-memory log for tests that simulates the faults
// of a real one: refused calls, dropped responses, calls that take effect late,
// truncated history and members that are refused.
package keyedlogtest

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// ErrNoResponse is returned by calls whose response is dropped.
var ErrNoResponse = errors.New("keyedlogtest: no response")

// Fault is an injected fault for one call.
type Fault uint8

// The faults.
const (
	// None executes the call.
	None Fault = iota
	// Refuse does not execute the call and returns keyedlog.ErrRefused.
	Refuse
	// DropResponse executes the call and returns no response.
	DropResponse
	// DropRequest does not execute the call and returns no response.
	DropRequest
	// Delay returns no response and executes the call when Log.RunDelayed is called.
	Delay
)

// Log implements keyedlog.Log and keyedlog.Groups. It is safe for concurrent
// use.
type Log struct {
	mu           sync.Mutex
	parts        map[keyedlog.Partition]*partition
	fault        func(call string, p keyedlog.Partition) Fault
	delayedCalls []func()
	// delayedTopic is the topic whose tombstones take effect late.
	delayedTopic string
	changed      chan struct{}
	group        group
	calls        map[string]int
	// maxAppendBytes bounds the keys and values of one append; 0 is no bound.
	maxAppendBytes int
}

// ErrTooLong is the error of an append that is longer than the log takes at once.
var ErrTooLong = errors.New("keyedlogtest: the append is too long")

// SetMaxAppendBytes bounds the keys and values of one append.
func (l *Log) SetMaxAppendBytes(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxAppendBytes = n
}

// tooLong reports whether records exceed the bound of one append. The caller holds mu.
func (l *Log) tooLong(records []keyedlog.Record) bool {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return l.maxAppendBytes > 0 && n > l.maxAppendBytes
}

type partition struct {
	records   []keyedlog.Record
	first     int64 // the first retained offset
	newest    map[string]keyedlog.Record
	producers map[string]*producer
}

type producer struct {
	epoch int64
	next  int64
	last  []pastAppend
}

// pastAppend is one of the last appends of a producer; a repeated append returns its
// result again.
type pastAppend struct {
	sequence int64
	at       keyedlog.AppendResult
}

const retainedAppends = 5

// New returns an empty log.
func New() *Log {
	return &Log{
		parts: make(map[keyedlog.Partition]*partition), changed: make(chan struct{}), calls: make(map[string]int),
		fault: func(string, keyedlog.Partition) Fault { return None },
		group: group{members: make(map[string]time.Time)},
	}
}

// SetFault sets the function that chooses the fault of each later call. The call is
// named append, read, newest, join or leave.
func (l *Log) SetFault(f func(call string, p keyedlog.Partition) Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Calls returns how often the named call was made.
func (l *Log) Calls(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[call]
}

// DelayTombstones delays appends to a topic that only hold tombstones until RunDelayed is
// called.
func (l *Log) DelayTombstones(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayedTopic = topic
}

// onlyTombstones reports whether records holds only tombstones.
func onlyTombstones(records []keyedlog.Record) bool {
	for _, r := range records {
		if r.Value != nil {
			return false
		}
	}
	return len(records) > 0
}

// RunDelayed executes the delayed calls whose conditions are still met.
func (l *Log) RunDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.delayedCalls {
		f()
	}
	l.delayedCalls = nil
}

// Truncate discards the history of all partitions; the newest records stay.
func (l *Log) Truncate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.parts {
		p.first += int64(len(p.records))
		p.records = nil
	}
}

func (l *Log) part(id keyedlog.Partition) *partition {
	p := l.parts[id]
	if p == nil {
		p = &partition{newest: make(map[string]keyedlog.Record), producers: make(map[string]*producer)}
		l.parts[id] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// recordCall counts a call and returns its fault.
func (l *Log) recordCall(call string, p keyedlog.Partition) Fault {
	l.calls[call]++
	return l.fault(call, p)
}

// Append implements keyedlog.Log.
func (l *Log) Append(_ context.Context, id keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records = slices.Clone(records)
	if l.tooLong(records) {
		return keyedlog.AppendResult{}, ErrTooLong
	}
	fault := l.recordCall("append", id)
	if id.Topic == l.delayedTopic && onlyTombstones(records) {
		fault = Delay
	}
	switch fault {
	case Refuse:
		return keyedlog.AppendResult{}, keyedlog.ErrRefused
	case DropRequest:
		return keyedlog.AppendResult{}, ErrNoResponse
	case Delay:
		l.delayedCalls = append(l.delayedCalls, func() { _, _ = l.append(id, records, c) }) // the caller has no response to wait for
		return keyedlog.AppendResult{}, ErrNoResponse
	case DropResponse:
		_, _ = l.append(id, records, c) // the result is dropped
		return keyedlog.AppendResult{}, ErrNoResponse
	}
	return l.append(id, records, c)
}

func (l *Log) append(id keyedlog.Partition, records []keyedlog.Record, c keyedlog.Condition) (keyedlog.AppendResult, error) {
	p := l.part(id)
	if c.Conditional && c.ExpectedEnd != p.end() {
		return keyedlog.AppendResult{}, keyedlog.ErrConflict
	}
	if c.Producer == "" {
		return l.write(p, records), nil
	}
	w := p.producers[c.Producer]
	if w == nil {
		w = &producer{epoch: c.Epoch, next: c.Sequence}
		p.producers[c.Producer] = w
	}
	switch {
	case c.Epoch < w.epoch:
		return keyedlog.AppendResult{}, keyedlog.ErrFenced
	case c.Epoch > w.epoch:
		*w = producer{epoch: c.Epoch, next: c.Sequence}
	}
	if len(records) == 0 {
		return keyedlog.AppendResult{First: p.end(), End: p.end()}, nil
	}
	for _, old := range w.last {
		if old.sequence == c.Sequence {
			return old.at, nil
		}
	}
	if len(w.last) > 0 && c.Sequence != w.next {
		return keyedlog.AppendResult{}, keyedlog.ErrSequence
	}
	at := l.write(p, records)
	w.next = c.Sequence + 1
	w.last = append(w.last, pastAppend{c.Sequence, at})
	if len(w.last) > retainedAppends {
		w.last = w.last[1:]
	}
	return at, nil
}

func (l *Log) write(p *partition, records []keyedlog.Record) keyedlog.AppendResult {
	at := keyedlog.AppendResult{First: p.end()}
	for _, r := range records {
		r.Offset = p.end()
		p.records = append(p.records, r)
		if r.Value == nil {
			delete(p.newest, r.Key)
			continue
		}
		p.newest[r.Key] = r
	}
	at.End = p.end()
	close(l.changed)
	l.changed = make(chan struct{})
	return at
}

// Read implements keyedlog.Log.
func (l *Log) Read(ctx context.Context, id keyedlog.Partition, from int64, wait time.Duration) (keyedlog.History, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		l.mu.Lock()
		if first {
			if l.recordCall("read", id) != None {
				l.mu.Unlock()
				return keyedlog.History{}, keyedlog.ErrRefused
			}
		}
		p := l.part(id)
		if from < p.first {
			l.mu.Unlock()
			return keyedlog.History{}, keyedlog.ErrTruncated
		}
		h := keyedlog.History{Next: p.end(), End: p.end(), Records: slices.Clone(p.records[from-p.first:])}
		changed := l.changed
		l.mu.Unlock()
		if len(h.Records) > 0 || wait <= 0 {
			return h, nil
		}
		select {
		case <-ctx.Done():
			return keyedlog.History{}, ctx.Err()
		case <-timer.C:
			return h, nil
		case <-changed:
		}
	}
}

// pageSize is small so that tests read several pages.
const pageSize = 3

// Newest implements keyedlog.Log.
func (l *Log) Newest(_ context.Context, id keyedlog.Partition, after string) (keyedlog.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.recordCall("newest", id) != None {
		return keyedlog.Page{}, keyedlog.ErrRefused
	}
	p := l.part(id)
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page := keyedlog.Page{End: p.end(), More: len(keys) > pageSize}
	for _, k := range keys[:min(pageSize, len(keys))] {
		page.Records = append(page.Records, p.newest[k])
	}
	return page, nil
}
