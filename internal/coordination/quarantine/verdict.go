package quarantine

import (
	"slices"
	"time"
)

// trusted reports whether a request was answered lately.
func (t *Table) trusted(request Fingerprint, now time.Duration) bool {
	at, ok := t.answered.at(request)
	return ok && now-at < t.config.Trust
}

// Held reports whether a request is kept from all servers, and for how long still.
func (t *Table) Held(request Fingerprint, now time.Duration) (time.Duration, bool) {
	s, ok := t.suspects[request]
	if !ok || !t.held(s, now) {
		return 0, false
	}
	return t.until(s) - now, true
}

// HeldCount is how many requests are held.
func (t *Table) HeldCount(now time.Duration) int {
	n := 0
	for _, s := range t.suspects {
		if t.held(s, now) {
			n++
		}
	}
	return n
}

// Ends is how many processes ended under a request.
func (t *Table) Ends(request Fingerprint) int {
	if s, ok := t.suspects[request]; ok {
		return len(s.ends)
	}
	return 0
}

// Suspected reports whether the next end of a process under a request is the one for which
// it is held. It then is sent to one server at a time.
func (t *Table) Suspected(request Fingerprint, now time.Duration) bool {
	s, ok := t.suspects[request]
	return ok && !t.trusted(request, now) && (s.times > 0 || len(t.against(s, now)) >= t.config.Ends-1)
}

func (t *Table) held(s *suspect, now time.Duration) bool { return s.times > 0 && now < t.until(s) }

// until is when a request that was held may be sent again.
//
// Guard: what runs a request may be mended, and a request may be held that ends nothing;
// refused for ever, neither would be seen. The next end under it holds it twice as long.
func (t *Table) until(s *suspect) time.Duration {
	hold := t.config.HoldMost
	if s.times <= doublings {
		hold = min(t.config.Hold<<(s.times-1), hold)
	}
	return s.since + hold
}

// doublings is how often the time of a hold doubles at most, so that it stays a time.
const doublings = 16

// against returns the ends before a time that count against a request: those that nothing
// else explains, and that it was not answered after.
//
// Guard: a request that many callers send is under way at all servers that lose their power
// at once. Of one that servers answer, such ends count once.
func (t *Table) against(s *suspect, before time.Duration) []*end {
	answered, trusted := t.answered.at(s.request)
	trusted = trusted && before-answered < t.config.Trust
	var ends []*end
	for _, e := range s.ends {
		switch {
		case e.explained || e.at > before || trusted && e.at <= answered:
		case trusted && len(ends) > 0 && e.at-ends[len(ends)-1].at < t.config.Together:
		default:
			ends = append(ends, e)
		}
	}
	return ends
}

// hold keeps a request from all servers, and takes it for the cause of each end that it
// was there for.
//
// Guard: a server that runs 16 requests ends with 15 that have no part in it, which are
// sent again and may meet the same one again. Counted alone, they were refused too.
func (t *Table) hold(s *suspect, now time.Duration) {
	s.since, s.times = now, s.times+1
	for _, e := range s.ends {
		e.explained = true
	}
	if !s.mine() {
		return
	}
	s.told = true
	hold := Hold{Request: s.request, At: s.since, Times: s.times}
	t.tell(News{Holds: []Hold{hold}}, now)
	if last := s.ends[len(s.ends)-1]; slices.Contains(last.mine, s.request) {
		t.made = append(t.made, hold)
	}
}

// Advance takes note of what time has brought, and returns the requests that are held
// from now on.
func (t *Table) Advance(now time.Duration) []Fingerprint {
	t.sweep(now)
	if !t.undecided {
		return nil
	}
	t.undecided = now-t.markedAt <= t.config.Together
	var held []Fingerprint
	for s := t.verdict(now); s != nil; s = t.verdict(now) {
		t.hold(s, now)
		held = append(held, s.request)
	}
	return held
}

// verdict returns the request that is to be held next: of those that may be the cause, and
// that this entry had at an end, the one under which the most processes have ended.
func (t *Table) verdict(now time.Duration) *suspect {
	var found *suspect
	most := 0
	for _, s := range t.suspects {
		if s.times > 0 || len(s.ends) < t.config.Ends || !s.mine() {
			continue
		}
		before := t.decided(s.request, now)
		n := len(t.against(s, before))
		if n < t.config.Ends || n <= most || n < t.config.Certain && t.rivalled(s, n, before) {
			continue
		}
		found, most = s, n
	}
	return found
}

// decided returns the time up to which ends are decided on. A request that is answered has
// the time to be answered once more.
func (t *Table) decided(request Fingerprint, now time.Duration) time.Duration {
	if t.trusted(request, now) {
		return now - t.config.Together
	}
	return now - t.config.Settle
}

// mine reports whether this entry had the request at one of its ends.
//
// Guard: an entry that only heard of the ends may not know that the request was answered
// since; its verdict would be told to all. Those that had it decide, and are told.
func (s *suspect) mine() bool {
	return slices.ContainsFunc(s.ends, func(e *end) bool { return slices.Contains(e.mine, s.request) })
}

// rivalled reports whether another request explains the same ends as well.
//
// Guard: of two requests that were under way at the same servers one may have no part in
// their ends. It was refused with the other; the next end mostly tells them apart.
func (t *Table) rivalled(s *suspect, n int, before time.Duration) bool {
	for _, other := range t.suspects {
		if other == s || other.times > 0 || len(t.against(other, before)) < n {
			continue
		}
		for _, e := range s.ends {
			if !e.explained && slices.Contains(other.ends, e) {
				return true
			}
		}
	}
	return false
}
