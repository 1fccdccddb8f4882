package standin

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

const expireInterval = 100 * time.Millisecond

// streamEnd is where a stream ended at some time.
type streamEnd struct {
	stream string
	next   commitlog.Offset
	at     time.Time
}

// expire drops records older than the retention until ctx ends.
func (l *LogService) expire(ctx context.Context, retention time.Duration) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	var ends []streamEnd
	for {
		select {
		case now := <-t.C:
			ends = append(ends, l.ends(ctx, now)...)
			for len(ends) > 0 && now.Sub(ends[0].at) > retention {
				l.log.Expire(ends[0].stream, ends[0].next)
				ends = ends[1:]
			}
		case <-ctx.Done():
			return
		}
	}
}

// ends returns where every stream ends.
func (l *LogService) ends(ctx context.Context, now time.Time) []streamEnd {
	l.mu.Lock()
	names := make([]string, 0, len(l.streams))
	for name := range l.streams {
		names = append(names, name)
	}
	l.mu.Unlock()
	var out []streamEnd
	for _, name := range names {
		if page, err := l.log.Read(ctx, name, ^commitlog.Offset(0), 1, 0); err == nil {
			out = append(out, streamEnd{name, page.Next, now})
		}
	}
	return out
}
