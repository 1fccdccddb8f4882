package discovery

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// maxRecordDelay bounds the delay until an outdated record is appended. Each process draws its own, so
// that few of them write the same record. It is also the interval of further tries.
const maxRecordDelay = 1500 * time.Millisecond

// softwareRecord is the value of a record.
type softwareRecord struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// SoftwareHistory knows which software has been in service lately. What a process has seen itself is
// lost when it stops, and all may stop together, so the software in service is recorded in a topic
// of the log service until it has been out of service for a window of time. It implements
// keyedlog.View for that topic and is safe for concurrent use.
type SoftwareHistory struct {
	backends *Backends
	window   time.Duration
	now      func() time.Time

	// loaded is closed once the records have been read.
	loaded   chan struct{}
	loadOnce sync.Once

	mu sync.Mutex
	// byKey holds the recorded software, and by the time from which this process has known it.
	byKey map[string]recordedSoftware
	// due is when the outdated record under a key is to be appended.
	due map[string]time.Time
}

type recordedSoftware struct {
	software catalog.Software
	since    time.Time
}

// NewSoftwareHistory returns a history without records. Software is kept for window after its last
// backend server has been removed.
func NewSoftwareHistory(backends *Backends, window time.Duration, now func() time.Time) *SoftwareHistory {
	return &SoftwareHistory{
		backends: backends, window: window, now: now, loaded: make(chan struct{}),
		byKey: make(map[string]recordedSoftware), due: make(map[string]time.Time),
	}
}

// Rebuild implements keyedlog.View.
func (h *SoftwareHistory) Rebuild(records []keyedlog.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.byKey
	h.byKey = make(map[string]recordedSoftware, len(records))
	for _, r := range records {
		h.put(r)
		if before, known := old[r.Key]; known && r.Value != nil {
			h.byKey[r.Key] = before
		}
	}
	h.loadOnce.Do(func() { close(h.loaded) })
}

// AwaitLoaded waits until the records and the backend servers are known, or until ctx ends.
func (h *SoftwareHistory) AwaitLoaded(ctx context.Context) {
	for _, loaded := range []<-chan struct{}{h.loaded, h.backends.Loaded()} {
		select {
		case <-ctx.Done():
		case <-loaded:
		}
	}
}

func (h *SoftwareHistory) isLoaded() bool {
	select {
	case <-h.loaded:
		return true
	default:
		return false
	}
}

// Apply implements keyedlog.View.
func (h *SoftwareHistory) Apply(records []keyedlog.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		h.put(r)
	}
}

// put applies one record. A record that can't be decoded is ignored. The caller holds the lock.
func (h *SoftwareHistory) put(r keyedlog.Record) {
	delete(h.due, r.Key)
	if r.Value == nil {
		delete(h.byKey, r.Key)
		return
	}
	var v softwareRecord
	if err := json.Unmarshal(r.Value, &v); err != nil || v.Version == "" {
		return
	}
	if _, known := h.byKey[r.Key]; !known {
		h.byKey[r.Key] = recordedSoftware{catalog.Software{Service: v.Service, Version: v.Version}, h.now()}
	}
}

// Only returns the software of a service if no other has been in service in the window. It returns
// false while that is not known: until the records have been read.
func (h *SoftwareHistory) Only(service string) (s catalog.Software, only bool) {
	s, only = h.backends.OnlySoftware(service, h.window)
	if !only {
		return catalog.Software{}, false
	}
	if !h.isLoaded() {
		return catalog.Software{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.byKey {
		if r.software.Service == service && r.software != s {
			return catalog.Software{}, false
		}
	}
	return s, true
}

// Outdated returns the records to append now: those of software in service that is not recorded, and
// tombstones of software that has been out of service for the window. The caller needn't know whether
// an append took effect: what remains outdated is returned again later.
func (h *SoftwareHistory) Outdated() []keyedlog.Record {
	if !h.isLoaded() {
		return nil
	}
	recent := h.backends.RecentSoftware(h.window)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var out []keyedlog.Record
	for s := range recent {
		if _, recorded := h.byKey[softwareKey(s)]; !recorded && h.isDue(softwareKey(s), now) {
			out = append(out, encodeSoftware(s))
		}
	}
	for key, r := range h.byKey {
		if !recent[r.software] && now.Sub(r.since) >= h.window && h.isDue(key, now) {
			out = append(out, keyedlog.Record{Key: key})
		}
	}
	return out
}

// isDue reports whether the outdated record under key is to be appended now. It is at a random time
// first, and later at intervals. The caller holds the lock.
func (h *SoftwareHistory) isDue(key string, now time.Time) bool {
	due, noticed := h.due[key]
	if !noticed {
		h.due[key] = now.Add(rand.N(maxRecordDelay))
		return false
	}
	if now.Before(due) {
		return false
	}
	h.due[key] = now.Add(maxRecordDelay)
	return true
}

func encodeSoftware(s catalog.Software) keyedlog.Record {
	value, err := json.Marshal(softwareRecord{Service: s.Service, Version: s.Version})
	if err != nil {
		panic(err) // two strings can be encoded
	}
	return keyedlog.Record{Key: softwareKey(s), Value: value}
}

// softwareKey returns the key of the record of s. Keys of the log are short, names needn't be.
func softwareKey(s catalog.Software) string {
	digest := sha256.Sum256([]byte(s.Service + "\x00" + s.Version))
	return hex.EncodeToString(digest[:16])
}
