package capacity

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/batch"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/desired"
	"github.com/catkinrudder/catkinrudder/internal/sidecar"
	"github.com/catkinrudder/catkinrudder/peer/v1/peerv1connect"
)

func TestLoopbackCountsBothDirections(t *testing.T) {
	path, h := peerv1connect.NewSidecarHandler(sidecar.New(sidecarSettings(unusedAddr), log.New(io.Discard)))
	l, err := newLoopback(t.Context(), path, h)
	assert.NilError(t, err)
	defer l.stop()
	assert.NilError(t, callReport(t.Context(), l))
	sent, _, err := l.cost(func() error { return callReport(t.Context(), l) })
	assert.NilError(t, err)
	assert.Assert(t, sent > float64(proto.Size(heldReport(0))), "%v bytes", sent)
	before := l.bytes.Load()
	assert.NilError(t, callReport(t.Context(), l))
	assert.Assert(t, l.bytes.Load() > before)
}

// observingConn reads the byte count during Write, as a peer may do that responds
// before Write has returned.
type observingConn struct {
	net.Conn
	bytes *atomic.Int64
	seen  int64
}

func (c *observingConn) Write(p []byte) (int, error) {
	c.seen = c.bytes.Load()
	return len(p) - 1, io.ErrShortWrite
}

func TestBytesAreCountedBeforePeerResponds(t *testing.T) {
	var bytes atomic.Int64
	peer := &observingConn{bytes: &bytes}
	n, err := countingConn{peer, &bytes}.Write([]byte("12345"))
	assert.ErrorIs(t, err, io.ErrShortWrite)
	assert.Equal(t, n, 4)
	assert.Equal(t, peer.seen, int64(5))
	assert.Equal(t, bytes.Load(), int64(4), "bytes that were not written are not counted")
}

func TestAttemptsStreamEveryToken(t *testing.T) {
	engine, stop, err := newEngine()
	assert.NilError(t, err)
	defer stop()
	s := sidecar.New(sidecarSettings(engine), log.New(io.Discard))
	path, h := peerv1connect.NewSidecarHandler(s)
	l, err := newLoopback(t.Context(), path, h)
	assert.NilError(t, err)
	defer l.stop()
	assert.NilError(t, runAttempts(t.Context(), l, s, 30, 3, "a"))
	other := newRunRequest(s, "b", 30)
	other.Incarnation = identifier(1)
	assert.ErrorContains(t, runAttempt(t.Context(), l, other, 30), "refused")
}

func TestFoldedShardHoldsEveryItem(t *testing.T) {
	const items = 2*segmentItems + 1
	table, err := foldShard(func() ([]logEntry, error) { return resultShard(items) })
	assert.NilError(t, err)
	for i := range uint32(items) {
		assert.Assert(t, table.ItemDone(jobID(0), i), "item %d", i)
	}
	table, err = foldShard(func() ([]logEntry, error) { return jobShard(7) })
	assert.NilError(t, err)
	open := table.OpenJobs()
	assert.Equal(t, len(open), 7)
	assert.Equal(t, open[0].Status, batch.InProgress)
}

func TestPublishedDocumentTakesEffect(t *testing.T) {
	e, err := publication(12)
	assert.NilError(t, err)
	table := desired.NewTable(desired.Hooks{})
	assert.NilError(t, publish(table, e))
	v, ok := table.InForce()
	assert.Assert(t, ok)
	assert.Equal(t, len(v.Document.Workspaces), 12)
	assert.Equal(t, len(v.Document.Services), modelServices)
}

func TestRecordHoldsEveryEntry(t *testing.T) {
	one, err := recordBytes(t.Context(), 1)
	assert.NilError(t, err)
	ten, err := recordBytes(t.Context(), 10)
	assert.NilError(t, err)
	assert.Assert(t, ten-one > 9*bodyBytes)
	n, err := writerMemory(t.Context(), 3)
	assert.NilError(t, err)
	assert.Assert(t, n > 0)
	rate, err := appendRate(t.Context(), commitlog.Options{Budget: commitlog.NewBudget(appendsPerSecond)}, 200)
	assert.NilError(t, err)
	assert.Assert(t, rate > 0)
}

func TestWrite(t *testing.T) {
	qs := []Quantity{{ID: "a.b", Unit: Bytes, Per: "row", Points: []Point{{1, 3}, {2, 5}}, Line: Line{Slope: 2, Intercept: 1}}}
	var table, out bytes.Buffer
	assert.NilError(t, WriteTable(&table, qs))
	assert.Assert(t, strings.Contains(table.String(), "a.b       row  B     1 2    3 5     2      1"), table.String())
	assert.NilError(t, WriteJSON(&out, qs))
	var got []Quantity
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got))
	assert.DeepEqual(t, got, qs)
}
