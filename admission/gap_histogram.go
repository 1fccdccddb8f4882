package admission

import (
	"math"
	"time"
)

const (
	// gapBins and gapRatio define a histogram of the times between tokens, whose
	// bins grow by a factor of gapRatio starting at gapMin.
	gapBins  = 2048
	gapRatio = 1.005
	gapMin   = 100 * time.Microsecond
	// gapHalveAfter is the number of observations after which all counts of a
	// histogram are halved.
	gapHalveAfter = 200_000
	// gapRefresh is the number of observations between two computations of the
	// quantile.
	gapRefresh = 64
	// tailQuantile is the quantile to which the target for the time between
	// tokens applies.
	tailQuantile = 0.95
)

var logGapRatio = math.Log(gapRatio)

// gapHistogram estimates the tailQuantile of recent times between tokens.
type gapHistogram struct {
	bins         [gapBins]float64
	total        float64
	sinceRefresh int
	tail         time.Duration
}

func (h *gapHistogram) add(d time.Duration) {
	h.bins[gapBin(d)]++
	h.total++
	if h.total >= gapHalveAfter {
		h.halve()
	}
	if h.sinceRefresh++; h.sinceRefresh >= gapRefresh || h.tail == 0 {
		h.sinceRefresh, h.tail = 0, h.quantile(tailQuantile)
	}
}

func (h *gapHistogram) halve() {
	h.total = 0
	for i := range h.bins {
		h.bins[i] /= 2
		h.total += h.bins[i]
	}
}

func (h *gapHistogram) quantile(q float64) time.Duration {
	left := h.total * (1 - q)
	for i := gapBins - 1; i > 0; i-- {
		left -= h.bins[i]
		if left < 0 {
			return time.Duration(float64(gapMin) * math.Pow(gapRatio, float64(i)+0.5))
		}
	}
	return gapMin
}

func gapBin(d time.Duration) int {
	if d <= gapMin {
		return 0
	}
	return min(int(math.Log(float64(d)/float64(gapMin))/logGapRatio), gapBins-1)
}
