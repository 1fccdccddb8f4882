package jobs

// Decision is a kind of decision on batch items that is counted by its reason.
type Decision string

// The decisions that are counted.
const (
	// ItemStarted: an item was sent to a backend server, by the verdict of package backfill.
	ItemStarted Decision = "started"
	// ItemsHeld: items of a service in one region began to wait for a gap.
	ItemsHeld Decision = "held"
	// RunCut: a run was stopped for online requests, by what has taken its slot.
	RunCut Decision = "cut"
)

// The reasons of RunCut.
const (
	// cutForOnline: online requests have arrived since the run began.
	cutForOnline = "online"
	// cutForBatch: other gateways have placed runs there at the same time.
	cutForBatch = "batch"
)

// count reports a decision to Options.Decided.
func (s *Service) count(d Decision, reason string) {
	if s.opts.Decided != nil {
		s.opts.Decided(d, reason)
	}
}
