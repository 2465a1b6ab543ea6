package relays

import "slices"

// Slots grants a few places to those who draw, the oldest version of a model first,
// models in the order of asking. It is not safe for concurrent use.
//
// Guard: if a second version is named while the origin is away, entries that have the first one whole
// ask for the second, and must not delay the last pieces of the first.
type Slots struct {
	// Last reports whether a waiter goes after all others for now; nil if none does.
	Last    func(Waiter) bool
	free    int
	waiters []Waiter
}

// Waiter is one who waits for a place.
type Waiter struct {
	// Model and Version are those of the weights that it draws.
	Model   string
	Version uint64
	// Granted is closed when it has a place.
	Granted chan struct{}
}

// NewSlots returns so many free places.
func NewSlots(places int) *Slots { return &Slots{free: places} }

// Take takes a place for a version, or lets the waiter wait for one.
func (s *Slots) Take(model string, version uint64) Waiter {
	w := Waiter{Model: model, Version: version, Granted: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	s.grantFree()
	return w
}

// OtherFirst reports whether one who waits for a place goes before a version.
func (s *Slots) OtherFirst(model string, version uint64) bool {
	asked := Waiter{Model: model, Version: version}
	return slices.ContainsFunc(s.waiters, func(w Waiter) bool { return s.precedes(w, asked) })
}

// precedes reports whether one goes before another who asked earlier.
//
// Guard: versions of two models are numbered each for itself, and the last pieces of one
// waited behind the whole of another; only within a model is a lower number older.
func (s *Slots) precedes(w, other Waiter) bool {
	if s.Last != nil {
		if last := s.Last(w); last != s.Last(other) {
			return !last
		}
	}
	return w.Model == other.Model && w.Version < other.Version
}

// Give gives a place back.
func (s *Slots) Give() {
	s.free++
	s.grantFree()
}

// Leave ends a waiter's wait; it returns false if it has a place already, which
// it must give back.
func (s *Slots) Leave(w Waiter) bool {
	for i, other := range s.waiters {
		if other.Granted == w.Granted {
			s.waiters = slices.Delete(s.waiters, i, i+1)
			return true
		}
	}
	return false
}

// grantFree gives free places to those who go first.
func (s *Slots) grantFree() {
	for s.free > 0 && len(s.waiters) > 0 {
		first := 0
		for i, w := range s.waiters {
			if s.precedes(w, s.waiters[first]) {
				first = i
			}
		}
		close(s.waiters[first].Granted)
		s.waiters = slices.Delete(s.waiters, first, first+1)
		s.free--
	}
}
