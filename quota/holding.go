package quota

import "time"

const (
	// permitTTL is how long a gateway may use a permit.
	permitTTL = 250 * time.Millisecond
	// grantTime is the time for which a gateway asks for permits ahead.
	grantTime = 100 * time.Millisecond
	// leastDenial and mostDenial bound the time for which a gateway denies requests by itself
	// after a denial of the owner.
	leastDenial = 10 * time.Millisecond
	mostDenial  = 250 * time.Millisecond
	// deniedSpacing is how many permits of the owner pass between two requests that a gateway
	// denies by itself, as others do so too.
	deniedSpacing = 2
	// unansweredTime is the time after an unanswered request to the owner in which no other one
	// waits for it.
	unansweredTime = 250 * time.Millisecond
	// paceTime is the time by which the pace of requests is measured.
	paceTime = 500 * time.Millisecond
	// smallPart and smallFallback let a gateway admit one request without a permit although the
	// margin holds less for it, as long as the gateways are few.
	smallFallback = 1.0
	smallPart     = 2.0
)

// Denial says when a denied request may come back.
type Denial struct {
	// Wait is the time until its permit is there, given those that were denied before it. Next
	// is the time until the owner has the next permit.
	Wait, Next time.Duration
}

// holding is what a gateway knows of a workspace whose permits others hand out.
type holding struct {
	permits int
	until   time.Time
	usage   Usage
	pace    pace
	// owner is the gateway that decided last, and ownerVersion the version of the configuration
	// that it goes by.
	owner        string
	ownerVersion int64

	// deniedUntil is until when requests are denied without asking the owner, and due is when
	// the next one of them is asked to come back.
	deniedUntil, due time.Time
	// unansweredUntil is until when the owner is not waited for.
	unansweredUntil time.Time

	// fallback holds what may be admitted without a permit.
	fallback   Bucket
	fallbackAt time.Time
	usedAt     time.Time
}

// expire counts the permits that have lapsed as returned.
func (h *holding) expire(now time.Time) {
	if h.permits > 0 && !now.Before(h.until) {
		h.usage.Returned += h.permits
		h.permits = 0
	}
}

// use takes a permit that the gateway holds.
func (h *holding) use(now time.Time) bool {
	h.expire(now)
	if h.permits == 0 {
		return false
	}
	h.permits--
	return true
}

// add adds permits that the owner has granted or that a request did not use.
func (h *holding) add(n int, now time.Time) {
	h.expire(now)
	if n <= 0 {
		return
	}
	h.permits += n
	h.until = now.Add(permitTTL)
}

// want returns how many permits the gateway uses within grantTime.
func (h *holding) want() int { return 1 + int(h.pace.perSecond*grantTime.Seconds()) }

// takeUsage returns what is to be said to the owner, and forgets it.
func (h *holding) takeUsage(now time.Time) Usage {
	h.expire(now)
	u := h.usage
	h.usage = Usage{}
	return u
}

// denied records a denial of the owner.
func (h *holding) denied(d Denial, now time.Time) {
	h.deniedUntil = now.Add(min(max(d.Next, leastDenial), mostDenial))
	h.due = now.Add(d.Wait)
}

// deny denies a request by the last denial of the owner, if that still counts. perSecond is the rate
// at which the owner has permits.
func (h *holding) deny(perSecond float64, now time.Time) (wait time.Duration, denied bool) {
	if !now.Before(h.deniedUntil) {
		return 0, false
	}
	h.usage.Denied++
	h.due = h.due.Add(permitsTime(deniedSpacing, max(perSecond, leastRate)))
	return h.due.Sub(now), true
}

// spend admits a request without a permit if the margin has room for it.
func (h *holding) spend(l Limit, b Bounds, gateways int, now time.Time) bool {
	rate, size := fallbackLimit(l, b, gateways)
	if h.fallbackAt.IsZero() {
		h.fallback.Level = size
	}
	h.fallback.Refill(rate, size, now.Sub(h.fallbackAt))
	h.fallbackAt = now
	if !h.fallback.Take() {
		return false
	}
	h.usage.Spent++
	return true
}

// fallbackLimit returns the bucket of what one gateway may admit without a permit.
func fallbackLimit(l Limit, b Bounds, gateways int) (rate, size float64) {
	n := float64(gateways)
	margin := b.margin(l)
	size = fallbackPart * margin / n
	if n <= smallPart*margin {
		size = max(size, smallFallback)
	}
	return silentPart * l.RequestsPerSecond / n, size
}

// pace measures how many requests a second arrive.
type pace struct {
	n         int
	began     time.Time
	perSecond float64
}

func (p *pace) count(now time.Time) {
	if took := now.Sub(p.began); took >= paceTime {
		p.perSecond = float64(p.n) / took.Seconds()
		p.n, p.began = 0, now
	}
	p.n++
}
