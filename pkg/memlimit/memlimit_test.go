package memlimit

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// A faulty sender must not take the memory that others need, and what is released must be
// there again.
func TestOneOwnerLeavesTheRest(t *testing.T) {
	b := NewBudget(1000)
	var faulty []Reservation
	for range 20 {
		r := b.For("faulty")
		r.Grow(100)
		faulty = append(faulty, r)
	}
	assert.Equal(t, b.Used(), int64(200))
	sound := b.For("sound")
	assert.Assert(t, sound.Grow(250))
	assert.Assert(t, !sound.Grow(1))
	for n := range faulty {
		faulty[n].Release()
		faulty[n].Release()
	}
	sound.Release()
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, len(b.byOwner), 0)
}

// Reservations that overlap must never exceed the budget.
func TestBudgetHoldsForConcurrentReservations(t *testing.T) {
	b := NewBudget(1000)
	var group sync.WaitGroup
	for n := range 16 {
		group.Go(func() {
			for range 1000 {
				r := b.For(string(rune('a' + n)))
				r.Grow(90)
				r.Grow(90)
				assert.Check(t, b.Used() <= 1000)
				r.Release()
			}
		})
	}
	group.Wait()
	assert.Equal(t, b.Used(), int64(0))
}

// Without a budget everything is allowed.
func TestNoBudgetHasNoBound(t *testing.T) {
	var b *Budget
	r := b.For("a")
	assert.Assert(t, r.Grow(1<<40))
	r.Release()
	assert.Equal(t, b.Used(), int64(0))
}

// Large reservations must leave a part of the budget to small ones, and one reservation must
// leave half of it to others.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	b := NewCallerBudget(4 << 20)
	first, second, third, small := b.For("body"), b.For("body"), b.For("body"), b.For("head")
	assert.Assert(t, !first.Grow(2<<20+1))
	assert.Assert(t, first.Grow(2<<20))
	assert.Assert(t, second.Grow(1<<20))
	assert.Assert(t, !third.Grow(SmallBytes+1))
	assert.Assert(t, small.Grow(SmallBytes))
	assert.Assert(t, !small.Grow(1))
	assert.Equal(t, b.UsedBy("body"), int64(3<<20))
	second.Shrink(1 << 19)
	assert.Assert(t, third.Grow(1<<19-SmallBytes))
}
