package intake

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const mib = 1 << 20

func TestLargestResponseMakesRoomForOthers(t *testing.T) {
	released := 0
	b := newBudget(LargestFirst, 4*mib, nil)
	endless := b.Open(func() { released++ })
	for n := int64(0); n <= 3*mib; n += mib / 4 {
		assert.NilError(t, endless.Keep(n))
	}
	for range 4 {
		assert.NilError(t, b.Open(nil).Keep(mib/2))
	}
	assert.Equal(t, released, 1)
	assert.Assert(t, endless.Dropped())
	assert.Assert(t, errors.Is(endless.Keep(1), ErrDropped))
	assert.Assert(t, b.Kept() <= 2*mib)
}

func TestShortResponsesCountNothing(t *testing.T) {
	b := newBudget(LargestFirst, 1, nil)
	for range 10000 {
		assert.NilError(t, b.Open(nil).Keep(FreeBytes))
	}
	assert.Equal(t, b.Kept(), int64(0))
}

func TestPinnedResponseIsNotDropped(t *testing.T) {
	b := newBudget(LargestFirst, 4*mib, nil)
	complete, running := b.Open(nil), b.Open(nil)
	assert.NilError(t, complete.Keep(3*mib))
	complete.Pin()
	assert.Assert(t, errors.Is(running.Keep(2*mib), ErrDropped))
	assert.Assert(t, !complete.Dropped())
	complete.Close()
	running.Reopen(nil)
	assert.NilError(t, running.Keep(2*mib))
}

// TestOldOutputsComeToAnEndBesideNewOnes plays many equal outputs that together need far more than the budget. If the
// largest went first, none would ever be complete.
func TestOldOutputsComeToAnEndBesideNewOnes(t *testing.T) {
	const outputs, whole, step = 40, mib, 64 << 10
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(NewestFirst, 4*mib, nil)
		accounts, kept, open := make([]*Account, outputs), make([]int64, outputs), outputs
		for i := range accounts {
			accounts[i] = b.Open(nil)
		}
		for range 2000 {
			time.Sleep(10 * time.Millisecond)
			for i, a := range accounts {
				if a == nil {
					continue
				}
				if a.Dropped() {
					kept[i] = 0
					a.Reopen(nil)
				}
				if kept[i] += step; a.Keep(kept[i]) == nil && kept[i] >= whole {
					a.Close()
					accounts[i] = nil
					open--
				}
			}
		}
		assert.Equal(t, open, 0)
	})
}

// TestOutputThatLastsForEverMakesRoom covers one that grows by a little now and then.
func TestOutputThatLastsForEverMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(NewestFirst, 4*mib, nil)
		endless := b.Open(nil)
		assert.NilError(t, endless.Keep(4*mib))
		sound := b.Open(nil)
		assert.Assert(t, errors.Is(sound.Keep(mib), ErrDropped))
		time.Sleep(seniorFor)
		sound.Reopen(nil)
		assert.NilError(t, sound.Keep(mib))
		assert.Assert(t, endless.Dropped())
	})
}

// TestNoSequenceOfCallsExceedsTheBudget plays random calls and compares the sum with a model of it.
func TestNoSequenceOfCallsExceedsTheBudget(t *testing.T) {
	const limit = 8 * mib
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := newBudget(Order(seed%2), limit, nil)
		accounts, kept := make([]*Account, 40), make([]int64, 40)
		for i := range accounts {
			accounts[i] = b.Open(nil)
		}
		for range 2000 {
			i := r.IntN(len(accounts))
			switch a := accounts[i]; r.IntN(8) {
			case 0:
				a.Close()
				accounts[i], kept[i] = b.Open(nil), 0
			case 1:
				if a.Dropped() {
					a.Reopen(nil)
					kept[i] = 0
				}
			default:
				n := r.Int64N(4 * mib)
				if a.Keep(n) == nil {
					kept[i] = n
				}
			}
			sum := int64(0)
			for k, a := range accounts {
				if !a.Dropped() {
					sum += max(kept[k]-FreeBytes, 0)
				}
			}
			assert.Equal(t, b.Kept(), sum, "seed %d", seed)
			assert.Assert(t, sum <= limit, "seed %d", seed)
		}
	}
}
