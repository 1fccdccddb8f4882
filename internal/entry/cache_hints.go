package entry

import "sync"

// maxCacheHints limits the number of items whose last backend server is stored.
const maxCacheHints = 4096

// cacheHints records which backend server holds the tokens of a preempted batch
// item in its cache. An entry is only a hint: losing it costs one prefill.
type cacheHints struct {
	mu    sync.Mutex
	items map[string]string
}

func newCacheHints() *cacheHints { return &cacheHints{items: make(map[string]string)} }

// put records the backend server of an item.
func (h *cacheHints) put(item, instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.items) >= maxCacheHints {
		clear(h.items)
	}
	h.items[item] = instance
}

// take returns the backend server of an item and removes it.
func (h *cacheHints) take(item string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	instance := h.items[item]
	delete(h.items, item)
	return instance
}
