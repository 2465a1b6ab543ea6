// Package drain controls the planned stop of a process. The process announces
// the stop, accepts new work for a grace period while other processes receive
// the announcement, refuses new work afterwards, and exits when its work in
// flight has ended.
package drain

import "time"

// Config holds the timing settings of a planned stop.
type Config struct {
	// GracePeriod is how long new work is accepted after the announcement.
	GracePeriod time.Duration
	// MoveStreamsAfter is the time from the announcement to moving running
	// streams to other hosts. Orders are never moved.
	MoveStreamsAfter time.Duration
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{GracePeriod: 2 * time.Second, MoveStreamsAfter: 30 * time.Second}
}

// Phase is the progress of a planned stop.
type Phase int

// The phases in order. A stop never returns to an earlier phase.
const (
	PhaseLive Phase = iota
	// PhaseAnnounced accepts new work, but announces that it should be sent to
	// other hosts.
	PhaseAnnounced
	// PhaseRefusing accepts no new work.
	PhaseRefusing
	// PhaseMoving also ends running streams so that they continue on other
	// hosts.
	PhaseMoving
	// PhaseDone has no work in flight.
	PhaseDone
)

// Stop is the state machine of one process's planned stop.
type Stop struct {
	config      Config
	announcedAt time.Time
	phase       Phase
}

// New returns a stop that has not been announced.
func New(config Config) *Stop {
	return &Stop{config: config}
}

// Announce starts the stop. Further calls have no effect.
func (s *Stop) Announce(now time.Time) {
	if s.phase == PhaseLive {
		s.phase = PhaseAnnounced
		s.announcedAt = now
	}
}

// Advance returns the phase at now, given the number of requests in flight.
//
// A request that arrived after the last check of this number and before the
// exit would be cut off. PhaseDone is therefore reached only from a phase in
// which new work is refused, so that the number cannot rise again.
func (s *Stop) Advance(now time.Time, inFlight int) Phase {
	if s.phase == PhaseLive || s.phase == PhaseDone {
		return s.phase
	}
	elapsed := now.Sub(s.announcedAt)
	if s.phase == PhaseAnnounced && elapsed >= s.config.GracePeriod {
		s.phase = PhaseRefusing
	}
	if s.phase == PhaseRefusing && elapsed >= s.config.MoveStreamsAfter {
		s.phase = PhaseMoving
	}
	if s.phase >= PhaseRefusing && inFlight == 0 {
		s.phase = PhaseDone
	}
	return s.phase
}

// Announced reports whether the stop has been announced.
func (s *Stop) Announced() bool { return s.phase != PhaseLive }

// Accepts reports whether new work is accepted.
func (s *Stop) Accepts() bool { return s.phase <= PhaseAnnounced }
