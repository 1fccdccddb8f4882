package blob

import "sync"

// cache holds the chunks that were loaded last, in the order in which they were
// loaded. The oldest is evicted first; a hit does not change the order. The zero
// value caches nothing.
type cache struct {
	limit int

	mu     sync.Mutex // guards the fields below
	chunks map[Ref][]byte
	order  []Ref
}

func (c *cache) get(ref Ref) ([]byte, bool) {
	if c.limit == 0 {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	data, ok := c.chunks[ref]
	return data, ok
}

func (c *cache) put(ref Ref, data []byte) {
	if c.limit == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.chunks[ref]; ok {
		return
	}
	if c.chunks == nil {
		c.chunks = make(map[Ref][]byte, c.limit)
	}
	if len(c.order) == c.limit {
		delete(c.chunks, c.order[0])
		c.order = c.order[1:]
	}
	c.chunks[ref] = data
	c.order = append(c.order, ref)
}
