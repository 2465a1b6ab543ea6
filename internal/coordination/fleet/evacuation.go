package fleet

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated records sites whose servers must get no more requests, and sites that were reopened.
// If complete is true, evacuated are all such sites. It returns the sites that changed.
func (f *Fleet) SetEvacuated(evacuated, reopened []string, complete bool, now time.Duration) []string {
	if complete {
		for site := range f.evacuated {
			if !slices.Contains(evacuated, site) {
				reopened = append(reopened, site)
			}
		}
	}
	changed := map[string]bool{}
	for _, site := range evacuated {
		if !f.evacuated[site] {
			f.evacuated[site], changed[site] = true, true
		}
	}
	for _, site := range reopened {
		if f.evacuated[site] {
			delete(f.evacuated, site)
			changed[site] = true
		}
	}
	for id, s := range f.servers {
		if changed[s.backend.Site] {
			if !f.evacuated[s.backend.Site] {
				f.markStarted(s, now)
			}
			f.syncRouter(id, now)
		}
	}
	return slices.Sorted(maps.Keys(changed))
}

// Evacuated reports whether the servers of a site must get no requests.
func (f *Fleet) Evacuated(site string) bool { return f.evacuated[site] }

// EvacuatedSites returns the number of sites whose servers must get no requests.
func (f *Fleet) EvacuatedSites() int { return len(f.evacuated) }
