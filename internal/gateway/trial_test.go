package gateway_test

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
	"github.com/catkinrudder/catkinrudder/errkind"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
	"github.com/catkinrudder/catkinrudder/quarantine/quarantinetest"
	"github.com/catkinrudder/catkinrudder/serving"
)

// firstTrial is the delay before the first trial of a held part by a request of a caller.
const firstTrial = 30 * time.Second

// newHeldFixture returns a gateway that holds prompt parts, and the clock of its quarantine.
func newHeldFixture(t *testing.T, parts []string, backends ...*platformtest.Backend) (*fixture, *quarantinetest.Clock) {
	t.Helper()
	f, clock := newFixture(t, backends...), &quarantinetest.Clock{}
	f.Quarantine = quarantinetest.NewGuardWithClock(f.Pool, clock)
	f.Quarantine.PeerHeld(parts)
	return f, clock
}

// requestWith returns a request whose prompt begins with a part.
func requestWith(id, part string) *serving.Request {
	r := request(id, "/stream")
	r.Prompt.Parts = []serving.PromptPart{{ID: part, Tokens: 1}, {ID: "own" + id, Tokens: 1}}
	return r
}

func (f *fixture) failedTrials(part string) int {
	return f.Quarantine.Check([]string{part}, balance.Batch).Failures
}

// checkRefused checks that a request is refused as one with a held part, and returns its Retry-After.
func checkRefused(t *testing.T, err error) time.Duration {
	t.Helper()
	var refusal *errkind.Error
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Kind, errkind.Quarantined)
	return refusal.RetryAfter
}

func TestRequestOfAHeldPartIsServedOnceItsTrialIsDue(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	f, clock := newHeldFixture(t, []string{"part"}, b)
	_, err := f.serve(requestWith("1", "part"), route(catalog.Stream, nil))
	wait := checkRefused(t, err)
	assert.Assert(t, wait > firstTrial-time.Second && wait <= firstTrial, "Retry-After is %v", wait)
	clock.Advance(wait)
	w, err := f.serve(requestWith("2", "part"), route(catalog.Stream, nil))
	assert.NilError(t, err)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, !f.Quarantine.Check([]string{"part"}, balance.Online).Held())
}

func TestTrialOfARequestThatEndsItsServerFails(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{"cut off": platformtest.Crash, "without a length": platformtest.CrashUnframed} {
		t.Run(name, func(t *testing.T) {
			first, second := platformtest.NewBackend(t, "first"), platformtest.NewBackend(t, "second")
			for _, b := range []*platformtest.Backend{first, second} {
				b.SetFault(always(fault))
			}
			f, clock := newHeldFixture(t, []string{"part"}, first, second)
			clock.Advance(firstTrial)
			_, err := f.serve(requestWith("1", "part"), route(catalog.Stream, resumable))
			assert.Assert(t, err != nil)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if f.failedTrials("part") == 1 {
					return poll.Success()
				}
				return poll.Continue("the outcome is not known")
			})
			_, err = f.serve(requestWith("2", "part"), route(catalog.Stream, nil))
			wait := checkRefused(t, err)
			assert.Assert(t, wait > firstTrial, "the next trial comes later: %v", wait)
			assert.Equal(t, len(first.Requests())+len(second.Requests()), 1, "one server is the price of a trial")
		})
	}
}

// TestTrialThatAServerRefusesIsNotLost guards against a part that waits for a trial which no server has run.
func TestTrialThatAServerRefusesIsNotLost(t *testing.T) {
	b := platformtest.NewBackend(t, "b")
	var runs atomic.Int64
	b.SetFault(func(platformtest.Request) platformtest.Fault {
		if runs.Add(1) == 1 {
			return platformtest.Full
		}
		return platformtest.None
	})
	f, clock := newHeldFixture(t, []string{"part"}, b)
	clock.Advance(firstTrial)
	_, err := f.serve(requestWith("1", "part"), route(catalog.Stream, nil))
	assert.ErrorContains(t, err, string(errkind.Overloaded)) // the only server has refused it
	w, err := f.serve(requestWith("2", "part"), route(catalog.Stream, nil))
	assert.NilError(t, err)
	assert.Equal(t, w.Code, http.StatusOK)
}

func TestTrialOfARequestGoesToTheLeastLoadedServer(t *testing.T) {
	busy, idle := platformtest.NewBackend(t, "busy"), platformtest.NewBackend(t, "idle")
	f, clock := newHeldFixture(t, []string{"part"}, busy, idle)
	registration := catalog.Backend{ID: "busy", Service: "s", Zone: "z", State: catalog.Ready, Slots: 2}
	_, ok := f.Table.Pick([]catalog.Backend{registration}, balance.Requirements{}, time.Now())
	assert.Assert(t, ok)
	clock.Advance(firstTrial)
	_, err := f.serve(requestWith("1", "part"), route(catalog.Stream, nil))
	assert.NilError(t, err)
	assert.Equal(t, len(idle.Requests()), 1)
}

// TestRequestThatWaitsForAnotherTrialRestsInBetween guards against a request that chooses the same server again and again
// without a pause, as another suspect is tried there.
func TestRequestThatWaitsForAnotherTrialRestsInBetween(t *testing.T) {
	const maxChoices = 30 // one each 50 ms would be 20
	b := platformtest.NewBackend(t, "b")
	b.SetFault(always(platformtest.Hang))
	f, clock := newHeldFixture(t, []string{"p1", "p2"}, b)
	choices := &lineCounter{word: []byte("request_routed")}
	f.Log = log.New(choices)
	clock.Advance(firstTrial)
	first := make(chan struct{})
	go func() { defer close(first); _, _ = f.serve(requestWith("1", "p1"), route(catalog.Stream, nil)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(b.Requests()) == 1 {
			return poll.Success()
		}
		return poll.Continue("the first trial has not begun")
	}, poll.WithDelay(5*time.Millisecond))
	second := requestWith("2", "p2")
	second.Deadline = second.ReceivedAt.Add(time.Second)
	_, err := f.serve(second, route(catalog.Stream, nil))
	assert.Assert(t, err != nil)
	assert.Equal(t, len(b.Requests()), 1, "two suspects are not tried at one server")
	<-first
	assert.Assert(t, choices.n.Load() > 2 && choices.n.Load() <= maxChoices, "%d choices", choices.n.Load())
}

// lineCounter counts the lines of a log that hold a word.
type lineCounter struct {
	word []byte
	n    atomic.Int64
}

func (c *lineCounter) Write(line []byte) (int, error) {
	c.n.Add(int64(bytes.Count(line, c.word)))
	return len(line), nil
}
