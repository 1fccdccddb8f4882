package jobs

import (
	"slices"
	"time"

	"github.com/catkinrudder/catkinrudder/balance"
	"github.com/catkinrudder/catkinrudder/catalog"
)

// originWait is how long an item that has output waits for a slot at the software that has
// begun it. After that it starts from the beginning at any backend server: in a release the
// last server of a version may stay full, and the item is due.
const originWait = time.Second

// search is the outcome of the search for a backend server for an item.
type search uint8

const (
	// slotFound: a backend server was chosen.
	slotFound search = iota + 1
	// waitsForOrigin: the software that has begun the item has no free slot.
	waitsForOrigin
	// noSlot: no backend server has a free slot.
	noSlot
	// waitsForGap: online requests will probably need the free slots.
	waitsForGap
)

// pickBackend chooses the backend server of an item's next run. An item that has output goes on
// at the software that has begun it, or drops the output.
func (r *runner) pickBackend(j openJob, u *run, used map[string]bool, now time.Time) (balance.Choice, search) {
	origin := u.progress.origin()
	if u.progress.started() && r.servesRoute(j, origin) {
		choice, found := r.pickOrigin(j, u, origin, used, now)
		if found != noSlot {
			return choice, found
		}
	}
	service := configuredService(j, u)
	excluded, held := r.gaps.exclude(service, r.backfillItem(j, u, service, now), used, now)
	if held {
		return balance.Choice{}, waitsForGap
	}
	choice, ok := r.s.opts.Table.Pick(r.s.opts.Backends(service), r.requirements(u, excluded), now)
	if !ok {
		return balance.Choice{}, noSlot
	}
	u.originWaitSince = time.Time{}
	if u.progress.started() && !choice.Backend.Runs(origin) {
		u.progress = u.progress.withoutOutput()
	}
	return choice, slotFound
}

// requirements returns the criteria of an item for its backend server. A run that may end its server goes to
// the least loaded one.
func (r *runner) requirements(u *run, excluded map[string]bool) balance.Requirements {
	return balance.Requirements{Class: balance.Batch, Exclude: excluded, LeastLoaded: r.s.opts.Quarantine.Check(u.suspects, balance.Batch).Held()}
}

// configuredService returns the service that the route chooses for an item.
func configuredService(j openJob, u *run) string {
	return j.route.PickService(float64(u.ref.item%10) / 10)
}

// serviceOf returns the service that an item is sent to next: that which has begun its output, or the
// one that the route chooses.
func (r *runner) serviceOf(j openJob, u *run) string {
	if origin := u.progress.origin(); u.progress.started() && r.servesRoute(j, origin) {
		return origin.Service
	}
	return configuredService(j, u)
}

// pickOrigin chooses a backend server that runs origin, which has begun the item. It returns
// noSlot if the item need not wait for one. The time that an item waits for a gap does not count.
func (r *runner) pickOrigin(j openJob, u *run, origin catalog.Software, used map[string]bool, now time.Time) (balance.Choice, search) {
	backends := r.s.opts.Backends(origin.Service)
	excluded, held := r.gaps.exclude(origin.Service, r.backfillItem(j, u, origin.Service, now), used, now)
	if held {
		return balance.Choice{}, waitsForGap
	}
	need := r.requirements(u, excluded)
	need.Origin = origin
	if choice, ok := r.s.opts.Table.Pick(backends, need, now); ok {
		u.originWaitSince = time.Time{}
		return choice, slotFound
	}
	if !slices.ContainsFunc(backends, func(b catalog.Backend) bool { return !b.Runs(origin) }) {
		return balance.Choice{}, noSlot
	}
	if u.originWaitSince.IsZero() {
		u.originWaitSince = now
	}
	if now.Sub(u.originWaitSince) < originWait {
		return balance.Choice{}, waitsForOrigin
	}
	return balance.Choice{}, noSlot
}

// servesRoute reports whether a backend server of a job's route runs the software s and takes
// items.
func (r *runner) servesRoute(j openJob, s catalog.Software) bool {
	onRoute := slices.ContainsFunc(j.route.Splits, func(split catalog.Split) bool { return split.Service == s.Service })
	return onRoute && slices.ContainsFunc(r.s.opts.Backends(s.Service), func(b catalog.Backend) bool {
		return b.State == catalog.Ready && b.Runs(s)
	})
}
