package drain_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/drain"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func TestPhasesOfAPlannedStop(t *testing.T) {
	c := qt.New(t)
	s := drain.New(drain.DefaultConfig())
	c.Assert(s.Advance(epoch, 0), qt.Equals, drain.PhaseLive)
	s.Announce(epoch)
	for _, step := range []struct {
		after    time.Duration
		inFlight int
		phase    drain.Phase
		accepts  bool
	}{
		{0, 3, drain.PhaseAnnounced, true},
		{time.Second, 0, drain.PhaseAnnounced, true},
		{2 * time.Second, 3, drain.PhaseRefusing, false},
		{20 * time.Second, 1, drain.PhaseRefusing, false},
		{30 * time.Second, 1, drain.PhaseMoving, false},
		{31 * time.Second, 0, drain.PhaseDone, false},
		{32 * time.Second, 5, drain.PhaseDone, false},
	} {
		c.Assert(s.Advance(epoch.Add(step.after), step.inFlight), qt.Equals, step.phase, qt.Commentf("after %s", step.after))
		c.Assert(s.Accepts(), qt.Equals, step.accepts)
	}
}

// A host that is idle right after the announcement must not exit, because a
// request that arrives within the grace period would be cut off.
func TestNoExitWhileNewWorkIsAccepted(t *testing.T) {
	c := qt.New(t)
	s := drain.New(drain.DefaultConfig())
	s.Announce(epoch)
	c.Assert(s.Advance(epoch.Add(time.Millisecond), 0), qt.Equals, drain.PhaseAnnounced)
	c.Assert(s.Accepts(), qt.IsTrue)
}

// A stopping host must refuse new work after the grace period, also while it
// still has work in flight.
func TestNewWorkIsRefusedAfterTheGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := drain.New(drain.DefaultConfig())
	s.Announce(epoch)
	s.Announce(epoch.Add(time.Hour))
	s.Advance(epoch.Add(3*time.Second), 100)
	c.Assert(s.Accepts(), qt.IsFalse)
}
