package standin

import (
	"context"
	"time"

	"github.com/catkinrudder/catkinrudder/commitlog"
)

const expireInterval = 100 * time.Millisecond

// streamEnd is the next offset of a stream at a given time.
type streamEnd struct {
	stream string
	next   commitlog.Offset
	at     time.Time
}

// runRetention drops records older than the retention until ctx is done.
func (l *LogService) runRetention(ctx context.Context, retention time.Duration) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	var ends []streamEnd
	for {
		select {
		case now := <-t.C:
			ends = append(ends, l.streamEnds(ctx, now)...)
			for len(ends) > 0 && now.Sub(ends[0].at) > retention {
				l.log.Expire(ends[0].stream, ends[0].next)
				ends = ends[1:]
			}
		case <-ctx.Done():
			return
		}
	}
}

// streamEnds returns the present end of every stream.
func (l *LogService) streamEnds(ctx context.Context, now time.Time) []streamEnd {
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
