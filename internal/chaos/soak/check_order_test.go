package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
	"github.com/catkinrudder/catkinrudder/platform/platformtest"
)

// eventsOf returns the data of the events with these numbers.
func eventsOf(id string, numbers ...int) []string {
	var out []string
	for _, n := range numbers {
		out = append(out, platformtest.EventData(id, n))
	}
	return out
}

func sequence(from, to int) []int {
	var out []int
	for n := from; n <= to; n++ {
		out = append(out, n)
	}
	return out
}

// streamOf returns a stream that broke off, or ended, after events with these numbers.
func streamOf(complete bool, numbers ...int) Record {
	r := completeRecord(stream)
	r.Complete, r.Body = complete, ""
	for i, data := range eventsOf(stream.ID, numbers...) {
		r.Body += fmt.Sprintf("id: %d\ndata: %s\n\n", numbers[i], data)
	}
	return r
}

func TestCheckerTellsHowTheOrderWasBroken(t *testing.T) {
	cases := map[string]struct {
		complete bool
		numbers  []int
		want     string
	}{
		"short end after event 24 of 25":         {true, sequence(1, 24), "short end after event 24 of 25"},
		"gap between events 2 and 4":             {false, []int{1, 2, 4}, "gap between events 2 and 4"},
		"a first event that is not the first":    {false, []int{5}, "gap between events 0 and 5"},
		"repeat of event 2 after event 2":        {false, []int{1, 2, 2, 3}, "repeat of event 2 after event 2"},
		"a run that starts again":                {true, append(sequence(1, 10), sequence(1, 25)...), "repeat of event 1 after event 10"},
		"an orderly stream that broke off early": {false, sequence(1, 7), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := syntheticHistory{profile: Mixed, history: records(streamOf(c.complete, c.numbers...))}.check()
			assert.Equal(t, v.Count(chaos.OutOfOrder) > 0, c.want != "", "%v", v.Findings)
			assert.Equal(t, orderBreak("s", 0, eventsOf("s", c.numbers...), c.complete), c.want)
		})
	}
}

func TestCheckerFindsForeignEvents(t *testing.T) {
	r := streamOf(false, 1, 2)
	r.Body += "event: error\ndata: {}\n\n"
	for _, body := range []string{r.Body, strings.Replace(r.Body, "id: 2", "id: 3", 1), strings.Replace(r.Body, "s-2", "t-2", 1)} {
		r.Body = body
		v := syntheticHistory{profile: Mixed, history: records(r)}.check()
		assert.Equal(t, v.Count(chaos.OutOfOrder), 1, "%v", v.Findings)
		assert.Assert(t, slices.ContainsFunc(v.Findings, func(f chaos.Finding) bool { return strings.HasPrefix(f.Text, "foreign event") }), "%v", v.Findings)
	}
}

func TestCheckerFindsTextOutOfOrder(t *testing.T) {
	v := syntheticHistory{history: jobs(func(j *JobRecord) {
		j.Final[0].Results[0].Text = strings.Join(eventsOf("j-item0", append(sequence(1, 8), sequence(8, 25)...)...), "\n")
	})}.check()
	assert.Equal(t, v.Count(chaos.OutOfOrder), 1, "%v", v.Findings)
}
