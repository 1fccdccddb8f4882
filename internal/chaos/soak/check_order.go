package soak

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// checkStreamOrder checks the events of a stream, also of one that broke off.
func (c *checker) checkStreamOrder(r Record) {
	if r.Status != 200 || r.Op.Kind != Stream && r.Op.Kind != FinalStream {
		return
	}
	events := strings.SplitAfter(r.Body, "\n\n")
	if last := len(events) - 1; events[last] == "" || !r.Complete {
		events = events[:last] // what follows the last complete event of a stream that broke off
	}
	for i, e := range events {
		id, data, _ := strings.Cut(strings.TrimSuffix(e, "\n\n"), "\ndata: ")
		if n, _ := parseEvent(r.Op.ID, data); id != "id: "+strconv.Itoa(n) {
			data = strings.TrimSpace(e)
		}
		events[i] = data
	}
	c.addOrderFinding(string(r.Op.Kind), r.Op.ID, r.Gateway, orderBreak(r.Op.ID, r.Op.ResumeAfter, events, r.Complete))
}

// checkTextOrder checks the events in the text of a completed item.
func (c *checker) checkTextOrder(r Result, gateway string) {
	if r.State == completed {
		c.addOrderFinding("item", r.ID, gateway, orderBreak(r.ID, 0, strings.Split(r.Text, "\n"), true))
	}
}

// parseEvent returns the number in the data of an event of id.
func parseEvent(id, data string) (n int, own bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(data, id+"-"))
	return n, err == nil && data == platformtest.EventData(id, n)
}

// orderBreak describes how the events after the event numbered after break their order; empty if
// they don't.
func orderBreak(id string, after int, events []string, complete bool) string {
	last := after
	for _, e := range events {
		n, own := parseEvent(id, e)
		switch {
		case !own:
			return fmt.Sprintf("foreign event %q after event %d", e, last)
		case n <= last:
			return fmt.Sprintf("repeat of event %d after event %d", n, last)
		case n > last+1:
			return fmt.Sprintf("gap between events %d and %d", last, n)
		}
		last = n
	}
	if complete && last < streamEvents {
		return fmt.Sprintf("short end after event %d of %d", last, streamEvents)
	}
	return ""
}

// addOrderFinding adds a finding with the runs of the request.
func (c *checker) addOrderFinding(kind, id, gateway, broken string) {
	if broken == "" {
		return
	}
	var runs []string
	for _, a := range c.started(id) {
		runs = append(runs, fmt.Sprintf("%s (%s) after %q sent %d from %s", a.backend, a.version, a.ResumeAfter, a.Sent, a.At.Format("05.000")))
	}
	c.verdict.AddFinding(chaos.OutOfOrder, "%s: %s %s at %s, seed %d: %s", broken, kind, id, gateway, c.plan.Seed, strings.Join(runs, "; "))
}
