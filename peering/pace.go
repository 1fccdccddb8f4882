package peering

import (
	"math"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
)

// paceUnit converts a pace to the number in a report.
const paceUnit = 1000

// The bounds of a pace and its age in a report. What lies beyond them was not sent by a gateway.
const (
	maxReportedPace = 100
	maxReportedAge  = 10 * time.Minute
)

// encodePaces returns paces as sent in a report: in thousandths of the usual time, with their ages in
// milliseconds.
func encodePaces(paces map[uint32]balance.Pace) map[uint32][2]int64 {
	if len(paces) == 0 {
		return nil
	}
	out := make(map[uint32][2]int64, len(paces))
	for key, p := range paces {
		out[key] = [2]int64{int64(math.Round(p.Factor * paceUnit)), p.Age.Milliseconds()}
	}
	return out
}

// decodePaces returns the paces of a report. Those that make no sense are skipped.
func decodePaces(reported map[uint32][2]int64) map[uint32]balance.Pace {
	if len(reported) == 0 {
		return nil
	}
	out := make(map[uint32]balance.Pace, len(reported))
	for key, p := range reported {
		age := time.Duration(p[1]) * time.Millisecond
		if p[0] <= 0 || p[0] > maxReportedPace*paceUnit || p[1] < 0 || p[1] > maxReportedAge.Milliseconds() {
			continue
		}
		out[key] = balance.Pace{Factor: float64(p[0]) / paceUnit, Age: age}
	}
	return out
}
