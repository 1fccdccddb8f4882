package entry

import "sync"

// maxKept bounds the items whose last backend server is remembered.
const maxKept = 4096

// keptAt remembers which backend server holds the tokens of a preempted batch
// item in its cache. It is a hint: losing it costs a prefill.
type keptAt struct {
	mu    sync.Mutex
	items map[string]string
}

func newKeptAt() *keptAt { return &keptAt{items: make(map[string]string)} }

// put remembers the backend server of an item.
func (k *keptAt) put(item, instance string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.items) >= maxKept {
		clear(k.items)
	}
	k.items[item] = instance
}

// take returns and forgets the backend server of an item.
func (k *keptAt) take(item string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	instance := k.items[item]
	delete(k.items, item)
	return instance
}
