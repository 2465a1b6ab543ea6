// Package relays decides from where an entry draws a piece of a set of weights.
// Each piece has a home among the entries of every site, and a drawer among a few
// at the origin's site. The drawer has it from the origin, homes from the drawer,
// and all others from the home of their own site. So a piece leaves the origin
// once and crosses each border once.
package relays

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// Entry is an entry that can relay pieces.
type Entry struct {
	Host filbertlever.HostID
	Site string
}

// Home returns the entry of a site that a piece belongs to, by rendezvous
// hashing, so that the loss of one entry moves only its pieces. It is empty if
// the site has no entry.
func Home(entries []Entry, site, piece string) filbertlever.HostID {
	var best filbertlever.HostID
	var bestScore uint64
	for _, entry := range entries {
		if entry.Site != site {
			continue
		}
		own := entryScore(entry, piece)
		if best == "" || cmp.Or(cmp.Compare(own, bestScore), cmp.Compare(entry.Host, best)) > 0 {
			best, bestScore = entry.Host, own
		}
	}
	return best
}

// Ways are the entries that an agent of a site asks for a piece, one after the
// other: the piece's home, the next ones of its site, and a few elsewhere. Whoever
// lives among them leads to the same drawer.
func Ways(entries []Entry, site, piece string) []filbertlever.HostID {
	var near, far []Entry
	for _, entry := range entries {
		if entry.Site == site {
			near = append(near, entry)
		} else {
			far = append(far, entry)
		}
	}
	ways := rankEntries(near, piece)
	ways = ways[:min(len(ways), maxSameSiteCandidates)]
	others := rankEntries(far, piece)
	return append(ways, others[:min(len(others), maxOtherSiteCandidates)]...)
}

// waysNear and waysFar bound an agent's ways: hosts of one site fail together, and
// bytes between sites are scarce.
const (
	maxSameSiteCandidates  = 3
	maxOtherSiteCandidates = 2
)

// rankEntries orders entries for a piece, the home first.
func rankEntries(entries []Entry, piece string) []filbertlever.HostID {
	scores := make(map[filbertlever.HostID]uint64, len(entries))
	hosts := make([]filbertlever.HostID, 0, len(entries))
	for _, entry := range entries {
		scores[entry.Host] = entryScore(entry, piece)
		hosts = append(hosts, entry.Host)
	}
	slices.SortFunc(hosts, func(a, b filbertlever.HostID) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(b, a))
	})
	return hosts
}

func entryScore(entry Entry, piece string) uint64 {
	return xxhash.Sum64String(piece + "\x00" + string(entry.Host))
}

// Turn returns the place of an entry in the order of a site's entries for a piece, 0 for its home.
func Turn(self filbertlever.HostID, entries []Entry, site, piece string) int {
	near := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Site != site })
	return slices.Index(rankEntries(near, piece), self)
}

// Role is what an entry is asked as for a piece.
type Role int

// The roles. Whoever asks an entry says what it takes it for.
const (
	// RoleAny means that an agent asks: any entry will do.
	RoleAny Role = iota
	// RoleHome is that of the entry of a site that a piece belongs to.
	RoleHome
	// RoleDrawer is that of the entry that draws a piece from the origin.
	RoleDrawer
)

// maxOriginFetchers is how many entries draw from the origin. More of them, each with
// a part of the pieces, share the origin's thin link: while some still draw one
// version, others have begun the next, and the first pieces come later.
const maxOriginFetchers = 4

// Drawer returns the entry that draws a piece from the origin, one of a few at
// the origin's site. It is empty if there is none.
func Drawer(entries []Entry, originSite, piece string) filbertlever.HostID {
	var ranked []Entry
	for _, entry := range entries {
		if entry.Site == originSite {
			ranked = append(ranked, entry)
		}
	}
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.Host)), xxhash.Sum64String(string(b.Host))), cmp.Compare(a.Host, b.Host))
	})
	return Home(ranked[:min(len(ranked), maxOriginFetchers)], originSite, piece)
}

// RoleOf returns the role that an entry has for a piece whoever asks.
func RoleOf(self Entry, entries []Entry, originSite, piece string) Role {
	switch {
	case self.Site == originSite && Drawer(entries, originSite, piece) == self.Host:
		return RoleDrawer
	case Home(entries, self.Site, piece) == self.Host:
		return RoleHome
	}
	return RoleAny
}

// Source returns from which entry self draws a piece when asked in a role, and
// what it asks that entry as; an empty one means the origin.
//
// Guard: two entries whose views of the living ones differ may each take the other
// for a piece's home, and wait for each other; the role grows with each step, so
// that every way ends at the origin.
func Source(self Entry, entries []Entry, originSite, piece string, asked Role) (filbertlever.HostID, Role) {
	role := max(asked, RoleOf(self, entries, originSite, piece))
	if role == RoleAny {
		if home := Home(entries, self.Site, piece); home != "" {
			return home, RoleHome
		}
	}
	if role == RoleDrawer {
		return "", RoleDrawer
	}
	drawer := Drawer(entries, originSite, piece)
	if drawer == self.Host {
		return "", RoleDrawer
	}
	return drawer, RoleDrawer
}
