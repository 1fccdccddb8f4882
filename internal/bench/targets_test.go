package bench_test

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/bench"
)

// The limits that the ratios of the catkinrudder policy must meet.
const (
	maxOnlineP99TTFT = 1.05
	maxOnlineP95TBT  = 1.05
	minIdleUsed      = 0.95
	minNaiveP99TTFT  = 5
)

var targetRun = sync.OnceValues(func() ([]bench.Result, error) {
	seeds := []uint64{1, 2, 4}
	results, errs := make([][]bench.Result, len(seeds)), make([]error, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() {
			results[i], errs[i] = bench.Run(bench.Options{Seed: seed, Duration: 5 * time.Minute, RatiosOnly: true})
		})
	}
	wg.Wait()
	return slices.Concat(results...), errors.Join(errs...)
})

func worstRatios(t *testing.T) bench.Ratios {
	t.Helper()
	results, err := targetRun()
	assert.NilError(t, err)
	return bench.Worst(results)
}

func TestTargetOnlineP99TTFT(t *testing.T) {
	got := worstRatios(t).OnlineP99TTFT
	assert.Assert(t, got <= maxOnlineP99TTFT, "ratio %.3f", got)
}

func TestTargetOnlineP95TBT(t *testing.T) {
	got := worstRatios(t).OnlineP95TBT
	assert.Assert(t, got <= maxOnlineP95TBT, "ratio %.3f", got)
}

func TestTargetIdleUsed(t *testing.T) {
	got := worstRatios(t).IdleUsed
	assert.Assert(t, got >= minIdleUsed, "ratio %.3f", got)
}

func TestTargetNaiveP99TTFT(t *testing.T) {
	got := worstRatios(t).NaiveP99TTFT
	assert.Assert(t, got >= minNaiveP99TTFT, "ratio %.3f", got)
}
