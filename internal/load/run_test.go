package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestArrivalsFollowRateAndSeed(t *testing.T) {
	draw := func(seed uint64) []time.Duration {
		return arrivals(rand.New(rand.NewPCG(seed, 1)), 100, 100*time.Second)
	}
	starts := draw(7)
	assert.Assert(t, len(starts) > 9500 && len(starts) < 10500, "%d", len(starts))
	assert.DeepEqual(t, starts, draw(7))
	assert.Equal(t, len(arrivals(nil, 0, time.Hour)), 0)
}

// echoEntry serves streamed responses like an entry whose engine repeats the
// prompt; fault may change the events of the n-th response.
func echoEntry(t *testing.T, fault func(n int64, events []string) []string) *Client {
	var served atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := served.Add(1)
		var req ChatRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			t.Error(err)
			return
		}
		words := strings.Fields(req.Messages[0].Content)
		var events []string
		for i := range req.MaxTokens {
			events = append(events, fmt.Sprintf(`{"choices":[{"delta":{"content":"%s "}}]}`, words[i%len(words)]))
		}
		events = append(events, finishEvent, "[DONE]")
		for _, e := range fault(n, events) {
			_, _ = fmt.Fprint(w, event(e))
		}
	}))
	t.Cleanup(s.Close)
	return NewClient(s.URL, "k")
}

func TestRunDetectsInvalidResponses(t *testing.T) {
	c := echoEntry(t, func(n int64, events []string) []string {
		switch n {
		case 2:
			return events[:2] // interrupted
		case 3:
			return events[1:] // first token missing
		case 4:
			return append([]string{events[0]}, events...) // first token duplicated
		}
		return events
	})
	cfg := Config{
		Model: "m", Rate: 200, BatchItems: 1, Duration: 200 * time.Millisecond, Timeout: time.Minute,
		BatchTimeout: time.Minute, PromptWords: 3, MaxTokens: 4, Echo: true, Seed: 3,
	}
	r, err := Run(t.Context(), cfg, []*Client{c, NewClient("http://127.0.0.1:1", "")})
	assert.NilError(t, err)
	assert.Equal(t, r.Online[labelInterrupted], 1)
	assert.Equal(t, r.Online[labelMismatch], 2)
	assert.Equal(t, r.InvalidCount(), 3)
	assert.Equal(t, int(r.Latency.Count), r.Online[labelComplete])
	assert.Equal(t, r.TBT.Count, 3*r.TTFT.Count)
	assert.Equal(t, len(r.Faults), 3)
}

func TestFailoverTriesNextEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clients := []*Client{{Base: "a"}, {Base: "b"}}
		entries := &failover{clients: clients}
		var called []string
		err := entries.try(t.Context(), func(c *Client) error {
			called = append(called, c.Base)
			if len(called) == 1 {
				return io.ErrUnexpectedEOF
			}
			return &APIError{Status: http.StatusNotFound}
		})
		assert.ErrorType(t, err, &APIError{})
		assert.DeepEqual(t, called, []string{"a", "b"})
	})
}

// Latency counts from the planned start, so that the delay of a generator that
// falls behind its schedule is part of the reported latency.
func TestLatencyCountsFromPlannedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := newRecorder()
		planned := time.Now()
		time.Sleep(300 * time.Millisecond)
		rec.online(planned, ChatResponse{Arrivals: []time.Time{planned.Add(200 * time.Millisecond), planned.Add(250 * time.Millisecond)}}, nil)
		r := rec.report(Config{}, time.Second)
		assert.Assert(t, r.TTFT.P50 >= 199 && r.TTFT.P50 <= 201, "%v", r.TTFT)
		assert.Assert(t, r.TBT.P50 >= 49 && r.TBT.P50 <= 51, "%v", r.TBT)
		assert.Assert(t, r.Latency.P50 >= 299 && r.Latency.P50 <= 301, "%v", r.Latency)
	})
}
