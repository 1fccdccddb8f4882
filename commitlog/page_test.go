package commitlog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// bigLog holds many large records and records the size of the largest page read.
type bigLog struct {
	records, size int
	largest       atomic.Int64
}

func (l *bigLog) Append(context.Context, string, []byte) (Offset, error) { return 0, nil }

func (l *bigLog) Read(ctx context.Context, _ string, from Offset, limit int, wait time.Duration) (Page, error) {
	n := min(limit, l.records-int(from))
	if n <= 0 {
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-time.After(wait):
			return Page{Next: from}, nil
		}
	}
	page := Page{Next: from + Offset(n)}
	for i := range n {
		page.Records = append(page.Records, Record{Offset: from + Offset(i), Payload: make([]byte, l.size)})
	}
	l.largest.Store(max(l.largest.Load(), int64(n*l.size)))
	return page, nil
}

type noFold struct{}

func (noFold) Apply(Position, Entry) error { return nil }

// TestPagesAreBoundedInBytes guards against pages that exceed the memory limit:
// the content of a file of 54 MB was stored in records of 257 KB, and a page of
// 256 of them brought the process to its memory limit.
func TestPagesAreBoundedInBytes(t *testing.T) {
	l := &bigLog{records: 600, size: 257 << 10}
	s := NewStream(l, "s", Options{Writer: "w", Fold: noFold{}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.followLoop(ctx)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if int(s.NextOffset()) == l.records {
			return poll.Success()
		}
		return poll.Continue("folded %d", s.NextOffset())
	})
	assert.Assert(t, l.largest.Load() <= pageBytes, "a page of %d bytes", l.largest.Load())
}

func TestSmallRecordsAreReadInLargePages(t *testing.T) {
	assert.Equal(t, nextReadLimit(Page{Records: make([]Record, 8)}, 8), 8, "empty payloads do not change the limit")
	assert.Equal(t, nextReadLimit(Page{Records: []Record{{Payload: make([]byte, 100)}}}, 8), maxReadRecords)
	assert.Equal(t, nextReadLimit(Page{Records: []Record{{Payload: make([]byte, 9<<20)}}}, 8), 1)
}
