package capacity

import (
	"context"

	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

const (
	// writtenAt is the time at which all entries are written, in Unix seconds;
	// retentionSeconds is the result retention.
	writtenAt        = 1_700_000_000
	retentionSeconds = 30 * 24 * 3600
	// replyBytes is the size of a stored reply's body.
	replyBytes = 2 << 10
	// workspaces is the number of workspaces among which entries are divided.
	workspaces = 1200
)

// logEntry is one entry at its position in a stream, as a follower folds it.
type logEntry struct {
	position commitlog.Position
	entry    commitlog.Entry
}

// foldAll applies entries to f in order.
func foldAll(f commitlog.Fold, entries []logEntry) error {
	for _, x := range entries {
		if err := f.Apply(x.position, x.entry); err != nil {
			return err
		}
	}
	return nil
}

// newLogEntries encodes n bodies as the entries of one stream.
func newLogEntries(kind commitlog.EntryKind, n int, body func(i int) any) ([]logEntry, error) {
	out := make([]logEntry, n)
	for i := range out {
		e, err := commitlog.NewEntry(kind, body(i))
		if err != nil {
			return nil, err
		}
		out[i] = logEntry{commitlog.Position{Offset: commitlog.Offset(i)}, e}
	}
	return out, nil
}

func workspaceName(i int) string { return "workspace-" + identifier(i % workspaces)[:8] }

func newClaim(i int) any {
	return claim.Claim{
		Workspace: workspaceName(i), Key: identifier(i), RequestHash: identifier(i) + identifier(i),
		Attempt: identifier(i), Instance: backendName(i), Incarnation: identifier(i), Service: modelService,
		At: writtenAt, RetentionSeconds: retentionSeconds,
	}
}

func newReply(i int) any {
	return claim.Reply{
		Workspace: workspaceName(i), ID: "chatcmpl-" + identifier(i), Service: modelService,
		At: writtenAt, RetentionSeconds: retentionSeconds, Body: make([]byte, replyBytes),
	}
}

func measureClaims(context.Context) ([]Quantity, error) {
	claims, err := foldCosts("claim", "claim", claim.KindClaim, newClaim)
	if err != nil {
		return nil, err
	}
	replies, err := foldCosts("reply", "stored reply", claim.KindReply, newReply)
	return append(claims, replies...), err
}

// foldCosts measures applying n entries of one kind to a new claims fold.
func foldCosts(id, per string, kind commitlog.EntryKind, body func(int) any) ([]Quantity, error) {
	sizes := []int{2000, 4000, 16_000}
	return measureAll(
		measurement{Quantity{ID: id + ".fold", Help: "fold", Unit: Nanoseconds, Per: per}, sizes, func(n int) (float64, error) {
			entries, err := newLogEntries(kind, n, body)
			if err != nil {
				return 0, err
			}
			setup := func() (*claim.Fold, error) { return claim.NewFold(), nil }
			return shortestRun(setup, func(f *claim.Fold) error { return foldAll(f, entries) })
		}},
		measurement{Quantity{ID: id + ".row", Help: "memory of the fold", Unit: Bytes, Per: per}, sizes, func(n int) (float64, error) {
			return retainedHeap(func() (*claim.Fold, error) {
				entries, err := newLogEntries(kind, n, body)
				if err != nil {
					return nil, err
				}
				f := claim.NewFold()
				return f, foldAll(f, entries)
			})
		}},
		measurement{Quantity{ID: id + ".entry", Help: "entry", Unit: Bytes, Per: per}, []int{1, 10, 100}, func(n int) (float64, error) {
			entries, err := newLogEntries(kind, n, body)
			return entryBytes(entries), err
		}},
	)
}

func entryBytes(entries []logEntry) float64 {
	total := 0
	for _, e := range entries {
		total += len(e.entry.Body)
	}
	return float64(total)
}
