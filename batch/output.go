package batch

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
)

const (
	// outputWindow is the number of items that are ordered at a time.
	outputWindow = 1024
	// segmentCacheSize is the number of decoded segments held at a time.
	segmentCacheSize = 8
)

// outputLine is one line of an output or error file.
type outputLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *outputResponse `json:"response"`
	Error    *outputError    `json:"error"`
}

type outputResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type outputError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (r Result) line(job string) outputLine {
	l := outputLine{ID: requestID(job, r.Index), CustomID: r.CustomID}
	if r.ErrorCode != "" {
		l.Error = &outputError{Code: r.ErrorCode, Message: r.Error}
	}
	if r.Status != 0 {
		l.Response = &outputResponse{StatusCode: r.Status, RequestID: r.RequestID, Body: jsonBody(r.Body)}
	}
	return l
}

// requestID returns the id of one item in the output files.
func requestID(job string, item uint32) string { return fmt.Sprintf("batch_req_%s_%d", job, item) }

// jsonBody returns a body as JSON; a body that is not JSON becomes a string.
func jsonBody(b []byte) json.RawMessage {
	if len(b) == 0 {
		return json.RawMessage("null")
	}
	if json.Valid(b) {
		return b
	}
	s, err := json.Marshal(string(b))
	if err != nil {
		return json.RawMessage("null")
	}
	return s
}

// outputJob holds what is needed to write a job's output files.
type outputJob struct {
	id    string
	total uint32
	// base is the newest position that had been folded at the time of the snapshot.
	base commitlog.Position
	// ok and failed report whether items that succeeded or failed may exist.
	ok, failed bool
	// segments are in the order in which they were accepted.
	segments []segmentRow
	input    blob.Manifest
	blocks   []int64
	// missingReason states why items have no result; if it is empty, such items
	// are omitted.
	missingReason string
}

// resultReader reads a job's results in order of item.
type resultReader struct {
	stream Stream
	store  *blob.Store
	job    outputJob
	cache  map[int][]Result
	order  []int
}

// write writes the results that failed, or those that did not, as JSON lines in
// order of item and returns their number. It holds one window of results and
// segmentCacheSize segments in memory.
func (o *resultReader) write(ctx context.Context, w io.Writer, failed bool) (int, error) {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	enc.SetEscapeHTML(false)
	n := 0
	for first := uint32(0); first < o.job.total; first += outputWindow {
		rs, err := o.window(ctx, first, min(o.job.total, first+outputWindow))
		if err != nil {
			return n, err
		}
		for _, r := range rs {
			if r == nil || r.Failed() != failed {
				continue
			}
			if err := enc.Encode(r.line(o.job.id)); err != nil {
				return n, errors.Wrap(err, "batch: write output")
			}
			n++
		}
	}
	return n, errors.Wrap(buf.Flush(), "batch: write output")
}

// window returns the results of the items from first to end-1.
func (o *resultReader) window(ctx context.Context, first, end uint32) ([]*Result, error) {
	out := make([]*Result, end-first)
	for i, row := range o.job.segments {
		if row.last < first || row.first >= end {
			continue
		}
		rs, err := o.segment(ctx, i)
		if err != nil {
			return nil, err
		}
		for k := range rs {
			if item := rs[k].Index; item >= first && item < end && row.holds(k) && out[item-first] == nil {
				out[item-first] = &rs[k]
			}
		}
	}
	if o.job.missingReason == "" {
		return out, nil
	}
	return out, o.fillMissing(ctx, out, first)
}

// fillMissing adds an error result for each item without a result.
func (o *resultReader) fillMissing(ctx context.Context, out []*Result, first uint32) error {
	for i := 0; i < len(out); i += BlockItems {
		part := out[i:min(len(out), i+BlockItems)]
		if allSet(part) {
			continue
		}
		lines, err := readItems(ctx, o.store, o.job.input, o.job.blocks, first+uint32(i), uint32(len(part)))
		if err != nil {
			return err
		}
		for k, raw := range lines {
			if part[k] == nil {
				part[k] = &Result{
					Index: first + uint32(i+k), CustomID: customID(raw),
					ErrorCode: "batch_" + o.job.missingReason, Error: "the batch " + o.job.missingReason + " before this request was done",
				}
			}
		}
	}
	return nil
}

func allSet(rs []*Result) bool {
	for _, r := range rs {
		if r == nil {
			return false
		}
	}
	return true
}

func customID(raw []byte) string {
	var l Line
	if json.Unmarshal(raw, &l) != nil {
		return ""
	}
	return l.CustomID
}

// segment returns the decoded results of one segment row.
func (o *resultReader) segment(ctx context.Context, i int) ([]Result, error) {
	if rs, ok := o.cache[i]; ok {
		return rs, nil
	}
	s, err := loadSegment(ctx, o.stream, o.job.segments[i])
	if err != nil {
		return nil, err
	}
	rs, err := s.Results()
	if err != nil {
		return nil, err
	}
	if len(o.order) == segmentCacheSize {
		delete(o.cache, o.order[0])
		o.order = o.order[1:]
	}
	o.cache[i] = rs
	o.order = append(o.order, i)
	return rs, nil
}

// loadSegment reads the body of a segment from the log again.
func loadSegment(ctx context.Context, stream Stream, row segmentRow) (Segment, error) {
	entries, err := stream.Load(ctx, row.offset)
	if err != nil {
		return Segment{}, err
	}
	if int(row.index) >= len(entries) {
		return Segment{}, errors.Wrapf(commitlog.ErrFormat, "record has no entry %d/%d", row.offset, row.index)
	}
	return decodeSegment(entries[row.index])
}

// decodeSegment decodes a segment as it was first appended or as it was renewed.
func decodeSegment(e commitlog.Entry) (Segment, error) {
	switch e.Kind {
	case KindSegment:
		var s Segment
		err := e.Decode(&s)
		return s, err
	case KindRenewSegment:
		var n RenewSegment
		err := e.Decode(&n)
		return n.Segment, err
	}
	return Segment{}, errors.Wrapf(commitlog.ErrFormat, "entry of kind %d is not a segment", e.Kind)
}

// holds reports whether the row has the first completion of its k-th item.
func (r segmentRow) holds(k int) bool {
	return r.won == nil || (k/8 < len(r.won) && r.won[k/8]&(1<<(k%8)) != 0)
}
