// Package intake bounds what a process keeps of the responses of backend servers.
//
// Each response has a bound of its own, but many that reach it at once can exceed the memory of the
// process together. A response keeps a little for free. What it keeps beyond that counts toward a budget
// of the process; when the budget is exceeded, the response that keeps the most is dropped first. One
// without end keeps more than the others, so it makes room for them.
package intake

import (
	"math"
	"sync"

	"github.com/pkg/errors"
)

const (
	// FreeBytes is what each response may keep without counting toward the budget.
	FreeBytes = 16 << 10
	// memoryFraction is the part of the process's memory, as a divisor, that the budget is; it is
	// minBudgetBytes at least.
	memoryFraction = 8
	minBudgetBytes = 8 << 20
)

// ErrDropped is returned for a response that was dropped to make room for others.
var ErrDropped = errors.New("intake: too much is kept of responses, and most of this one")

// Budget bounds the bytes that all accounts together keep. It is safe for concurrent use.
type Budget struct {
	limit     int64
	onDropped func()

	mu    sync.Mutex
	total int64
	// counted holds the accounts that keep more than FreeBytes.
	counted map[*Account]struct{}
	last    uint64
}

// NewBudget returns the budget of a process with processBytes of memory. It calls onDropped, if it is set,
// for each account that is dropped.
func NewBudget(processBytes int64, onDropped func()) *Budget {
	return newBudget(max(processBytes/memoryFraction, minBudgetBytes), onDropped)
}

func newBudget(limit int64, onDropped func()) *Budget {
	if onDropped == nil {
		onDropped = func() {}
	}
	return &Budget{limit: limit, onDropped: onDropped, counted: make(map[*Account]struct{})}
}

// Unbounded returns a budget that drops nothing.
func Unbounded() *Budget { return newBudget(math.MaxInt64, nil) }

// Kept returns the bytes that count toward the budget.
func (b *Budget) Kept() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Account is what a process keeps of one response.
type Account struct {
	budget *Budget
	id     uint64
	// The fields below are guarded by the budget's lock.
	counted int64
	pinned  bool
	dropped bool
	// release makes the holder of the account let go of its bytes; it may be nil.
	release func()
}

// Open returns an account of a response that keeps nothing yet. When the account is dropped, release is
// called if it is set; it must not block or use the budget. The caller must call Close.
func (b *Budget) Open(release func()) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	return &Account{budget: b, id: b.last, release: release}
}

// Keep states that n bytes of the response are kept from now on. It returns ErrDropped if the account
// has been dropped, now or before; then nothing of the response may be kept any more.
func (a *Account) Keep(n int64) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.dropped {
		return ErrDropped
	}
	a.budget.count(a, max(n-FreeBytes, 0))
	for a.budget.total > a.budget.limit {
		largest := a.budget.largest()
		if largest == nil {
			break
		}
		a.budget.drop(largest)
	}
	if a.dropped {
		return ErrDropped
	}
	return nil
}

// TryKeep is Keep, but changes nothing and returns false if another account would have to be dropped.
func (a *Account) TryKeep(n int64) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	counted := max(n-FreeBytes, 0)
	if a.dropped || counted > a.counted && a.budget.total+counted-a.counted > a.budget.limit {
		return false
	}
	a.budget.count(a, counted)
	return true
}

// Pin keeps the account from being dropped: its bytes are needed until Close.
func (a *Account) Pin() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.pinned = true
}

// Reopen lets a dropped account keep bytes again, with another release function. Its holder has let
// go of all that it kept before.
func (a *Account) Reopen(release func()) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.dropped, a.release = false, release
}

// Dropped reports whether the account has been dropped.
func (a *Account) Dropped() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.dropped
}

// Close ends the account: nothing of the response is kept any more.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.count(a, 0)
	a.release = nil
}

// count sets the bytes of an account that count. The caller holds mu.
func (b *Budget) count(a *Account, n int64) {
	b.total += n - a.counted
	a.counted = n
	if n > 0 {
		b.counted[a] = struct{}{}
		return
	}
	delete(b.counted, a)
}

// largest returns the account that keeps the most and may be dropped, the newest one of equals, or nil
// if there is none. The caller holds mu.
func (b *Budget) largest() *Account {
	var found *Account
	for a := range b.counted {
		if a.pinned {
			continue
		}
		if found == nil || a.counted > found.counted || a.counted == found.counted && a.id > found.id {
			found = a
		}
	}
	return found
}

// drop drops an account. The caller holds mu.
func (b *Budget) drop(a *Account) {
	b.count(a, 0)
	a.dropped = true
	b.onDropped()
	if a.release != nil {
		a.release()
	}
}
