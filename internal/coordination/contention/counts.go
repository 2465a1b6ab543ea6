package contention

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

const (
	// bucketLength is the resolution of the window, and the interval between updates of the pressure.
	bucketLength  = 50 * time.Millisecond
	recentBuckets = 10
	// servedDecay and floorDecay are the decay in each bucket, with time constants of 2 s and 5 s.
	servedDecay = 1 - 0.05/2
	floorDecay  = 1 - 0.05/5
	// peerTTL is how long the counts of a peer are used. Entries of other regions send theirs less often
	// than once in half a second.
	peerTTL = 2 * time.Second
)

// counts holds decisions. noRoom is part of refused; returned counts those on callers who were seen to return.
type counts struct{ admitted, refused, noRoom, returned float64 }

// add adds other counts, multiplied by a factor.
func (n *counts) add(other counts, factor float64) {
	n.admitted += factor * other.admitted
	n.refused += factor * other.refused
	n.noRoom += factor * other.noRoom
	n.returned += factor * other.returned
}

func (n *counts) scale(factor float64) {
	*n = counts{factor * n.admitted, factor * n.refused, factor * n.noRoom, factor * n.returned}
}

// servedShare returns the fraction of requests that were admitted; 1 if there were none.
func servedShare(n counts) float64 {
	if n.admitted+n.refused == 0 {
		return 1
	}
	return n.admitted / (n.admitted + n.refused)
}

// callers returns the number of requests whose callers were not seen to return.
func (n counts) callers() float64 { return n.admitted + n.refused - n.returned }

// callersServed returns the fraction of callers that were admitted; 1 if there were none.
func callersServed(n counts) float64 {
	if n.admitted >= n.callers() {
		return 1
	}
	return n.admitted / n.callers()
}

// window holds the counts of each level over a sliding period. The counts are whole numbers, so that sums
// are exact.
type window struct {
	// buckets is a ring of the counts by level; sums is the total of all buckets.
	buckets [][]counts
	sums    []counts
	current int
}

func newWindow(buckets, levels int) *window {
	w := &window{buckets: make([][]counts, buckets), sums: make([]counts, levels)}
	for i := range w.buckets {
		w.buckets[i] = make([]counts, levels)
	}
	return w
}

func (w *window) add(level int, n counts) {
	w.buckets[w.current][level].add(n, 1)
	w.sums[level].add(n, 1)
}

// total returns the sum over all levels.
func (w *window) total() counts {
	var total counts
	for _, n := range w.sums {
		total.add(n, 1)
	}
	return total
}

// advance starts a new bucket in place of the oldest one.
func (w *window) advance() {
	w.current = (w.current + 1) % len(w.buckets)
	oldest := w.buckets[w.current]
	for level, n := range oldest {
		w.sums[level].add(n, -1)
	}
	clear(oldest)
}

func (w *window) clear() {
	clear(w.sums)
	for _, bucket := range w.buckets {
		clear(bucket)
	}
}

// peer holds the last counts of another entry.
type peer struct {
	demand  Demand
	heardAt time.Duration
}

// ApplyPeer applies the counts of another entry. Counts of a peer that is new, was not heard for a while
// or has restarted are only a baseline for its next ones.
func (c *Controller) ApplyPeer(host filbertlever.HostID, d Demand, now time.Duration) {
	c.advance(now)
	d = d.clone()
	if len(d.Returned) == 0 {
		// An entry of an earlier version does not tell who returns.
		d.Returned = make([]uint64, len(d.Admitted))
	}
	if !d.hasLevels(len(c.floor)) {
		// The peer has another desired state, so that its levels mean something else.
		delete(c.peers, host)
		return
	}
	p, known := c.peers[host]
	if known && now-p.heardAt <= peerTTL && now >= c.validFrom && p.demand.precedes(d) {
		for level := range c.floor {
			c.record(level, d.since(p.demand, level))
		}
	}
	c.peers[host] = peer{demand: d, heardAt: now}
}

// RemovePeer drops the counts of an entry that has left.
func (c *Controller) RemovePeer(host filbertlever.HostID) { delete(c.peers, host) }

func newDemand(levels int) Demand {
	return Demand{make([]uint64, levels), make([]uint64, levels), make([]uint64, levels), make([]uint64, levels)}
}

// fields returns the counts of each kind.
func (d Demand) fields() [4][]uint64 {
	return [...][]uint64{d.Admitted, d.Refused, d.NoRoom, d.Returned}
}

// maxIncrease is the largest plausible increase of a count between two reports of a peer.
const maxIncrease = 1_000_000

// precedes reports whether later may be the next state of the same process.
func (d Demand) precedes(later Demand) bool {
	after := later.fields()
	for i, before := range d.fields() {
		for level := range before {
			if after[i][level] < before[level] || after[i][level]-before[level] > maxIncrease {
				return false
			}
		}
	}
	return true
}

// since returns the counts of a level after an earlier state of the same process.
func (d Demand) since(earlier Demand, level int) counts {
	return counts{
		admitted: float64(d.Admitted[level] - earlier.Admitted[level]),
		refused:  float64(d.Refused[level] - earlier.Refused[level]),
		noRoom:   float64(d.NoRoom[level] - earlier.NoRoom[level]),
		returned: float64(d.Returned[level] - earlier.Returned[level]),
	}
}

func (d Demand) hasLevels(levels int) bool {
	for _, field := range d.fields() {
		if len(field) != levels {
			return false
		}
	}
	return true
}

func (d Demand) clone() Demand {
	return Demand{slices.Clone(d.Admitted), slices.Clone(d.Refused), slices.Clone(d.NoRoom), slices.Clone(d.Returned)}
}
