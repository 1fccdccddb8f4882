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
