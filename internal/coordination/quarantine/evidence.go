package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// lastAnswer returns when requests with a feature were last answered.
func (t *Table) lastAnswer(f Feature, kind Kind) answer {
	if kind == KindRequest {
		return t.answered.last(f)
	}
	// An answer to a part shows that it crashes no server, whoever sends it.
	return t.answeredParts.last(partFeature(anyOrganisation, f.part()))
}

// answeredSince reports whether an answer after a crash shows that a feature did not cause it. If
// the process crashed in the middle of the answer, only a whole answer does.
func (t *Table) answeredSince(f Feature, kind Kind, c suspectedCrash) bool {
	a := t.lastAnswer(f, kind)
	return a.whole >= c.at || !c.begun && a.begun >= c.at
}

// recentlyAnswered reports whether requests with a feature were answered within AnswerTTL.
func (t *Table) recentlyAnswered(f Feature, kind Kind, now time.Duration) bool {
	a := t.lastAnswer(f, kind)
	at := a.whole
	if kind != KindRequest {
		at = a.begun
	}
	return at != never && now-at < t.config.AnswerTTL
}

// evidence is what counts against a feature.
type evidence struct {
	// crashes is the number of crashes that count separately, and first the time of the first.
	crashes int
	first   time.Duration
	// varied is true if the crashes occurred under at least two features of the next narrower kind.
	varied bool
}

// horizon is how recent crashes may be to be considered: when they occurred, and when they became known
// here.
type horizon struct{ crashed, known time.Duration }

// evidence returns what counts against a suspect up to a horizon. These are the crashes that are not
// explained by something that is held, and that no answer followed.
//
// Servers may lose their power together, or begin at once what they received while they were paused.
// Crashes of servers at one moment then say nothing of what they ran, and count once. They do so for
// all kinds of features alike, as the feature with the most crashes is held. A request that was sent after
// one crash and caused another did not wait at both servers, so that these count each.
func (t *Table) evidence(s *suspect, until horizon) evidence {
	window, answered := t.config.SimultaneousWindow, t.recentlyAnswered(s.feature, s.kind, until.crashed)
	if answered {
		window = t.config.CorrelationWindow
	}
	var e evidence
	var last time.Duration
	var narrower Feature
	for _, c := range s.crashes {
		if !t.counts(s, c, until) {
			continue
		}
		if !e.varied {
			narrower, e.varied = c.vary(s, narrower)
		}
		sentAfter := s.kind == KindRequest && !answered && c.sent > last
		if e.crashes > 0 && c.at-last < window && !sentAfter {
			continue
		}
		if e.crashes++; e.crashes == 1 {
			e.first = c.at
		}
		last = c.at
	}
	return e
}

// counts reports whether a crash counts against a suspect.
func (t *Table) counts(s *suspect, c suspectedCrash, until horizon) bool {
	return !(c.at > until.crashed || c.known > until.known || t.answeredSince(s.feature, s.kind, c) || c.explained(s) || c.begun && t.pendingSuspected(c.crash))
}

// pendingSuspected reports whether a request whose answer had not begun at a crash may have caused it.
// Requests whose answers had begun are then unlikely causes.
func (t *Table) pendingSuspected(c *crash) bool {
	return slices.ContainsFunc(c.requests, func(r inFlight) bool {
		return !r.begun && t.answered.last(r.Fingerprint).begun < c.at
	})
}

// explained reports whether something that is held explains the crash, other than an instance of
// the suspect itself.
//
// A request that is retried crashes enough servers to be held alone. If that explained the crashes
// for the part that crashes them too, each request with the part would have to do the same.
func (c *crash) explained(s *suspect) bool {
	return slices.ContainsFunc(c.causes, func(by cause) bool {
		return by.feature != s.feature && !c.isInstance(by, s.feature, s.kind)
	})
}

// isInstance reports whether a feature is held more narrowly by a cause of the crash: requests with
// the cause have the feature too.
func (c *crash) isInstance(by cause, f Feature, kind Kind) bool {
	if by.kind >= kind {
		return false
	}
	if by.kind == KindOrganisationPart {
		return by.feature.part() == f.part()
	}
	return slices.ContainsFunc(c.requests, func(r inFlight) bool { return r.Fingerprint == by.feature && r.Has(f, kind) })
}

// vary reports whether the requests that had the feature at the crash differ from each other, or
// from an earlier one, in the feature of the next narrower kind. It returns one of those features
// to compare further crashes with.
func (c *crash) vary(s *suspect, earlier Feature) (Feature, bool) {
	for _, r := range c.requests {
		if !r.mayCause(s.kind) || !r.Has(s.feature, s.kind) {
			continue
		}
		found := r.Fingerprint
		if s.kind == KindPart {
			found = partFeature(r.Organisation, s.feature.part())
		}
		if earlier != (Feature{}) && found != earlier {
			return earlier, true
		}
		earlier = found
	}
	return earlier, false
}

// sufficient reports whether the evidence suffices to hold a suspect if nothing else explains it.
//
// A part is wider than the request that has it. It is held only if different requests, or those of
// different organisations, crashed servers, and if servers answered other requests meanwhile. To hold
// it for all organisations takes more crashes, as thousands of sound requests may have it.
func (t *Table) sufficient(s *suspect, e evidence) bool {
	least := t.config.MinCrashes
	if s.kind == KindPart {
		least = t.config.CertainCrashes
	}
	return e.crashes >= least && (s.kind == KindRequest || e.varied && t.lastBegun > e.first)
}

// cutoff returns the horizon of a decision. A feature that was answered recently gets more time after a
// crash, so that it can be answered once more.
//
// A crash may become known seconds later, when the row of its server is replaced. Without time for replies
// from then on, such crashes were decided without the answers that had followed them elsewhere.
func (t *Table) cutoff(s *suspect, now time.Duration) horizon {
	until := horizon{now - t.config.PropagationDelay, now - t.config.ReplyDelay}
	if t.recentlyAnswered(s.feature, s.kind, now) {
		until.crashed = now - t.config.CorrelationWindow
	}
	if until.known < t.peersKnownAt {
		until.known = never
	}
	return until
}

// uncertain reports whether something else than a suspect may have caused its crashes.
//
// While servers answer nothing, everything that callers send again and again is in flight at each crash.
// Such requests were held for the crashes that a part of others caused as silent servers went on. Until
// an answer begins here, a suspect is not held if something else that was in flight at several crashes
// was so at each of its own.
func (t *Table) uncertain(s *suspect, e evidence, until horizon) bool {
	if t.lastAnswerLike(s) <= e.first && t.neverAlone(s, until) {
		return true
	}
	return e.crashes < t.config.CertainCrashes && t.ambiguous(s, e.crashes, until)
}

// neverAlone reports whether there is an alternative with several crashes at each crash of a suspect.
func (t *Table) neverAlone(s *suspect, until horizon) bool {
	alone := slices.DeleteFunc(slices.Clone(s.crashes), func(c suspectedCrash) bool { return !t.counts(s, c, until) })
	for _, other := range t.suspects {
		if other == s || other.holdCount > 0 || len(other.crashes) < t.config.MinCrashes-1 || !other.shares(s) {
			continue
		}
		if t.evidence(other, until).crashes >= t.config.MinCrashes-1 {
			alone = slices.DeleteFunc(alone, func(c suspectedCrash) bool { return other.hasCrash(c.crash) && other.mayReplace(s, c.crash) })
		}
	}
	return len(alone) == 0
}

// lastAnswerLike returns when an answer last began here to a request with parts, if the suspect has
// parts, or else to any request.
func (t *Table) lastAnswerLike(s *suspect) time.Duration {
	for _, c := range s.crashes {
		if slices.ContainsFunc(c.requests, func(r inFlight) bool { return len(r.Parts) > 0 && r.Has(s.feature, s.kind) }) {
			return t.lastBegun
		}
	}
	return max(t.lastBegun, t.lastAnswered)
}

// ambiguous reports whether something else may have caused as many of the crashes. What is wider on the
// same requests is no alternative: the narrowest feature that explains the crashes is held.
//
// Of two requests that were in flight at the same servers, one may not be a cause of their
// crashes, and it was refused with the other. The next crash usually shows which one it is.
func (t *Table) ambiguous(s *suspect, crashes int, until horizon) bool {
	for _, other := range t.suspects {
		if other == s || other.holdCount > 0 || len(other.crashes) < crashes || !other.shares(s) {
			continue
		}
		if t.evidence(other, until).crashes >= crashes {
			return true
		}
	}
	return false
}

// shares reports whether a suspect is an alternative to another one at an unexplained crash.
func (s *suspect) shares(other *suspect) bool {
	return slices.ContainsFunc(s.crashes, func(c suspectedCrash) bool { return s.mayReplace(other, c.crash) && other.hasCrash(c.crash) })
}

// mayReplace reports whether a suspect is an alternative to another one at a crash of both: it is not
// wider on the same requests, and the crash is unexplained.
func (s *suspect) mayReplace(other *suspect, c *crash) bool {
	return !c.isInstance(cause{other.feature, other.kind}, s.feature, s.kind) && !c.explained(other)
}

func (s *suspect) hasCrash(c *crash) bool {
	return slices.ContainsFunc(s.crashes, func(known suspectedCrash) bool { return known.crash == c })
}

// compare orders suspects of equal evidence, so that all entries decide alike.
func compare(a, b *suspect) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), slices.Compare(a.feature[:], b.feature[:]))
}
