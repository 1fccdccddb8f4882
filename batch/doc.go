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
package batch
