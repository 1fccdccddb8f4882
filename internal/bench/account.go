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

// situation is what a worker does in a part of its time.
type situation int

const (
	engineIdle    situation = iota // no step runs
	clearOfOnline                  // no online attempt runs
	onlineDecodes                  // online attempts decode only
	onlinePrefill                  // an online prompt is prefilled
	situations
)

var situationNames = [situations]string{"engine idle", "no online", "online decodes", "online prefill"}

// lateCause is what was prefilled during a late time between tokens.
type lateCause int

const (
	lateDecode lateCause = iota
	lateOnline
	lateBatch
	lateBoth
	lateCauses
)

// noteGap records a time between two online tokens.
func (c *Account) noteGap(gap, bound time.Duration, p stepPlan) {
	c.Gaps++
	if gap <= bound {
		return
	}
	cause := lateDecode
	if p.prefillOf[admission.Online] > 0 {
		cause = lateOnline
	}
	if p.prefillOf[admission.Batch] > 0 {
		cause += lateBatch
	}
	c.LateGaps[cause]++
}

// Account says where the idle capacity of a deployment goes. Slots and tokens
// are sums over time, in seconds and tokens.
type Account struct {
	Time [situations]time.Duration `json:"time"`
	// BatchSlots, EmptySlots and StarvedSlots are slot seconds with a batch
	// attempt, with none, and with none while no batch waits beside the engine.
	BatchSlots, EmptySlots, StarvedSlots [situations]float64
	// OnlineTokens and BatchTokens are prompt tokens prefilled.
	OnlineTokens, BatchTokens [situations]int
	// Gaps counts times between online tokens, LateGaps those beyond the
	// target by what was prefilled in them.
	Gaps     int
	LateGaps [lateCauses]int
	// Paused and Preempted count batch attempts taken out of the engine,
	// Discarded the steps of theirs that were cut.
	Paused, Preempted, Discarded int
}

// noteStep records a step that starts.
func (c *Account) noteStep(w *worker, p stepPlan) {
	online, batch := 0, 0
	for _, s := range w.engine.streams {
		if s.att.req.class == admission.Online {
			online++
		} else {
			batch++
		}
	}
	kind := onlineDecodes
	switch {
	case p.prefillOf[admission.Online] > 0:
		kind = onlinePrefill
	case online == 0:
		kind = clearOfOnline
	}
	c.add(kind, w, p.dur, online, batch)
	c.OnlineTokens[kind] += p.prefillOf[admission.Online]
	c.BatchTokens[kind] += p.prefillOf[admission.Batch]
}

func (c *Account) add(kind situation, w *worker, d time.Duration, online, batch int) {
	slots := w.sim.dep.Services[w.service].Policy.Slots
	empty := float64(max(slots-online-batch, 0)) * d.Seconds()
	c.Time[kind] += d
	c.BatchSlots[kind] += float64(batch) * d.Seconds()
	c.EmptySlots[kind] += empty
	if w.core.Load().QueuedBatch == 0 {
		c.StarvedSlots[kind] += empty
	}
}

const accountHeader = "situation\ttime share\tbatch streams\tempty slots\tof it starved\tonline prefill tok/s\tbatch prefill tok/s\t\n"

// WriteAccount prints where the idle capacity goes under the project's policy.
// Rates are for each worker and second of the situation.
func WriteAccount(w io.Writer, results []Result) error {
	var b bytes.Buffer
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, r := range results {
		_, _ = fmt.Fprintf(tw, "%s, account of %s\n%s", r.Deployment, ours, accountHeader)
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
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t\n", situationNames[k],
			d.Seconds()/total.Seconds(), c.BatchSlots[k]/s, c.EmptySlots[k]/s, c.StarvedSlots[k]/s,
			float64(c.OnlineTokens[k])/s, float64(c.BatchTokens[k])/s)
	}
	share := func(k lateCause) float64 { return float64(c.LateGaps[k]) / float64(max(c.Gaps, 1)) }
	_, _ = fmt.Fprintf(w, "late online gaps: decode only %.4f, online prefill %.4f, batch prefill %.4f, both %.4f\n",
		share(lateDecode), share(lateOnline), share(lateBatch), share(lateBoth))
	_, _ = fmt.Fprintf(w, "paused %d, preempted %d, steps cut %d\n\n", c.Paused, c.Preempted, c.Discarded)
}
