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
	// resultBytes is the size of one item's result, segmentItems how many
	// results fill a segment of batch's bound of 128 KiB.
	resultBytes  = 1 << 10
	segmentItems = 120
	// jobItems is the size of the jobs whose number is varied.
	jobItems = 64
	jobKeep  = 24 * time.Hour
)

func jobID(i int) string  { return "batch_" + incarnation(i) }
func fileID(i int) string { return "file-" + incarnation(i) }

// shard builds the records of one shard's stream.
type shard struct {
	facts []fact
	err   error
}

func (s *shard) add(kind commitlog.EntryKind, body any) {
	e, err := commitlog.NewEntry(kind, body)
	if err != nil && s.err == nil {
		s.err = err
	}
	s.facts = append(s.facts, fact{commitlog.Position{Offset: commitlog.Offset(len(s.facts))}, e})
}

// addJob adds a started job of a number of items with its input file.
func (s *shard) addJob(i, items int) {
	s.add(batch.KindFile, batch.File{
		ID: fileID(i), Workspace: workspaceName(i), Name: "items.jsonl", Purpose: batch.PurposeBatch,
		SHA256: strings.Repeat("ab", 32), Created: keptAt,
		Content: manifest(items),
	})
	s.add(batch.KindJob, batch.Job{
		ID: jobID(i), Workspace: workspaceName(i), InputFile: fileID(i), Endpoint: "/v1/chat/completions",
		Window: "24h", Created: keptAt, Deadline: keptAt + int64(jobKeep.Seconds()),
	})
	blocks := make([]int64, (items+batch.BlockItems-1)/batch.BlockItems)
	s.add(batch.KindStarted, batch.Started{
		Job: jobID(i), Service: modelService, Total: uint32(items), Blocks: blocks, At: keptAt,
	})
}

// manifest lists the chunks of an input of a number of lines of resultBytes.
func manifest(items int) blob.Manifest {
	m := make(blob.Manifest, items*resultBytes/blob.MaxChunkBytes+1)
	for i := range m {
		m[i] = blob.Ref{Offset: commitlog.Offset(i), Len: blob.MaxChunkBytes}
	}
	return m
}

// addSegments adds the results of every item of a job.
func (s *shard) addSegments(i, items int) {
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
			Index: uint32(k), CustomID: fmt.Sprintf("item-%06d", k), Status: 200, RequestID: incarnation(k), Body: body,
		})
	}
	return batch.NewSegment(job, results, keptAt)
}

func shardOfJobs(jobs int) ([]fact, error) {
	var s shard
	for i := range jobs {
		s.addJob(i, jobItems)
	}
	return s.facts, s.err
}

func shardOfResults(items int) ([]fact, error) {
	var s shard
	s.addJob(0, items)
	s.addSegments(0, items)
	return s.facts, s.err
}

func foldShard(build func() ([]fact, error)) (*batch.Table, error) {
	fs, err := build()
	if err != nil {
		return nil, err
	}
	t := batch.NewTable()
	return t, foldAll(t, fs)
}

func measureBatch(context.Context) ([]Quantity, error) {
	jobs, items := []int{250, 500, 2000}, []int{20_000, 40_000, 80_000}
	jobTime := func(n int) (float64, error) {
		return foldTime(func() ([]fact, error) { return shardOfJobs(n) })
	}
	itemTime := func(n int) (float64, error) {
		return foldTime(func() ([]fact, error) { return shardOfResults(n) })
	}
	return all(
		spec{Quantity{ID: "job.fold", Help: "fold file, job and start of 64 items", Unit: Nanoseconds, Per: "job"}, jobs, jobTime},
		spec{Quantity{ID: "job.row", Help: "memory of a started job of 64 items", Unit: Bytes, Per: "job"}, jobs,
			func(n int) (float64, error) {
				return heapOf(func() (*batch.Table, error) {
					return foldShard(func() ([]fact, error) { return shardOfJobs(n) })
				})
			}},
		spec{Quantity{ID: "item.fold", Help: "fold results of 1 KiB in segments of 120", Unit: Nanoseconds, Per: "item"}, items, itemTime},
		spec{Quantity{ID: "item.row", Help: "memory of a job with its results", Unit: Bytes, Per: "item"}, items,
			func(n int) (float64, error) {
				return heapOf(func() (*batch.Table, error) {
					return foldShard(func() ([]fact, error) { return shardOfResults(n) })
				})
			}},
		spec{Quantity{ID: "item.entry", Help: "segment entry of results of 1 KiB", Unit: Bytes, Per: "item"}, []int{12, 60, 120},
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

func foldTime(build func() ([]fact, error)) (float64, error) {
	fs, err := build()
	if err != nil {
		return 0, err
	}
	setup := func() (*batch.Table, error) { return batch.NewTable(), nil }
	return shortest(setup, func(t *batch.Table) error { return foldAll(t, fs) })
}

// schedule returns a tick of a scheduler over n jobs that finds no room.
func schedule(n int) func() {
	s := batch.NewScheduler()
	now := time.Unix(keptAt, 0)
	in := batch.Inputs{FreeSlots: map[string]int{modelService: 0}}
	for i := range n {
		in.Jobs = append(in.Jobs, batch.JobInput{
			ID: jobID(i), Service: modelService, Total: jobItems, Left: jobItems,
			Deadline: now.Add(jobKeep), Done: func(uint32) bool { return false },
		})
	}
	return func() { s.Tick(now, in) }
}

func measureScheduler(context.Context) ([]Quantity, error) {
	sizes := []int{16, 64, 256, 1024}
	return all(
		spec{Quantity{ID: "scheduler.tick", Help: "one tick without room", Unit: Nanoseconds, Per: "open job"},
			sizes, func(n int) (float64, error) { return perOperation(schedule(n)), nil }},
		spec{Quantity{ID: "table.open", Help: "list the open jobs, once a tick", Unit: Nanoseconds, Per: "open job"},
			sizes, func(n int) (float64, error) {
				t, err := foldShard(func() ([]fact, error) { return shardOfJobs(n) })
				if err != nil {
					return 0, err
				}
				return perOperation(func() { t.OpenJobs() }), nil
			}},
	)
}
