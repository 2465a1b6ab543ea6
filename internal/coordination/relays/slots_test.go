package relays

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func granted(w Waiter) bool {
	select {
	case <-w.Granted:
		return true
	default:
		return false
	}
}

// No server answers until the first of two versions is whole, and its last pieces
// lie behind many of the second. Whoever draws the older version goes first, in
// the order of asking, however many wait.
func TestOldestVersionIsGrantedFirst(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	running := s.Take("drafter", 3)
	c.Assert(granted(running), qt.IsTrue)
	newer, older, oldest := s.Take("drafter", 3), s.Take("drafter", 2), s.Take("drafter", 2)
	for _, want := range []Waiter{older, oldest, newer} {
		c.Assert(granted(want), qt.IsFalse)
		s.Give()
		c.Assert(granted(want), qt.IsTrue)
	}
	s.Give()
	c.Assert(granted(s.Take("drafter", 9)), qt.IsTrue)
}

// One who gives up waiting must not be granted a place that nobody gives back.
func TestCancelledWaiterIsNotGranted(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	s.Take("drafter", 1)
	gone, stays := s.Take("drafter", 1), s.Take("drafter", 2)
	c.Assert(s.Leave(gone), qt.IsTrue)
	s.Give()
	c.Assert(granted(stays), qt.IsTrue)
	c.Assert(s.Leave(stays), qt.IsFalse)
}

// The last pieces of one model waited behind the whole of another one, whose versions had
// lower numbers: numbers say which version is older within a model only.
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

// No server got a version while an older one was asked for that the origin had dropped:
// what cannot be had goes after all others, and before nobody who can draw.
func TestDeferredWaiterIsGrantedLast(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	s.Last = func(w Waiter) bool { return w.Version == 2 }
	s.Take("drafter", 2)
	gone, newest, newer := s.Take("drafter", 2), s.Take("drafter", 4), s.Take("drafter", 3)
	c.Assert(s.OtherFirst("drafter", 2), qt.IsTrue)
	c.Assert(s.OtherFirst("drafter", 3), qt.IsFalse)
	for _, want := range []Waiter{newer, newest, gone} {
		c.Assert(granted(want), qt.IsFalse)
		s.Give()
		c.Assert(granted(want), qt.IsTrue)
	}
}
