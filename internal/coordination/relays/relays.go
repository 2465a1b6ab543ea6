// Package relays decides from where an entry draws a piece of a set of weights.
// Each piece has a home among the entries of every site; the home at the
// origin's site draws it from the origin, the homes of other sites draw it from
// that one, and all others from the home of their own site. So a piece leaves
// the origin once and crosses each border once.
package relays

import (
	"cmp"

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
		score := xxhash.Sum64String(piece + "\x00" + string(entry.Host))
		if best == "" || cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(entry.Host, best)) > 0 {
			best, bestScore = entry.Host, score
		}
	}
	return best
}

// Source returns from which entry self draws a piece; empty means the origin.
func Source(self Entry, entries []Entry, originSite, piece string) filbertlever.HostID {
	if home := Home(entries, self.Site, piece); home != self.Host && home != "" {
		return home
	}
	if self.Site == originSite {
		return ""
	}
	return Home(entries, originSite, piece)
}
