package relays

import "slices"

// PrioritySemaphore limits concurrent fetches. It grants slots to the oldest
// version of a model first, and otherwise in the order of arrival. It is not
// safe for concurrent use.
//
// If a second target version is set while the origin is unavailable, entries that
// hold all of the first request the second, and must not delay the last pieces of
// the first.
type PrioritySemaphore struct {
	// Deferred reports whether a waiter currently goes after all others. It is
	// nil if no waiter does.
	Deferred func(Waiter) bool
	free     int
	waiters  []Waiter
}

// Waiter is a pending or granted request for a slot.
type Waiter struct {
	// Model and Version identify the weights to fetch.
	Model   string
	Version uint64
	// Granted is closed when the waiter has a slot.
	Granted chan struct{}
}

// NewPrioritySemaphore returns a semaphore with the given number of slots.
func NewPrioritySemaphore(slots int) *PrioritySemaphore { return &PrioritySemaphore{free: slots} }

// Acquire requests a slot for a version. Granted is closed immediately if a
// slot is free.
func (s *PrioritySemaphore) Acquire(model string, version uint64) Waiter {
	w := Waiter{Model: model, Version: version, Granted: make(chan struct{})}
	s.waiters = append(s.waiters, w)
	s.grantFree()
	return w
}

// HasWaiterBefore reports whether any waiter has priority over a version.
func (s *PrioritySemaphore) HasWaiterBefore(model string, version uint64) bool {
	request := Waiter{Model: model, Version: version}
	return slices.ContainsFunc(s.waiters, func(w Waiter) bool { return s.precedes(w, request) })
}

// precedes reports whether w has priority over a waiter that arrived earlier.
//
// Versions of different models are numbered independently. When they were
// compared across models, the last pieces of one model waited behind a whole
// set of another. A lower number is older only within a model.
func (s *PrioritySemaphore) precedes(w, other Waiter) bool {
	if s.Deferred != nil {
		if deferred := s.Deferred(w); deferred != s.Deferred(other) {
			return !deferred
		}
	}
	return w.Model == other.Model && w.Version < other.Version
}

// Release returns a slot.
func (s *PrioritySemaphore) Release() {
	s.free++
	s.grantFree()
}

// Cancel removes a waiter. It returns false if the waiter already has a slot,
// which must then be released.
func (s *PrioritySemaphore) Cancel(w Waiter) bool {
	for i, other := range s.waiters {
		if other.Granted == w.Granted {
			s.waiters = slices.Delete(s.waiters, i, i+1)
			return true
		}
	}
	return false
}

// grantFree grants free slots to the waiters with the highest priority.
func (s *PrioritySemaphore) grantFree() {
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
