package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Times of what entries hear of each other.
const (
	// beatEvery is how often an entry tells the others that it lives.
	beatEvery = 400 * time.Millisecond
	// beatMissed is the silence after which an entry is not named to callers:
	// three heartbeats, since datagrams are lost now and then.
	beatMissed = 1300 * time.Millisecond
	// farBeats is how many heartbeats pass between two that go to other regions
	// too, where bytes are scarce; farMissed is the timeout there.
	farBeats  = 5
	farMissed = 5 * time.Second
	// startTrust is how long after it learnt of another entry one takes that to be
	// alive, until it can have been heard; for those of other regions it is farMissed.
	startTrust = 1500 * time.Millisecond
)

// siteLeast is how many entries of a caller's own site are enough to name no
// others: one of them may be gone by the time that the caller comes.
const siteLeast = 2

// locateMost bounds the addresses named to a caller.
const locateMost = 64

// peers is what an entry knows of the others. The gateway's lock guards it.
type peers struct {
	self    Entry
	started time.Duration
	known   map[filbertlever.HostID]*peer
	// order has the known entries by name, and near is how many of them are of this one's
	// region; order is nil if it is out of date.
	order []*peer
	near  int
}

type peer struct {
	entry Entry
	// since is when this entry learnt of it.
	since time.Duration
	// listed is true while the store has the entry's row.
	listed bool
	heard  time.Duration
	ready  bool
	// lost is true while the store does not answer it.
	lost bool
	// answeredAt is when the store last answered it; 0 if that is not known.
	answeredAt time.Duration
	// sequence is that of the last counts taken.
	sequence int64
}

func newPeers(self Entry, now time.Duration) *peers {
	return &peers{self: self, started: now, known: map[filbertlever.HostID]*peer{}}
}

// list takes rows of the store.
func (p *peers) list(present []Entry, gone []string, whole bool, now time.Duration) {
	if whole {
		for _, known := range p.known {
			known.listed = false
		}
	}
	for _, entry := range present {
		if entry.Host == p.self.Host {
			continue
		}
		known, ok := p.known[entry.Host]
		if !ok {
			known = &peer{since: now}
			p.known[entry.Host] = known
		}
		known.entry, known.listed = entry, true
		p.order = nil
	}
	for _, host := range gone {
		if known, ok := p.known[filbertlever.HostID(host)]; ok {
			known.listed = false
		}
	}
	for host, known := range p.known {
		if !known.listed {
			delete(p.known, host)
			p.order = nil
		}
	}
}

// meet takes entries that another entry told of. Their own heartbeats show whether
// they live.
func (p *peers) meet(entries []Entry, now time.Duration) {
	for _, entry := range entries {
		if _, ok := p.known[entry.Host]; !ok && entry.Host != p.self.Host {
			p.known[entry.Host] = &peer{entry: entry, listed: true, since: now}
			p.order = nil
		}
	}
}

// hear takes a heartbeat, and reports whether it is the first of that process.
func (p *peers) hear(entry Entry, ready, lost bool, now time.Duration) (first bool) {
	known, ok := p.known[entry.Host]
	if !ok {
		// A live entry whose row has not been read yet.
		known = &peer{listed: true, since: now}
		p.known[entry.Host] = known
	}
	if !ok || known.entry.Region != entry.Region {
		p.order = nil
	}
	first = known.heard == 0 || known.entry.Incarnation != entry.Incarnation
	if known.entry.Incarnation != entry.Incarnation {
		known.sequence = 0
	}
	known.entry, known.heard, known.ready, known.lost = entry, now, ready, lost
	return first
}

// newer reports whether counts of an entry are newer than the last taken.
//
// Guard: datagrams overtake each other, and a late one would bring back
// requests that have ended.
func (p *peers) newer(host filbertlever.HostID, sequence int64) bool {
	known, ok := p.known[host]
	if !ok || sequence <= known.sequence {
		return false
	}
	known.sequence = sequence
	return true
}

// living reports whether an entry is taken to be alive.
//
// Guard: heartbeats of other regions are rarer; with the timeout of this one's, their entries would
// count as dead right after a start, and pieces on their way from them would be given up.
func (p *peers) living(known *peer, now time.Duration) bool {
	far := known.entry.Region != p.self.Region
	switch {
	case far:
		return now-max(known.heard, known.since) < farMissed
	case known.heard == 0:
		return now-known.since < startTrust
	}
	return now-known.heard < beatMissed
}

// isReady reports whether an entry has said that it is ready.
func (p *peers) isReady(host filbertlever.HostID) bool {
	known, ok := p.known[host]
	return ok && known.ready
}

// isReader reports whether an entry may read the store for its region.
func (p *peers) isReader(host filbertlever.HostID) bool {
	known, ok := p.known[host]
	return ok && known.ready && !known.lost
}

// noteAnswered notes how long ago the store answered an entry; 0 if the entry does not say.
func (p *peers) noteAnswered(host filbertlever.HostID, ago, now time.Duration) {
	if known, ok := p.known[host]; ok && ago > 0 {
		known.answeredAt = now - ago
	}
}

// isAnswered reports whether the store has answered an entry lately.
func (p *peers) isAnswered(host filbertlever.HostID, now time.Duration) bool {
	known, ok := p.known[host]
	return ok && known.answeredAt != 0 && now-known.answeredAt < answerFresh
}

// noteLost notes that an entry says that it lost the store, until its next heartbeat.
func (p *peers) noteLost(host filbertlever.HostID) {
	if known, ok := p.known[host]; ok {
		known.lost = true
	}
}

// isHeard reports whether an entry has been heard, and is not only listed.
func (p *peers) isHeard(host filbertlever.HostID) bool {
	known, ok := p.known[host]
	return ok && known.heard != 0
}

// registered returns how many entries there are by the store's rows.
func (p *peers) registered() int { return len(p.known) + 1 }

// sorted returns the known entries by name.
func (p *peers) sorted() []*peer {
	if p.order != nil {
		return p.order
	}
	p.order, p.near = make([]*peer, 0, len(p.known)), 0
	for _, known := range p.known {
		p.order = append(p.order, known)
		if known.entry.Region == p.self.Region {
			p.near++
		}
	}
	slices.SortFunc(p.order, func(a, b *peer) int { return cmp.Compare(a.entry.Host, b.entry.Host) })
	return p.order
}

// alive returns the entries that are alive, this one included, by name.
func (p *peers) alive(now time.Duration) []Entry {
	sorted := p.sorted()
	entries := make([]Entry, 0, len(sorted)+1)
	self := false
	for _, known := range sorted {
		if !self && known.entry.Host > p.self.Host {
			entries, self = append(entries, p.self), true
		}
		if p.living(known, now) {
			entries = append(entries, known.entry)
		}
	}
	if !self {
		entries = append(entries, p.self)
	}
	return entries
}

// reach says which entries a message goes to.
type reach int

// Whom messages go to: all entries that may live, those of this one's region, and those
// of others.
const (
	reachAll reach = iota
	reachNear
	reachFar
)

// addresses returns where messages go.
func (p *peers) addresses(to reach) []string {
	var addresses []string
	for _, known := range p.sorted() {
		near := known.entry.Region == p.self.Region
		if to == reachAll || near == (to == reachNear) {
			addresses = append(addresses, known.entry.Datagrams)
		}
	}
	return addresses
}

// count returns how many other entries of the region there are, and how many elsewhere.
func (p *peers) count() (near, far int) {
	known := len(p.sorted())
	return p.near, known - p.near
}

// silent returns the entries that were heard once and are no longer.
func (p *peers) silent(now time.Duration) []filbertlever.HostID {
	var hosts []filbertlever.HostID
	for host, known := range p.known {
		if known.heard != 0 && !p.living(known, now) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// locate returns the addresses for a caller at a site. Bytes between regions
// are scarce, so a site's callers stay there while it has entries enough.
func (p *peers) locate(site string, selfReady bool, now time.Duration) []string {
	var near, all []string
	add := func(entry Entry) {
		all = append(all, entry.Callers)
		if entry.Site == site {
			near = append(near, entry.Callers)
		}
	}
	if selfReady {
		add(p.self)
	}
	for _, known := range p.known {
		if p.living(known, now) && (known.ready || known.heard == 0) {
			add(known.entry)
		}
	}
	slices.Sort(near)
	slices.Sort(all)
	if len(near) >= siteLeast {
		all = near
	}
	return all[:min(len(all), locateMost)]
}
