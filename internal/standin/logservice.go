package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
	"github.com/catkinrudder/catkinrudder/internal/logservice"
)

const maxReadWait = 30 * time.Second

// LogService serves an in-memory stand-in for the platform's append-only log
// and injects faults.
type LogService struct {
	log *commitlogtest.MemLog

	mu      sync.Mutex
	faults  LogFaults
	appends uint64
	streams map[string]bool
}

// LogFaults are the faults that a log service injects.
type LogFaults struct {
	// Down rejects every append and read.
	Down bool `json:"down"`
	// DownStream rejects every append and read of one stream.
	DownStream string `json:"down_stream,omitempty"`
	// DelayMS delays every append.
	DelayMS int `json:"delay_ms"`
	// DropResponses is how many of the next appends take effect but report an
	// error.
	DropResponses int `json:"lose_answers"`
	// ApplyLate is how many of the next appends report an error and take effect
	// LateMS milliseconds later.
	ApplyLate int `json:"apply_late"`
	LateMS    int `json:"late_ms"`
}

// LogStats holds the counters of a log service.
type LogStats struct {
	Appends uint64 `json:"appends"`
}

// NewLogService returns an empty log service.
func NewLogService() *LogService {
	l := &LogService{log: commitlogtest.NewMemLog(), streams: make(map[string]bool)}
	l.log.OnAppend(l.nextFault)
	return l
}

// Log returns the log for direct use within the process.
func (l *LogService) Log() commitlog.Log { return l.log }

// Routes registers the service's HTTP handlers.
func (l *LogService) Routes(h *server.Hertz) {
	h.POST("/v1/streams/:stream/records", l.append)
	h.GET("/v1/streams/:stream/records", l.read)
	h.PUT("/faults", l.setFaults)
	h.GET("/stats", l.stats)
}

func (l *LogService) append(ctx context.Context, c *app.RequestContext) {
	time.Sleep(l.delay())
	if l.rejectIfStreamDown(c) {
		return
	}
	at, err := l.log.Append(ctx, c.Param("stream"), c.Request.Body())
	if err != nil {
		c.String(http.StatusServiceUnavailable, err.Error())
		return
	}
	c.JSON(http.StatusOK, logservice.AppendResponse{Offset: uint64(at)})
}

func (l *LogService) read(ctx context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.DefaultQuery("from", "0"), 10, 64)
	if err != nil {
		c.String(http.StatusBadRequest, "from: %v", err)
		return
	}
	limit, err := strconv.Atoi(c.DefaultQuery("max", "100"))
	if err != nil || limit < 1 {
		c.String(http.StatusBadRequest, "max: not a positive number")
		return
	}
	waitMS, err := strconv.Atoi(c.DefaultQuery("wait_ms", "0"))
	if err != nil || waitMS < 0 {
		c.String(http.StatusBadRequest, "wait_ms: not a number")
		return
	}
	if l.rejectIfStreamDown(c) {
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxReadWait)
	page, err := l.log.Read(ctx, c.Param("stream"), commitlog.Offset(from), limit, wait)
	if err != nil {
		c.String(http.StatusServiceUnavailable, err.Error())
		return
	}
	out := logservice.ReadResponse{First: uint64(page.First), Next: uint64(page.Next)}
	for _, r := range page.Records {
		out.Records = append(out.Records, logservice.ReadRecord{Offset: uint64(r.Offset), Payload: r.Payload})
	}
	c.JSON(http.StatusOK, out)
}

func (l *LogService) setFaults(_ context.Context, c *app.RequestContext) {
	var f LogFaults
	if err := c.BindJSON(&f); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	l.SetFaults(f)
	c.JSON(http.StatusOK, f)
}

// SetFaults replaces the injected faults.
func (l *LogService) SetFaults(f LogFaults) {
	l.log.SetDown(f.Down)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *LogService) stats(_ context.Context, c *app.RequestContext) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.JSON(http.StatusOK, LogStats{Appends: l.appends})
}

// rejectIfStreamDown rejects a request for a stream that is down and reports whether
// it did.
func (l *LogService) rejectIfStreamDown(c *app.RequestContext) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	down := l.faults.DownStream != "" && l.faults.DownStream == c.Param("stream")
	if down {
		c.String(http.StatusServiceUnavailable, commitlogtest.ErrDown.Error())
	}
	return down
}

func (l *LogService) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.faults.DelayMS) * time.Millisecond
}

// nextFault returns the fault to inject into one append.
func (l *LogService) nextFault(stream string, _ []byte) commitlogtest.Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[stream] = true
	l.appends++
	if l.faults.DropResponses > 0 {
		l.faults.DropResponses--
		return commitlogtest.DropResponse
	}
	if l.faults.ApplyLate > 0 {
		l.faults.ApplyLate--
		time.AfterFunc(time.Duration(l.faults.LateMS)*time.Millisecond, l.log.Flush)
		return commitlogtest.ApplyLate
	}
	return commitlogtest.None
}
