package bench_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/bench"
)

func short(seed uint64) bench.Options {
	return bench.Options{Seed: seed, Duration: 20 * time.Second}
}

func table(t *testing.T, o bench.Options) string {
	t.Helper()
	results, err := bench.Run(o)
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, bench.WriteTable(&b, results))
	return b.String()
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	first := table(t, short(7))
	assert.Equal(t, first, table(t, short(7)))
	assert.Assert(t, first != table(t, short(8)))
}

func TestUnknownDeployment(t *testing.T) {
	_, err := bench.Run(bench.Options{Deployment: "nowhere", Duration: time.Second})
	assert.ErrorContains(t, err, "nowhere")
}

func TestAccountCoversTheWholeTime(t *testing.T) {
	o := short(7)
	o.RatiosOnly, o.Deployment = true, "magnolia-keys"
	results, err := bench.Run(o)
	assert.NilError(t, err)
	total := time.Duration(0)
	for _, d := range results[0].Account.Time {
		total += d
	}
	const workers = 9
	assert.Assert(t, (workers*o.Duration-total).Abs() <= workers*100*time.Millisecond, "%v", total)
}
