package relays

import "github.com/filbertlever/filbertlever"

// Reader is an entry that may read the store for the others of its region.
type Reader struct {
	Host filbertlever.HostID
	// Lost is true if the store lately turned the entry away, or the entry is not ready.
	Lost bool
	// Answered is true if the store has answered the entry lately.
	Answered bool
}

// PickReader returns the entry that reads the store for a region: one that the store has
// answered lately, else one that it has not turned away, else any, which tries for all.
func PickReader(region string, readers []Reader) filbertlever.HostID {
	best, rank := []Entry(nil), -1
	for _, r := range readers {
		switch at := r.rank(); {
		case at > rank:
			best, rank = []Entry{{Host: r.Host, Site: region}}, at
		case at == rank:
			best = append(best, Entry{Host: r.Host, Site: region})
		}
	}
	return Home(best, region, "reader")
}

func (r Reader) rank() int {
	switch {
	case r.Lost:
		return 0
	case r.Answered:
		return 2
	}
	return 1
}
