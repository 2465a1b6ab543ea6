package relay

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// originSlot is the permission of one piece fetch to use one of the few slots for fetches
// from the origin. Initially no slot is acquired.
//
// After a failed attempt the fetch keeps its slot and releases it only if a fetch with a
// higher priority waits. Otherwise, when the origin recovers, pieces of a newer version
// would be fetched between two attempts of the last pieces of an older one, which all
// servers wait for.
type originSlot struct {
	relay *Relay
	id    catalog.ModelVersion
	// startedAt is when the fetch of the piece began.
	startedAt time.Duration
	// attemptedAt is when the current request to the origin began, or 0 if none is in
	// flight.
	attemptedAt time.Duration
	// acquired lists the semaphores of which this fetch has a slot, in the order of
	// acquisition.
	acquired []*relays.PrioritySemaphore
}

// newerConcurrency is how many pieces of a version one entry fetches at once while an
// older version is incomplete. Four entries fetch from the origin, and four pieces fill
// its link. More would take bandwidth from the entries that still fetch the older version.
const newerConcurrency = 1

// olderCheckInterval is the interval at which a fetch that waits for an older version
// checks whether that one still takes precedence.
const olderCheckInterval = 200 * time.Millisecond

// acquire waits until the piece may be fetched from the origin.
func (s *originSlot) acquire() {
	if len(s.acquired) > 0 {
		return
	}
	if s.relay.yieldsToOlder(s.id, boottime.Now()) {
		s.waitForOlder()
	}
	waiter := s.enqueue(s.relay.originSlots)
	<-waiter.Granted
	s.acquired = append(s.acquired, s.relay.originSlots)
}

// enqueue requests a slot without waiting for it.
func (s *originSlot) enqueue(slots *relays.PrioritySemaphore) relays.Waiter {
	s.relay.slotsMu.Lock()
	defer s.relay.slotsMu.Unlock()
	return slots.Acquire(s.id.Model, s.id.Version)
}

// waitForOlder waits for a slot for newer versions, or until no older version takes
// precedence any longer.
//
// All pieces of a version may have been requested while an older one took precedence.
// Without the repeated check they would be fetched one at a time even after the older one
// was complete or obsolete.
func (s *originSlot) waitForOlder() {
	waiter := s.enqueue(s.relay.newerSlots)
	ticker := time.NewTicker(olderCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-waiter.Granted:
			s.acquired = append(s.acquired, s.relay.newerSlots)
			return
		case <-ticker.C:
		}
		if !s.relay.yieldsToOlder(s.id, boottime.Now()) && s.cancelWait(waiter) {
			return
		}
	}
}

// cancelWait cancels the wait for a slot for newer versions. It returns false if the slot
// was already granted.
func (s *originSlot) cancelWait(waiter relays.Waiter) bool {
	s.relay.slotsMu.Lock()
	defer s.relay.slotsMu.Unlock()
	return s.relay.newerSlots.Cancel(waiter)
}

// attemptDone records the result of an attempt if it was a request to the origin. After a
// failure it releases the slot if a fetch with a higher priority waits.
func (s *originSlot) attemptDone(err error) {
	if s.attemptedAt == 0 {
		return
	}
	s.relay.recordOriginResult(s.id, s.attemptedAt, err)
	s.attemptedAt = 0
	if err == nil {
		return
	}
	s.relay.slotsMu.Lock()
	preempted := s.relay.originSlots.HasWaiterBefore(s.id.Model, s.id.Version)
	s.relay.slotsMu.Unlock()
	if preempted {
		s.release()
	}
}

// release releases all acquired slots.
func (s *originSlot) release() {
	s.relay.slotsMu.Lock()
	defer s.relay.slotsMu.Unlock()
	for _, slots := range s.acquired {
		slots.Release()
	}
	s.acquired = nil
}

// yieldsToOlder reports whether an older version of the same model takes precedence:
// servers need it, the origin serves it, and no server holds it or a newer one.
//
// Only an older version that is still being fetched for servers that lack it takes
// precedence. When servers had replaced a version, or abandoned it as not worth fetching,
// none would ever hold it. Newer versions were still fetched one piece at a time, at half
// the bandwidth of the origin's link.
func (r *Relay) yieldsToOlder(id catalog.ModelVersion, now time.Duration) bool {
	r.mu.Lock()
	newest := uint64(0)
	var versions []catalog.ModelVersion
	for _, v := range r.versions {
		if v.id.Model != id.Model {
			continue
		}
		versions = append(versions, v.id)
		if v.id.Version < id.Version && v.isWanted(now) && !v.hasLowestPriority(now) {
			newest = max(newest, v.id.Version)
		}
	}
	r.mu.Unlock()
	if newest == 0 {
		return false
	}
	for _, v := range versions {
		if v.Version >= newest && len(r.view.Holders(v)) > 0 {
			return false
		}
	}
	return true
}
