package capacity

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// repeats is how often a duration is measured. The shortest one is used,
	// because other processes can only make it longer.
	repeats = 5
	// minSample is the minimum duration over which a repeated call is timed.
	minSample = 10 * time.Millisecond
)

// experiment measures quantities of one part of the system.
type experiment func(ctx context.Context) ([]Quantity, error)

// Run measures all quantities, one after the other.
func Run(ctx context.Context) ([]Quantity, error) {
	var out []Quantity
	for _, e := range []experiment{
		measureRouting, measureReports, measureInstanceList, measureConnections, measureCommitLog, measureReads, measureClaims,
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

// measureSizes measures a quantity at each size and fits a line to the values.
func measureSizes(q Quantity, sizes []int, value func(size int) (float64, error)) (Quantity, error) {
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

// measurement is a quantity with the sizes and the function to measure it.
type measurement struct {
	quantity Quantity
	sizes    []int
	value    func(size int) (float64, error)
}

// measureAll makes the measurements in order.
func measureAll(measurements ...measurement) ([]Quantity, error) {
	out := make([]Quantity, 0, len(measurements))
	for _, m := range measurements {
		q, err := measureSizes(m.quantity, m.sizes, m.value)
		if err != nil {
			return nil, err
		}
		out = append(out, q)
	}
	return out, nil
}

// nanosPerCall returns how many nanoseconds one call of f takes.
func nanosPerCall(f func()) float64 {
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

// shortestRun returns the nanoseconds of the fastest of several runs of f. Each
// run gets a new state from setup, whose time is not counted.
func shortestRun[S any](setup func() (S, error), f func(S) error) (float64, error) {
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

// retainedHeap returns the bytes of heap that the value returned by build
// retains.
func retainedHeap[S any](build func() (S, error)) (float64, error) {
	before := liveHeap()
	s, err := build()
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(s)
	return float64(after) - float64(before), nil
}

// liveHeap returns the bytes of live heap objects.
func liveHeap() uint64 {
	// The second collection frees objects that finalizers kept alive in the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the processor time, in nanoseconds, that all threads of
// this process use while f runs.
func processorTime(f func() error) (float64, error) {
	before, err := processorTimeUsed()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := processorTimeUsed()
	return float64((after - before).Nanoseconds()), err
}

func processorTimeUsed() (time.Duration, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, errors.Wrap(err, "capacity: getrusage")
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
