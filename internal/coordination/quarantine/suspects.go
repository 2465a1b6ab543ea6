package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a request under which processes have ended.
type suspect struct {
	request Fingerprint
	ends    []*end
	// seen is when the last of ends was heard of.
	seen time.Duration
	// told is true if other entries may suspect the request.
	told bool
	// since is when it was held last, which may be before the clock's start, and times how
	// often; 0 if it never was.
	since time.Duration
	times int
}

func (t *Table) suspect(request Fingerprint) *suspect {
	s, ok := t.suspects[request]
	if ok {
		return s
	}
	if len(t.suspects) >= t.config.Most {
		t.dropLeast()
	}
	s = &suspect{request: request}
	t.suspects[request] = s
	t.heads[request.Head()]++
	return s
}

func (t *Table) forget(request Fingerprint) {
	if _, ok := t.suspects[request]; !ok {
		return
	}
	delete(t.suspects, request)
	head := request.Head()
	if t.heads[head]--; t.heads[head] == 0 {
		delete(t.heads, head)
	}
}

// dropLeast drops a quarter of the suspects: first those that were never held, of these
// the ones with the fewest ends, the longest ago.
//
// Guard: callers may send any number of different requests that each end a server. Each
// is remembered, and memory grew without bound; one that is held is the last to go.
func (t *Table) dropLeast() {
	all := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.times, b.times), cmp.Compare(len(a.ends), len(b.ends)), cmp.Compare(a.seen, b.seen))
	})
	for _, s := range all[:max(len(all)/4, 1)] {
		t.forget(s.request)
	}
}

// sweepEvery is how often it is looked for what can be forgotten.
const sweepEvery = time.Second

func (t *Table) sweep(now time.Duration) {
	if now-t.sweptAt < sweepEvery {
		return
	}
	t.sweptAt = now
	for process, kept := range t.broken {
		if now-kept[len(kept)-1].at >= t.config.Evidence {
			delete(t.broken, process)
		}
	}
	for process, e := range t.ends {
		if now-e.at >= t.config.Evidence {
			delete(t.ends, process)
		}
	}
	for request, s := range t.suspects {
		kept := t.config.Remember
		if s.times > 0 {
			kept = t.until(s) - s.since + t.config.HoldMost
		}
		if now-max(s.seen, s.since) >= kept {
			t.forget(request)
		}
	}
}
