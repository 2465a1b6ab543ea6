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
	s := NewSlots(1)
	holder := s.Take("drafter", 3)
	c.Assert(granted(holder), qt.IsTrue)
	newer, older1, older2 := s.Take("drafter", 3), s.Take("drafter", 2), s.Take("drafter", 2)
	for _, want := range []Waiter{older1, older2, newer} {
		c.Assert(granted(want), qt.IsFalse)
		s.Give()
		c.Assert(granted(want), qt.IsTrue)
	}
	s.Give()
	c.Assert(granted(s.Take("drafter", 9)), qt.IsTrue)
}

// A cancelled waiter must not be granted a slot, since nobody would release it.
func TestCancelledWaiterIsNotGranted(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	s.Take("drafter", 1)
	cancelled, remaining := s.Take("drafter", 1), s.Take("drafter", 2)
	c.Assert(s.Leave(cancelled), qt.IsTrue)
	s.Give()
	c.Assert(granted(remaining), qt.IsTrue)
	c.Assert(s.Leave(remaining), qt.IsFalse)
}

// The last pieces of one model waited behind a whole set of another, whose
// versions had lower numbers. The numbers order versions only within a model.
func TestVersionsAreOrderedPerModel(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	s.Take("drafter", 9)
	first, newer, other, older := s.Take("drafter", 5), s.Take("drafter", 9), s.Take("reader", 1), s.Take("drafter", 4)
	c.Assert(s.OtherFirst("drafter", 4), qt.IsFalse)
	c.Assert(s.OtherFirst("drafter", 5), qt.IsTrue)
	c.Assert(s.OtherFirst("writer", 7), qt.IsFalse)
	for _, want := range []Waiter{older, first, newer, other} {
		c.Assert(granted(want), qt.IsFalse)
		s.Give()
		c.Assert(granted(want), qt.IsTrue)
	}
}

// No server received a version while an older one was requested that the origin
// had removed. Waiters for an unavailable version must go after all others.
func TestDeferredWaiterIsGrantedLast(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	s.Last = func(w Waiter) bool { return w.Version == 2 }
	s.Take("drafter", 2)
	deferred, newest, newer := s.Take("drafter", 2), s.Take("drafter", 4), s.Take("drafter", 3)
	c.Assert(s.OtherFirst("drafter", 2), qt.IsTrue)
	c.Assert(s.OtherFirst("drafter", 3), qt.IsFalse)
	for _, want := range []Waiter{newer, newest, deferred} {
		c.Assert(granted(want), qt.IsFalse)
		s.Give()
		c.Assert(granted(want), qt.IsTrue)
	}
}
