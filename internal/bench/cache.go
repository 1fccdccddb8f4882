package bench

import "container/list"

// prefixCache is a least-recently-used cache of prompt prefixes, sized in
// tokens. It shares its memory with the running streams.
type prefixCache struct {
	capacity, used, reserved int
	order                    *list.List
	entries                  map[uint64]*list.Element
}

type cacheEntry struct {
	key    uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns how many tokens of a prefix are cached.
func (c *prefixCache) lookup(key uint64) int {
	if el, ok := c.entries[key]; ok {
		return el.Value.(*cacheEntry).tokens
	}
	return 0
}

// touch adds a prefix or extends it, and makes it the most recently used. The key
// zero stands for no prefix and is ignored.
func (c *prefixCache) touch(key uint64, tokens int) {
	if key == 0 || tokens <= 0 {
		return
	}
	if el, ok := c.entries[key]; ok {
		ent := el.Value.(*cacheEntry)
		c.used += max(tokens-ent.tokens, 0)
		ent.tokens = max(ent.tokens, tokens)
		c.order.MoveToFront(el)
	} else {
		c.entries[key] = c.order.PushFront(&cacheEntry{key: key, tokens: tokens})
		c.used += tokens
	}
	c.evict()
}

// removeKey removes the context of a stream that runs again, because the stream
// itself now holds the tokens.
func (c *prefixCache) removeKey(key uint64) {
	if el, ok := c.entries[key]; ok {
		c.remove(el)
	}
}

func (c *prefixCache) remove(el *list.Element) {
	ent := el.Value.(*cacheEntry)
	c.used -= ent.tokens
	delete(c.entries, ent.key)
	c.order.Remove(el)
}

// reserve adds tokens, which may be negative, to those that running streams hold.
func (c *prefixCache) reserve(tokens int) {
	c.reserved += tokens
	c.evict()
}

func (c *prefixCache) evict() {
	for c.used+c.reserved > c.capacity && c.order.Len() > 0 {
		c.remove(c.order.Back())
	}
}
