// Package commitlogtest provides an in-memory log service with faults for tests.
package commitlogtest

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// ErrDown is the error of every call while a MemLog is down.
var ErrDown = errors.New("log service down")

// MemLog is an in-memory log service. The zero value is not usable.
type MemLog struct {
	mu       sync.Mutex
	streams  map[string]*memStream
	down     bool
	onAppend func(stream string, payload []byte) Fault
}

// Fault is the fault injected into one append.
type Fault int

// The faults of an append.
const (
	None Fault = iota
	// Drop fails the append without an effect.
	Drop
	// DropResponse appends the record and returns an error.
	DropResponse
	// ApplyLate returns an error and appends the record when Flush is called.
	ApplyLate
)

type memStream struct {
	first    commitlog.Offset
	records  []commitlog.Record
	late     [][]byte
	appended chan struct{}
}

// NewMemLog returns an empty log service.
func NewMemLog() *MemLog {
	return &MemLog{streams: make(map[string]*memStream)}
}

// SetDown makes the log service unavailable or available again.
func (m *MemLog) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// OnAppend sets the function that selects the fault of each append.
func (m *MemLog) OnAppend(f func(stream string, payload []byte) Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onAppend = f
}

// Append implements commitlog.Log.
func (m *MemLog) Append(ctx context.Context, stream string, payload []byte) (commitlog.Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, ErrDown
	}
	fault := None
	if m.onAppend != nil {
		fault = m.onAppend(stream, payload)
	}
	s := m.stream(stream)
	switch fault {
	case Drop:
		return 0, ErrDown
	case ApplyLate:
		s.late = append(s.late, append([]byte(nil), payload...))
		return 0, ErrDown
	}
	at := s.append(payload)
	if fault == DropResponse {
		return 0, ErrDown
	}
	return at, nil
}

// Flush appends the records that ApplyLate withheld.
func (m *MemLog) Flush() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.streams {
		for _, p := range s.late {
			s.append(p)
		}
		s.late = nil
	}
}

// Expire drops the records of a stream that are below an offset.
func (m *MemLog) Expire(stream string, below commitlog.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	for len(s.records) > 0 && s.records[0].Offset < below {
		s.records = s.records[1:]
		s.first++
	}
}

// Read implements commitlog.Log.
func (m *MemLog) Read(ctx context.Context, stream string, from commitlog.Offset, limit int, wait time.Duration) (commitlog.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			return commitlog.Page{}, ErrDown
		}
		s := m.stream(stream)
		page, appended := s.page(from, limit), s.appended
		m.mu.Unlock()
		if len(page.Records) > 0 || from > page.Next {
			return page, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return commitlog.Page{}, ctx.Err()
		}
	}
}

// stream returns a stream and creates it if necessary. The caller holds mu.
func (m *MemLog) stream(name string) *memStream {
	s, ok := m.streams[name]
	if !ok {
		s = &memStream{appended: make(chan struct{})}
		m.streams[name] = s
	}
	return s
}

func (s *memStream) append(payload []byte) commitlog.Offset {
	at := s.first + commitlog.Offset(len(s.records))
	s.records = append(s.records, commitlog.Record{Offset: at, Payload: append([]byte(nil), payload...)})
	close(s.appended)
	s.appended = make(chan struct{})
	return at
}

func (s *memStream) page(from commitlog.Offset, limit int) commitlog.Page {
	next := s.first + commitlog.Offset(len(s.records))
	page := commitlog.Page{First: s.first, Next: next}
	from = max(from, s.first)
	if from >= next {
		return page
	}
	recs := s.records[from-s.first:]
	page.Records = append(page.Records, recs[:min(limit, len(recs))]...)
	return page
}
