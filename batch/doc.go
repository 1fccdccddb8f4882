// Package batch accepts batch jobs, schedules their items and stores their
// results.
//
// Table is the fold of one shard's stream: files, jobs, completions and
// cancellations. It is deterministic in log order, and every fact in it is
// final: the first folded completion of an item wins, whichever process appended
// it, so two simultaneous owners of a shard are harmless. Scheduler decides which
// items start, as a pure function of its inputs. Runner performs the input and
// output for both: it reads items, dispatches them, commits result segments and
// writes output files.
//
// A workspace belongs to one shard, so one stream decides about its idempotency
// keys.
//
// One difference between two tables of a shard is known: if two uploads raced
// under one idempotency key and the accepted file was deleted before it was
// renewed, a table whose first record lies between the two uploads shows the
// refused one. Its id was never returned to a caller.
package batch
