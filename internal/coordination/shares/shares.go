// Package shares computes the max-min fair shares of organisations that compete for one service.
//
// Every entry counts the work that organisations asked of it and were served, and exchanges the usages of
// the largest ones with the other entries of its region. The fair share of an organisation is its max-min
// share of all the work served, given what each organisation asked for.
package shares

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/filbertlever/filbertlever"
)

const (
	// recomputeInterval is the minimum time between two computations of the shares.
	recomputeInterval = 250 * time.Millisecond
	// maxCallGap is the longest time between two calls after which earlier usages still count. A longer gap
	// means that the process was frozen.
	maxCallGap = time.Second
	// peerTTL is how long the usages of a peer count.
	peerTTL = 3 * time.Second
	// tolerance is the excess up to which an organisation counts as within its share.
	tolerance = 0.1

	// maxPeers, maxPeerUsages and maxIDLength bound the memory that peers can occupy.
	maxPeers      = 1024
	maxPeerUsages = 8
	maxIDLength   = 200
	// maxPeerRate is the largest rate accepted from a peer: the work of a million slots. It keeps sums over
	// all organisations finite and exact enough to compare.
	maxPeerRate = 1e9
	// minRate is the rate below which an organisation is dropped as idle: one second of work in 5 s has
	// decayed to it after 12 time constants.
	minRate = 1e-3
)

// Config holds the parameters of a Table.
type Config struct {
	// TimeConstant is the time constant with which usage decays.
	TimeConstant time.Duration
	// MaxOrganisations bounds the organisations that are tracked, including those known from peers only.
	MaxOrganisations int
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{TimeConstant: 5 * time.Second, MaxOrganisations: 10_000}
}

// Usage is the work that an organisation asked for and was served, in milliseconds of slot time a second.
type Usage struct {
	Organisation filbertlever.OrganisationID `cbor:"1,keyasint"`
	Asked        float64                     `cbor:"2,keyasint"`
	// Served is at most Asked.
	Served float64 `cbor:"3,keyasint"`
}

// valid reports whether a usage received from a peer can be true.
func (u *Usage) valid() bool {
	// Comparisons with NaN are false.
	return u.Served >= 0 && u.Served <= u.Asked && u.Asked <= maxPeerRate && len(u.Organisation) <= maxIDLength
}

// Table tracks the usage of one service by organisation. It is not safe for concurrent use.
type Table struct {
	config Config
	// now is the time of the latest call; earlier times count as this one.
	now time.Duration
	// recomputed is when the shares were last computed. The organisations' rates are as of then.
	recomputed time.Duration

	byID map[filbertlever.OrganisationID]*organisation
	// organisations holds the values of byID. If ranked is true they are a min-heap by rank.
	organisations []*organisation
	ranked        bool
	// peers is sorted by host. Its usages are added to the organisations when the shares are computed.
	peers []*peer
	// demands is reused by each computation of the shares.
	demands []demand
}

// rates are in milliseconds of slot time a second.
type rates struct{ asked, served float64 }

type organisation struct {
	id filbertlever.OrganisationID
	// weight is the relative size of the fair share. It is 1 until the desired state carries weights.
	weight float64
	// own is this entry's usage as of Table.recomputed. Work that is recorded later is added multiplied by
	// the inverse of its decay since, so that all organisations decay by one common factor.
	own rates
	// peers is the sum of the usages of all peers.
	peers  rates
	excess float64
	// rank is a lower bound of use, while the organisations are ranked.
	rank float64
}

// use is the work asked for at all entries. It only grows between two computations of the shares.
func (o *organisation) use() float64 { return o.own.asked + o.peers.asked }

type peer struct {
	host   filbertlever.HostID
	heard  time.Duration
	usages []Usage
}

// New returns an empty table. Parameters that are not positive are replaced by those of DefaultConfig.
func New(config Config) *Table {
	defaults := DefaultConfig()
	if config.TimeConstant <= 0 {
		config.TimeConstant = defaults.TimeConstant
	}
	if config.MaxOrganisations <= 0 {
		config.MaxOrganisations = defaults.MaxOrganisations
	}
	return &Table{config: config, byID: map[filbertlever.OrganisationID]*organisation{}}
}

// Record records the work of a request, which was admitted or refused.
func (t *Table) Record(id filbertlever.OrganisationID, work time.Duration, admitted bool, now time.Duration) {
	t.advance(now)
	if work <= 0 {
		return
	}
	o := t.byID[id]
	if o == nil {
		o = t.insert(id)
	}
	rate := work.Seconds() * 1000 / t.config.TimeConstant.Seconds() / t.decay()
	o.own.asked += rate
	if admitted {
		o.own.served += rate
	}
}

// Top returns the usage of the n organisations that asked this entry for the most work, largest first.
func (t *Table) Top(n int, now time.Duration) []Usage {
	t.advance(now)
	n = min(n, len(t.organisations))
	if n <= 0 {
		return nil
	}
	top := make([]*organisation, 0, n+1)
	for _, o := range t.organisations {
		i := len(top)
		for i > 0 && top[i-1].own.asked < o.own.asked {
			i--
		}
		if i < n && o.own.asked > 0 {
			top = slices.Insert(top, i, o)
			top = top[:min(n, len(top))]
		}
	}
	decay := t.decay()
	usages := make([]Usage, len(top))
	for i, o := range top {
		usages[i] = Usage{Organisation: o.id, Asked: o.own.asked * decay, Served: o.own.served * decay}
	}
	return usages
}

// ApplyPeer replaces the usages of another entry. Of the first 8 it ignores those that cannot be true and
// those that repeat an organisation. They take effect when the shares are next computed.
func (t *Table) ApplyPeer(host filbertlever.HostID, usages []Usage, now time.Duration) {
	t.advance(now)
	i, found := t.findPeer(host)
	if !found {
		if len(t.peers) >= maxPeers {
			return
		}
		t.peers = slices.Insert(t.peers, i, &peer{host: host})
	}
	p := t.peers[i]
	p.heard = t.now
	p.usages = p.usages[:0]
	for _, u := range usages[:min(len(usages), maxPeerUsages)] {
		same := func(other Usage) bool { return other.Organisation == u.Organisation }
		if u.valid() && !slices.ContainsFunc(p.usages, same) {
			p.usages = append(p.usages, u)
		}
	}
}

// RemovePeer drops the usages of an entry that has left.
func (t *Table) RemovePeer(host filbertlever.HostID) {
	if i, found := t.findPeer(host); found {
		t.peers = slices.Delete(t.peers, i, i+1)
	}
}

// Excess returns by which fraction an organisation exceeds its share. It is 0 within a tenth of the share
// and for unknown organisations.
func (t *Table) Excess(id filbertlever.OrganisationID, now time.Duration) float64 {
	t.advance(now)
	if o := t.byID[id]; o != nil {
		return o.excess
	}
	return 0
}

func (t *Table) findPeer(host filbertlever.HostID) (int, bool) {
	return slices.BinarySearchFunc(t.peers, host, func(p *peer, host filbertlever.HostID) int {
		return strings.Compare(string(p.host), string(host))
	})
}

// decay returns the factor by which rates have decayed since the shares were computed.
func (t *Table) decay() float64 {
	return math.Exp(-float64(t.now-t.recomputed) / float64(t.config.TimeConstant))
}

// advance sets the time and computes the shares if they are due.
func (t *Table) advance(now time.Duration) {
	now = max(now, t.now)
	if now-t.now > maxCallGap {
		clear(t.byID)
		clear(t.organisations)
		clear(t.peers)
		t.organisations, t.peers = t.organisations[:0], t.peers[:0]
	}
	t.now = now
	if now-t.recomputed >= recomputeInterval {
		t.recompute()
	}
}

// recompute decays all usages to the current time and computes the excess of each organisation.
func (t *Table) recompute() {
	decay := t.decay()
	t.recomputed = t.now
	t.ranked = false
	for _, o := range t.organisations {
		o.own.asked *= decay
		o.own.served *= decay
		o.peers = rates{}
	}
	t.peers = slices.DeleteFunc(t.peers, func(p *peer) bool { return t.now-p.heard > peerTTL })
	for _, p := range t.peers {
		t.addUsages(p.usages)
	}
	t.organisations = slices.DeleteFunc(t.organisations, func(o *organisation) bool {
		idle := o.use() < minRate
		if idle {
			delete(t.byID, o.id)
		}
		return idle
	})

	served := 0.0
	t.demands = t.demands[:0]
	for _, o := range t.organisations {
		served += o.own.served + o.peers.served
		t.demands = append(t.demands, demand{asked: o.use(), weight: o.weight})
	}
	level := shareLevel(t.demands, served)
	for _, o := range t.organisations {
		// An organisation with a share of all that it asked for was served no more than it asked for, so
		// that only shares at the level can be exceeded.
		excess := 0.0
		if served := o.own.served + o.peers.served; served > (1+tolerance)*level*o.weight {
			excess = served/(level*o.weight) - 1
		}
		o.excess = excess
	}
}

// addUsages adds a peer's usages to the organisations. If the table is full, an organisation that is not
// in it is added only if it asked for more than the least used one.
func (t *Table) addUsages(usages []Usage) {
	for _, u := range usages {
		o := t.byID[u.Organisation]
		if o == nil {
			if t.full() && t.leastUsed().use() >= u.Asked {
				continue
			}
			o = t.insert(u.Organisation)
		}
		o.peers.asked += u.Asked
		o.peers.served += u.Served
	}
}

func (t *Table) full() bool { return len(t.organisations) >= t.config.MaxOrganisations }

// insert adds an organisation. If the table is full it replaces the least used one.
func (t *Table) insert(id filbertlever.OrganisationID) *organisation {
	var o *organisation
	if t.full() {
		// The new organisation has rank 0, so that it may stay at the root of the heap.
		o = t.leastUsed()
		delete(t.byID, o.id)
	} else {
		o = &organisation{}
		t.organisations = append(t.organisations, o)
		t.ranked = false
	}
	*o = organisation{id: id, weight: 1}
	t.byID[id] = o
	return o
}

// leastUsed returns the organisation that asked for the least work and makes it the root of the heap.
// Ranks are updated only as organisations become the root, so that Record need not maintain the heap.
func (t *Table) leastUsed() *organisation {
	if !t.ranked {
		for _, o := range t.organisations {
			o.rank = o.use()
		}
		for i := len(t.organisations)/2 - 1; i >= 0; i-- {
			t.siftDown(i)
		}
		t.ranked = true
	}
	for {
		o := t.organisations[0]
		if o.rank == o.use() {
			return o
		}
		o.rank = o.use()
		t.siftDown(0)
	}
}

// siftDown restores the heap after the rank at index i was raised.
func (t *Table) siftDown(i int) {
	heap := t.organisations
	for {
		child := 2*i + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && heap[child+1].rank < heap[child].rank {
			child++
		}
		if heap[i].rank <= heap[child].rank {
			return
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}

// demand is what an organisation asked for and the weight of its share.
type demand struct{ asked, weight float64 }

// shareLevel returns the share of an organisation of weight 1 that asked for more than that, such that
// the shares min(asked, weight*level) add up to total. It is infinite if each organisation can have all
// that it asked for. It reorders the demands.
//
// The level rises with each pass, which removes the demands below it. It rises by a fraction of the
// previous rise that is the removed weight over the remaining weight, so that passes are few: either half
// of the weight is removed or the rise is halved.
func shareLevel(demands []demand, total float64) float64 {
	for {
		if len(demands) == 0 {
			return math.Inf(1)
		}
		weight := 0.0
		for _, d := range demands {
			weight += d.weight
		}
		level := total / weight
		above := demands[:0]
		for _, d := range demands {
			if d.asked > level*d.weight {
				above = append(above, d)
			} else {
				total -= d.asked
			}
		}
		if len(above) == len(demands) {
			return level
		}
		demands = above
	}
}
