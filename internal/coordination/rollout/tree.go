package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// Fanout is the number of processes to which each process forwards a new head.
const Fanout = 8

// Watchers is the number of entries that poll the platform. It does not depend
// on the size of the system, so the load of the platform stays constant.
const Watchers = 2

// Rank orders hosts by the hash of salt and their names. The order is the same
// in every process.
func Rank(salt string, hosts []filbertlever.HostID) []filbertlever.HostID {
	type hashedHost struct {
		hash uint64
		host filbertlever.HostID
	}
	hashed := make([]hashedHost, len(hosts))
	for i, host := range hosts {
		hashed[i] = hashedHost{hash: xxhash.Sum64String(salt + "\x00" + string(host)), host: host}
	}
	slices.SortFunc(hashed, func(a, b hashedHost) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	ranked := make([]filbertlever.HostID, len(hosts))
	for i, h := range hashed {
		ranked[i] = h.host
	}
	return ranked
}

// IsWatcher reports whether self is one of the entries that poll the platform,
// given the entries that are considered live. An entry that is missing from the
// list counts itself in, so there is always a watcher.
func IsWatcher(self filbertlever.HostID, entries []filbertlever.HostID) bool {
	if !slices.Contains(entries, self) {
		entries = append(slices.Clone(entries), self)
	}
	ranked := Rank("watch", entries)
	return slices.Contains(ranked[:min(Watchers, len(ranked))], self)
}

// Children returns the processes to which self forwards a new head. They are its
// children in a tree over all processes, with entries above agents. The tree
// depends on salt, which differs for each version, so no host stays in the upper
// levels. If fromPlatform is true, self read the head from the platform and also
// forwards it to the root of the tree.
func Children(self filbertlever.HostID, fromPlatform bool, salt string, entries, agents []filbertlever.HostID) []filbertlever.HostID {
	order := append(Rank(salt, entries), Rank(salt, agents)...)
	var children []filbertlever.HostID
	if fromPlatform && len(order) > 0 && order[0] != self {
		children = append(children, order[0])
	}
	index := slices.Index(order, self)
	if index < 0 {
		return children
	}
	from := min(index*Fanout+1, len(order))
	to := min(from+Fanout, len(order))
	return append(children, order[from:to]...)
}
