package batch

import (
	"context"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/internal/delay"
)

type shardState struct {
	Shard
	store *blob.Store
	owned bool
	// ready reports that the completions of former owners have been folded.
	ready bool
	// term counts the changes of ownership.
	term int
	// resets is how often the table had been reset when the term began.
	resets int
}

// syncShards detects changes of ownership. A new owner folds everything that
// former owners completed before it starts an item, and so does an owner whose
// table has been reset.
func (r *Runner) syncShards(ctx context.Context) {
	for _, s := range r.shards {
		owned, resets := r.opts.Owner(s.ID), s.Table.resetCount()
		if owned == s.owned && resets == s.resets {
			continue
		}
		s.owned, s.ready, s.resets = owned, false, resets
		s.term++
		if owned {
			r.catchUp(ctx, s, s.term)
		}
	}
}

// catchUp marks a shard ready unless its ownership has changed in the meantime.
func (r *Runner) catchUp(ctx context.Context, s *shardState, term int) {
	r.spawn(ctx, func() func() {
		err := s.Stream.CatchUp(ctx)
		if err == nil && r.opts.RecoverShard != nil {
			err = r.opts.RecoverShard(ctx, s.ID)
		}
		if err != nil {
			delay.Wait(ctx, jobRetryDelay)
		}
		return func() {
			if s.term != term {
				return
			}
			s.owned, s.ready = err == nil, err == nil
		}
	})
}
