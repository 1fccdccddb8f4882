package quota

import (
	"slices"
	"time"
)

const (
	// exchangeInterval is the least time between two messages to another owner. While most of what
	// may be handed out unseen is left, it is calmExchangeInterval for each of the other owners, so
	// that the messages of all of them don't grow with the square of the regions.
	exchangeInterval     = 50 * time.Millisecond
	calmExchangeInterval = 500 * time.Millisecond
	// calmPart is the part of what may be handed out unseen up to which an account is calm.
	calmPart = 0.25
	// calmLevel is the part of a bucket that is left while an account is calm.
	calmLevel = 0.5
	// agreeTime is the time in which two owners agree on what is left.
	agreeTime = time.Second
	// knownTolerance is by how much longer an owner must have known the use for a new one to
	// believe it. Owners that start together know as little as each other.
	knownTolerance = time.Second
)

// Exchange is a message from one owner of a workspace to another one: that of another region, or the
// one that follows it in its region.
type Exchange struct {
	Workspace string
	// Epoch identifies the sender's account, and Age is its age.
	Epoch uint32
	Age   time.Duration
	// Granted and Returned are its counts.
	Granted, Returned uint64
	// Seen is how many permits of the receiver's account SeenEpoch the sender knows of.
	SeenEpoch uint32
	Seen      uint64
	// Level is what all regions have left, as far as the sender knows; Known is for how long it
	// knows what was used.
	Level float64
	Known time.Duration
	// Echo is the age that the receiver's account SeenEpoch had in its last message, and the time
	// since that was received.
	Echo time.Duration
	// Urgent asks for a message in return at once.
	Urgent bool
	// Limit is the quota in the configuration Version of the sender. It is left out as long as the
	// receiver answers.
	Limit   Limit
	Version int64
}

// due reports whether a message to another owner is due.
func (a *account) due(name string, v View, now time.Time) bool {
	s := a.source(name)
	if s.sentAt.IsZero() || s.answer {
		return true
	}
	if (sentCounts{a.granted, a.returned, s.charged}) == s.sent && float64(a.granted-s.acked) < 1 {
		return false
	}
	interval := calmInterval(v)
	if a.tight(v) {
		interval = exchangeInterval
	}
	return now.Sub(s.sentAt) >= interval-exchangeInterval/2
}

// calmInterval returns the least time between two messages to another owner while an account is calm.
func calmInterval(v View) time.Duration {
	return time.Duration(len(v.Others)) * calmExchangeInterval
}

// tight reports whether much of what may be handed out unseen is, or something is while little is left.
func (a *account) tight(v View) bool {
	unseen := a.unseen(v)
	return unseen > calmPart*a.unseenAllowed(v) || unseen > 0 && a.bucket.Level < calmLevel*a.size(v)
}

// message returns the message to another owner.
func (a *account) message(workspace, name string, v View, now time.Time) Exchange {
	a.refill(v, now)
	s := a.source(name)
	first := s.sentAt.IsZero()
	repeated := a.granted > s.acked && a.granted == s.sent.granted
	s.sent, s.sentAt, s.answer = sentCounts{a.granted, a.returned, s.charged}, now, false
	m := Exchange{
		Workspace: workspace, Epoch: a.epoch, Age: now.Sub(a.createdAt), Granted: a.granted, Returned: a.returned,
		SeenEpoch: s.epoch, Seen: s.charged, Level: a.bucket.Level, Known: now.Sub(a.since),
		Urgent: first && a.fresh(now) || repeated || a.tight(v),
	}
	if !s.heardAt.IsZero() {
		m.Echo = s.heardAge + now.Sub(s.heardAt)
	}
	if s.heardAt.IsZero() || repeated {
		m.Limit, m.Version = a.limit, a.version
	}
	return m
}

// apply applies the message of another owner.
func (a *account) apply(m Exchange, from string, v View, now time.Time) {
	a.refill(v, now)
	s := a.source(from)
	s.answer = s.answer || m.Urgent
	switch known := s.epoch == m.Epoch; {
	case a.teaches(m, known && !s.lost, now):
		a.adopt(m, v)
	case s.lost:
	case !known:
		a.chargeCounts(m.Granted, m.Returned, v, now)
	case m.Granted < s.charged || m.Returned < s.chargedBack:
		return // it was overtaken by a newer one
	default:
		a.chargeCounts(m.Granted-s.charged, m.Returned-s.chargedBack, v, now)
	}
	if s.lost || s.epoch != m.Epoch {
		s.acked = a.granted
	} else {
		a.agree(m, now.Sub(s.heardAt), v, now)
	}
	s.epoch, s.charged, s.chargedBack, s.lost = m.Epoch, m.Granted, m.Returned, false
	s.heardAt, s.heardAge = now, m.Age
	if m.SeenEpoch == a.epoch {
		s.acked = max(s.acked, m.Seen)
	}
}

// agree moves the level towards that of another owner, so that errors of the past don't keep one region
// from its part. elapsed is the time since its last message.
func (a *account) agree(m Exchange, elapsed time.Duration, v View, now time.Time) {
	way := (now.Sub(a.createdAt) - m.Echo) / 2
	if m.SeenEpoch != a.epoch || m.Seen > a.granted || way < 0 || way > exchangeWait {
		return
	}
	flowed := a.limit.RequestsPerSecond * v.Share * way.Seconds()
	theirs := min(m.Level+flowed, a.size(v)) - float64(a.granted-m.Seen)
	a.bucket.Level += (theirs - a.bucket.Level) * min(elapsed.Seconds()/agreeTime.Seconds(), 1) / 2
}

// teaches reports whether the sender of a message knows better what is left: because this owner is a
// new one, or because its account is.
func (a *account) teaches(m Exchange, known bool, now time.Time) bool {
	if a.fresh(now) && m.Known > now.Sub(a.since)+knownTolerance {
		return true
	}
	settled := m.Known >= freshTime || m.Known >= now.Sub(a.since)
	return !known && settled && m.Age > now.Sub(a.createdAt)
}

// chargeCounts charges the bucket with what another owner has handed out.
func (a *account) chargeCounts(granted, returned uint64, v View, now time.Time) {
	if granted+returned > 0 {
		a.usedAt = now
	}
	a.mix.others += float64(granted)
	a.giveBack(float64(returned), v)
	a.charge(float64(granted))
}

// adopt takes over the level of an owner that knows more, less what was granted here that it doesn't
// know of.
func (a *account) adopt(m Exchange, v View) {
	unknown := a.granted
	if m.SeenEpoch == a.epoch {
		unknown -= min(m.Seen, a.granted)
	}
	a.adopted = true
	a.bucket.Level = min(m.Level-float64(unknown), a.size(v))
}

// markLost records which other owners are out of reach. What is granted meanwhile is none of theirs.
func (a *account) markLost(v View, now time.Time) {
	tight := a.tight(v)
	unseen := uint64(0)
	for name, s := range a.sources {
		if slices.Contains(v.Others, name) {
			if tight && now.Sub(s.heardAt) > deafTime && now.Sub(s.addedAt) > deafTime {
				s.lost, s.acked = true, a.granted
			}
			continue
		}
		if !s.lost {
			unseen = max(unseen, a.granted-s.acked)
		}
		s.lost, s.acked = true, a.granted
	}
	if len(v.Others) < a.regions {
		a.split(float64(unseen), v.Share/a.share)
	}
	a.regions, a.share = len(v.Others), v.Share
}

// split leaves their part of the bucket to regions that are out of reach, of which each one has taken
// what it has granted unseen from its own part.
func (a *account) split(unseen, part float64) {
	if left := a.bucket.Level + unseen; left > 0 && part < 1 {
		a.bucket.Level = left*part - unseen
	}
}
