package relays

import "slices"

// Slots grants a few places to those who draw, the oldest version first. It is
// not safe for concurrent use.
//
// Guard: while the origin was away a second version was named. Entries that had
// the first one whole asked for the second, and their requests lay before those
// for the last pieces of the first, 2.4 s of the origin's link.
type Slots struct {
	free    int
	waiting []Waiter
}

// Waiter is one who waits for a place.
type Waiter struct {
	// Version is that of the weights that it draws.
	Version uint64
	// Granted is closed when it has a place.
	Granted chan struct{}
}

// NewSlots returns so many free places.
func NewSlots(places int) *Slots { return &Slots{free: places} }

// Take takes a place for a version, or lets the waiter wait for one.
func (s *Slots) Take(version uint64) Waiter {
	w := Waiter{Version: version, Granted: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	s.grant()
	return w
}

// OlderWaits reports whether a version older than one waits for a place.
func (s *Slots) OlderWaits(version uint64) bool {
	return slices.ContainsFunc(s.waiting, func(w Waiter) bool { return w.Version < version })
}

// Give gives a place back.
func (s *Slots) Give() {
	s.free++
	s.grant()
}

// Leave ends a waiter's wait; it returns false if it has a place already, which
// it must give back.
func (s *Slots) Leave(w Waiter) bool {
	for i, other := range s.waiting {
		if other.Granted == w.Granted {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			return true
		}
	}
	return false
}

// grant gives free places to the first waiters of the oldest versions.
func (s *Slots) grant() {
	for s.free > 0 && len(s.waiting) > 0 {
		first := 0
		for i, w := range s.waiting {
			if w.Version < s.waiting[first].Version {
				first = i
			}
		}
		close(s.waiting[first].Granted)
		s.waiting = slices.Delete(s.waiting, first, first+1)
		s.free--
	}
}
