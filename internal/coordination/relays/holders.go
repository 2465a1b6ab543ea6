package relays

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Holder is a host whose backend server holds a version, and whose agent gives out
// the pieces that lie beside it.
type Holder struct {
	// Backend is the server's life.
	Backend string
	// Address is where the agent serves pieces.
	Address string
}

// maxHoldersQueried bounds the holders that are asked for one piece: what lies beside a
// server may be of another version already, and then is so at most of them.
const maxHoldersQueried = 2

// HoldersOf returns the holders to ask for a piece, one after the other, by rendezvous
// hashing, so that all give out about as much.
func HoldersOf(holders []Holder, piece string) []Holder {
	ranked := slices.Clone(holders)
	slices.SortFunc(ranked, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(holderScore(b, piece), holderScore(a, piece)), cmp.Compare(a.Backend, b.Backend))
	})
	return ranked[:min(len(ranked), maxHoldersQueried)]
}

func holderScore(h Holder, piece string) uint64 {
	return xxhash.Sum64String(piece + "\x00" + h.Backend)
}
