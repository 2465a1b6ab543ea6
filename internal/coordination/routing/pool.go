package routing

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// ringPoint is one of a host's points on the consistent hashing ring of prefixes.
type ringPoint struct {
	hash uint64
	host int32
}

// pool holds the hosts that serve one target.
type pool struct {
	hosts []int32
	ring  []ringPoint
	// unsorted is true if points were added to the ring since it was last sorted.
	unsorted bool
}

// owners returns the two hosts that a prefix is assigned to. They are the same
// at every entry, so that few hosts cache the prefix.
func (p *pool) owners(prefix uint64) (first, second int32) {
	if p.unsorted {
		p.sortRing()
	}
	n := len(p.ring)
	at := sort.Search(n, func(k int) bool { return p.ring[k].hash >= prefix })
	first = p.ring[at%n].host
	for k := 1; k < n; k++ {
		second = p.ring[(at+k)%n].host
		if second != first {
			return first, second
		}
	}
	return first, first
}

func (p *pool) add(i int32, id filbertlever.HostID) {
	p.hosts = append(p.hosts, i)
	point := xxhash.Sum64String(string(id))
	for range ringPointsPerHost {
		// Repeated hashing spreads a host's points over the ring.
		point = splitmix64(point)
		p.ring = append(p.ring, ringPoint{hash: point, host: i})
	}
	p.unsorted = true
}

func (p *pool) sortRing() {
	slices.SortFunc(p.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host, b.host))
	})
	p.unsorted = false
}

func (p *pool) remove(i int32) {
	p.hosts = slices.DeleteFunc(p.hosts, func(h int32) bool { return h == i })
	p.ring = slices.DeleteFunc(p.ring, func(point ringPoint) bool { return point.host == i })
}

// splitmix64 is the output function of splitmix64 (Steele, Lea and Flood, 2014).
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// PrefixHash returns the hash of an organisation and the beginning of a prompt. It is never 0.
func PrefixHash(organisation filbertlever.OrganisationID, prefix string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(organisation))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prefix)
	return max(digest.Sum64(), 1)
}
