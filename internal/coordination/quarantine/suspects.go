package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect is a feature of requests under which processes have crashed.
type suspect struct {
	feature Feature
	kind    Kind
	// crashes are in the order of their times.
	crashes []suspectedCrash
	// lastAdded is when the last of crashes was added.
	lastAdded time.Duration
	// localAt is when this entry first had a request with the feature in flight at a crash; 0 if it
	// had none.
	localAt time.Duration
	// reported is true if other entries may suspect the feature.
	reported bool
	// heldAt is when the feature was last held. It may be before the clock's start.
	heldAt time.Duration
	// holdCount is how often the feature has been held.
	holdCount int
}

// suspectedCrash is a crash that counts against a feature.
type suspectedCrash struct {
	*crash
	// begun is true if the answers to all requests with the feature had begun at the crash.
	begun bool
	// sent is when this entry last sent one of these requests; 0 if it sent none.
	sent time.Duration
	// known is when the crash was added.
	known time.Duration
}

// maxSuspectedCrashes bounds the crashes of one suspect. A decision takes far fewer.
const maxSuspectedCrashes = 64

// addCrash adds a crash, and reports whether it was new.
func (s *suspect) addCrash(c suspectedCrash) bool {
	for i := range s.crashes {
		if s.crashes[i].crash == c.crash {
			s.crashes[i].begun = s.crashes[i].begun && c.begun
			s.crashes[i].sent = max(s.crashes[i].sent, c.sent)
			return false
		}
	}
	at, _ := slices.BinarySearchFunc(s.crashes, c, func(known, c suspectedCrash) int { return cmp.Compare(known.at, c.at) })
	s.crashes = slices.Insert(s.crashes, at, c)
	s.crashes = s.crashes[max(len(s.crashes)-maxSuspectedCrashes, 0):]
	return true
}

// hasLocalCrash reports whether this entry had a request with the feature in flight at one of its
// crashes.
//
// An entry that only received reports of the crashes may not know that the feature was
// answered since, and its hold would be sent to all entries. Entries that had such a request in
// flight decide, because other entries reply to their reports with the answers.
func (s *suspect) hasLocalCrash() bool {
	return slices.ContainsFunc(s.crashes, func(c suspectedCrash) bool { return c.hasLocal(s.feature, s.kind) })
}

// suspectFor returns the suspect for a feature, and adds it if there is none.
func (t *Table) suspectFor(f Feature, kind Kind) *suspect {
	s, ok := t.suspects[f]
	if ok {
		return s
	}
	if len(t.suspects) >= t.config.MaxEntries {
		t.evictSuspects()
	}
	s = &suspect{feature: f, kind: kind}
	t.suspects[f] = s
	if kind == KindRequest {
		t.suspectHashes[f.MetadataHash()]++
	} else {
		t.suspectParts[f.part()] = append(t.suspectParts[f.part()], f)
	}
	return s
}

func (t *Table) remove(f Feature) {
	s, ok := t.suspects[f]
	if !ok {
		return
	}
	delete(t.suspects, f)
	if s.kind != KindRequest {
		left := slices.DeleteFunc(t.suspectParts[f.part()], func(other Feature) bool { return other == f })
		if t.suspectParts[f.part()] = left; len(left) == 0 {
			delete(t.suspectParts, f.part())
		}
		return
	}
	hash := f.MetadataHash()
	if t.suspectHashes[hash]--; t.suspectHashes[hash] == 0 {
		delete(t.suspectHashes, hash)
	}
}

// evictSuspects evicts a quarter of the suspects. Those that were never held are evicted
// first, and among these the ones with the fewest crashes, oldest first.
//
// Callers may send any number of different requests that each crash a server, with new parts in
// each. All of them are stored, so memory would grow without bound. Held features are evicted last.
func (t *Table) evictSuspects() {
	all := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.holdCount, b.holdCount), cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.lastAdded, b.lastAdded))
	})
	for _, s := range all[:max(len(all)/4, 1)] {
		t.remove(s.feature)
	}
}

// pruneInterval is the minimum time between two runs of prune.
const pruneInterval = time.Second

// prune removes expired failures, crashes and suspects.
func (t *Table) prune(now time.Duration) {
	if now-t.prunedAt < pruneInterval {
		return
	}
	t.prunedAt = now
	for process, failures := range t.failures {
		if now-failures[len(failures)-1].at >= t.config.DetectionTimeout {
			delete(t.failures, process)
		}
	}
	maps.DeleteFunc(t.alive, func(_ Process, at time.Duration) bool { return now-at >= t.config.DetectionTimeout })
	for process, c := range t.crashes {
		if now-c.at >= t.config.DetectionTimeout {
			delete(t.crashes, process)
		}
	}
	for f, s := range t.suspects {
		ttl := t.config.SuspectTTL
		if s.holdCount > 0 {
			ttl = t.heldUntil(s) - s.heldAt + t.config.MaxHoldDuration
		}
		if now-max(s.lastAdded, s.heldAt) >= ttl {
			t.remove(f)
		}
	}
}
