package soak

import (
	"slices"
	"strconv"
	"strings"

	"github.com/catkinrudder/catkinrudder/internal/chaos"
)

// checkSoftware checks that each run that continued an output was sent to the software that had
// written it.
func (c *checker) checkSoftware() {
	for id, runs := range c.arrivals {
		earlier := slices.Concat(c.arrivals[strings.TrimSuffix(id, resumedSuffix)], runs)
		for _, a := range runs {
			after, err := strconv.Atoi(a.ResumeAfter)
			if err != nil || !a.Started {
				continue // starts from the beginning
			}
			if !hasWritten(earlier, a, after) {
				c.verdict.AddFinding(chaos.MixedSoftware, "%s continued after event %d at %s (%s), which had not written that far", id, after, a.backend, a.version)
			}
		}
	}
}

// hasWritten reports whether the software of a had sent event n of the output before a arrived.
func hasWritten(runs []arrival, a arrival, n int) bool {
	for _, r := range runs {
		if r.version == a.version && r.Sent >= n && r.At.Before(a.At) {
			return true
		}
	}
	return false
}
