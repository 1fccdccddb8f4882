package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// prefetchPart is the part of the permits left that a request may get for those after it.
	prefetchPart = 0.25
	// exchangeWait is the time in which another region learns what this one has handed out.
	exchangeWait = 150 * time.Millisecond
	// debtTime is the time in which the largest debt of a bucket is paid back.
	debtTime = time.Second
	// unheardTime is the time in which another owner answers a message that asks for it.
	unheardTime = 300 * time.Millisecond
	// deafTime is the time after which one that doesn't is given up: each region then uses its
	// part, as if they didn't reach each other.
	deafTime = time.Second
	// freshTime is the time in which a new owner believes one that knew the use before it.
	freshTime = 5 * time.Second
	// leastRate is the least rate, in requests a second, by which waits are calculated.
	leastRate = 0.01
)

// account is what the owner of a workspace knows of its use. Of two regions, each one may have handed
// out permits that the other doesn't know of yet. Each one keeps what it hands out unseen to its part
// of what was left, so a first burst at all regions at once stays within the bounds.
type account struct {
	// epoch tells the accounts of one workspace at one gateway apart.
	epoch     uint32
	createdAt time.Time
	// since is since when no owner before this one can have handed out permits.
	since   time.Time
	bounds  Bounds
	limit   Limit
	version int64

	// bucket holds what all regions together have left, as far as this owner knows.
	bucket Bucket
	at     time.Time
	// granted and returned count the permits that were handed out and those that came back.
	granted, returned uint64
	// adopted states that the bucket has the level of an owner that knew more.
	adopted bool
	// sources are the other owners that it has exchanged counts with.
	sources map[string]*source
	// wide is whether this gateway was in a wide part when the account was last used.
	wide bool
	// regions is how many other regions were reached, and share the share of the reached gateways.
	regions int
	share   float64
	mix     mix
	// nextDue is when the permit would be there that the next denied request is asked to come back
	// for, if the bucket had no debt.
	nextDue time.Time
	usedAt  time.Time
}

// source is another owner of the workspace.
type source struct {
	epoch uint32
	// charged and chargedBack are its counts that the bucket has been charged with.
	charged, chargedBack uint64
	// acked is how many of the permits granted here the other one knows of.
	acked uint64
	// lost states that it was out of reach or did not answer. It has used a share of its own since, which is not
	// charged.
	lost bool
	// addedAt is when it became known.
	addedAt time.Time
	// heardAt is when its last message was received, and heardAge the age of its account there.
	heardAt  time.Time
	heardAge time.Duration
	// answer states that it waits for a message.
	answer bool
	sent   sentCounts
	sentAt time.Time
}

// sentCounts are the counts of the last message to another owner.
type sentCounts struct{ granted, returned, charged uint64 }

// newAccount returns an account whose owner knows nothing of earlier use. The bucket holds what must
// have flowed in since since: a former owner is not known to have lived longer.
func newAccount(epoch uint32, l Limit, version int64, b Bounds, v View, now time.Time) *account {
	a := &account{epoch: epoch, createdAt: now, since: v.Since, bounds: b, limit: l, version: version, at: now, usedAt: now, regions: len(v.Others), share: v.Share, sources: make(map[string]*source)}
	a.bucket.Level = max(startPart*b.margin(l)/v.regions(), 1)
	a.bucket.Refill(l.RequestsPerSecond*v.Share, a.size(v), now.Sub(v.Since))
	return a
}

// fresh reports whether another owner may know more of the use than this one.
func (a *account) fresh(now time.Time) bool {
	return !a.adopted && now.Sub(a.since) < freshTime
}

// setLimit applies a limit unless a newer version of the configuration is known.
func (a *account) setLimit(l Limit, version int64) {
	if version >= a.version {
		a.limit, a.version = l, version
	}
}

func (a *account) refill(v View, now time.Time) {
	rate := a.limit.RequestsPerSecond * v.Share
	if a.unheard(v, now) {
		rate /= v.regions()
	}
	a.bucket.Refill(rate, a.size(v), now.Sub(a.at))
	a.at = now
	a.mix.decay(now)
}

// unheard reports whether another owner that should have answered hasn't. Either of the two may be cut
// off, so the bucket gets no more than the part of this region.
func (a *account) unheard(v View, now time.Time) bool {
	return a.deaf(v) || a.tight(v) && slices.ContainsFunc(v.Others, func(name string) bool {
		return now.Sub(a.source(name).heardAt) > unheardTime
	})
}

// deaf reports whether another owner is reached, but not heard.
func (a *account) deaf(v View) bool {
	return slices.ContainsFunc(v.Others, func(name string) bool { return a.source(name).lost })
}

// size returns the size of the bucket. With several regions it makes up for what a full bucket doesn't
// take in although another region has just used some of it.
func (a *account) size(v View) float64 {
	part := a.limit.scaled(v.Share)
	switch {
	case len(v.Others) == 0:
		return part.size()
	case a.deaf(v):
		return part.scaled(1 / v.regions()).size()
	}
	return part.size() + min(part.RequestsPerSecond*calmInterval(v).Seconds(), sizePart*a.bounds.margin(a.limit))
}

// charge takes permits that were used without being handed out here.
func (a *account) charge(n float64) {
	least := -a.bounds.margin(a.limit) - a.limit.RequestsPerSecond*debtTime.Seconds()
	a.bucket.Level = max(a.bucket.Level-n, min(least, a.bucket.Level))
}

// giveBack adds permits that were handed out and not used.
func (a *account) giveBack(n float64, v View) {
	a.bucket.Level = min(a.bucket.Level+n, max(a.size(v), a.bucket.Level))
}

// unseen returns how many permits granted here some owner of another region doesn't know of.
func (a *account) unseen(v View) float64 {
	most := uint64(0)
	for _, name := range v.Others {
		most = max(most, a.granted-a.source(name).acked)
	}
	return float64(most)
}

// source returns what is known of another owner. What was granted before it was known is no matter
// between the two: the one that knows less adopts the level of the other.
func (a *account) source(name string) *source {
	s := a.sources[name]
	if s == nil {
		s = &source{acked: a.granted, addedAt: a.at}
		a.sources[name] = s
	}
	return s
}

// unseenAllowed returns how many permits may be handed out before other regions know of them.
func (a *account) unseenAllowed(v View) float64 {
	if len(v.Others) == 0 {
		return math.Inf(1)
	}
	left := max(a.bucket.Level+a.unseen(v), 0)
	return (left + unseenPart*a.bounds.margin(a.limit)) / v.regions()
}

// take decides on a request for permits: one for the request itself, and up to want in all.
func (a *account) take(want int, v View, now time.Time) (granted int, denial Denial) {
	a.refill(v, now)
	a.usedAt = now
	room := a.unseenAllowed(v) - a.unseen(v)
	switch {
	case a.bucket.Level < 1-countTolerance:
		return 0, a.deny(a.bucket.UntilNext(a.rate(v)), v, now)
	case room < 1:
		return 0, a.deny(exchangeWait, v, now)
	}
	n := 1 + max(0, min(want-1, int(prefetchPart*(min(a.bucket.Level, room)-1))))
	a.bucket.Level -= float64(n)
	a.granted += uint64(n)
	a.mix.own += float64(n)
	return n, Denial{}
}

// rate returns the rate of the bucket, for the calculation of waits.
func (a *account) rate(v View) float64 { return max(a.limit.RequestsPerSecond*v.Share, leastRate) }

// deny denies a request. It is asked to come back after those that were denied before it; other regions
// tell theirs to come back in the same time.
func (a *account) deny(next time.Duration, v View, now time.Time) Denial {
	debt := permitsTime(max(-a.bucket.Level, 0), a.rate(v))
	due := now.Add(next)
	if a.nextDue.Add(debt).After(due) {
		due = a.nextDue.Add(debt)
	}
	a.nextDue = due.Add(a.spacing(1, v) - debt)
	return Denial{Wait: due.Sub(now), Next: next}
}

// spacing returns the time in which n permits come for denied requests of this region.
func (a *account) spacing(n int, v View) time.Duration {
	return permitsTime(float64(n), a.rate(v)*a.mix.ownPart(v.regions()))
}

// settle applies what a gateway says of its use.
func (a *account) settle(r Usage, v View, now time.Time) {
	a.refill(v, now)
	a.returned += uint64(r.Returned)
	a.giveBack(float64(r.Returned), v)
	a.granted += uint64(r.Spent)
	a.mix.own += float64(r.Spent)
	a.charge(float64(r.Spent))
	if r.Denied > 0 && a.nextDue.After(now) {
		a.nextDue = a.nextDue.Add(a.spacing(r.Denied, v))
	}
}
