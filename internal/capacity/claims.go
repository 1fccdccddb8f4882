package capacity

import (
	"context"

	"github.com/catkinrudder/catkinrudder/claim"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

const (
	// keptAt is a writer's wall clock and keptFor a result retention, both in
	// seconds.
	keptAt  = 1_700_000_000
	keptFor = 30 * 24 * 3600
	// replyBytes is the size of a stored reply.
	replyBytes = 2 << 10
	workspaces = 1200
)

// fact is one entry at its offset, as a follower folds it.
type fact struct {
	at    commitlog.Position
	entry commitlog.Entry
}

// foldAll folds facts in order.
func foldAll(f commitlog.Fold, facts []fact) error {
	for _, x := range facts {
		if err := f.Apply(x.at, x.entry); err != nil {
			return err
		}
	}
	return nil
}

// facts encodes n bodies as the records of one stream.
func facts(kind commitlog.EntryKind, n int, body func(i int) any) ([]fact, error) {
	out := make([]fact, n)
	for i := range out {
		e, err := commitlog.NewEntry(kind, body(i))
		if err != nil {
			return nil, err
		}
		out[i] = fact{commitlog.Position{Offset: commitlog.Offset(i)}, e}
	}
	return out, nil
}

func workspaceName(i int) string { return "workspace-" + incarnation(i % workspaces)[:8] }

func newClaim(i int) any {
	return claim.Claim{
		Workspace: workspaceName(i), Key: incarnation(i), RequestHash: incarnation(i) + incarnation(i),
		Attempt: incarnation(i), Instance: backendName(i), Incarnation: incarnation(i), Service: modelService,
		At: keptAt, RetentionSeconds: keptFor,
	}
}

func newReply(i int) any {
	return claim.Reply{
		Workspace: workspaceName(i), ID: "chatcmpl-" + incarnation(i), Service: modelService,
		At: keptAt, RetentionSeconds: keptFor, Body: make([]byte, replyBytes),
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

// foldCosts measures folding facts of one kind into a new claims fold.
func foldCosts(id, per string, kind commitlog.EntryKind, body func(int) any) ([]Quantity, error) {
	sizes := []int{2000, 4000, 16_000}
	return all(
		spec{Quantity{ID: id + ".fold", Help: "fold", Unit: Nanoseconds, Per: per}, sizes, func(n int) (float64, error) {
			fs, err := facts(kind, n, body)
			if err != nil {
				return 0, err
			}
			setup := func() (*claim.Fold, error) { return claim.NewFold(), nil }
			return shortest(setup, func(f *claim.Fold) error { return foldAll(f, fs) })
		}},
		spec{Quantity{ID: id + ".row", Help: "memory of the fold", Unit: Bytes, Per: per}, sizes, func(n int) (float64, error) {
			return heapOf(func() (*claim.Fold, error) {
				fs, err := facts(kind, n, body)
				if err != nil {
					return nil, err
				}
				f := claim.NewFold()
				return f, foldAll(f, fs)
			})
		}},
		spec{Quantity{ID: id + ".entry", Help: "entry", Unit: Bytes, Per: per}, []int{1, 10, 100}, func(n int) (float64, error) {
			fs, err := facts(kind, n, body)
			return entryBytes(fs), err
		}},
	)
}

func entryBytes(fs []fact) float64 {
	total := 0
	for _, f := range fs {
		total += len(f.entry.Body)
	}
	return float64(total)
}
