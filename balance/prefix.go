package balance

import "time"

const (
	// prefixHolders bounds the backend servers remembered for one prompt part,
	// prefixParts the parts.
	prefixHolders = 3
	prefixParts   = 4096
	// prefixTTL is how long an engine is taken to keep a part.
	prefixTTL = 20 * time.Second
)

type prefixHolder struct {
	id string
	at time.Time
}

// prefixTable remembers which backend servers were last sent a prompt part.
type prefixTable map[string][]prefixHolder

func newPrefixTable() prefixTable { return make(prefixTable) }

func (p prefixTable) note(part, id string, now time.Time) {
	if part == "" {
		return
	}
	if len(p) >= prefixParts {
		clear(p)
	}
	list := p[part]
	for i := range list {
		if list[i].id == id {
			list[i].at = now
			return
		}
	}
	if len(list) >= prefixHolders {
		list = list[1:]
	}
	p[part] = append(list, prefixHolder{id, now})
}

func (p prefixTable) has(part, id string, now time.Time) bool {
	if part == "" {
		return false
	}
	for _, h := range p[part] {
		if h.id == id && now.Sub(h.at) < prefixTTL {
			return true
		}
	}
	return false
}
