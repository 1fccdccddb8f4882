package claim

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

// naive is a reference model of one key, computed from the whole history.
type naive struct {
	phase, attempt   string
	version, claimed int
	touched          int
}

func baseOf(v Version) int { return int(v.Next) }

// naiveRow replays the whole history for one key. Every record is one entry.
func naiveRow(history []any, key string) naive {
	n := naive{phase: "free"}
	for i, rec := range history {
		at := i + 1
		switch r := rec.(type) {
		case Claim:
			if r.Key != key {
				continue
			}
			n.touched = at
			if (n.phase == "free" || n.phase == "released") && n.version == baseOf(r.Base) {
				n = naive{"held", r.Attempt, at, at, at}
			}
		case Release:
			if r.Claim.Key != key {
				continue
			}
			n.touched = at
			if n.phase == "held" && n.attempt == r.Claim.Attempt && n.claimed == baseOf(r.Claim.Base) {
				n.phase, n.version = "released", at
			}
		case Outcome:
			if r.Claim.Key != key {
				continue
			}
			n.touched = at
			if n.attempt != r.Claim.Attempt || n.claimed != baseOf(r.Claim.Base) {
				continue
			}
			if r.Verdict == VerdictUnknown && n.phase == "held" {
				n.phase, n.version = "unknown", at
			}
			if r.Verdict == VerdictComplete && (n.phase == "held" || n.phase == "unknown") {
				n.phase, n.version = "complete", at
			}
		case Retire:
			if r.Key == key && n.touched <= int(r.Seen) {
				n = naive{phase: "free"}
			}
		}
	}
	return n
}

func kindOf(rec any) commitlog.EntryKind {
	switch rec.(type) {
	case Claim:
		return KindClaim
	case Release:
		return KindRelease
	case Outcome:
		return KindOutcome
	case Renewal:
		return KindRenewal
	}
	return KindRetire
}

func applyRecord(t assert.TestingT, f *Fold, at int, rec any) {
	e, err := commitlog.NewEntry(kindOf(rec), rec)
	assert.NilError(t, err)
	assert.NilError(t, f.Apply(commitlog.Position{Offset: commitlog.Offset(at)}, e))
}

// history generates records of a few keys by writers that may be paused: each
// record is based on a view that may be stale, and may be sent twice.
type history struct {
	t       *rapid.T
	fold    *Fold
	records []any
	views   [][]Row
}

var historyKeys = []string{"a", "b"}

func (h *history) view() (Row, commitlog.Offset) {
	k := rapid.IntRange(0, len(historyKeys)-1).Draw(h.t, "key")
	var rows []Row
	for _, key := range historyKeys {
		row, _ := h.fold.Lookup("w", key)
		row.Claim.Workspace, row.Claim.Key = "w", key
		rows = append(rows, row)
	}
	h.views = append(h.views, rows)
	at := len(h.views) - 1
	if rapid.IntRange(0, 3).Draw(h.t, "frozen") == 0 {
		at = rapid.IntRange(0, at).Draw(h.t, "view")
	}
	return h.views[at][k], commitlog.Offset(at)
}

func (h *history) step() {
	row, seen := h.view()
	held := row.Claim
	held.Base = row.Claimed
	var rec any
	switch action := rapid.IntRange(0, 9).Draw(h.t, "action"); {
	case action < 3:
		c := Claim{Workspace: "w", Key: row.Claim.Key, Attempt: "at" + strconv.Itoa(len(h.records)), Base: row.Version}
		rec = c
	case action < 5 && held.Attempt != "":
		rec = Release{Claim: held, Proof: ProofVetoed}
	case action == 5 && held.Attempt != "":
		rec = Outcome{Claim: held, Verdict: VerdictUnknown}
	case action == 6 && held.Attempt != "":
		rec = Outcome{Claim: held, Verdict: VerdictComplete, Response: Response{Status: 200}}
	case action == 7 && row.Phase != Free:
		rec = Renewal{Claim: row.Claim, Phase: row.Phase, Version: row.Version, Claimed: row.Claimed, Seen: seen}
	case action == 8 && row.Phase.Ended():
		rec = Retire{Workspace: "w", Key: row.Claim.Key, Seen: seen}
	case action == 9 && len(h.records) > 0:
		rec = h.records[rapid.IntRange(0, len(h.records)-1).Draw(h.t, "again")]
	default:
		rec = Claim{Workspace: "w", Key: row.Claim.Key, Attempt: "at" + strconv.Itoa(len(h.records))}
	}
	applyRecord(h.t, h.fold, len(h.records), rec)
	h.records = append(h.records, rec)
}

func generate(t *rapid.T) *history {
	h := &history{t: t, fold: NewFold()}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		h.step()
	}
	return h
}

func TestFoldAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := generate(t)
		for _, key := range historyKeys {
			want := naiveRow(h.records, key)
			row, _ := h.fold.Lookup("w", key)
			got := naive{row.Phase.String(), row.Claim.Attempt, baseOf(row.Version), baseOf(row.Claimed), want.touched}
			if got != want {
				t.Fatalf("key %s: fold %+v, naive %+v in %+v", key, got, want, h.records)
			}
		}
	})
}

// TestLateReaderAgreesAfterRetention checks that a reader that starts at the
// oldest retained record agrees with a reader of the whole log, however late
// stale renewals and duplicates arrive.
func TestLateReaderAgreesAfterRetention(t *testing.T) {
	started := 0
	rapid.Check(t, func(t *rapid.T) {
		h := generate(t)
		first := rapid.IntRange(0, h.oldestRetained()).Draw(t, "first")
		if first == 0 || h.assumptionBroken(first) {
			return
		}
		started++
		late := NewFold()
		for i, rec := range h.records[first:] {
			applyRecord(t, late, first+i, rec)
		}
		for _, key := range historyKeys {
			want, _ := h.fold.Lookup("w", key)
			got, _ := late.Lookup("w", key)
			if want.Version == (Version{}) {
				continue
			}
			if got.Phase != want.Phase || got.Version != want.Version || got.Claim.Attempt != want.Claim.Attempt {
				t.Fatalf("key %s from %d: late %+v, full %+v in %+v", key, first, got, want, h.records)
			}
		}
	})
	assert.Assert(t, started > 10, "only %d late readers", started)
}

// oldestRetained returns the lowest offset that the log must still retain.
func (h *history) oldestRetained() int {
	oldest := len(h.records)
	for _, key := range historyKeys {
		if row, ok := h.fold.Lookup("w", key); ok {
			oldest = min(oldest, int(row.RetainedBy))
		}
	}
	return oldest
}

// assumptionBroken reports whether a renewal took effect after the log had
// dropped the Retire record of its row.
func (h *history) assumptionBroken(first int) bool {
	for _, rec := range h.records[first:] {
		r, ok := rec.(Renewal)
		if !ok {
			continue
		}
		for at := int(r.Seen); at < first; at++ {
			if retire, ok := h.records[at].(Retire); ok && retire.Key == r.Claim.Key {
				return true
			}
		}
	}
	return false
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	f := NewFold()
	bad := []commitlog.Entry{{Kind: 99}, {Kind: KindClaim}, {Kind: KindClaim, Body: []byte{0xff}}}
	for _, body := range []any{
		Claim{Key: "k"},
		Release{Claim: Claim{Key: "k", Attempt: "1"}, Proof: 9},
		Outcome{Claim: Claim{Key: "k", Attempt: "1"}, Verdict: 7},
		Renewal{Claim: Claim{Key: "k", Attempt: "1"}, Phase: 9, Version: Version{Next: 1}},
	} {
		e, err := commitlog.NewEntry(kindOf(body), body)
		assert.NilError(t, err)
		bad = append(bad, e)
	}
	for i, e := range bad {
		assert.Assert(t, f.Apply(commitlog.Position{Offset: commitlog.Offset(i)}, e) != nil, "entry %d", i)
	}
	rows, replies := f.Len()
	assert.Equal(t, rows+replies, 0)
}

func TestAbandonedClaimThatLosesIsRemoved(t *testing.T) {
	f := NewFold()
	lost := Claim{Workspace: "w", Key: "a", Attempt: "2"}
	f.abandon(lost, func(Row) { t.Error("a claim that lost was released") })
	applyRecord(t, f, 0, Claim{Workspace: "w", Key: "a", Attempt: "1"})
	applyRecord(t, f, 1, lost)
	assert.Equal(t, len(f.abandoned), 0)
}
