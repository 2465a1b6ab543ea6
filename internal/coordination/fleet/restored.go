package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// departedTTL is how long a process that is no longer listed is remembered. A copy of the store that
// lists it is some seconds old.
const departedTTL = time.Minute

// ApplyRestored applies the whole server list of a store that was restored from an older copy.
//
// The copy does not revert what is known: a server that is draining or was removed may exit at any
// moment, and one that the copy lacks registers again. Later rows and lists apply as usual.
func (f *Fleet) ApplyRestored(present []catalog.Backend, now time.Duration) {
	var known []catalog.Backend
	listed := map[string]bool{}
	for _, backend := range present {
		s, tracked := f.servers[backend.ID]
		same := tracked && (backend.Boot == 0 || s.backend.Boot == 0 || backend.Boot == s.backend.Boot)
		switch {
		case same && s.missingSince != 0, !tracked && f.hasDeparted(backend, now),
			(!tracked || s.missingSince != 0) && f.hasEnded(process{backend.ID, backend.Boot}, now):
			continue
		case same && s.backend.Draining:
			backend.Draining = true
		}
		listed[backend.ID] = true
		known = append(known, backend)
	}
	for id, s := range f.servers {
		if !listed[id] && s.missingSince == 0 {
			s.lostAt = max(now, 1)
		}
	}
	f.Apply(known, nil, true, now)
}

// recordDeparted remembers a process that is no longer listed.
func (f *Fleet) recordDeparted(b catalog.Backend, now time.Duration) {
	for p, at := range f.departed {
		if now-at >= departedTTL {
			delete(f.departed, p)
		}
	}
	f.departed[process{b.ID, b.Boot}] = now
}

// hasDeparted reports whether a process is remembered as no longer listed.
func (f *Fleet) hasDeparted(b catalog.Backend, now time.Duration) bool {
	at, ok := f.departed[process{b.ID, b.Boot}]
	return ok && now-at < departedTTL
}
