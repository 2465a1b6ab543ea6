// Package relays decides from which source an entry fetches a piece of a set of
// weights. By rendezvous hashing, each piece has a home entry at every site and
// an origin fetcher among a few entries at the origin's site. The origin
// fetcher fetches the piece from the origin, home entries fetch it from the
// origin fetcher, and all other entries from the home entry of their own site.
// A piece is therefore sent once by the origin and once to each other site.
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

// Home returns the home entry of a piece at a site, or an empty ID if the site
// has no entry. It uses rendezvous hashing, so that the removal of one entry
// moves only the pieces of that entry.
func Home(entries []Entry, site, piece string) filbertlever.HostID {
	var best filbertlever.HostID
	var bestScore uint64
	for _, entry := range entries {
		if entry.Site != site {
			continue
		}
		hash := entryScore(entry, piece)
		if best == "" || cmp.Or(cmp.Compare(hash, bestScore), cmp.Compare(entry.Host, best)) > 0 {
			best, bestScore = entry.Host, hash
		}
	}
	return best
}

// CandidatesFor returns the entries that an agent of a site asks for a piece,
// in order: the home entry, the next ones of its site, and a few at other
// sites. All live candidates fetch the piece from the same origin fetcher.
func CandidatesFor(entries []Entry, site, piece string) []filbertlever.HostID {
	var sameSite, otherSites []Entry
	for _, entry := range entries {
		if entry.Site == site {
			sameSite = append(sameSite, entry)
		} else {
			otherSites = append(otherSites, entry)
		}
	}
	candidates := rankEntries(sameSite, piece)
	candidates = candidates[:min(len(candidates), maxSameSiteCandidates)]
	others := rankEntries(otherSites, piece)
	return append(candidates, others[:min(len(others), maxOtherSiteCandidates)]...)
}

// The limits of an agent's candidates. Hosts of one site fail together, and
// bandwidth between sites is scarce.
const (
	maxSameSiteCandidates  = 3
	maxOtherSiteCandidates = 2
)

// rankEntries orders entries for a piece, starting with the home entry.
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

// entryScore returns the rendezvous hash of an entry for a piece.
func entryScore(entry Entry, piece string) uint64 {
	return xxhash.Sum64String(piece + "\x00" + string(entry.Host))
}

// Rank returns the position of an entry in the order of a site's entries for a
// piece. It is 0 for the home entry, and -1 for an entry of another site.
func Rank(self filbertlever.HostID, entries []Entry, site, piece string) int {
	sameSite := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.Site != site })
	return slices.Index(rankEntries(sameSite, piece), self)
}

// Role is the role in which an entry is asked for a piece.
type Role int

// The roles. An entry is asked in the role that the asking process expects it to
// have. The values increase along each route to the origin.
const (
	// RoleAny means that an agent asks. Any entry can serve it.
	RoleAny Role = iota
	// RoleHome is the role of a piece's home entry at a site.
	RoleHome
	// RoleOriginFetcher is the role of the entry that fetches a piece from the
	// origin.
	RoleOriginFetcher
)

// maxOriginFetchers limits the entries that fetch from the origin. With more of
// them, each with a part of the pieces, some would start on the next version
// and share the origin's slow link with those still fetching the previous one.
// The first pieces would then arrive later.
const maxOriginFetchers = 4

// OriginFetcher returns the entry that fetches a piece from the origin, which
// is one of a few at the origin's site. It returns an empty ID if there is
// none.
func OriginFetcher(entries []Entry, originSite, piece string) filbertlever.HostID {
	var candidates []Entry
	for _, entry := range entries {
		if entry.Site == originSite {
			candidates = append(candidates, entry)
		}
	}
	slices.SortFunc(candidates, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.Host)), xxhash.Sum64String(string(b.Host))), cmp.Compare(a.Host, b.Host))
	})
	return Home(candidates[:min(len(candidates), maxOriginFetchers)], originSite, piece)
}

// RoleOf returns the role of an entry for a piece, regardless of who asks.
func RoleOf(self Entry, entries []Entry, originSite, piece string) Role {
	switch {
	case self.Site == originSite && OriginFetcher(entries, originSite, piece) == self.Host:
		return RoleOriginFetcher
	case Home(entries, self.Site, piece) == self.Host:
		return RoleHome
	}
	return RoleAny
}

// Source returns the entry from which self fetches a piece when asked in a
// role, and the role in which self asks that entry. An empty ID means the
// origin.
//
// Two entries with different views of the live entries may each consider the
// other the home of a piece and wait for each other. The role increases with
// each step, so that every route ends at the origin.
func Source(self Entry, entries []Entry, originSite, piece string, asked Role) (filbertlever.HostID, Role) {
	role := max(asked, RoleOf(self, entries, originSite, piece))
	if role == RoleAny {
		if home := Home(entries, self.Site, piece); home != "" {
			return home, RoleHome
		}
	}
	if role == RoleOriginFetcher {
		return "", RoleOriginFetcher
	}
	fetcher := OriginFetcher(entries, originSite, piece)
	if fetcher == self.Host {
		return "", RoleOriginFetcher
	}
	return fetcher, RoleOriginFetcher
}
