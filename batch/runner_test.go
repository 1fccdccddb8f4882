package batch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/blob"
	"github.com/catkinrudder/catkinrudder/commitlog"
	"github.com/catkinrudder/catkinrudder/commitlog/commitlogtest"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/internal/delay"
)

type testServices struct{}

func (testServices) ServiceForModel(string) (string, bool) { return "s", true }
func (testServices) HasService(string) bool                { return true }
func (testServices) MaxTries(string) int                   { return 3 }
func (testServices) ResultRetention(string) time.Duration  { return time.Hour }

// slowDispatcher takes one second of virtual time for each item.
type slowDispatcher struct {
	slots int
	fail  func(it Item) error

	mu        sync.Mutex
	running   int
	completed map[uint32]int
}

func (d *slowDispatcher) FreeSlots(string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots - d.running
}

func (d *slowDispatcher) run(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running += n
}

func (d *slowDispatcher) Dispatch(ctx context.Context, it Item) (Response, error) {
	d.run(1)
	defer d.run(-1)
	delay.Wait(ctx, time.Second)
	if ctx.Err() != nil {
		return Response{}, ctx.Err()
	}
	if d.fail != nil {
		if err := d.fail(it); err != nil {
			return Response{}, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.completed[it.Index]++
	return Response{Status: 200, Body: []byte(fmt.Sprintf(`{"i":%d}`, it.Index))}, nil
}

func (d *slowDispatcher) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.completed)
}

// process is one owner of the shard, with its own fold of the log.
type process struct {
	shard Shard
	stop  func()
}

func startProcess(t *testing.T, mem commitlog.Log, name string, d Dispatcher) *process {
	return startOwner(t, mem, name, d, func(int) bool { return true })
}

func startOwner(t *testing.T, mem commitlog.Log, name string, d Dispatcher, owner func(int) bool) *process {
	ctx, cancel := context.WithCancel(context.Background())
	logger := log.New(io.Discard)
	table := NewTable()
	stream := commitlog.NewStream(mem, StreamName(0), commitlog.Options{Writer: name, Fold: table, Logger: logger})
	p := &process{shard: Shard{Stream: stream, Table: table}}
	runner := NewRunner(RunnerOptions{
		Incarnation: name, Shards: []Shard{p.shard}, Dispatcher: d, Services: testServices{},
		Owner: owner, Logger: logger,
	})
	var wg sync.WaitGroup
	wg.Go(func() { stream.Run(ctx) })
	wg.Go(func() { runner.Run(ctx) })
	p.stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(p.stop)
	return p
}

// slowLog reads one record per second of virtual time.
type slowLog struct{ *commitlogtest.MemLog }

func (l slowLog) Read(ctx context.Context, stream string, from commitlog.Offset, _ int, wait time.Duration) (commitlog.Page, error) {
	delay.Wait(ctx, time.Second)
	return l.MemLog.Read(ctx, stream, from, 1, wait)
}

// submit stores an input of n items and creates a job with it.
func (p *process) submit(t *testing.T, n int, window time.Duration) {
	t.Helper()
	ctx := context.Background()
	var in strings.Builder
	for i := range n {
		fmt.Fprintf(&in, `{"custom_id":"c%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`+"\n", i)
	}
	w, err := blob.NewStore(p.shard.Stream).Write(ctx, strings.NewReader(in.String()), 1<<30)
	assert.NilError(t, err)
	now := time.Now()
	assert.NilError(t, commit(ctx, p.shard.Stream, KindFile, File{
		ID: "f", Workspace: "a", Purpose: PurposeBatch, SHA256: w.SHA256, Content: w.Manifest, Created: now.Unix(),
	}))
	assert.NilError(t, commit(ctx, p.shard.Stream, KindJob, Job{
		ID: "j", Workspace: "a", InputFile: "f", Endpoint: EndpointChat, Created: now.Unix(), Deadline: now.Add(window).Unix(),
	}))
}

// waitForEnd blocks until the job is terminal.
func (p *process) waitForEnd(t *testing.T) JobView {
	t.Helper()
	for range 100_000 {
		v, err := p.shard.Table.Job("a", "j", time.Now())
		if err == nil && v.Status.Terminal() {
			return v
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the job did not end")
	return JobView{}
}

// content reads a file once this process has folded everything that another
// process may have folded before.
func (p *process) content(t *testing.T, id string) string {
	t.Helper()
	assert.NilError(t, p.shard.Stream.CatchUp(context.Background()))
	f, err := p.shard.Table.File("a", id, time.Now())
	assert.NilError(t, err)
	b, err := io.ReadAll(blob.NewStore(p.shard.Stream).Open(context.Background(), f.Content, 0))
	assert.NilError(t, err)
	return string(b)
}

// checkOutput asserts that the output contains each item once, in order.
func checkOutput(t *testing.T, content string, n int) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(content), "\n")
	assert.Equal(t, len(lines), n)
	for i, l := range lines {
		assert.Assert(t, strings.Contains(l, fmt.Sprintf(`"custom_id":"c%d"`, i)), "line %d is %s", i, l)
		assert.Assert(t, strings.Contains(l, fmt.Sprintf(`"body":{"i":%d}`, i)), "line %d is %s", i, l)
	}
}

func TestTwoOwnersAndRestart(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			faults, rng := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
			mem := commitlogtest.NewMemLog()
			mem.OnAppend(func(string, []byte) commitlogtest.Fault { return commitlogtest.Fault(faults.IntN(4)) })
			d := &slowDispatcher{slots: 40, completed: map[uint32]int{}}
			p1 := startProcess(t, mem, "p1", d)
			p2 := startProcess(t, mem, "p2", d)
			const n = 400
			p1.submit(t, n, 24*time.Hour)
			time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
			p1.stop() // the process is lost with items in flight
			mem.Flush()
			time.Sleep(time.Duration(rng.IntN(5)) * time.Second)
			p3 := startProcess(t, mem, "p3", d)
			v := p3.waitForEnd(t)
			assert.Equal(t, v.Status, Completed)
			assert.Equal(t, v.SucceededItems, uint32(n))
			checkOutput(t, p3.content(t, v.OutputFile), n)
			mem.Flush()
			time.Sleep(time.Minute)
			v2, err := p2.shard.Table.Job("a", "j", time.Now())
			assert.NilError(t, err)
			assert.Equal(t, v2.OutputFile, v.OutputFile)
			assert.Equal(t, v2.Status, Completed)
		})
	}
}

func TestNewOwnerRunsOnlyUnfinishedItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := commitlogtest.NewMemLog()
		d1 := &slowDispatcher{slots: 8, completed: map[uint32]int{}}
		p1 := startProcess(t, mem, "p1", d1)
		p1.submit(t, 200, 24*time.Hour)
		time.Sleep(10500 * time.Millisecond)
		folded := p1.shard.Table.doneCopy("j")
		p1.stop()
		d2 := &slowDispatcher{slots: 64, completed: map[uint32]int{}}
		p2 := startProcess(t, slowLog{mem}, "p2", d2)
		v := p2.waitForEnd(t)
		assert.Equal(t, v.SucceededItems, uint32(200))
		checkOutput(t, p2.content(t, v.OutputFile), 200)
		for i := range uint32(200) {
			if folded.has(i) {
				assert.Equal(t, d2.completed[i], 0, "item %d had its result", i)
			}
		}
	})
}

// doneCopy returns a copy of a job's set of done items.
func (t *Table) doneCopy(job string) bitmap {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return append(bitmap(nil), t.jobs[job].doneBits...)
}

// TestOwnershipChanges changes the owner of the shard every few seconds. At
// times both processes or none of them own it.
func TestOwnershipChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := commitlogtest.NewMemLog()
		d := &slowDispatcher{slots: 16, completed: map[uint32]int{}}
		start := time.Now()
		turn := func(self, of int) func(int) bool {
			return func(int) bool { return int(time.Since(start)/(3*time.Second))%of != self }
		}
		p1 := startOwner(t, mem, "p1", d, turn(0, 2))
		p2 := startOwner(t, mem, "p2", d, turn(1, 3))
		p1.submit(t, 300, 24*time.Hour)
		v := p1.waitForEnd(t)
		assert.Equal(t, v.Status, Completed)
		checkOutput(t, p2.content(t, v.OutputFile), 300)
	})
}

func TestCollectorKeepsTheFirstResultOfAnItem(t *testing.T) {
	var c collector
	for _, r := range []Result{{Index: 2, Status: 200}, {Index: 1, Status: 201}, {Index: 2, Status: 202}} {
		c.add(time.Unix(1, 0), r)
	}
	rs, _ := c.takeAll()
	s, err := NewSegment("j", rs, 1)
	assert.NilError(t, err)
	assert.NilError(t, s.check())
	assert.DeepEqual(t, rs, []Result{{Index: 1, Status: 201}, {Index: 2, Status: 200}})
}

func TestDeadlineExpiresTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := commitlogtest.NewMemLog()
		d := &slowDispatcher{slots: 8, completed: map[uint32]int{}}
		p := startProcess(t, mem, "p", d)
		p.submit(t, 200, 10*time.Second)
		v := p.waitForEnd(t)
		assert.Equal(t, v.Status, Expired)
		assert.Assert(t, v.SucceededItems > 0 && v.SucceededItems < 200, "%d", v.SucceededItems)
		assert.Equal(t, strings.Count(p.content(t, v.OutputFile), "\n"), int(v.SucceededItems))
		missing := p.content(t, v.ErrorFile)
		assert.Equal(t, strings.Count(missing, `"code":"batch_expired"`), 200-int(v.SucceededItems))
		assert.Assert(t, strings.Contains(missing, `"custom_id":"c199"`))
		time.Sleep(30 * time.Second)
		ran := d.count()
		time.Sleep(time.Minute)
		assert.Equal(t, d.count(), ran)
	})
}

func TestResultsOutliveLogRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = 10 * time.Minute
		mem := commitlogtest.NewMemLog()
		d := &slowDispatcher{slots: 64, completed: map[uint32]int{}}
		p := startProcess(t, mem, "p", d)
		p.submit(t, 100, 24*time.Hour)
		v := p.waitForEnd(t)
		want := p.content(t, v.OutputFile)
		renewer := NewRenewer(RenewerOptions{
			Shards: []Shard{p.shard}, Owner: func(int) bool { return true }, LogRetention: retention, Logger: log.New(io.Discard),
		})
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { renewer.Run(ctx) })
		var ends []commitlog.Offset // of the log, one minute apart
		for range 50 {
			time.Sleep(time.Minute)
			page, err := mem.Read(ctx, StreamName(0), ^commitlog.Offset(0), 1, 0)
			assert.NilError(t, err)
			if ends = append(ends, page.Next); len(ends) > 10 {
				mem.Expire(StreamName(0), ends[len(ends)-11])
			}
		}
		assert.Equal(t, p.content(t, v.OutputFile), want)
		late := startProcess(t, mem, "late", d)
		assert.NilError(t, late.shard.Stream.CatchUp(ctx))
		assert.Equal(t, late.content(t, v.OutputFile), want)
		lv, err := late.shard.Table.Job("a", "j", time.Now())
		assert.NilError(t, err)
		assert.DeepEqual(t, lv, v)
		time.Sleep(time.Hour)
		_, err = p.shard.Table.File("a", v.OutputFile, time.Now())
		assert.Assert(t, errkind.Is(err, errkind.Expired))
		_, err = p.shard.Table.Job("a", "j", time.Now())
		assert.Assert(t, errkind.Is(err, errkind.Expired))
		cancel()
		wg.Wait()
	})
}

func TestLargeInputSpansChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := commitlogtest.NewMemLog()
		p := startProcess(t, mem, "p", &slowDispatcher{slots: 4096, completed: map[uint32]int{}})
		const n = 9000 // three chunks
		p.submit(t, n, 24*time.Hour)
		f, err := p.shard.Table.File("a", "f", time.Now())
		assert.NilError(t, err)
		assert.Assert(t, len(f.Content) >= 3)
		v := p.waitForEnd(t)
		checkOutput(t, p.content(t, v.OutputFile), n)
		half, err := io.ReadAll(blob.NewStore(p.shard.Stream).Open(context.Background(), f.Content, 300_000))
		assert.NilError(t, err)
		whole := p.content(t, "f")
		assert.Assert(t, bytes.Equal(half, []byte(whole)[300_000:]))
	})
}
