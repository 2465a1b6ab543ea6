package relays

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// treeFanout is the number of entries to which each entry of a region passes on a table.
const treeFanout = 4

// Member is an entry of a region's tree.
type Member struct {
	Host filbertlever.HostID
	// Behind is true if the entry has just started and may not have the table yet.
	Behind bool
}

// Tree is the order in which the entries of a region pass on tables of the store. The first one, the
// root, reads the store. The entry at position p gets its changes from the one at (p-1)/treeFanout.
//
// An entry sends each change to treeFanout others, so that the time until the last entry has it grows
// with the logarithm of the number of entries.
type Tree []filbertlever.HostID

// NewTree returns the tree of the members below a root. Members that are behind come last, otherwise
// the order depends on the hosts only: entries whose views of the members differ for a moment cannot
// wait for each other in a cycle, as long as they agree on the root.
func NewTree(root filbertlever.HostID, members []Member) Tree {
	type scored struct {
		Member
		score uint64
	}
	below := make([]scored, 0, len(members))
	for _, m := range members {
		if m.Host != root {
			below = append(below, scored{m, xxhash.Sum64String(string(m.Host))})
		}
	}
	slices.SortFunc(below, func(a, b scored) int {
		return cmp.Or(cmp.Compare(boolRank(a.Behind), boolRank(b.Behind)), cmp.Compare(a.score, b.score), cmp.Compare(a.Host, b.Host))
	})
	tree := Tree{root}
	for _, m := range below {
		tree = append(tree, m.Host)
	}
	return tree
}

// Position returns the position of an entry, or -1 if it is not in the tree.
func (t Tree) Position(host filbertlever.HostID) int { return slices.Index(t, host) }

// Depth returns the number of entries that a change passes before it reaches a position.
func Depth(position int) int {
	depth := 0
	for ; position > 0; position = (position - 1) / treeFanout {
		depth++
	}
	return depth
}

// Sources returns the entries that self asks for a table, the preferred one first: its parent, another
// entry above it, and the parent of its parent. It returns none for the root and for entries that are
// not in the tree.
//
// The other entry is chosen by hash, so that the children of a failed entry spread over many.
func (t Tree) Sources(self filbertlever.HostID) []filbertlever.HostID {
	position := t.Position(self)
	if position <= 0 {
		return nil
	}
	parent := (position - 1) / treeFanout
	sources := []filbertlever.HostID{t[parent]}
	if other := t.alternate(self, t[parent], position); other != "" {
		sources = append(sources, other)
	}
	if grandparent := t[max(parent-1, 0)/treeFanout]; !slices.Contains(sources, grandparent) {
		sources = append(sources, grandparent)
	}
	return sources
}

// alternate returns the entry that self asks beside its parent. It is closer to the root than self,
// except for the children of the root, which ask one before them.
func (t Tree) alternate(self, parent filbertlever.HostID, position int) filbertlever.HostID {
	above := t[:position]
	if parent != t[0] {
		for depth := Depth(position); len(above) > 0 && Depth(len(above)-1) == depth; {
			above = above[:len(above)-1]
		}
	}
	above = above[1:]
	if len(above) == 0 {
		return ""
	}
	n := int(xxhash.Sum64String(string(self)) % uint64(len(above)))
	if above[n] == parent {
		n = (n + 1) % len(above)
	}
	if above[n] == parent {
		return ""
	}
	return above[n]
}
