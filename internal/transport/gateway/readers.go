package gateway

import (
	"cmp"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// regionView is what an entry knows of the entries of its region that may pass on tables. The list
// includes the entry itself.
type regionView struct {
	readers   []relays.Reader
	addresses map[filbertlever.HostID]string
}

// viewRegion returns the entries of this region that may pass on tables. The caller holds the lock.
func (g *Gateway) viewRegion(now time.Duration) regionView {
	view := regionView{addresses: map[filbertlever.HostID]string{}}
	starting := g.regionStarting(now)
	for _, e := range g.peers.alive(now) {
		self := e.Host == g.config.Self.Host
		if e.Region != g.config.Self.Region || !self && !g.peers.isReady(e.Host) && !(starting && g.peers.hasHeartbeat(e.Host)) {
			continue
		}
		view.addresses[e.Host] = e.Peers
		reader := relays.Reader{Host: e.Host, Unavailable: g.peers.isStoreUnreachable(e.Host), StoreAnswered: g.peers.hasRecentStoreAnswer(e.Host, now)}
		if self {
			reader.Unavailable, reader.StoreAnswered = g.storeUnreachable(now), g.hasRecentStoreAnswer(now)
		}
		view.readers = append(view.readers, reader)
	}
	return view
}

// selectReader returns the host and the peer address of the entry that reads the store
// for this region. It returns false if that is this entry.
func (g *Gateway) selectReader(now time.Duration) (filbertlever.HostID, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	view := g.viewRegion(now)
	host := relays.PickReader(g.config.Self.Region, view.readers)
	return host, view.addresses[host], host != g.config.Self.Host
}

// sources are the entries that this entry asks for the changes of tables, the preferred one first.
type sources struct {
	// root is the reader of the region, and position that of this entry in the tree below it.
	root      filbertlever.HostID
	position  int
	hosts     []filbertlever.HostID
	addresses map[filbertlever.HostID]string
	// size is the number of entries in the tree.
	size int
}

// selectSources returns the sources of this entry. It has none if this entry is the reader.
func (g *Gateway) selectSources(now time.Duration) sources {
	g.mu.Lock()
	view := g.viewRegion(now)
	g.mu.Unlock()
	root := relays.PickReader(g.config.Self.Region, view.readers)
	var members []relays.Member
	for _, r := range view.readers {
		members = append(members, relays.Member{Host: r.Host})
	}
	tree := relays.NewTree(root, members)
	return sources{root: root, position: tree.Position(g.config.Self.Host), hosts: tree.Sources(g.config.Self.Host), addresses: view.addresses, size: len(tree)}
}

// regionStarting reports whether this entry and all others of its region have just started. The
// caller holds the lock.
//
// Such entries follow one of them, although none is ready. If each read the store until it is ready,
// their reads would fill the links between regions, and none would become ready.
func (g *Gateway) regionStarting(now time.Duration) bool {
	ready, _, _ := g.observedEntries(now)
	return g.state.Load() == nil && len(ready) == 0
}

// isRegionStarting is regionStarting for callers that do not hold the lock.
func (g *Gateway) isRegionStarting(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.regionStarting(now)
}

// isReader reports whether this entry reads the store for its region.
func (g *Gateway) isReader(now time.Duration) bool {
	_, _, remote := g.selectReader(now)
	return !remote
}

// storeUnreachable reports whether the store recently refused to serve this entry, so that
// another entry should read for the region. The caller holds the lock.
func (g *Gateway) storeUnreachable(now time.Duration) bool {
	return now < time.Duration(g.readerSuspendedUntil.Load())
}

// readerBackoff is how long an entry that the store refused to serve leaves reading to other
// entries before it tries again.
const readerBackoff = 3 * time.Second

// mayRetryStore reports whether this entry, which the store recently did not answer, may ask it for
// changes of the table again before readerBackoff has passed. The last failure of this table counts, if
// there is one: a call for another table may have been left unanswered long before.
func (w *tableWatch) mayRetryStore(now time.Duration) bool {
	g := w.gateway
	g.mu.Lock()
	n := len(g.viewRegion(now).readers)
	g.mu.Unlock()
	return now-cmp.Or(w.storeFailedAt, g.storeFailedAt()) >= relays.StoreRetryInterval(n)
}

// storeFailedAt returns when the store last did not answer this entry.
func (g *Gateway) storeFailedAt() time.Duration {
	return time.Duration(g.readerSuspendedUntil.Load()) - readerBackoff
}

// recordUnanswered records that the store did not answer a call in time, or refused it.
func (g *Gateway) recordUnanswered(sentAt time.Duration) {
	for {
		before := g.storeUnansweredAt.Load()
		if before >= int64(sentAt) || g.storeUnansweredAt.CompareAndSwap(before, int64(sentAt)) {
			return
		}
	}
}

// markStoreUnreachable records that the store refuses to serve this entry, or does not answer it in
// time. Its followers and, if that is new, the region are informed: another entry reads the store for
// them, and those that the store answers become known.
func (g *Gateway) markStoreUnreachable() {
	now := boottime.Now()
	notified := now < time.Duration(g.readerSuspendedUntil.Swap(int64(now+readerBackoff)))
	g.feeds.markAllUnreachable()
	if !notified {
		g.requestHeartbeat()
	}
}
