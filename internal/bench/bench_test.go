package bench_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/bench"
)

func shortRun(seed uint64) bench.Options {
	return bench.Options{Seed: seed, Duration: 20 * time.Second}
}

func runTable(t *testing.T, o bench.Options) string {
	t.Helper()
	results, err := bench.Run(o)
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, bench.WriteTable(&b, results))
	return b.String()
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	first := runTable(t, shortRun(7))
	assert.Equal(t, first, runTable(t, shortRun(7)))
	assert.Assert(t, first != runTable(t, shortRun(8)))
}

func TestUnknownDeployment(t *testing.T) {
	_, err := bench.Run(bench.Options{Deployment: "nowhere", Duration: time.Second})
	assert.ErrorContains(t, err, "nowhere")
}

func TestAccountCoversWholeDuration(t *testing.T) {
	o := shortRun(7)
	o.RatiosOnly, o.Deployment = true, "magnolia-keys"
	results, err := bench.Run(o)
	assert.NilError(t, err)
	total := time.Duration(0)
	for _, d := range results[0].Account.Time {
		total += d
	}
	// The last step of a worker counts as a whole even if it ends after the run, and
	// its idle time since the last tick is not counted.
	const workers = 9
	assert.Assert(t, (workers*o.Duration-total).Abs() <= workers*100*time.Millisecond, "%v", total)
}
