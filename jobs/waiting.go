package jobs

import (
	"cmp"
	"hash/fnv"
	"io"
	"math"
	"slices"
)

// maxReportedAccounts bounds the accounts of workspaces in the reports of one process, which go
// into each of its datagrams.
const maxReportedAccounts = 512

// accountKey names an account between processes, where a name would be long. Two accounts with one
// key would count against each other.
func accountKey(a account) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, a.workspace) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, a.route)
	return h.Sum64()
}

// setWaiting sets the waiting tokens of a report: those of at most limit accounts of workspaces. It
// returns their number.
func (r *ShardReport) setWaiting(sums map[account]int64, limit int) int {
	var owned []account
	for a, tokens := range sums {
		if a.workspace != "" {
			owned = append(owned, a)
			continue
		}
		if r.Waiting == nil {
			r.Waiting = make(map[string]int64)
		}
		r.Waiting[a.route] = tokens
	}
	if len(owned) > limit {
		r.Partial = true
		slices.SortFunc(owned, func(a, b account) int { return cmp.Compare(sums[b], sums[a]) })
		owned = owned[:limit]
	}
	if len(owned) > 0 {
		r.WorkspaceWaiting = make(map[uint64]int64, len(owned))
	}
	for _, a := range owned {
		r.WorkspaceWaiting[accountKey(a)] = sums[a]
	}
	return len(owned)
}

// waitingOf returns the waiting tokens of an account that a report states, or false if it leaves them
// out.
func (r *ShardReport) waitingOf(a account) (tokens int64, stated bool) {
	if a.workspace == "" {
		return r.Waiting[a.route], true
	}
	tokens, listed := r.WorkspaceWaiting[accountKey(a)]
	return tokens, listed || !r.Partial
}

// waitingTokens sums the tokens of unfinished items of an account. Items that no owner has ever reported
// count as unfinished.
func (s *Service) waitingTokens(a account) int64 {
	s.recordReports()
	var sum int64
	for _, sh := range s.shards {
		from := int64(0)
		if report, known := s.history.of(sh.part.Index); known && !sh.owned() {
			if tokens, stated := report.waitingOf(a); stated {
				from = report.Offset
				sum += tokens
			}
		}
		sum += s.table.waitingTokens(sh.contains, from, math.MaxInt64)[a]
	}
	return sum
}

// waitingTokens sums the tokens of unfinished items by account, for the jobs selected by include
// whose summary has an offset in [from, to).
func (t *Table) waitingTokens(include func(id string) bool, from, to int64) map[account]int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	sums := make(map[account]int64)
	for id, e := range t.byID {
		if e.job == nil || e.cancelled || e.offset < from || e.offset >= to || !include(id) {
			continue
		}
		for i, tokens := range e.job.Tokens {
			if !e.done[i] {
				sums[e.job.account()] += tokens
			}
		}
	}
	return sums
}
