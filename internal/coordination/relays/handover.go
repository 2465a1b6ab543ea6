package relays

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// Turnover notes when entries of the origin's site were last lost: another one has drawn
// since for each piece that the lost one had.
type Turnover struct {
	atOriginSite map[filbertlever.HostID]bool
	// lastDeparture is when one was last found to be gone; 0 if none was.
	lastDeparture time.Duration
}

// See takes the entries that are alive.
func (t *Turnover) See(entries []Entry, originSite string, now time.Duration) {
	present := make(map[filbertlever.HostID]bool, len(t.atOriginSite))
	for _, entry := range entries {
		if entry.Site == originSite {
			present[entry.Host] = true
		}
	}
	for host := range t.atOriginSite {
		if !present[host] {
			t.lastDeparture = now
		}
	}
	t.atOriginSite = present
}

// Since reports whether pieces of a version may have been drawn by another entry: it was
// named, at a time, before this one could hear of it, which is 0 then, or an entry was
// lost since.
func (t *Turnover) Since(named time.Duration) bool { return named == 0 || t.lastDeparture > named }

// maxHomesQueried bounds the entries that are asked for a piece before it is drawn from the
// origin: so many answers together take less than the piece takes on the origin's link.
const maxHomesQueried = 4

// Keepers returns the entries to ask whether they have a piece that another one may have
// drawn: its homes, that of the own site first, as they have what they asked it for.
func Keepers(self Entry, entries []Entry, piece string) []filbertlever.HostID {
	var sites []string
	for _, entry := range entries {
		if !slices.Contains(sites, entry.Site) {
			sites = append(sites, entry.Site)
		}
	}
	slices.SortFunc(sites, func(a, b string) int {
		own := cmp.Compare(boolRank(a != self.Site), boolRank(b != self.Site))
		return cmp.Or(own, cmp.Compare(siteScore(a, piece), siteScore(b, piece)), cmp.Compare(a, b))
	})
	var keepers []filbertlever.HostID
	for _, site := range sites {
		home := Home(entries, site, piece)
		if home != self.Host && len(keepers) < maxHomesQueried {
			keepers = append(keepers, home)
		}
	}
	return keepers
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func siteScore(site, piece string) uint64 { return xxhash.Sum64String(piece + "\x00" + site) }
