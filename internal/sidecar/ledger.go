package sidecar

// ledgerSize bounds the attempts a sidecar vouches for.
const ledgerSize = 100_000

// ledger remembers which non-idempotent attempts were started and which were
// vetoed. It forgets the oldest claims first and raises its floor; below the
// floor it vouches for nothing. The server's mutex guards it.
type ledger struct {
	size    int
	entries map[string]ledgerEntry
	order   []string
	floor   uint64
}

type ledgerEntry struct {
	claim  uint64
	vetoed bool
}

func newLedger(size int) *ledger {
	return &ledger{size: size, entries: make(map[string]ledgerEntry)}
}

func (l *ledger) started(id string) bool {
	e, ok := l.entries[id]
	return ok && !e.vetoed
}

func (l *ledger) vetoed(id string) bool {
	e, ok := l.entries[id]
	return ok && e.vetoed
}

func (l *ledger) recordStart(id string, claim uint64) { l.record(id, ledgerEntry{claim: claim}) }

func (l *ledger) recordVeto(id string, claim uint64) {
	l.record(id, ledgerEntry{claim: claim, vetoed: true})
}

// vouches reports whether the ledger still knows every attempt of a claim.
func (l *ledger) vouches(claim uint64) bool { return claim >= l.floor }

func (l *ledger) record(id string, e ledgerEntry) {
	if _, ok := l.entries[id]; !ok {
		l.order = append(l.order, id)
	}
	l.entries[id] = e
	for len(l.order) > l.size {
		oldest := l.order[0]
		l.order = l.order[1:]
		l.floor = max(l.floor, l.entries[oldest].claim+1)
		delete(l.entries, oldest)
	}
}
