// Package distribution decides which chunk of a set of weights a host fetches
// next and from which source. Each chunk has its own tree over the hosts: the
// root fetches the chunk from the origin, and every other host fetches it from
// its parent. A chunk is sent to each site once and is then distributed along a
// tree within the site. The trees differ from chunk to chunk, so each host
// uploads about as much as it downloads.
package distribution

import (
	"math"

	"github.com/filbertlever/filbertlever"
)

// Peer is a host that needs a set of weights.
type Peer struct {
	ID   filbertlever.HostID
	Site string
}

// Shape is the form of the trees. ShapePerChunk is the one in use. The others
// exist to be compared with it in benchmarks.
type Shape int

// The shapes.
const (
	// ShapePerChunk gives each chunk a tree of its own.
	ShapePerChunk Shape = iota
	// ShapeOneTree uses one tree for all chunks. Half of the hosts upload
	// nothing.
	ShapeOneTree
	// ShapeChain sends all chunks along one chain of hosts.
	ShapeChain
	// ShapeStar has every host fetch everything from the origin.
	ShapeStar
)

// arity is the number of children of an inner node.
const arity = 2

// goldenRatio spaces the offsets of consecutive chunks so that the chunks for
// which a host is an inner node are spread evenly over the transfer.
const goldenRatio = 0.6180339887498949

// tree maps hosts to nodes in the trees of all chunks.
type tree struct {
	shape Shape
	// sites lists the hosts of each site in order. Sites are in the order of
	// their first host.
	sites   [][]filbertlever.HostID
	indexes map[filbertlever.HostID]hostIndex
}

// hostIndex locates a host in tree.sites.
type hostIndex struct {
	site, host int
}

// node is a position in the tree of one chunk: local is the index in the tree
// of the site, and site is the index of the site in the tree of sites. The root
// of a chunk is the node 0, 0.
type node struct {
	site, local int
}

func newTree(shape Shape, order []Peer) *tree {
	t := &tree{shape: shape, indexes: make(map[filbertlever.HostID]hostIndex, len(order))}
	siteIndexes := map[string]int{}
	for _, peer := range order {
		if _, ok := t.indexes[peer.ID]; ok {
			continue
		}
		site, ok := siteIndexes[peer.Site]
		if !ok {
			site = len(t.sites)
			siteIndexes[peer.Site] = site
			t.sites = append(t.sites, nil)
		}
		t.indexes[peer.ID] = hostIndex{site: site, host: len(t.sites[site])}
		t.sites[site] = append(t.sites[site], peer.ID)
	}
	return t
}

// offset returns by how many of n positions the tree of a chunk is rotated.
func (t *tree) offset(chunk, n int) int {
	if t.shape != ShapePerChunk {
		return 0
	}
	_, frac := math.Modf(float64(chunk) * goldenRatio)
	return int(frac * float64(n))
}

// nodeOf returns the node of a host in the tree of a chunk.
func (t *tree) nodeOf(host filbertlever.HostID, chunk int) node {
	if t.shape == ShapeStar {
		return node{}
	}
	index := t.indexes[host]
	sites, hosts := len(t.sites), len(t.sites[index.site])
	return node{
		site:  (index.site + sites - t.siteOffset(chunk)) % sites,
		local: (index.host + hosts - t.offset(chunk, hosts)) % hosts,
	}
}

// siteOffset returns the site that holds the root of a chunk. Sites are chosen
// in proportion to their number of hosts.
func (t *tree) siteOffset(chunk int) int {
	remaining := t.offset(chunk, len(t.indexes))
	for site, hosts := range t.sites {
		if remaining < len(hosts) {
			return site
		}
		remaining -= len(hosts)
	}
	return 0
}

// hostAt returns the host at a node in the tree of a chunk.
func (t *tree) hostAt(n node, chunk int) filbertlever.HostID {
	hosts := t.sites[(n.site+t.siteOffset(chunk))%len(t.sites)]
	return hosts[(n.local+t.offset(chunk, len(hosts)))%len(hosts)]
}

// parentIndex returns the index of the parent of an index other than 0.
func (t *tree) parentIndex(index int) int {
	if t.shape == ShapeChain {
		return index - 1
	}
	return (index - 1) / arity
}

// parent returns the node that n fetches from. It must not be called for the
// root.
func (t *tree) parent(n node) node {
	if n.local > 0 {
		return node{site: n.site, local: t.parentIndex(n.local)}
	}
	return node{site: t.parentIndex(n.site)}
}

func (n node) isRoot() bool { return n.site == 0 && n.local == 0 }

// takeoverRank returns how many other hosts may take over a chunk before the
// host at this node.
func (n node) takeoverRank() int { return n.site + n.local }

// descendants returns the approximate number of hosts below a host in the tree
// of a chunk.
func (t *tree) descendants(host filbertlever.HostID, chunk int) int {
	n := t.nodeOf(host, chunk)
	size := subtreeSize(n.local, len(t.sites[t.indexes[host].site]))
	if n.local == 0 {
		size += (subtreeSize(n.site, len(t.sites)) - 1) * len(t.indexes) / len(t.sites)
	}
	return size - 1
}

// subtreeSize returns the size of the subtree rooted at an index in a tree of n
// nodes.
func subtreeSize(root, n int) int {
	size := 0
	for from, to := root, root; from < n; from, to = from*arity+1, to*arity+arity {
		size += min(to, n-1) - from + 1
	}
	return size
}
