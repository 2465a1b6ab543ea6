package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/suspension"
)

// Intervals and timeouts of the failure detector between entries.
const (
	// heartbeatInterval is the interval between two heartbeats to the entries of the region.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which an entry of the region
	// counts as dead. It spans three heartbeats, since datagrams may be dropped.
	heartbeatTimeout = 1300 * time.Millisecond
	// An entry of another region gets one in heartbeatsPerRemote heartbeats, as bandwidth
	// between regions is scarce. remoteHeartbeatTimeout is the timeout for such entries.
	heartbeatsPerRemote    = 5
	remoteHeartbeatTimeout = 5 * time.Second
	// startupGrace is how long a newly discovered entry of the region counts as alive
	// without a heartbeat. For entries of other regions it is remoteHeartbeatTimeout.
	startupGrace = 1500 * time.Millisecond
	// maxDelegates is the number of entries of a region that send heartbeats to other regions. If
	// the region has more, they also report which of the others are down. regionReportTimeout is the time
	// without such a report of being alive, of which each entry gets several a second.
	maxDelegates        = 20
	regionReportTimeout = 3 * time.Second
)

// minSiteEntries is the number of entries at a caller's own site from which on entries of
// other sites are omitted. One of them may have stopped by the time the caller connects.
const minSiteEntries = 2

// maxLocateAddresses is the maximum number of addresses returned to a caller.
const maxLocateAddresses = 64

// peers tracks the other entries of the installation. The gateway's lock guards it.
type peers struct {
	self Entry
	// startedAt is when this entry started.
	startedAt time.Duration
	byHost    map[filbertlever.HostID]*peer
	// unregistered counts the entries of byHost without a row of the store. Messages may name any number;
	// maxUnregistered bounds them.
	unregistered, maxUnregistered int
	// replaced are the entries that others have replaced at that bound.
	replaced []filbertlever.HostID
	// order caches the entries of byHost sorted by host, and regionCount how many of them
	// are in this entry's region. order is nil if it is out of date.
	order       []*peer
	regionCount int
	suspensions suspension.Detector
}

// peer is the state of one other entry.
type peer struct {
	entry Entry
	// discoveredAt is when this entry discovered the other one.
	discoveredAt time.Duration
	// listed is true while the entry counts as one of the installation, and registered once the store had a
	// row for it.
	listed, registered bool
	// heartbeatAt is when the last heartbeat arrived; 0 if none has.
	heartbeatAt time.Duration
	// reportedAliveAt is when an entry of its region last reported it as alive; 0 if none has.
	reportedAliveAt time.Duration
	// ready is true if the last heartbeat reported that the entry accepts callers.
	ready bool
	// storeUnreachable is true while the entry reports that the store does not answer it.
	storeUnreachable bool
	// storeAnsweredAt is when the store last answered the entry; 0 if unknown.
	storeAnsweredAt time.Duration
	// countsSequence is the sequence number of the last applied counts.
	countsSequence int64
}

func newPeers(self Entry, now time.Duration) *peers {
	return &peers{self: self, startedAt: now, byHost: map[filbertlever.HostID]*peer{}, maxUnregistered: defaultMaxUnregistered}
}

// defaultMaxUnregistered is maxUnregistered of a host whose limits are not known.
const defaultMaxUnregistered = 4096

// addUnregistered adds an entry that is known by a message only. At the bound it replaces the one that has
// been silent for longest.
func (p *peers) addUnregistered(entry Entry, now time.Duration) *peer {
	if p.unregistered >= p.maxUnregistered {
		var oldest *peer
		for _, other := range p.byHost {
			if !other.registered && (oldest == nil || max(other.heartbeatAt, other.discoveredAt) < max(oldest.heartbeatAt, oldest.discoveredAt)) {
				oldest = other
			}
		}
		if oldest != nil {
			p.remove(oldest)
			p.replaced = append(p.replaced, oldest.entry.Host)
		}
	}
	other := &peer{entry: entry, listed: true, discoveredAt: now}
	p.byHost[entry.Host] = other
	p.unregistered++
	p.order = nil
	return other
}

func (p *peers) remove(other *peer) {
	delete(p.byHost, other.entry.Host)
	if !other.registered {
		p.unregistered--
	}
	p.order = nil
}

// applyRows applies changes of the store's entry table: added or changed entries, and the
// hosts of removed ones. If whole is true, present is the complete table.
func (p *peers) applyRows(present []Entry, removed []string, whole bool, now time.Duration) {
	if whole {
		for _, other := range p.byHost {
			other.listed = false
		}
	}
	for _, entry := range present {
		if entry.Host == p.self.Host {
			continue
		}
		other, ok := p.byHost[entry.Host]
		switch {
		case !ok:
			other = &peer{discoveredAt: now}
			p.byHost[entry.Host] = other
		case !other.registered:
			p.unregistered--
		}
		other.entry, other.listed, other.registered = entry, true, true
		p.order = nil
	}
	for _, host := range removed {
		if other, ok := p.byHost[filbertlever.HostID(host)]; ok {
			other.listed = false
		}
	}
	for _, other := range p.byHost {
		if !other.listed {
			p.remove(other)
		}
	}
}

// addDiscovered adds entries that another entry reported, and returns the new ones. Whether they
// are alive is decided by their own heartbeats.
func (p *peers) addDiscovered(entries []Entry, now time.Duration) []Entry {
	var added []Entry
	for _, entry := range entries {
		if _, ok := p.byHost[entry.Host]; !ok && entry.Host != p.self.Host {
			p.addUnregistered(entry, now)
			added = append(added, entry)
		}
	}
	return added
}

// takeReplaced returns the entries that were replaced since the last call.
func (p *peers) takeReplaced() []filbertlever.HostID {
	replaced := p.replaced
	p.replaced = nil
	return replaced
}

// discoveryElapsed reports whether this entry has run long enough to have discovered the others.
func (p *peers) discoveryElapsed(now time.Duration) bool { return now-p.startedAt > startupGrace }

// observeHeartbeat records a heartbeat, and reports whether it is the first one of that
// process.
func (p *peers) observeHeartbeat(entry Entry, ready, storeUnreachable bool, now time.Duration) (first bool) {
	other, ok := p.byHost[entry.Host]
	if !ok {
		// The entry is alive, but its row has not been read yet.
		other = p.addUnregistered(entry, now)
	}
	if other.entry.Region != entry.Region {
		p.order = nil
	}
	first = other.heartbeatAt == 0 || other.entry.Incarnation != entry.Incarnation
	if other.entry.Incarnation != entry.Incarnation {
		other.countsSequence = 0
	}
	other.entry, other.heartbeatAt, other.ready, other.storeUnreachable = entry, now, ready, storeUnreachable
	return first
}

// acceptSequence records the sequence number of an entry's counts, and reports whether it
// is higher than the last one.
//
// Datagrams may be reordered. An outdated one would count requests that have already ended.
func (p *peers) acceptSequence(host filbertlever.HostID, sequence int64) bool {
	other, ok := p.byHost[host]
	if !ok || sequence <= other.countsSequence {
		return false
	}
	other.countsSequence = sequence
	return true
}

// isAlive reports whether an entry counts as alive.
//
// Time in which this process was suspended does not count, as it has not read the heartbeats of that time.
//
// Heartbeats of other regions are less frequent. With the timeout of this region, their
// entries would count as dead right after a start, and fetches of pieces from them would be
// aborted.
func (p *peers) isAlive(other *peer, now time.Duration) bool {
	remote := other.entry.Region != p.self.Region
	switch {
	case remote:
		return p.suspensions.Elapsed(max(other.heartbeatAt, other.discoveredAt), now) < remoteHeartbeatTimeout ||
			other.reportedAliveAt != 0 && p.suspensions.Elapsed(other.reportedAliveAt, now) < regionReportTimeout
	case other.heartbeatAt == 0:
		return p.suspensions.Elapsed(other.discoveredAt, now) < startupGrace
	}
	return p.suspensions.Elapsed(other.heartbeatAt, now) < heartbeatTimeout
}

// isHostAlive reports whether the entry of a host counts as alive.
func (p *peers) isHostAlive(host filbertlever.HostID, now time.Duration) bool {
	other, ok := p.byHost[host]
	return ok && p.isAlive(other, now)
}

// inRegion reports whether an entry is in this entry's region.
func (p *peers) inRegion(host filbertlever.HostID) bool {
	other, ok := p.byHost[host]
	return ok && other.entry.Region == p.self.Region
}

// isReady reports whether an entry accepts callers, by its last heartbeat.
func (p *peers) isReady(host filbertlever.HostID) bool {
	other, ok := p.byHost[host]
	return ok && other.ready
}

// isStoreUnreachable reports whether the store does not answer an entry, by its last heartbeat.
func (p *peers) isStoreUnreachable(host filbertlever.HostID) bool {
	other, ok := p.byHost[host]
	return ok && other.storeUnreachable
}

// recordStoreAnswer records how long ago the store last answered an entry. An age of 0 means
// unknown and is ignored.
func (p *peers) recordStoreAnswer(host filbertlever.HostID, age, now time.Duration) {
	if other, ok := p.byHost[host]; ok && age > 0 {
		other.storeAnsweredAt = now - age
	}
}

// hasRecentStoreAnswer reports whether the store has answered an entry within
// storeAnswerTTL.
func (p *peers) hasRecentStoreAnswer(host filbertlever.HostID, now time.Duration) bool {
	other, ok := p.byHost[host]
	return ok && other.storeAnsweredAt != 0 && now-other.storeAnsweredAt < storeAnswerTTL
}

// markStoreUnreachable records that the store does not answer an entry. The entry's next
// heartbeat overrides this.
func (p *peers) markStoreUnreachable(host filbertlever.HostID) {
	if other, ok := p.byHost[host]; ok {
		other.storeUnreachable = true
	}
}

// hasHeartbeat reports whether a heartbeat of an entry has arrived. Entries that are only
// listed have none.
func (p *peers) hasHeartbeat(host filbertlever.HostID) bool {
	other, ok := p.byHost[host]
	return ok && other.heartbeatAt != 0
}

// registeredCount returns the number of registered entries, including this one.
func (p *peers) registeredCount() int { return len(p.byHost) + 1 }

// delegate describes the part of an entry in the heartbeats between regions.
type delegate struct {
	// sends is true if the entry sends heartbeats to other regions, and reportsRegion if these report
	// the other entries of its region as alive too, except for down, which is sorted.
	sends, reportsRegion bool
	down                 []filbertlever.HostID
}

// delegate returns the part of this entry. The delegates of a region are the live entries with the
// lowest scores, so that another one takes the place of one that fails.
//
// If all entries sent heartbeats to all others, their bytes would grow with the square of the
// installation and take a quarter of the links between regions at 484 entries.
func (p *peers) delegate(now time.Duration) delegate {
	rank, score := 0, neighbourScore("", p.self)
	var d delegate
	for _, other := range p.sorted() {
		if other.entry.Region != p.self.Region {
			continue
		}
		switch {
		case !p.isAlive(other, now):
			d.down = append(d.down, other.entry.Host)
		case neighbourScore("", other.entry) < score:
			rank++
		}
	}
	d.sends = rank < maxDelegates
	d.reportsRegion = d.sends && p.regionCount >= maxDelegates
	if !d.reportsRegion {
		d.down = nil
	}
	return d
}

// observeRegionReport records that a delegate of another region reports the entries of its region as
// alive, except for those that are down.
func (p *peers) observeRegionReport(from Entry, down []filbertlever.HostID, now time.Duration) {
	for _, other := range p.sorted() {
		if other.entry.Region != from.Region || other.entry.Host == from.Host {
			continue
		}
		if _, isDown := slices.BinarySearch(down, other.entry.Host); !isDown {
			other.ready = other.ready || max(other.heartbeatAt, other.reportedAliveAt) == 0
			other.reportedAliveAt = now
		}
	}
}

// hosts returns the registered entries, including this one.
func (p *peers) hosts() []filbertlever.Host {
	hosts := []filbertlever.Host{{ID: p.self.Host, Region: p.self.Region}}
	for _, other := range p.sorted() {
		hosts = append(hosts, filbertlever.Host{ID: other.entry.Host, Region: other.entry.Region})
	}
	return hosts
}

// sorted returns the other entries, sorted by host.
func (p *peers) sorted() []*peer {
	if p.order != nil {
		return p.order
	}
	p.order, p.regionCount = make([]*peer, 0, len(p.byHost)), 0
	for _, other := range p.byHost {
		p.order = append(p.order, other)
		if other.entry.Region == p.self.Region {
			p.regionCount++
		}
	}
	slices.SortFunc(p.order, func(a, b *peer) int { return cmp.Compare(a.entry.Host, b.entry.Host) })
	return p.order
}

// alive returns the entries that count as alive, including this one, sorted by host.
func (p *peers) alive(now time.Duration) []Entry {
	sorted := p.sorted()
	entries := make([]Entry, 0, len(sorted)+1)
	self := false
	for _, other := range sorted {
		if !self && other.entry.Host > p.self.Host {
			entries, self = append(entries, p.self), true
		}
		if p.isAlive(other, now) {
			entries = append(entries, other.entry)
		}
	}
	if !self {
		entries = append(entries, p.self)
	}
	return entries
}

// maxRemoteNeighbours is the number of entries of each other region that neighbours returns.
const maxRemoteNeighbours = 20

// neighbours returns the entries that a process in a region needs to know: the live ones of that
// region, and a few of each other region, the same ones in each answer. With all entries, the
// answers to processes that start together would grow with the square of the installation and fill
// the links between regions.
func (p *peers) neighbours(region string, now time.Duration) []Entry {
	var near []Entry
	byRegion := map[string][]Entry{}
	for _, entry := range p.alive(now) {
		if region == "" || entry.Region == region {
			near = append(near, entry)
		} else {
			byRegion[entry.Region] = append(byRegion[entry.Region], entry)
		}
	}
	for _, remote := range byRegion {
		slices.SortFunc(remote, func(a, b Entry) int { return cmp.Compare(neighbourScore(region, a), neighbourScore(region, b)) })
		near = append(near, remote[:min(len(remote), maxRemoteNeighbours)]...)
	}
	return near
}

// neighbourScore orders the entries that the processes of a region know of other regions. Regions
// have different orders, so that no entry is known to all.
func neighbourScore(region string, entry Entry) uint64 {
	return xxhash.Sum64String(region + "\x00" + string(entry.Host))
}

// scope selects the entries that a message is sent to.
type scope int

// The scopes: all entries, those of this entry's region, and those of other regions. They
// include entries that may be dead.
const (
	scopeAll scope = iota
	scopeRegion
	scopeRemote
)

// addresses returns the datagram addresses of the entries in a scope.
func (p *peers) addresses(to scope) []string {
	var addresses []string
	for _, other := range p.sorted() {
		local := other.entry.Region == p.self.Region
		if to == scopeAll || local == (to == scopeRegion) {
			addresses = append(addresses, other.entry.Datagrams)
		}
	}
	return addresses
}

// regionCounts returns the number of other entries in this entry's region, and in other
// regions.
func (p *peers) regionCounts() (local, remote int) {
	total := len(p.sorted())
	return p.regionCount, total - p.regionCount
}

// timedOut returns the entries that were alive before, but no longer are.
func (p *peers) timedOut(now time.Duration) []filbertlever.HostID {
	var hosts []filbertlever.HostID
	for host, other := range p.byHost {
		if max(other.heartbeatAt, other.reportedAliveAt) != 0 && !p.isAlive(other, now) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Caller describes who asks where to connect.
type Caller struct {
	Region string
	Site   string
	// Host is the caller's host, without a port.
	Host string
}

// locate returns the addresses to which a caller should connect. Bandwidth between regions is
// scarce, so callers stay at their own site if it has minSiteEntries entries. Otherwise they connect
// in their own region or in one that their requests are allowed in.
func (p *peers) locate(caller Caller, allowed filbertlever.Regions, selfReady bool, now time.Duration) []string {
	var atSite, all []string
	add := func(entry Entry) {
		if entry.Region != caller.Region && !allowed.Allows(entry.Region) {
			return
		}
		all = append(all, entry.Callers)
		if entry.Site == caller.Site {
			atSite = append(atSite, entry.Callers)
		}
	}
	if selfReady {
		add(p.self)
	}
	for _, other := range p.byHost {
		if p.isAlive(other, now) && (other.ready || other.heartbeatAt == 0) {
			add(other.entry)
		}
	}
	slices.Sort(atSite)
	slices.Sort(all)
	if len(atSite) >= minSiteEntries {
		all = atSite
	}
	return pickAddresses(all, caller.Host)
}

// pickAddresses returns at most maxLocateAddresses of the sorted addresses. A caller keeps its choice
// while entries come and go, because it closes its connections to entries that are no longer named.
// Callers have different choices, so that all entries get requests.
func pickAddresses(addresses []string, callerHost string) []string {
	if len(addresses) <= maxLocateAddresses {
		return addresses
	}
	score := func(address string) uint64 { return xxhash.Sum64String(callerHost + "\x00" + address) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
	addresses = addresses[:maxLocateAddresses]
	slices.Sort(addresses)
	return addresses
}
