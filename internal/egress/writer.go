package egress

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// chunkBytes is the size of the parts in which a long response is written: a caller that reads
// slowly takes one part after the other.
const chunkBytes = 16 << 10

// sendBufferBytes is the size of the kernel's send buffer of a connection.
const sendBufferBytes = 64 << 10

// ErrStalled is returned once a caller has been cut off because it took nothing.
var ErrStalled = errors.New("egress: the caller does not read")

// CutReason is why a caller was cut off.
type CutReason string

// The reasons.
const (
	// Stalled: the caller has taken nothing for Limits.Stall.
	Stalled CutReason = "stalled"
	// Memory: the bytes that wait for all callers exceed Limits.Bytes.
	Memory CutReason = "memory"
)

// Guard applies limits to the responses of a process.
type Guard struct {
	limits Limits
	onCut  func(CutReason)

	mu      sync.Mutex
	ledger  *Ledger
	writers map[ID]*Writer
	last    ID
}

// NewGuard returns a guard that calls onCut, if it is set, for each caller that is cut off.
func NewGuard(limits Limits, onCut func(CutReason)) *Guard {
	if onCut == nil {
		onCut = func(CutReason) {}
	}
	return &Guard{limits: limits, onCut: onCut, ledger: NewLedger(limits), writers: make(map[ID]*Writer)}
}

// Waiting returns the bytes that wait for callers.
func (g *Guard) Waiting() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Total()
}

// Writer is the response to one caller. It implements http.ResponseWriter and http.Flusher.
type Writer struct {
	http.ResponseWriter
	guard      *Guard
	id         ID
	controller *http.ResponseController
	// deadline is when a write in progress fails.
	deadline time.Time
	// expected is how many of the bytes that Expect has announced are not written yet.
	expected int
	// cut is why the guard has cut the caller off; it is guarded by the guard's lock.
	cut CutReason
}

// Track returns the guarded writer of a response. The caller must call Done.
func (g *Guard) Track(w http.ResponseWriter) *Writer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	out := &Writer{ResponseWriter: w, guard: g, id: g.last, controller: http.NewResponseController(w)}
	g.writers[out.id] = out
	return out
}

// Done ends the response. The server sends what it has buffered afterwards.
func (w *Writer) Done() {
	_ = w.extend(time.Now()) // a connection that has failed is closed anyway
	w.guard.mu.Lock()
	defer w.guard.mu.Unlock()
	w.guard.ledger.Remove(w.id)
	delete(w.guard.writers, w.id)
}

// ConnState is a hook for http.Server. It bounds what the kernel holds for a caller, without which
// a write would block for long between two steps of a slow reader. The bound of an earlier response
// does not apply to the next one on a connection.
func (g *Guard) ConnState(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(sendBufferBytes) // the default serves too
		}
	case http.StateActive:
		_ = c.SetWriteDeadline(time.Now().Add(g.limits.Stall)) // fails on a closed connection only
	}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Expect states that the process holds n bytes that later writes will send.
func (w *Writer) Expect(n int) {
	w.expected += n
	w.guard.wait(w, n)
}

// Write writes p in parts. It fails with ErrStalled if the caller takes no part for too long.
func (w *Writer) Write(p []byte) (int, error) {
	w.guard.wait(w, len(p)-min(w.expected, len(p)))
	w.expected -= min(w.expected, len(p))
	written := 0
	for written < len(p) {
		part := p[written:min(written+chunkBytes, len(p))]
		if err := w.extend(time.Now()); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(part)
		written += n
		w.guard.take(w, n)
		if err != nil {
			return written, w.failed(err)
		}
	}
	return written, nil
}

// Flush implements http.Flusher.
func (w *Writer) Flush() { _ = w.FlushError() }

// FlushError sends what is buffered. It fails with ErrStalled like Write.
func (w *Writer) FlushError() error {
	if err := w.extend(time.Now()); err != nil {
		return err
	}
	if err := w.controller.Flush(); err != nil {
		return w.failed(err)
	}
	return nil
}

// extend moves the deadline of writes ahead.
func (w *Writer) extend(now time.Time) error {
	w.guard.mu.Lock()
	defer w.guard.mu.Unlock()
	if w.cut != "" {
		return ErrStalled
	}
	w.deadline = now.Add(w.guard.limits.Stall)
	if err := w.controller.SetWriteDeadline(w.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "egress: bound a write")
	}
	return nil
}

// failed returns the error of a failed write.
func (w *Writer) failed(err error) error {
	w.guard.mu.Lock()
	reason := w.cut
	expired := !w.deadline.IsZero() && !time.Now().Before(w.deadline)
	if reason == "" && expired {
		reason, w.cut = Stalled, Stalled
		defer w.guard.onCut(Stalled)
	}
	w.guard.mu.Unlock()
	if reason != "" {
		return errors.Wrap(ErrStalled, err.Error())
	}
	return errors.Wrap(err, "egress: write")
}

// wait records that n bytes wait for the caller of w, and cuts off other callers if there are too
// many bytes.
func (g *Guard) wait(w *Writer, n int) {
	if n == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.ledger.Wait(w.id, int64(n), now)
	for _, id := range g.ledger.Excess(now) {
		g.cutOff(id)
	}
}

// cutOff makes the writes of a response fail. The caller holds mu.
func (g *Guard) cutOff(id ID) {
	w := g.writers[id]
	g.ledger.Remove(id)
	if w == nil || w.cut != "" {
		return
	}
	w.cut = Memory
	_ = w.controller.SetWriteDeadline(time.Unix(1, 0)) // a connection that has failed is closed anyway
	g.onCut(Memory)
}

func (g *Guard) take(w *Writer, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Take(w.id, int64(n), time.Now())
}
