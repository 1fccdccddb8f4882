// Package intake bounds what a process keeps of the responses of backend servers.
//
// Each response has a bound of its own, but many that reach it at once can exceed the memory of the
// process together. What a response keeps beyond FreeBytes counts toward a budget of the process. When the
// budget is exceeded, responses are dropped in an order, and free what they keep.
package intake

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// FreeBytes is what each response may keep without counting toward the budget.
	FreeBytes = 16 << 10
	// memoryFraction is by what the process's memory is divided to get the budget, which is minBudgetBytes at
	// least.
	memoryFraction = 8
	minBudgetBytes = 8 << 20
	// roomFraction is by what the budget is divided to get what must be free for HasRoom.
	roomFraction = 4
	// seniorFor is the age up to which NewestFirst drops newer responses before a response. Older ones are dropped
	// before all others, because one without end may send a little now and then for ever.
	seniorFor = 30 * time.Second
)

// Order is the order in which responses are dropped.
type Order uint8

const (
	// LargestFirst drops the response that keeps the most. It suits responses of which little is kept at a
	// time, as one without end keeps more than the others.
	LargestFirst Order = iota
	// NewestFirst drops the response that began last, so that older ones come to an end; but first those that are
	// older than seniorFor, the largest of them first. It suits responses that are kept whole.
	NewestFirst
)

// ErrDropped is returned for a response that was dropped to make room for others.
var ErrDropped = errors.New("intake: too much is kept of all responses, and this one was dropped")

// Budget bounds the bytes that all accounts together keep. It is safe for concurrent use.
type Budget struct {
	order     Order
	limit     int64
	onDropped func()

	mu    sync.Mutex
	total int64
	// counted holds the accounts that keep more than FreeBytes.
	counted map[*Account]struct{}
	lastID  uint64
}

// NewBudget returns the budget of a process with processBytes of memory. It calls onDropped, if it is set,
// for each account that is dropped.
func NewBudget(order Order, processBytes int64, onDropped func()) *Budget {
	return newBudget(order, max(processBytes/memoryFraction, minBudgetBytes), onDropped)
}

func newBudget(order Order, limit int64, onDropped func()) *Budget {
	if onDropped == nil {
		onDropped = func() {}
	}
	return &Budget{order: order, limit: limit, onDropped: onDropped, counted: make(map[*Account]struct{})}
}

// Unbounded returns a budget that drops nothing.
func Unbounded() *Budget { return newBudget(LargestFirst, math.MaxInt64, nil) }

// Kept returns the bytes that count toward the budget.
func (b *Budget) Kept() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// HasRoom reports whether enough of the budget is free for another response to begin.
func (b *Budget) HasRoom() bool { return b.Kept() <= b.limit-b.limit/roomFraction }

// Account is what a process keeps of one response.
type Account struct {
	budget *Budget
	// The fields below are guarded by the budget's lock. A response that began later has a higher id.
	id    uint64
	began time.Time
	// counted is how many of the bytes that are kept count toward the budget.
	counted int64
	pinned  bool
	dropped bool
	// release tells the holder of the account to free its bytes; it may be nil.
	release func()
}

// Open returns an account of a response that keeps nothing yet. When the account is dropped, release is
// called if it is set; it must not block or use the budget. The caller must call Close.
func (b *Budget) Open(release func()) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	return &Account{budget: b, id: b.lastID, began: time.Now(), release: release}
}

// Keep states that n bytes of the response in all are kept from now on. It returns ErrDropped if the account
// has been dropped, now or before; then nothing of the response may be kept any more.
func (a *Account) Keep(n int64) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.dropped {
		return ErrDropped
	}
	a.budget.count(a, max(n-FreeBytes, 0))
	for a.budget.total > a.budget.limit {
		first := a.budget.firstToDrop(time.Now())
		if first == nil {
			break
		}
		a.budget.drop(first)
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

// Reopen states that another response goes on with what the account keeps, with another release function. If the
// account was dropped, its holder has freed all that it kept before.
func (a *Account) Reopen(release func()) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.lastID++
	a.id, a.began = a.budget.lastID, time.Now()
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

// firstToDrop returns the account to drop first, or nil if there is none that may be dropped. The caller holds mu.
func (b *Budget) firstToDrop(now time.Time) *Account {
	var first *Account
	for a := range b.counted {
		if !a.pinned && (first == nil || b.precedes(a, first, now)) {
			first = a
		}
	}
	return first
}

// precedes reports whether x is dropped before y.
func (b *Budget) precedes(x, y *Account, now time.Time) bool {
	bySize := b.order == LargestFirst
	if b.order == NewestFirst {
		seniorX, seniorY := now.Sub(x.began) >= seniorFor, now.Sub(y.began) >= seniorFor
		if seniorX != seniorY {
			return seniorX
		}
		bySize = seniorX
	}
	if bySize && x.counted != y.counted {
		return x.counted > y.counted
	}
	return x.id > y.id
}

// drop drops an account, which frees its bytes at once. The caller holds mu.
func (b *Budget) drop(a *Account) {
	b.count(a, 0)
	a.dropped = true
	b.onDropped()
	if a.release != nil {
		a.release()
	}
}
