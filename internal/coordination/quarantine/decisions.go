package quarantine

import (
	"slices"
	"time"
)

// recentlyAnswered reports whether a request was answered within AnswerTTL.
func (t *Table) recentlyAnswered(request Fingerprint, now time.Duration) bool {
	at, ok := t.answered.last(request)
	return ok && now-at < t.config.AnswerTTL
}

// Held reports whether a request is held, and for how much longer.
func (t *Table) Held(request Fingerprint, now time.Duration) (time.Duration, bool) {
	s, ok := t.suspects[request]
	if !ok || !t.held(s, now) {
		return 0, false
	}
	return t.heldUntil(s) - now, true
}

// HeldCount returns the number of requests that are held.
func (t *Table) HeldCount(now time.Duration) int {
	n := 0
	for _, s := range t.suspects {
		if t.held(s, now) {
			n++
		}
	}
	return n
}

// CrashCount returns the number of processes that crashed under a request.
func (t *Table) CrashCount(request Fingerprint) int {
	if s, ok := t.suspects[request]; ok {
		return len(s.crashes)
	}
	return 0
}

// OneCrashFromHold reports whether the next crash of a process under a request causes the
// request to be held. Such a request is sent to one server at a time.
func (t *Table) OneCrashFromHold(request Fingerprint, now time.Duration) bool {
	s, ok := t.suspects[request]
	return ok && !t.recentlyAnswered(request, now) && (s.holdCount > 0 || len(t.countedCrashes(s, now)) >= t.config.MinCrashes-1)
}

func (t *Table) held(s *suspect, now time.Duration) bool {
	return s.holdCount > 0 && now < t.heldUntil(s)
}

// heldUntil returns when a request that was held may be sent again.
//
// The process that runs a request may have been fixed, or a request may be held that crashes
// nothing. If the request was refused forever, neither would be detected. The next crash
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

// countedCrashes returns the crashes up to the time before that count against a request.
// These are the crashes that are not attributed to a held request and that were not followed
// by a recent answer to this request.
//
// A request that many callers send is in flight at all servers that lose their power at
// once. If the request was answered recently, such crashes count once.
func (t *Table) countedCrashes(s *suspect, before time.Duration) []*crash {
	answeredAt, recent := t.answered.last(s.request)
	recent = recent && before-answeredAt < t.config.AnswerTTL
	var counted []*crash
	for _, c := range s.crashes {
		switch {
		case c.attributed || c.at > before || recent && c.at <= answeredAt:
		case recent && len(counted) > 0 && c.at-counted[len(counted)-1].at < t.config.CorrelationWindow:
		default:
			counted = append(counted, c)
		}
	}
	return counted
}

// hold holds a request and attributes to it each crash at which it was in flight.
//
// When a server that runs 16 requests crashes, 15 of them are not the cause. They are retried
// and may run beside the same cause again. Without the attribution these were refused too.
func (t *Table) hold(s *suspect, now time.Duration) {
	s.heldAt, s.holdCount = now, s.holdCount+1
	for _, c := range s.crashes {
		c.attributed = true
	}
	if !s.hasLocalCrash() {
		return
	}
	s.reported = true
	hold := Hold{Request: s.request, At: s.heldAt, Count: s.holdCount}
	t.queue(CrashReport{Holds: []Hold{hold}}, now)
	if last := s.crashes[len(s.crashes)-1]; slices.Contains(last.local, s.request) {
		t.newHolds = append(t.newHolds, hold)
	}
}

// Advance removes expired state, makes the decisions that are due, and returns the requests
// that are newly held.
func (t *Table) Advance(now time.Duration) []Fingerprint {
	t.prune(now)
	if !t.undecided {
		return nil
	}
	t.undecided = now-t.crashAddedAt <= t.config.CorrelationWindow
	var held []Fingerprint
	for s := t.nextHold(now); s != nil; s = t.nextHold(now) {
		t.hold(s, now)
		held = append(held, s.request)
	}
	return held
}

// nextHold returns the request to hold next, or nil. Of the requests that may be the cause
// and that this entry had in flight at a crash, it is the one with the most crashes.
func (t *Table) nextHold(now time.Duration) *suspect {
	var found *suspect
	highest := 0
	for _, s := range t.suspects {
		if s.holdCount > 0 || len(s.crashes) < t.config.MinCrashes || !s.hasLocalCrash() {
			continue
		}
		before := t.cutoff(s.request, now)
		n := len(t.countedCrashes(s, before))
		if n < t.config.MinCrashes || n <= highest || n < t.config.CertainCrashes && t.ambiguous(s, n, before) {
			continue
		}
		found, highest = s, n
	}
	return found
}

// cutoff returns the time up to which crashes are considered in a decision. A request that
// was answered recently gets more time, so that it can be answered once more.
func (t *Table) cutoff(request Fingerprint, now time.Duration) time.Duration {
	if t.recentlyAnswered(request, now) {
		return now - t.config.CorrelationWindow
	}
	return now - t.config.PropagationDelay
}

// hasLocalCrash reports whether this entry had the request in flight at one of its crashes.
//
// An entry that only received reports of the crashes may not know that the request was
// answered since, and its hold would be sent to all entries. Entries that had the request in
// flight decide, because other entries reply to their reports with the answers.
func (s *suspect) hasLocalCrash() bool {
	return slices.ContainsFunc(s.crashes, func(c *crash) bool { return slices.Contains(c.local, s.request) })
}

// ambiguous reports whether another request may have caused the same crashes.
//
// Of two requests that were in flight at the same servers, one may not be a cause of their
// crashes, and it was refused with the other. The next crash usually shows which one it is.
func (t *Table) ambiguous(s *suspect, n int, before time.Duration) bool {
	for _, other := range t.suspects {
		if other == s || other.holdCount > 0 || len(t.countedCrashes(other, before)) < n {
			continue
		}
		for _, c := range s.crashes {
			if !c.attributed && slices.Contains(other.crashes, c) {
				return true
			}
		}
	}
	return false
}
