package relays

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Reader is an entry that may read the store on behalf of the other entries of
// its region.
type Reader struct {
	Host filbertlever.HostID
	// Unavailable is true if the store recently refused the entry, or if the
	// entry is not ready.
	Unavailable bool
	// StoreAnswered is true if the store recently answered the entry.
	StoreAnswered bool
}

// PickReader returns the entry that reads the store for a region. It prefers
// one that the store recently answered, then one that the store did not refuse,
// then any, which tries on behalf of all.
func PickReader(region string, readers []Reader) filbertlever.HostID {
	best, bestRank := []Entry(nil), -1
	for _, r := range readers {
		switch rank := r.rank(); {
		case rank > bestRank:
			best, bestRank = []Entry{{Host: r.Host, Site: region}}, rank
		case rank == bestRank:
			best = append(best, Entry{Host: r.Host, Site: region})
		}
	}
	return Home(best, region, "reader")
}

// rank returns the preference for a reader. Higher is better.
func (r Reader) rank() int {
	switch {
	case r.Unavailable:
		return 0
	case r.StoreAnswered:
		return 2
	}
	return 1
}

// SnapshotInterval is the time between the entries of a region, in the order of their ranks, at which
// they stop waiting for another entry's copy of a whole table and read the store.
const SnapshotInterval = 600 * time.Millisecond

// maxSimultaneousReads is the number of entries that stop waiting together if the entry that should read the
// table does not respond. The view of a running entry would otherwise become outdated.
const maxSimultaneousReads = 8

// SnapshotWait returns how long the entry with a rank in its region waits for a copy of a whole table
// before it reads the store. reading is true if the entry that it asks is known to be reading.
//
// The rate at which entries give up must not grow with the region: their reads share one link, and
// from some number on none of them would end before its timeout.
func SnapshotWait(rank int, reading bool) time.Duration {
	if !reading && rank <= maxSimultaneousReads {
		return SnapshotInterval
	}
	return SnapshotInterval * time.Duration(max(rank, 1))
}

// SnapshotRetryWait returns how long the entry with a rank among n entries of its region waits for a copy
// of a whole table after it failed to read the store. The first one tries again soon, and the others take
// turns.
//
// If each waited by its rank again, the rate of their reads would grow with the region. From some number
// on they fill the link to the store, and no read ends before its timeout.
func SnapshotRetryWait(rank, n int) time.Duration {
	if rank <= 0 {
		return SnapshotInterval
	}
	return SnapshotInterval * time.Duration(n)
}
