package bench

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/catkinrudder/catkinrudder/admission"
)

// workerState classifies a part of a worker's time.
type workerState int

const (
	engineIdle    workerState = iota // no step runs
	noOnline                         // no online attempt runs
	onlineDecode                     // online attempts run, all of them in decode
	onlinePrefill                    // an online prompt is prefilled
	workerStates
)

var workerStateNames = [workerStates]string{"engine idle", "no online", "online decodes", "online prefill"}

// lateCause is what was prefilled during a late gap between tokens. The values
// add up: lateBoth is lateOnline plus lateBatch.
type lateCause int

const (
	lateDecode lateCause = iota // nothing
	lateOnline                  // an online prompt
	lateBatch                   // a batch prompt
	lateBoth                    // prompts of both classes
	lateCauses
)

// recordGap records the gap between two online tokens.
func (c *Account) recordGap(gap, bound time.Duration, p stepPlan) {
	c.Gaps++
	if gap <= bound {
		return
	}
	cause := lateDecode
	if p.prefillByClass[admission.Online] > 0 {
		cause = lateOnline
	}
	if p.prefillByClass[admission.Batch] > 0 {
		cause += lateBatch
	}
	c.LateGaps[cause]++
}

// Account breaks down how the idle capacity of a deployment is used. It covers
// the services that run batch items. Slot figures are sums over time in slot
// seconds; token figures are token counts.
type Account struct {
	// Time is the time spent in each state, summed over all workers.
	Time [workerStates]time.Duration `json:"time"`
	// BatchSlots, EmptySlots and StarvedSlots are slot seconds with a batch
	// attempt, with no attempt, and with no attempt while no batch attempt is
	// queued at the sidecar.
	BatchSlots, EmptySlots, StarvedSlots [workerStates]float64
	// OnlineTokens and BatchTokens count the prompt tokens prefilled.
	OnlineTokens, BatchTokens [workerStates]int
	// Gaps counts the gaps between online tokens. LateGaps counts the gaps
	// longer than the target, by what was prefilled in them.
	Gaps     int
	LateGaps [lateCauses]int
	// Paused and Preempted count the batch attempts taken out of the engine.
	// Discarded counts the step results dropped because their attempt was
	// cancelled while the step ran.
	Paused, Preempted, Discarded int
}

// recordStep records a step that is about to start.
func (c *Account) recordStep(w *worker, p stepPlan) {
	online, batch := 0, 0
	for _, s := range w.engine.streams {
		if s.attempt.req.class == admission.Online {
			online++
		} else {
			batch++
		}
	}
	state := onlineDecode
	switch {
	case p.prefillByClass[admission.Online] > 0:
		state = onlinePrefill
	case online == 0:
		state = noOnline
	}
	c.add(state, w, p.duration, online, batch)
	c.OnlineTokens[state] += p.prefillByClass[admission.Online]
	c.BatchTokens[state] += p.prefillByClass[admission.Batch]
}

func (c *Account) add(state workerState, w *worker, d time.Duration, online, batch int) {
	slots := w.sim.dep.Services[w.service].Policy.Slots
	empty := float64(max(slots-online-batch, 0)) * d.Seconds()
	c.Time[state] += d
	c.BatchSlots[state] += float64(batch) * d.Seconds()
	c.EmptySlots[state] += empty
	if w.core.Load().QueuedBatch == 0 {
		c.StarvedSlots[state] += empty
	}
}

const accountHeader = "situation\ttime share\tbatch streams\tempty slots\tof it starved\tonline prefill tok/s\tbatch prefill tok/s\t\n"

// WriteAccount prints how the idle capacity is used under the catkinrudder
// policy. Rates are per worker and per second spent in the state.
func WriteAccount(w io.Writer, results []Result) error {
	var b bytes.Buffer
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range results {
		_, _ = fmt.Fprintf(tw, "%s, account of %s\n%s", r.Deployment, catkinrudder, accountHeader)
		writeAccount(tw, r.Account)
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write account")
	}
	_, err := w.Write(b.Bytes())
	return errors.Wrap(err, "write account")
}

func writeAccount(w io.Writer, c Account) {
	total := time.Duration(0)
	for _, d := range c.Time {
		total += d
	}
	for k, d := range c.Time {
		s := max(d.Seconds(), 1e-9)
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t\n", workerStateNames[k],
			d.Seconds()/total.Seconds(), c.BatchSlots[k]/s, c.EmptySlots[k]/s, c.StarvedSlots[k]/s,
			float64(c.OnlineTokens[k])/s, float64(c.BatchTokens[k])/s)
	}
	share := func(k lateCause) float64 { return float64(c.LateGaps[k]) / float64(max(c.Gaps, 1)) }
	_, _ = fmt.Fprintf(w, "late online gaps: decode only %.4f, online prefill %.4f, batch prefill %.4f, both %.4f\n",
		share(lateDecode), share(lateOnline), share(lateBatch), share(lateBoth))
	_, _ = fmt.Fprintf(w, "paused %d, preempted %d, steps cut %d\n\n", c.Paused, c.Preempted, c.Discarded)
}
