package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	maxLatencyUS = 10_000_000
	percentile   = 99
)

// BenchmarkAddedLatency reports the p99 latency of a small call to the plain
// service, directly to the backend server and through entry and sidecar.
func BenchmarkAddedLatency(b *testing.B) {
	entryURL := "http://" + shared.Entries[0].CallerAddr() + "/services/" + plainService + "/tuners?delay_ms=0"
	backendURL := "http://" + shared.Plain[0].Links().Backend.Addr + "/tuners?delay_ms=0"
	direct, system := hdrhistogram.New(1, maxLatencyUS, 3), hdrhistogram.New(1, maxLatencyUS, 3)
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if fetch(b, entryURL).StatusCode == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("the backend server is not registered yet")
	})
	for b.Loop() {
		record(b, direct, backendURL)
		record(b, system, entryURL)
	}
	d, s := direct.ValueAtQuantile(percentile), system.ValueAtQuantile(percentile)
	b.ReportMetric(float64(d), "direct-p99-us")
	b.ReportMetric(float64(s), "through-p99-us")
	b.ReportMetric(float64(s-d), "added-p99-us")
}

func record(b *testing.B, h *hdrhistogram.Histogram, url string) {
	started := time.Now()
	resp := fetch(b, url)
	assert.Equal(b, resp.StatusCode, http.StatusOK)
	assert.NilError(b, h.RecordValue(time.Since(started).Microseconds()))
}

// fetch sends a request and reads the complete response.
func fetch(b *testing.B, url string) *http.Response {
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+keyOne)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	_ = readAll(resp)
	return resp
}
