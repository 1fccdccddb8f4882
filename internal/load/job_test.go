package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// batchEntry serves one batch job whose results repeat the prompts. The first
// failingPolls polls of the job fail.
type batchEntry struct {
	t  *testing.T
	mu sync.Mutex
	// failingPolls is the number of polls that are still to fail.
	failingPolls int
	results      string
	createCalls  map[string]int
}

func (e *batchEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/files":
		e.upload(r)
		_, _ = fmt.Fprint(w, `{"id":"file-in"}`)
	case "POST /v1/batches":
		e.createCalls[r.Header.Get("Idempotency-Key")]++
		_, _ = fmt.Fprint(w, `{"id":"batch_1","status":"in_progress"}`)
	case "GET /v1/batches/batch_1":
		if e.failingPolls > 0 {
			e.failingPolls--
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = fmt.Fprint(w, `{"id":"batch_1","status":"completed","output_file_id":"file-out"}`)
	case "GET /v1/files/file-out/content":
		_, _ = fmt.Fprint(w, e.results)
	default:
		e.t.Errorf("unexpected call %s %s", r.Method, r.URL)
	}
}

func (e *batchEntry) upload(r *http.Request) {
	file, _, err := r.FormFile("file")
	assert.NilError(e.t, err)
	for s := bufio.NewScanner(file); s.Scan(); {
		var line batchLine
		assert.NilError(e.t, json.Unmarshal(s.Bytes(), &line))
		e.results += fmt.Sprintf(`{"custom_id":%q,"response":{"body":{"choices":[{"message":{"content":%q},"finish_reason":"stop"}]}}}`+"\n",
			line.CustomID, line.Body.Messages[0].Content)
	}
}

func TestBatchJobSurvivesFailedPolls(t *testing.T) {
	e := &batchEntry{t: t, failingPolls: 3, createCalls: make(map[string]int)}
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	cfg := Config{
		Model: "m", BatchRate: 1, BatchItems: 5, Duration: time.Millisecond, Timeout: time.Minute,
		BatchTimeout: time.Minute, PromptWords: 3, MaxTokens: 3, Echo: true, Seed: 1,
	}
	r, err := Run(t.Context(), cfg, []*Client{NewClient(s.URL, ""), NewClient("http://127.0.0.1:1", "")})
	assert.NilError(t, err)
	assert.Equal(t, r.Batch[labelComplete], 5, "%v", r.Faults)
	assert.Equal(t, r.InvalidCount(), 0)
	assert.Equal(t, len(e.createCalls), 1)
}
