package sidecar

// ledgerSize bounds the number of attempts in a ledger.
const ledgerSize = 100_000

// ledger records which non-idempotent attempts were started and which were vetoed.
// It evicts the oldest entries first and raises its low watermark; for claims
// below the watermark it makes no statement. The server's mutex guards it.
type ledger struct {
	size         int
	entries      map[string]ledgerEntry
	order        []string // attempt IDs, oldest entry first
	lowWatermark uint64
}

// ledgerEntry records the start or the veto of one attempt.
type ledgerEntry struct {
	claim  uint64 // log offset of the attempt's claim
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

// covers reports whether the ledger still holds every recorded attempt of a claim.
func (l *ledger) covers(claim uint64) bool { return claim >= l.lowWatermark }

func (l *ledger) record(id string, e ledgerEntry) {
	if _, ok := l.entries[id]; !ok {
		l.order = append(l.order, id)
	}
	l.entries[id] = e
	for len(l.order) > l.size {
		oldest := l.order[0]
		l.order = l.order[1:]
		l.lowWatermark = max(l.lowWatermark, l.entries[oldest].claim+1)
		delete(l.entries, oldest)
	}
}
