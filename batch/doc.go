// Package batch accepts batch jobs, schedules their items and keeps their
// results.
//
// Table is the fold of one shard's stream: files, jobs, completions,
// cancellations. It is deterministic in log order, and every fact in it is
// final: the first folded completion of an item wins, whoever appended it, so
// two owners of one shard are harmless. Scheduler decides, as a pure function
// of its inputs, which items start. Runner is the shell around both: it reads
// items, dispatches them, commits result segments and writes output files.
//
// A workspace lives in one shard, so that its idempotency keys are decided by
// one stream.
//
// One difference between two tables of a shard is known: if two uploads raced
// under one idempotency key and the accepted file was deleted before it was
// renewed, a table whose first record lies between the two uploads shows the
// refused one. Its id was never told to a caller.
package batch
