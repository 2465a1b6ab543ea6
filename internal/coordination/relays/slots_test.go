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
func TestTheOldestVersionIsDrawnFirst(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	running := s.Take(3)
	c.Assert(granted(running), qt.IsTrue)
	newer, older, oldest := s.Take(3), s.Take(2), s.Take(2)
	for _, want := range []Waiter{older, oldest, newer} {
		c.Assert(granted(want), qt.IsFalse)
		s.Give()
		c.Assert(granted(want), qt.IsTrue)
	}
	s.Give()
	c.Assert(granted(s.Take(9)), qt.IsTrue)
}

// One who gives up waiting must not be granted a place that nobody gives back.
func TestOneWhoLeavesTakesNoPlace(t *testing.T) {
	c := qt.New(t)
	s := NewSlots(1)
	s.Take(1)
	gone, stays := s.Take(1), s.Take(2)
	c.Assert(s.Leave(gone), qt.IsTrue)
	s.Give()
	c.Assert(granted(stays), qt.IsTrue)
	c.Assert(s.Leave(stays), qt.IsFalse)
}
