package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Times of what entries hear of each other.
const (
	// heartbeatInterval is how often an entry tells the others that it lives.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatTimeout is the silence after which an entry is not named to callers:
	// three heartbeats, since datagrams are lost now and then.
	heartbeatTimeout = 1300 * time.Millisecond
	// heartbeatsPerRemote is how many heartbeats pass between two that go to other regions
	// too, where bytes are scarce; farMissed is the timeout there.
	heartbeatsPerRemote    = 5
	remoteHeartbeatTimeout = 5 * time.Second
	// startTrust is how long after it learnt of another entry one takes that to be
	// alive, until it can have been heard; for those of other regions it is farMissed.
	startTrust = 1500 * time.Millisecond
)

// minSiteEntries is how many entries of a caller's own site are enough to name no
// others: one of them may be gone by the time that the caller comes.
const minSiteEntries = 2

// maxLocateAddresses bounds the addresses named to a caller.
const maxLocateAddresses = 64

// peers is what an entry knows of the others. The gateway's lock guards it.
type peers struct {
	self    Entry
	started time.Duration
	byHost  map[filbertlever.HostID]*peer
	// order has the known entries by name, and near is how many of them are of this one's
	// region; order is nil if it is out of date.
	order       []*peer
	regionCount int
}

type peer struct {
	entry Entry
	// discoveredAt is when this entry learnt of it.
	discoveredAt time.Duration
	// listed is true while the store has the entry's row.
	listed      bool
	heartbeatAt time.Duration
	ready       bool
	// storeUnreachable is true while the store does not answer it.
	storeUnreachable bool
	// storeAnsweredAt is when the store last answered it; 0 if that is not known.
	storeAnsweredAt time.Duration
	// countsSequence is that of the last counts taken.
	countsSequence int64
}

func newPeers(self Entry, now time.Duration) *peers {
	return &peers{self: self, started: now, byHost: map[filbertlever.HostID]*peer{}}
}

// applyRows takes rows of the store.
func (p *peers) applyRows(present []Entry, gone []string, whole bool, now time.Duration) {
	if whole {
		for _, known := range p.byHost {
			known.listed = false
		}
	}
	for _, entry := range present {
		if entry.Host == p.self.Host {
			continue
		}
		known, ok := p.byHost[entry.Host]
		if !ok {
			known = &peer{discoveredAt: now}
			p.byHost[entry.Host] = known
		}
		known.entry, known.listed = entry, true
		p.order = nil
	}
	for _, host := range gone {
		if known, ok := p.byHost[filbertlever.HostID(host)]; ok {
			known.listed = false
		}
	}
	for host, known := range p.byHost {
		if !known.listed {
			delete(p.byHost, host)
			p.order = nil
		}
	}
}

// addDiscovered takes entries that another entry told of. Their own heartbeats show whether
// they live.
func (p *peers) addDiscovered(entries []Entry, now time.Duration) {
	for _, entry := range entries {
		if _, ok := p.byHost[entry.Host]; !ok && entry.Host != p.self.Host {
			p.byHost[entry.Host] = &peer{entry: entry, listed: true, discoveredAt: now}
			p.order = nil
		}
	}
}

// hear takes a heartbeat, and reports whether it is the first of that process.
func (p *peers) hear(entry Entry, ready, lost bool, now time.Duration) (first bool) {
	known, ok := p.byHost[entry.Host]
	if !ok {
		// A live entry whose row has not been read yet.
		known = &peer{listed: true, discoveredAt: now}
		p.byHost[entry.Host] = known
	}
	if !ok || known.entry.Region != entry.Region {
		p.order = nil
	}
	first = known.heartbeatAt == 0 || known.entry.Incarnation != entry.Incarnation
	if known.entry.Incarnation != entry.Incarnation {
		known.countsSequence = 0
	}
	known.entry, known.heartbeatAt, known.ready, known.storeUnreachable = entry, now, ready, lost
	return first
}

// acceptSequence reports whether counts of an entry are newer than the last taken.
//
// Guard: datagrams overtake each other, and a late one would bring back
// requests that have ended.
func (p *peers) acceptSequence(host filbertlever.HostID, sequence int64) bool {
	known, ok := p.byHost[host]
	if !ok || sequence <= known.countsSequence {
		return false
	}
	known.countsSequence = sequence
	return true
}

// isAlive reports whether an entry is taken to be alive.
//
// Guard: heartbeats of other regions are rarer; with the timeout of this one's, their entries would
// count as dead right after a start, and pieces on their way from them would be given up.
func (p *peers) isAlive(known *peer, now time.Duration) bool {
	far := known.entry.Region != p.self.Region
	switch {
	case far:
		return now-max(known.heartbeatAt, known.discoveredAt) < remoteHeartbeatTimeout
	case known.heartbeatAt == 0:
		return now-known.discoveredAt < startTrust
	}
	return now-known.heartbeatAt < heartbeatTimeout
}

// isReady reports whether an entry has said that it is ready.
func (p *peers) isReady(host filbertlever.HostID) bool {
	known, ok := p.byHost[host]
	return ok && known.ready
}

// isReader reports whether an entry may read the store for its region.
func (p *peers) isReader(host filbertlever.HostID) bool {
	known, ok := p.byHost[host]
	return ok && known.ready && !known.storeUnreachable
}

// recordStoreAnswer notes how long ago the store answered an entry; 0 if the entry does not say.
func (p *peers) recordStoreAnswer(host filbertlever.HostID, ago, now time.Duration) {
	if known, ok := p.byHost[host]; ok && ago > 0 {
		known.storeAnsweredAt = now - ago
	}
}

// isAnswered reports whether the store has answered an entry lately.
func (p *peers) isAnswered(host filbertlever.HostID, now time.Duration) bool {
	known, ok := p.byHost[host]
	return ok && known.storeAnsweredAt != 0 && now-known.storeAnsweredAt < storeAnswerTTL
}

// noteLost notes that an entry says that it lost the store, until its next heartbeat.
func (p *peers) noteLost(host filbertlever.HostID) {
	if known, ok := p.byHost[host]; ok {
		known.storeUnreachable = true
	}
}

// isHeard reports whether an entry has been heard, and is not only listed.
func (p *peers) isHeard(host filbertlever.HostID) bool {
	known, ok := p.byHost[host]
	return ok && known.heartbeatAt != 0
}

// registered returns how many entries there are by the store's rows.
func (p *peers) registered() int { return len(p.byHost) + 1 }

// sorted returns the known entries by name.
func (p *peers) sorted() []*peer {
	if p.order != nil {
		return p.order
	}
	p.order, p.regionCount = make([]*peer, 0, len(p.byHost)), 0
	for _, known := range p.byHost {
		p.order = append(p.order, known)
		if known.entry.Region == p.self.Region {
			p.regionCount++
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
		if p.isAlive(known, now) {
			entries = append(entries, known.entry)
		}
	}
	if !self {
		entries = append(entries, p.self)
	}
	return entries
}

// scope says which entries a message goes to.
type scope int

// Whom messages go to: all entries that may live, those of this one's region, and those
// of others.
const (
	scopeAll scope = iota
	scopeRegion
	scopeRemote
)

// addresses returns where messages go.
func (p *peers) addresses(to scope) []string {
	var addresses []string
	for _, known := range p.sorted() {
		near := known.entry.Region == p.self.Region
		if to == scopeAll || near == (to == scopeRegion) {
			addresses = append(addresses, known.entry.Datagrams)
		}
	}
	return addresses
}

// regionCounts returns how many other entries of the region there are, and how many elsewhere.
func (p *peers) regionCounts() (near, far int) {
	known := len(p.sorted())
	return p.regionCount, known - p.regionCount
}

// timedOut returns the entries that were heard once and are no longer.
func (p *peers) timedOut(now time.Duration) []filbertlever.HostID {
	var hosts []filbertlever.HostID
	for host, known := range p.byHost {
		if known.heartbeatAt != 0 && !p.isAlive(known, now) {
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
	for _, known := range p.byHost {
		if p.isAlive(known, now) && (known.ready || known.heartbeatAt == 0) {
			add(known.entry)
		}
	}
	slices.Sort(near)
	slices.Sort(all)
	if len(near) >= minSiteEntries {
		all = near
	}
	return all[:min(len(all), maxLocateAddresses)]
}
