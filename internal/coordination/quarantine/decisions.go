package quarantine

import (
	"slices"
	"time"
)

// Verdict is what holds a request.
type Verdict struct {
	Feature Feature
	Kind    Kind
	// Left is how much longer the feature is held.
	Left time.Duration
	// Crashes is the number of crashes that this entry knows of.
	Crashes int
}

// Held reports whether a request is held, and by what for the longest time.
func (t *Table) Held(r *Request, now time.Duration) (Verdict, bool) {
	var found Verdict
	for f, kind := range r.features() {
		if s, ok := t.suspects[f]; ok && t.held(s, now) && t.heldUntil(s)-now > found.Left {
			found = Verdict{Feature: f, Kind: kind, Left: t.heldUntil(s) - now, Crashes: len(s.crashes)}
		}
	}
	return found, found.Left > 0
}

// IsHeld reports whether a feature is held.
func (t *Table) IsHeld(f Feature, now time.Duration) bool {
	s, ok := t.suspects[f]
	return ok && t.held(s, now)
}

// HeldCount returns the number of features of a kind that are held.
func (t *Table) HeldCount(kind Kind, now time.Duration) int {
	n := 0
	for _, s := range t.suspects {
		if s.kind == kind && t.held(s, now) {
			n++
		}
	}
	return n
}

// OneCrashFromHold reports whether the next crash of a process under a request causes the
// request itself to be held. Such a request is sent to one server at a time.
func (t *Table) OneCrashFromHold(fingerprint Feature, now time.Duration) bool {
	return t.oneCrashFromHold(fingerprint, now)
}

// AnyOneCrashFromHold reports whether the next crash of a process under a request causes anything
// to be held that the request has.
func (t *Table) AnyOneCrashFromHold(r *Request, now time.Duration) bool {
	for f := range r.features() {
		if t.oneCrashFromHold(f, now) {
			return true
		}
	}
	return false
}

func (t *Table) oneCrashFromHold(f Feature, now time.Duration) bool {
	s, ok := t.suspects[f]
	return ok && !t.recentlyAnswered(f, s.kind, now) && (s.holdCount > 0 || t.evidence(s, horizon{now, now}).crashes >= t.config.MinCrashes-1)
}

func (t *Table) held(s *suspect, now time.Duration) bool {
	return s.holdCount > 0 && now < t.heldUntil(s)
}

// heldUntil returns when requests with a feature that was held may be sent again.
//
// The process that runs a request may have been fixed, or a feature may be held that crashes
// nothing. If its requests were refused forever, neither would be detected. The next crash
// under it doubles the duration of its hold.
func (t *Table) heldUntil(s *suspect) time.Duration {
	hold := t.config.MaxHoldDuration
	if s.holdCount <= maxDoublings {
		hold = min(t.config.HoldDuration<<(s.holdCount-1), hold)
	}
	return s.heldAt + hold
}

// maxDoublings bounds how often the duration of a hold is doubled, so that it does not
// overflow.
const maxDoublings = 16

// hold holds a feature and attributes to it each crash at which a request with it was in flight.
//
// When a server that runs 16 requests crashes, 15 of them are not the cause. They are retried
// and may run beside the same cause again. Without the attribution these were refused too.
func (t *Table) hold(s *suspect, now time.Duration) {
	s.heldAt, s.holdCount = now, s.holdCount+1
	t.attribute(s)
	withdrawn := t.withdrawInstances(s, now)
	if !s.hasLocalCrash() {
		return
	}
	if len(withdrawn) > 0 {
		t.queue(CrashReport{Withdrawn: withdrawn}, now)
	}
	for _, w := range withdrawn {
		t.cleared = append(t.cleared, w.Feature)
	}
	s.reported = true
	hold := Hold{Feature: s.feature, Kind: s.kind, At: s.heldAt, Count: s.holdCount}
	t.queue(CrashReport{Holds: []Hold{hold}}, now)
	if last := s.crashes[len(s.crashes)-1]; last.hasLocal(s.feature, s.kind) {
		t.newHolds = append(t.newHolds, hold)
	}
}

// attribute makes a held feature the cause of its crashes.
func (t *Table) attribute(s *suspect) {
	for _, c := range s.crashes {
		if by := (cause{s.feature, s.kind}); !slices.Contains(c.causes, by) {
			c.causes = append(c.causes, by)
		}
	}
}

// withdrawInstances ends the holds of narrower features whose crashes are all explained by a wider
// one that is held, and returns them.
func (t *Table) withdrawInstances(wide *suspect, now time.Duration) []Clearance {
	var withdrawn []Clearance
	for _, s := range t.suspects {
		if s.holdCount == 0 || s.kind >= wide.kind || !s.explainedBy(wide) {
			continue
		}
		t.remove(s.feature)
		withdrawn = append(withdrawn, Clearance{Feature: s.feature, Kind: s.kind, At: now})
	}
	return withdrawn
}

// explainedBy reports whether a wider suspect explains all crashes of this one.
func (s *suspect) explainedBy(wide *suspect) bool {
	for _, c := range s.crashes {
		if !slices.Contains(c.causes, cause{wide.feature, wide.kind}) || !c.isInstance(cause{s.feature, s.kind}, wide.feature, wide.kind) {
			return false
		}
	}
	return len(s.crashes) > 0
}

// Advance removes expired state, makes the decisions that are due, and returns what is newly held.
func (t *Table) Advance(now time.Duration) []Verdict {
	t.prune(now)
	if !t.undecided {
		return nil
	}
	t.undecided = now-max(t.crashAddedAt, t.peersKnownAt) <= t.config.CorrelationWindow
	var held []Verdict
	for s, crashes := t.nextHold(now); s != nil; s, crashes = t.nextHold(now) {
		t.hold(s, now)
		held = append(held, Verdict{Feature: s.feature, Kind: s.kind, Left: t.heldUntil(s) - now, Crashes: crashes})
	}
	return held
}

// nextHold returns the feature to hold next and its number of crashes, or nil. Of the features that
// may be the cause and that a request of this entry had at a crash, it is the one with the most
// crashes, and of several the narrowest.
func (t *Table) nextHold(now time.Duration) (*suspect, int) {
	var found *suspect
	most := 0
	for _, s := range t.suspects {
		if s.holdCount > 0 || len(s.crashes) < t.config.MinCrashes || !s.hasLocalCrash() {
			continue
		}
		until := t.cutoff(s, now)
		e := t.evidence(s, until)
		if !t.sufficient(s, e) || s.localAt > until.known || e.crashes < most || e.crashes == most && compare(s, found) >= 0 {
			continue
		}
		if t.uncertain(s, e, until) {
			continue
		}
		found, most = s, e.crashes
	}
	return found, most
}
