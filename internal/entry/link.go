package entry

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/catkinrudder/catkinrudder/admission"
	"github.com/catkinrudder/catkinrudder/routing"
)

// purpose classifies the bytes on the region link.
type purpose string

const (
	purposeOnline  purpose = "online"
	purposeBatch   purpose = "batch"
	purposeControl purpose = "control"
)

// link counts all bytes that this entry sends to or receives from another region,
// by purpose. It limits the rate of batch bytes, so that online bytes never queue
// behind them on the narrow link.
type link struct {
	region string
	batch  *rate.Limiter
	bytes  map[purpose]*metrics.Counter
}

func newLink(region string, batchBytesPerSecond int, set *metrics.Set) *link {
	l := &link{
		region: region,
		batch:  rate.NewLimiter(rate.Limit(batchBytesPerSecond), batchBytesPerSecond),
		bytes:  make(map[purpose]*metrics.Counter),
	}
	for _, p := range []purpose{purposeOnline, purposeBatch, purposeControl} {
		l.bytes[p] = set.NewCounter(`catkinrudder_entry_region_link_bytes_total{purpose="` + string(p) + `"}`)
	}
	return l
}

func purposeOf(c admission.Class) purpose {
	if c == admission.Batch {
		return purposeBatch
	}
	return purposeOnline
}

// pace counts a message to or from a backend server. For batch messages it blocks
// until the rate limit allows them. It returns an error if ctx is done first.
func (l *link) pace(ctx context.Context, b routing.Backend, class admission.Class, m proto.Message) error {
	if b.Region == l.region {
		return nil
	}
	n := proto.Size(m)
	l.bytes[purposeOf(class)].Add(n)
	if class != admission.Batch {
		return nil
	}
	for n > 0 {
		part := min(n, l.batch.Burst())
		if err := l.batch.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// control counts the messages of one control call.
func (l *link) control(region string, messages ...proto.Message) {
	if region == l.region {
		return
	}
	for _, m := range messages {
		l.bytes[purposeControl].Add(proto.Size(m))
	}
}
