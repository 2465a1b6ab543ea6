package relays

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// DepartureTracker tracks when entries last departed from the origin's site.
// After a departure, another entry fetches the pieces of the departed one from
// the origin.
type DepartureTracker struct {
	atOriginSite map[filbertlever.HostID]bool
	// lastDeparture is when a departure was last observed, or 0 if none was.
	lastDeparture time.Duration
}

// Observe records the entries that are alive now.
func (t *DepartureTracker) Observe(entries []Entry, originSite string, now time.Duration) {
	atOriginSite := make(map[filbertlever.HostID]bool, len(t.atOriginSite))
	for _, entry := range entries {
		if entry.Site == originSite {
			atOriginSite[entry.Host] = true
		}
	}
	for host := range t.atOriginSite {
		if !atOriginSite[host] {
			t.lastDeparture = now
		}
	}
	t.atOriginSite = atOriginSite
}

// MayBeOnPeers reports whether another entry may have fetched pieces of a
// target version: the target was set before this process could observe it, in
// which case setAt is 0, or an entry departed after setAt.
func (t *DepartureTracker) MayBeOnPeers(setAt time.Duration) bool {
	return setAt == 0 || t.lastDeparture > setAt
}

// maxHomesQueried limits the entries that are asked for a piece before it is
// fetched from the origin. Their answers together take less time than the piece
// takes on the origin's link.
const maxHomesQueried = 4

// HomesToQuery returns the entries to ask for a piece that another entry may
// have fetched from the origin. These are the home entries of the piece, since
// they hold what they requested from that entry. The home entry of the own site
// comes first.
func HomesToQuery(self Entry, entries []Entry, piece string) []filbertlever.HostID {
	var sites []string
	for _, entry := range entries {
		if !slices.Contains(sites, entry.Site) {
			sites = append(sites, entry.Site)
		}
	}
	slices.SortFunc(sites, func(a, b string) int {
		ownFirst := cmp.Compare(boolRank(a != self.Site), boolRank(b != self.Site))
		return cmp.Or(ownFirst, cmp.Compare(siteScore(a, piece), siteScore(b, piece)), cmp.Compare(a, b))
	})
	var homes []filbertlever.HostID
	for _, site := range sites {
		home := Home(entries, site, piece)
		if home != self.Host && len(homes) < maxHomesQueried {
			homes = append(homes, home)
		}
	}
	return homes
}

// boolRank returns 1 for true and 0 for false.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// siteScore returns the rendezvous hash of a site for a piece.
func siteScore(site, piece string) uint64 { return xxhash.Sum64String(piece + "\x00" + site) }
