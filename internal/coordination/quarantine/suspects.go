package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a request under which processes have crashed.
type suspect struct {
	request Fingerprint
	crashes []*crash
	// lastAdded is when the last of crashes was added.
	lastAdded time.Duration
	// reported is true if other entries may suspect the request.
	reported bool
	// heldAt is when the request was last held. It may be before the clock's start.
	heldAt time.Duration
	// holdCount is how often the request has been held.
	holdCount int
}

// suspectFor returns the suspect for a request, and adds it if there is none.
func (t *Table) suspectFor(request Fingerprint) *suspect {
	s, ok := t.suspects[request]
	if ok {
		return s
	}
	if len(t.suspects) >= t.config.MaxEntries {
		t.evictSuspects()
	}
	s = &suspect{request: request}
	t.suspects[request] = s
	t.suspectHashes[request.MetadataHash()]++
	return s
}

func (t *Table) remove(request Fingerprint) {
	if _, ok := t.suspects[request]; !ok {
		return
	}
	delete(t.suspects, request)
	hash := request.MetadataHash()
	if t.suspectHashes[hash]--; t.suspectHashes[hash] == 0 {
		delete(t.suspectHashes, hash)
	}
}

// evictSuspects evicts a quarter of the suspects. Those that were never held are evicted
// first, and among these the ones with the fewest crashes, oldest first.
//
// Callers may send any number of different requests that each crash a server. Each one is
// stored, so memory would grow without bound. Held requests are evicted last.
func (t *Table) evictSuspects() {
	all := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.holdCount, b.holdCount), cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.lastAdded, b.lastAdded))
	})
	for _, s := range all[:max(len(all)/4, 1)] {
		t.remove(s.request)
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
	for process, c := range t.crashes {
		if now-c.at >= t.config.DetectionTimeout {
			delete(t.crashes, process)
		}
	}
	for request, s := range t.suspects {
		ttl := t.config.SuspectTTL
		if s.holdCount > 0 {
			ttl = t.heldUntil(s) - s.heldAt + t.config.MaxHoldDuration
		}
		if now-max(s.lastAdded, s.heldAt) >= ttl {
			t.remove(request)
		}
	}
}
