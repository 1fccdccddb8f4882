package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// The histograms hold microseconds.
const (
	maxRecorded       = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Labels of request results, in addition to the kinds of errkind.
const (
	labelComplete    = "complete"
	labelTimeout     = "client_timeout"
	labelTransport   = "transport"
	labelInterrupted = "cut"
	labelMismatch    = "wrong_answer"
	labelMissing     = "missing_result"
	labelDuplicate   = "duplicate_result"
)

// Quantiles summarise a histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the result of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// TTFT is the time to first token, TBT the time between tokens and Latency
	// the time until a response is complete. They cover online requests only;
	// TTFT and Latency count from the planned start.
	TTFT    Quantiles `json:"time_to_first_token"`
	TBT     Quantiles `json:"time_between_tokens"`
	Latency Quantiles `json:"whole_latency"`
	// Job is the time from the submission of a batch job until its results are
	// read.
	Job Quantiles `json:"batch_job"`
	// Online and Batch count requests and batch items by result: "complete", a
	// kind of error, or a fault that this package detected.
	Online map[string]int `json:"online"`
	Batch  map[string]int `json:"batch"`
	// Outcomes counts failed online requests by the outcome in the error
	// response.
	Outcomes map[string]int `json:"failed_outcomes"`
	// BatchPerSecond is the rate of completed batch items.
	BatchPerSecond float64 `json:"batch_items_per_second"`
	// Faults lists the first failed requests and items, with label and error.
	Faults []string `json:"faults,omitempty"`
}

// InvalidCount counts interrupted, mismatched, missing and duplicate responses.
func (r Report) InvalidCount() int {
	n := 0
	for _, counts := range []map[string]int{r.Online, r.Batch} {
		for _, label := range []string{labelInterrupted, labelMismatch, labelMissing, labelDuplicate} {
			n += counts[label]
		}
	}
	return n
}

// maxFaults is the maximum number of faults that a report lists.
const maxFaults = 10

// recorder collects the results of requests that run at the same time.
type recorder struct {
	mu                       sync.Mutex
	ttft, tbt, latency, jobs *hdrhistogram.Histogram
	totals                   Report
}

func newRecorder() *recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, significantDigits) }
	return &recorder{ttft: h(), tbt: h(), latency: h(), jobs: h(), totals: Report{
		Online: make(map[string]int), Batch: make(map[string]int), Outcomes: make(map[string]int),
	}}
}

// online records the result of an online request that has just ended. Only
// complete responses enter the histograms.
func (r *recorder) online(planned time.Time, resp ChatResponse, err error) {
	end := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Online[r.label(err)]++
	if err != nil {
		var api *APIError
		if errors.As(err, &api) {
			r.totals.Outcomes[string(api.Outcome)]++
		}
		return
	}
	record(r.latency, end.Sub(planned))
	for i, at := range resp.Arrivals {
		if i == 0 {
			record(r.ttft, at.Sub(planned))
			continue
		}
		record(r.tbt, at.Sub(resp.Arrivals[i-1]))
	}
}

// job records the duration of a finished job and one error, nil if there is none,
// for each of its items.
func (r *recorder) job(took time.Duration, items []error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.jobs, took)
	for _, err := range items {
		r.totals.Batch[r.label(err)]++
	}
}

// jobFailed records a job whose results could not be read: err counts for each of
// its items.
func (r *recorder) jobFailed(items int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Batch[r.label(err)] += items
}

// label returns the label of a result and records its fault; the caller holds
// mu.
func (r *recorder) label(err error) string {
	if err == nil {
		return labelComplete
	}
	label := classify(err)
	if len(r.totals.Faults) < maxFaults {
		r.totals.Faults = append(r.totals.Faults, label+": "+err.Error())
	}
	return label
}

func classify(err error) string {
	var api *APIError
	switch {
	case errors.As(err, &api) && api.Kind != "":
		return string(api.Kind)
	case errors.As(err, &api):
		return fmt.Sprintf("status_%d", api.Status)
	case errors.Is(err, ErrInterrupted), errors.Is(err, ErrNoFinishReason), errors.Is(err, ErrDataAfterDone), errors.Is(err, io.ErrUnexpectedEOF):
		return labelInterrupted
	case errors.Is(err, ErrPromptMismatch), errors.Is(err, ErrUsageMismatch), errors.Is(err, ErrUnknownItem):
		return labelMismatch
	case errors.Is(err, ErrMissingResult):
		return labelMissing
	case errors.Is(err, ErrDuplicateResult):
		return labelDuplicate
	case errors.Is(err, context.DeadlineExceeded):
		return labelTimeout
	}
	return labelTransport
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecorded)) // in range by construction
}

func (r *recorder) report(cfg Config, took time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.totals
	out.Seed, out.Seconds = cfg.Seed, took.Seconds()
	out.TTFT, out.TBT, out.Latency, out.Job = summarise(r.ttft), summarise(r.tbt), summarise(r.latency), summarise(r.jobs)
	out.BatchPerSecond = float64(out.Batch[labelComplete]) / took.Seconds()
	return out
}

func summarise(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}

// WriteTable writes the report as tables.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "milliseconds\tcount\tmean\tp50\tp95\tp99\tmax\t")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"time to first token", r.TTFT}, {"time between tokens", r.TBT}, {"whole latency", r.Latency}, {"batch job", r.Job}} {
		q := row.q
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.name, q.Count, q.Mean, q.P50, q.P95, q.P99, q.Max)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	writeCounts(w, "online", r.Online)
	writeCounts(w, "batch", r.Batch)
	writeCounts(w, "failed, by outcome", r.Outcomes)
	_, _ = fmt.Fprintf(w, "batch items per second: %.2f\n", r.BatchPerSecond)
	for _, fault := range r.Faults {
		_, _ = fmt.Fprintln(w, "fault:", fault)
	}
	return nil
}

func writeCounts(w io.Writer, name string, counts map[string]int) {
	labels := make([]string, 0, len(counts))
	for l := range counts {
		labels = append(labels, l)
	}
	sort.Strings(labels)
	for _, l := range labels {
		_, _ = fmt.Fprintf(w, "%s %s: %d\n", name, l, counts[l])
	}
}
