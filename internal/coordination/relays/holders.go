package relays

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Holder is a host whose backend server holds a version and whose agent serves
// the pieces staged beside it.
type Holder struct {
	// Backend identifies one boot of the server.
	Backend string
	// Address is where the agent serves pieces.
	Address string
}

// maxHoldersQueried limits the holders that are asked for one piece. The pieces
// staged beside a server may already be those of another version, and if so,
// this is the case at most holders.
const maxHoldersQueried = 2

// HoldersToQuery returns the holders to ask for a piece, in order. It uses
// rendezvous hashing, so that all holders upload about as much.
func HoldersToQuery(holders []Holder, piece string) []Holder {
	ranked := slices.Clone(holders)
	slices.SortFunc(ranked, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(holderScore(b, piece), holderScore(a, piece)), cmp.Compare(a.Backend, b.Backend))
	})
	return ranked[:min(len(ranked), maxHoldersQueried)]
}

// holderScore returns the rendezvous hash of a holder for a piece.
func holderScore(h Holder, piece string) uint64 {
	return xxhash.Sum64String(piece + "\x00" + h.Backend)
}
