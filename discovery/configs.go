// Package discovery maintains a process's view of the configuration and of the backend
// servers, from two keyed logs that the process follows.
package discovery

import (
	"sync"
	"sync/atomic"

	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/keyedlog"
)

// ConfigView holds the newest configuration that was read. Its version never
// decreases. It implements keyedlog.View and is safe for concurrent use.
type ConfigView struct {
	key     string
	decode  func([]byte) (*catalog.Config, error)
	changed func(old, current *catalog.Config)
	refused func(offset int64, err error)
	// updating serializes update; reads need no lock.
	updating sync.Mutex
	current  atomic.Pointer[catalog.Config]
	record   atomic.Pointer[keyedlog.Record]
	loaded   chan struct{}
}

// Loaded returns a channel that is closed once a configuration has been loaded.
func (c *ConfigView) Loaded() <-chan struct{} { return c.loaded }

// Record returns the record of the current configuration, or false if there is none.
func (c *ConfigView) Record() (keyedlog.Record, bool) {
	r := c.record.Load()
	if r == nil {
		return keyedlog.Record{}, false
	}
	return *r, true
}

// NewConfigView returns a view of the configuration under key. changed and refused are
// called from the goroutine that applies the record.
func NewConfigView(key string, decode func([]byte) (*catalog.Config, error),
	changed func(old, current *catalog.Config), refused func(offset int64, err error),
) *ConfigView {
	return &ConfigView{key: key, decode: decode, changed: changed, refused: refused, loaded: make(chan struct{})}
}

// Current returns the current configuration, or nil if none has been loaded yet.
func (c *ConfigView) Current() *catalog.Config { return c.current.Load() }

// Rebuild implements keyedlog.View.
func (c *ConfigView) Rebuild(records []keyedlog.Record) { c.Apply(records) }

// Apply implements keyedlog.View.
func (c *ConfigView) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Key == c.key && r.Value != nil {
			c.update(r)
		}
	}
}

// update replaces the configuration unless the record is invalid or not newer.
func (c *ConfigView) update(r keyedlog.Record) {
	config, err := c.decode(r.Value)
	if err != nil {
		c.refused(r.Offset, err)
		return
	}
	c.updating.Lock()
	defer c.updating.Unlock()
	old := c.current.Load()
	if old != nil && config.Version <= old.Version {
		return
	}
	c.current.Store(config)
	c.record.Store(&r)
	if old == nil {
		close(c.loaded)
	}
	c.changed(old, config)
}
