package jobs

import "sync"

// reportHistory keeps the last report on each shard, whether or not its owner can still be reached. An old report bounds
// the tokens that wait: an item that counts as finished is on the log, so what a report counts can only shrink.
type reportHistory struct {
	mu   sync.Mutex
	last []ShardReport // by shard; the epoch is notOwnedEpoch if there was none
}

func newReportHistory(shards int) *reportHistory {
	return &reportHistory{last: make([]ShardReport, shards)}
}

// record keeps a report unless a later one is known.
func (h *reportHistory) record(r ShardReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Shard < 0 || r.Shard >= len(h.last) {
		return
	}
	known := h.last[r.Shard]
	if r.Epoch > known.Epoch || r.Epoch == known.Epoch && r.Offset >= known.Offset {
		h.last[r.Shard] = r
	}
}

// of returns the last report on a shard.
func (h *reportHistory) of(shard int) (r ShardReport, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r = h.last[shard]
	return r, r.Epoch != notOwnedEpoch
}

// recordReports records the reports of this process and those of its peers.
func (s *Service) recordReports() {
	for _, r := range s.Reports() {
		s.history.record(r)
	}
	for i := range s.shards {
		if r, known := s.opts.Peers.ShardReport(i); known {
			s.history.record(r)
		}
	}
}
