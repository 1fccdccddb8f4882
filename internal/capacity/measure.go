package capacity

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// repeats is how often a duration is measured; the shortest counts, since
	// other processes can only make it longer.
	repeats = 5
	// minSample is the least time that a repeated operation is measured for.
	minSample = 10 * time.Millisecond
)

// experiment measures quantities of one part of the system.
type experiment func(ctx context.Context) ([]Quantity, error)

// Run measures every quantity in order.
func Run(ctx context.Context) ([]Quantity, error) {
	var out []Quantity
	for _, e := range []experiment{
		measureRouting, measureReports, measureInstanceList, measureConnections, measureJournal, measureReads, measureClaims,
		measureBatch, measureScheduler, measureConfiguration, measureAdmission, measureStreams, measureEvents,
	} {
		qs, err := e(ctx)
		if err != nil {
			return nil, err
		}
		out = append(out, qs...)
	}
	return out, ctx.Err()
}

// over measures a quantity at each size and fits its line.
func over(q Quantity, sizes []int, value func(size int) (float64, error)) (Quantity, error) {
	for _, size := range sizes {
		v, err := value(size)
		if err != nil {
			return q, errors.Wrapf(err, "capacity: %s at %d", q.ID, size)
		}
		q.Points = append(q.Points, Point{Size: float64(size), Value: v})
	}
	q.Line = Fit(q.Points)
	return q, nil
}

// spec is a quantity and how it is measured.
type spec struct {
	quantity Quantity
	sizes    []int
	value    func(size int) (float64, error)
}

// all measures specs in order.
func all(specs ...spec) ([]Quantity, error) {
	out := make([]Quantity, 0, len(specs))
	for _, s := range specs {
		q, err := over(s.quantity, s.sizes, s.value)
		if err != nil {
			return nil, err
		}
		out = append(out, q)
	}
	return out, nil
}

// perOperation returns how many nanoseconds one call of f takes.
func perOperation(f func()) float64 {
	n := 1
	for elapsed(n, f) < minSample {
		n *= 2
	}
	best := elapsed(n, f)
	for range repeats - 1 {
		best = min(best, elapsed(n, f))
	}
	return float64(best.Nanoseconds()) / float64(n)
}

func elapsed(n int, f func()) time.Duration {
	start := time.Now()
	for range n {
		f()
	}
	return time.Since(start)
}

// shortest returns the nanoseconds of the fastest of several runs of f, each
// on a state that setup has just built.
func shortest[S any](setup func() (S, error), f func(S) error) (float64, error) {
	var best time.Duration
	for i := range repeats {
		s, err := setup()
		if err != nil {
			return 0, err
		}
		start := time.Now()
		if err := f(s); err != nil {
			return 0, err
		}
		if d := time.Since(start); i == 0 || d < best {
			best = d
		}
	}
	return float64(best.Nanoseconds()), nil
}

// heapOf returns the bytes of heap that what build returns holds.
func heapOf[S any](build func() (S, error)) (float64, error) {
	before := liveHeap()
	s, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(s)
	return float64(after) - float64(before), nil
}

func liveHeap() uint64 {
	// The second collection frees what finalizers held back in the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the nanoseconds of processor time that this process
// spends while f runs, on all threads.
func processorTime(f func() error) (float64, error) {
	before, err := usage()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := usage()
	return float64((after - before).Nanoseconds()), err
}

func usage() (time.Duration, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, errors.Wrap(err, "capacity: getrusage")
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
