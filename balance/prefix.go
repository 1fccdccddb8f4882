package balance

import "time"

const (
	// maxPrefixBackends bounds the backend servers recorded for one prompt part;
	// maxPrefixParts bounds the prompt parts.
	maxPrefixBackends = 3
	maxPrefixParts    = 4096
	// prefixTTL is how long an engine is assumed to keep a prompt part in its cache.
	prefixTTL = 20 * time.Second
)

type prefixBackend struct {
	id     string
	sentAt time.Time
}

// prefixTable records which backend servers were last sent a prompt part.
type prefixTable map[string][]prefixBackend

func newPrefixTable() prefixTable { return make(prefixTable) }

func (p prefixTable) record(part, id string, now time.Time) {
	if part == "" {
		return
	}
	if len(p) >= maxPrefixParts {
		clear(p)
	}
	list := p[part]
	for i := range list {
		if list[i].id == id {
			list[i].sentAt = now
			return
		}
	}
	if len(list) >= maxPrefixBackends {
		list = list[1:]
	}
	p[part] = append(list, prefixBackend{id, now})
}

func (p prefixTable) has(part, id string, now time.Time) bool {
	if part == "" {
		return false
	}
	for _, b := range p[part] {
		if b.id == id && now.Sub(b.sentAt) < prefixTTL {
			return true
		}
	}
	return false
}
