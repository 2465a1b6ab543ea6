package relays

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// granted reports whether a waiter has a slot.
func granted(w Waiter) bool {
	select {
	case <-w.Granted:
		return true
	default:
		return false
	}
}

// No server serves the first of two versions until its last pieces arrive. They
// must not wait behind many pieces of the second, so waiters for the older
// version are granted first, in order of arrival.
func TestOldestVersionIsGrantedFirst(t *testing.T) {
	c := qt.New(t)
	s := NewPrioritySemaphore(1)
	holder := s.Acquire("drafter", 3)
	c.Assert(granted(holder), qt.IsTrue)
	newer, older1, older2 := s.Acquire("drafter", 3), s.Acquire("drafter", 2), s.Acquire("drafter", 2)
	for _, want := range []Waiter{older1, older2, newer} {
		c.Assert(granted(want), qt.IsFalse)
		s.Release()
		c.Assert(granted(want), qt.IsTrue)
	}
	s.Release()
	c.Assert(granted(s.Acquire("drafter", 9)), qt.IsTrue)
}

// A cancelled waiter must not be granted a slot, since nobody would release it.
func TestCancelledWaiterIsNotGranted(t *testing.T) {
	c := qt.New(t)
	s := NewPrioritySemaphore(1)
	s.Acquire("drafter", 1)
	cancelled, remaining := s.Acquire("drafter", 1), s.Acquire("drafter", 2)
	c.Assert(s.Cancel(cancelled), qt.IsTrue)
	s.Release()
	c.Assert(granted(remaining), qt.IsTrue)
	c.Assert(s.Cancel(remaining), qt.IsFalse)
}

// The last pieces of one model waited behind a whole set of another, whose
// versions had lower numbers. The numbers order versions only within a model.
func TestVersionsAreOrderedPerModel(t *testing.T) {
	c := qt.New(t)
	s := NewPrioritySemaphore(1)
	s.Acquire("drafter", 9)
	first, newer, other, older := s.Acquire("drafter", 5), s.Acquire("drafter", 9), s.Acquire("reader", 1), s.Acquire("drafter", 4)
	c.Assert(s.HasWaiterBefore("drafter", 4), qt.IsFalse)
	c.Assert(s.HasWaiterBefore("drafter", 5), qt.IsTrue)
	c.Assert(s.HasWaiterBefore("writer", 7), qt.IsFalse)
	for _, want := range []Waiter{older, first, newer, other} {
		c.Assert(granted(want), qt.IsFalse)
		s.Release()
		c.Assert(granted(want), qt.IsTrue)
	}
}

// No server received a version while an older one was requested that the origin
// had removed. Waiters for an unavailable version must go after all others.
func TestDeferredWaiterIsGrantedLast(t *testing.T) {
	c := qt.New(t)
	s := NewPrioritySemaphore(1)
	s.Deferred = func(w Waiter) bool { return w.Version == 2 }
	s.Acquire("drafter", 2)
	deferred, newest, newer := s.Acquire("drafter", 2), s.Acquire("drafter", 4), s.Acquire("drafter", 3)
	c.Assert(s.HasWaiterBefore("drafter", 2), qt.IsTrue)
	c.Assert(s.HasWaiterBefore("drafter", 3), qt.IsFalse)
	for _, want := range []Waiter{newer, newest, deferred} {
		c.Assert(granted(want), qt.IsFalse)
		s.Release()
		c.Assert(granted(want), qt.IsTrue)
	}
}
