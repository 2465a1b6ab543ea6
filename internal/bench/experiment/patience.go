package experiment

import "time"

// running is what an entry knows of a running attempt whose answer is not complete.
type running struct {
	begun             bool
	silent            time.Duration
	stalled, replaced bool
}

// patience holds the times of silence after which something is done about an attempt.
type patience struct {
	stall, head, gap time.Duration
}

// due reports whether a server has been silent for too long.
func (p patience) due(r running) bool {
	switch {
	case r.replaced:
		return true
	case r.begun:
		return r.silent >= p.gap
	case r.stalled && r.silent >= p.stall:
		return true
	}
	return r.silent >= p.head
}

// checkIn returns the time until due may next change as the silence goes on, and at least atLeast.
func (p patience) checkIn(r running, atLeast time.Duration) time.Duration {
	until := p.gap
	if !r.begun {
		until = p.stall
	}
	return max(until-r.silent, atLeast)
}
