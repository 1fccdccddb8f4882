package capacity

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

const (
	// resultBytes is the size of one item's result. segmentItems is the number of
	// results that fill a segment, whose size package batch limits to 128 KiB.
	resultBytes  = 1 << 10
	segmentItems = 120
	// jobItems is the number of items of each job when the number of jobs varies.
	jobItems = 64
	// jobWindow is the completion window of every job.
	jobWindow = 24 * time.Hour
)

func jobID(i int) string  { return "batch_" + identifier(i) }
func fileID(i int) string { return "file-" + identifier(i) }

// shardBuilder builds the entries of one shard's stream.
type shardBuilder struct {
	entries []logEntry
	err     error
}

func (s *shardBuilder) add(kind commitlog.EntryKind, body any) {
	e, err := commitlog.NewEntry(kind, body)
	if err != nil && s.err == nil {
		s.err = err
	}
	s.entries = append(s.entries, logEntry{commitlog.Position{Offset: commitlog.Offset(len(s.entries))}, e})
}

// addJob adds an input file and a started job with the given number of items.
func (s *shardBuilder) addJob(i, items int) {
	s.add(batch.KindFile, batch.File{
		ID: fileID(i), Workspace: workspaceName(i), Name: "items.jsonl", Purpose: batch.PurposeBatch,
		SHA256: strings.Repeat("ab", 32), Created: writtenAt,
		Content: manifest(items),
	})
	s.add(batch.KindJob, batch.Job{
		ID: jobID(i), Workspace: workspaceName(i), InputFile: fileID(i), Endpoint: "/v1/chat/completions",
		Window: "24h", Created: writtenAt, Deadline: writtenAt + int64(jobWindow.Seconds()),
	})
	blocks := make([]int64, (items+batch.BlockItems-1)/batch.BlockItems)
	s.add(batch.KindStarted, batch.Started{
		Job: jobID(i), Service: modelService, Total: uint32(items), Blocks: blocks, At: writtenAt,
	})
}

// manifest lists the chunks of an input file whose lines have resultBytes each.
func manifest(items int) blob.Manifest {
	m := make(blob.Manifest, items*resultBytes/blob.MaxChunkBytes+1)
	for i := range m {
		m[i] = blob.Ref{Offset: commitlog.Offset(i), Len: blob.MaxChunkBytes}
	}
	return m
}

// addSegments adds segments with the results of every item of a job.
func (s *shardBuilder) addSegments(i, items int) {
	for first := 0; first < items; first += segmentItems {
		seg, err := newSegment(jobID(i), first, min(first+segmentItems, items))
		if err != nil {
			s.err = err
			return
		}
		s.add(batch.KindSegment, seg)
	}
}

func newSegment(job string, first, end int) (batch.Segment, error) {
	body := make([]byte, resultBytes)
	results := make([]batch.Result, 0, end-first)
	for k := first; k < end; k++ {
		results = append(results, batch.Result{
			Index: uint32(k), CustomID: fmt.Sprintf("item-%06d", k), Status: 200, RequestID: identifier(k), Body: body,
		})
	}
	return batch.NewSegment(job, results, writtenAt)
}

// jobShard returns the entries of a shard with the given number of started jobs.
func jobShard(jobs int) ([]logEntry, error) {
	var s shardBuilder
	for i := range jobs {
		s.addJob(i, jobItems)
	}
	return s.entries, s.err
}

// resultShard returns the entries of a shard with one job and the results of all
// its items.
func resultShard(items int) ([]logEntry, error) {
	var s shardBuilder
	s.addJob(0, items)
	s.addSegments(0, items)
	return s.entries, s.err
}

// foldShard returns a new table with the entries that build returns.
func foldShard(build func() ([]logEntry, error)) (*batch.Table, error) {
	entries, err := build()
	if err != nil {
		return nil, err
	}
	t := batch.NewTable()
	return t, foldAll(t, entries)
}

func measureBatch(context.Context) ([]Quantity, error) {
	jobs, items := []int{250, 500, 2000}, []int{20_000, 40_000, 80_000}
	jobTime := func(n int) (float64, error) {
		return foldTime(func() ([]logEntry, error) { return jobShard(n) })
	}
	itemTime := func(n int) (float64, error) {
		return foldTime(func() ([]logEntry, error) { return resultShard(n) })
	}
	return measureAll(
		measurement{Quantity{ID: "job.fold", Help: "fold file, job and start of 64 items", Unit: Nanoseconds, Per: "job"}, jobs, jobTime},
		measurement{Quantity{ID: "job.row", Help: "memory of a started job of 64 items", Unit: Bytes, Per: "job"}, jobs,
			func(n int) (float64, error) {
				return retainedHeap(func() (*batch.Table, error) {
					return foldShard(func() ([]logEntry, error) { return jobShard(n) })
				})
			}},
		measurement{Quantity{ID: "item.fold", Help: "fold results of 1 KiB in segments of 120", Unit: Nanoseconds, Per: "item"}, items, itemTime},
		measurement{Quantity{ID: "item.row", Help: "memory of a job with its results", Unit: Bytes, Per: "item"}, items,
			func(n int) (float64, error) {
				return retainedHeap(func() (*batch.Table, error) {
					return foldShard(func() ([]logEntry, error) { return resultShard(n) })
				})
			}},
		measurement{Quantity{ID: "item.entry", Help: "segment entry of results of 1 KiB", Unit: Bytes, Per: "item"}, []int{12, 60, 120},
			func(n int) (float64, error) {
				seg, err := newSegment(jobID(0), 0, n)
				if err != nil {
					return 0, err
				}
				e, err := commitlog.NewEntry(batch.KindSegment, seg)
				return float64(len(e.Body)), err
			}},
	)
}

// foldTime returns how many nanoseconds a new table takes to fold the entries that
// build returns.
func foldTime(build func() ([]logEntry, error)) (float64, error) {
	entries, err := build()
	if err != nil {
		return 0, err
	}
	setup := func() (*batch.Table, error) { return batch.NewTable(), nil }
	return shortestRun(setup, func(t *batch.Table) error { return foldAll(t, entries) })
}

// schedulerTick returns a function that ticks a scheduler with n open jobs and no
// free slots.
func schedulerTick(n int) func() {
	s := batch.NewScheduler()
	now := time.Unix(writtenAt, 0)
	in := batch.Inputs{FreeSlots: map[string]int{modelService: 0}}
	for i := range n {
		in.Jobs = append(in.Jobs, batch.JobInput{
			ID: jobID(i), Service: modelService, Total: jobItems, Left: jobItems,
			Deadline: now.Add(jobWindow), Done: func(uint32) bool { return false },
		})
	}
	return func() { s.Tick(now, in) }
}

func measureScheduler(context.Context) ([]Quantity, error) {
	sizes := []int{16, 64, 256, 1024}
	return measureAll(
		measurement{Quantity{ID: "scheduler.tick", Help: "one tick without room", Unit: Nanoseconds, Per: "open job"},
			sizes, func(n int) (float64, error) { return nanosPerCall(schedulerTick(n)), nil }},
		measurement{Quantity{ID: "table.open", Help: "list the open jobs, once a tick", Unit: Nanoseconds, Per: "open job"},
			sizes, func(n int) (float64, error) {
				t, err := foldShard(func() ([]logEntry, error) { return jobShard(n) })
				if err != nil {
					return 0, err
				}
				return nanosPerCall(func() { t.OpenJobs() }), nil
			}},
	)
}
