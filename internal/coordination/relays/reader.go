package relays

import "github.com/filbertlever/filbertlever"

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
