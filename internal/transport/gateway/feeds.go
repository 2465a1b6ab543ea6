package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// One entry of each region, the reader, follows the store, and the other entries follow
// the reader. The number of calls to the store then grows with the number of regions
// instead of the number of entries.
const (
	// feedPollWait is how long the reader may hold a follower's request while it waits for a change.
	feedPollWait = 700 * time.Millisecond
	// maxFeedAge is the maximum age of a reader's view that a follower accepts. The age of
	// a reader's view stays below the duration of two calls to the store, so a reader that is
	// disconnected from the store soon exceeds the limit.
	maxFeedAge = 2300 * time.Millisecond
	// maxEntriesFeedAge is the same limit for the list of entries, whose calls wait longer.
	maxEntriesFeedAge = 2 * entriesFollowWait
	// feedTransferTimeout bounds a call to the reader beyond its waiting time.
	feedTransferTimeout = 400 * time.Millisecond
	// maxFeedBatches limits the store's answers that an entry keeps for its followers, and
	// maxFeedBytes their uncompressed size, because followers decompress and decode all of them.
	maxFeedBatches = 256
	maxFeedBytes   = 2 << 20
	// maxSnapshotTransfer bounds the fetch of a snapshot beyond the wait for it. A transfer that has
	// begun may take longer than the wait.
	maxSnapshotTransfer = 10 * time.Second
	// snapshotRetryPause is the pause between calls to an entry that has not started yet.
	snapshotRetryPause = 50 * time.Millisecond
	// heartbeatReplyWait is how long a new process waits for the heartbeats with which other
	// entries reply to its first one.
	heartbeatReplyWait = 20 * time.Millisecond
	// entryListWait is how long a new process waits for the list of entries before it reads other
	// tables, and peersWait how long it waits for another entry that has the list.
	entryListWait = 800 * time.Millisecond
	peersWait     = 400 * time.Millisecond
)

// feedLog holds the recent changes of one table for followers.
type feedLog struct {
	// snapshot is the whole table as of startRevision. Its revision is 0 if the log no longer
	// has it and serves changes only.
	snapshot rowBatch
	batches  []rowBatch
	// batchBytes is the uncompressed size of all batches, which are sent together.
	batchBytes int
	// startRevision and headRevision are the revisions between which the log contains all changes.
	startRevision, headRevision uint64
	// confirmedAt is when the read was sent that last confirmed headRevision.
	confirmedAt time.Duration
	// changed is closed when a batch is added or the store becomes unreachable.
	changed chan struct{}
	// unreachable is true while the store does not answer the reader.
	unreachable bool
}

// feeds holds the logs of all tables.
type feeds struct {
	mu     sync.Mutex
	tables map[Table]*feedLog
	// resetSignal is closed when a log is reset.
	resetSignal chan struct{}
}

func newFeeds() *feeds { return &feeds{tables: map[Table]*feedLog{}, resetSignal: make(chan struct{})} }

// reset replaces a table's log after the whole table was read.
func (f *feeds) reset(table Table, rows Rows, sentAt time.Duration) {
	snapshot := newRowBatch(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.tables[table]; ok {
		close(old.changed)
	}
	f.tables[table] = &feedLog{snapshot: snapshot, startRevision: rows.Revision, headRevision: rows.Revision, confirmedAt: sentAt, changed: make(chan struct{})}
	close(f.resetSignal)
	f.resetSignal = make(chan struct{})
}

// publish adds the answer of the store, or of a reader, to a call for changes after a
// revision. sentAt is a time at which the view was certainly current.
func (f *feeds) publish(table Table, after uint64, rows Rows, sentAt time.Duration) {
	added := newRowBatch(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok {
		return
	}
	if after > log.headRevision {
		// Some changes arrived through another entry and are missing from this log. A
		// snapshot without them would be incomplete, so it is dropped.
		log.batches, log.batchBytes, log.startRevision, log.snapshot = nil, 0, after, rowBatch{}
	}
	log.headRevision = max(log.headRevision, rows.Revision)
	log.confirmedAt, log.unreachable = max(log.confirmedAt, sentAt), false
	if added.uncompressedSize == 0 {
		return
	}
	log.batches = append(log.batches, added)
	log.batchBytes += added.uncompressedSize
	for len(log.batches) > maxFeedBatches || log.batchBytes > maxFeedBytes {
		log.startRevision = log.batches[0].revision
		log.batchBytes -= log.batches[0].uncompressedSize
		log.batches = log.batches[1:]
		log.snapshot = rowBatch{}
	}
	close(log.changed)
	log.changed = make(chan struct{})
}

// markUnreachable records that the store does not answer, and wakes waiting followers.
// Followers that continued to wait for a disconnected reader would observe changes too late.
func (f *feeds) markUnreachable(table Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok || log.unreachable {
		return
	}
	log.unreachable = true
	close(log.changed)
	log.changed = make(chan struct{})
}

// head returns the revision of the view of a table; 0 if there is none.
func (f *feeds) head(table Table) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if log, ok := f.tables[table]; ok {
		return log.headRevision
	}
	return 0
}

// isUnreachable reports whether the store does not answer calls for a table.
func (f *feeds) isUnreachable(table Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	return ok && log.unreachable
}

// age returns the age of the view of a table.
func (f *feeds) age(table Table, now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok {
		return 0
	}
	return now - log.confirmedAt
}

// changesSince returns the changes after a revision, and waits if there are none yet.
// With revision 0 it returns the whole table. It returns false if the log does not
// reach back to the revision.
func (f *feeds) changesSince(ctx context.Context, table Table, after uint64) (FeedResponse, bool) {
	timer := time.NewTimer(feedPollWait)
	defer timer.Stop()
	for timedOut := false; ; {
		response, changed, ok := f.available(table, after)
		// A table may be empty, for example while an installation starts.
		isSnapshot := after == 0 && response.Revision > 0
		if !ok || len(response.Compressed) > 0 || isSnapshot || timedOut {
			return response, ok
		}
		select {
		case <-ctx.Done():
			timedOut = true
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

// available returns what the log has after a revision, and a channel that is closed when
// there may be more.
func (f *feeds) available(table Table, after uint64) (FeedResponse, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	wantsSnapshot := after == 0
	switch {
	case wantsSnapshot && !ok:
		return FeedResponse{}, f.resetSignal, true
	case !ok, log.unreachable && !wantsSnapshot, wantsSnapshot && log.snapshot.revision == 0, !wantsSnapshot && after < log.startRevision:
		// A reader that is disconnected from the store serves no changes, but it still serves
		// its snapshot and the age of its view, which a new process needs.
		return FeedResponse{}, nil, false
	}
	response := FeedResponse{Revision: log.headRevision, Age: boottime.Now() - log.confirmedAt}
	if wantsSnapshot {
		response.Compressed = append(response.Compressed, log.snapshot.compressed...)
	}
	for _, batch := range log.batches {
		if batch.revision > after {
			response.Compressed = append(response.Compressed, batch.compressed...)
		}
	}
	return response, log.changed, true
}

// selectReader returns the host and the peer address of the entry that reads the store
// for this region. It returns false if that is this entry.
func (g *Gateway) selectReader(now time.Duration) (filbertlever.HostID, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var readers []relays.Reader
	addresses := map[filbertlever.HostID]string{}
	starting := g.regionStarting(now)
	for _, e := range g.peers.alive(now) {
		self := e.Host == g.config.Self.Host
		if e.Region != g.config.Self.Region || !self && !g.peers.isReady(e.Host) && !(starting && g.peers.hasHeartbeat(e.Host)) {
			continue
		}
		addresses[e.Host] = e.Peers
		reader := relays.Reader{Host: e.Host, Unavailable: g.peers.isStoreUnreachable(e.Host), StoreAnswered: g.peers.hasRecentStoreAnswer(e.Host, now)}
		if self {
			reader.Unavailable, reader.StoreAnswered = g.storeUnreachable(now), g.hasRecentStoreAnswer(now)
		}
		readers = append(readers, reader)
	}
	host := relays.PickReader(g.config.Self.Region, readers)
	return host, addresses[host], host != g.config.Self.Host
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

// markStoreUnreachable records that the store refuses to serve this entry. If that is new, it sends
// a heartbeat to the other entries.
func (g *Gateway) markStoreUnreachable(table Table) {
	now := boottime.Now()
	notified := now < time.Duration(g.readerSuspendedUntil.Swap(int64(now+readerBackoff)))
	g.feeds.markUnreachable(table)
	if !notified {
		g.sendHeartbeat(now, g.addressesOf(scopeRegion))
	}
}

// followReader asks the region's reader for changes after a revision. It also returns a time
// at which the view was certainly current. It returns false if this entry must ask the store
// itself, because it is the reader, or because the reader does not answer, does not reach back
// to the revision, or has an outdated view. It fails if several readers are disconnected from
// the store.
//
// If the reader is disconnected, the followers ask the next reader, and only that one asks the
// store. If all followers asked the store, each would fetch the same large desired state over
// one slow link.
//
// If the store answers no entry, one entry keeps trying and the others ask the readers again
// a little later.
//
// Readers whose calls the store leaves unanswered notice it one after the other, which takes
// too long to remove servers that leave within their time limit. The rows of servers are small,
// so a follower asks the store for them itself.
func (g *Gateway) followReader(ctx context.Context, table Table, after uint64) (Rows, time.Duration, bool, error) {
	var previous filbertlever.HostID
	for range maxReaderAttempts {
		sentAt := boottime.Now()
		host, address, remote := g.selectReader(sentAt)
		if !remote {
			return Rows{}, 0, false, nil
		}
		if host == previous {
			// Only the entry that keeps trying for all others is left.
			break
		}
		previous = host
		response, err := g.fetchFeed(ctx, address, table, after, feedTimeout)
		if errors.Is(err, ErrStoreRestored) {
			return Rows{}, 0, false, err
		}
		if errors.Is(err, ErrRevisionPruned) && g.isRegionStarting(sentAt) {
			// The reader has not read the table yet.
			break
		}
		if !errors.Is(err, errReaderDisconnected) {
			rows, at, ok := g.acceptFeed(table, host, after, sentAt, response, err)
			return rows, at, ok, nil
		}
		g.log.Info("reader disconnected from the store", zap.String("Table", string(table)), zap.String("Reader", string(host)))
		g.mu.Lock()
		g.peers.markStoreUnreachable(host)
		readsItself := table == TableBackends && !g.storeUnreachable(sentAt) && g.storeIsUp(sentAt)
		g.mu.Unlock()
		if readsItself {
			return Rows{}, 0, false, nil
		}
	}
	return Rows{}, 0, false, errReaderDisconnected
}

// maxReaderAttempts limits how many readers are asked one after the other.
const maxReaderAttempts = 3

// errReaderEra means that a reader has not learned yet that the store was restored.
var errReaderEra = errors.New("the view of the reader is from an earlier era of the store")

// errReaderDisconnected means that the store does not answer the reader.
var errReaderDisconnected = errors.New("the reader is disconnected from the store")

// acceptFeed returns the rows of a reader's response. It returns false if the call failed or
// the reader's view is too old.
func (g *Gateway) acceptFeed(table Table, host filbertlever.HostID, after uint64, sentAt time.Duration, response FeedResponse, err error) (Rows, time.Duration, bool) {
	if err == nil && revision.Era(response.Revision) < revision.Era(after) {
		err = errReaderEra
	}
	if err == nil && response.Age > maxAgeOf(table) {
		err = fmt.Errorf("view of the reader is %v old, the limit is %v", response.Age, maxAgeOf(table))
	}
	if err != nil {
		g.log.Info("asking the store instead of the reader", zap.String("Table", string(table)), zap.String("Reader", string(host)), zap.Error(err))
		return Rows{}, 0, false
	}
	rows := Rows{Revision: max(response.Revision, after), Raw: joinRows(response.Raw), compressed: response.Compressed}
	return rows, sentAt - response.Age, true
}

// maxAgeOf returns the maximum age of a reader's view of a table that a follower accepts.
func maxAgeOf(table Table) time.Duration {
	if table == TableEntries {
		return maxEntriesFeedAge
	}
	return maxFeedAge
}

// fetchSnapshot asks the entry that reads the store for this region for a whole table. If
// goneRevision is not 0, the store can no longer return the changes since that revision, and the
// snapshot must be newer. It returns false if this entry must read the table from the store itself.
//
// After a power failure all entries of a region would read the same tables over one slow link
// and time out. Therefore one entry of each region reads them and the others fetch them from it.
//
// If that takes long, as with many servers, the other entries would all time out at the same time
// and overload the link permanently. They time out one after the other instead, so that reads of
// the store begin at the same rate in a region of any size.
//
// The first few time out together if the reading entry does not respond, or after the store dropped
// its history, as their views become outdated. A reader that asked its own followers then would get
// no newer table, and therefore reads the store.
func (g *Gateway) fetchSnapshot(ctx context.Context, table Table, goneRevision uint64) (Rows, time.Duration, bool) {
	if goneRevision > 0 && g.isReader(boottime.Now()) {
		return Rows{}, 0, false
	}
	if table == TableEntries {
		g.awaitPeers(ctx)
	} else {
		g.awaitEntryList(ctx)
	}
	g.sleepJittered(ctx, heartbeatReplyWait)
	startedAt := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, maxSnapshotTransfer+g.snapshotWait(startedAt, true))
	defer cancel()
	for lastEmptyAt := startedAt; ctx.Err() == nil; {
		sentAt := boottime.Now()
		host, address, remote := g.snapshotSource(sentAt)
		if !remote {
			return Rows{}, 0, false
		}
		reading := goneRevision == 0 && sentAt-lastEmptyAt < relays.SnapshotInterval
		timeout := startedAt + g.snapshotWait(sentAt, reading) - sentAt
		if timeout <= 0 {
			break
		}
		response, err := g.fetchFeed(ctx, address, table, 0, min(timeout, feedTimeout))
		if err == nil && response.Age <= maxFeedAge && response.Revision > goneRevision {
			return Rows{Revision: response.Revision, Raw: joinRows(response.Raw), compressed: response.Compressed}, sentAt - response.Age, true
		}
		g.log.Debug("no snapshot from the reader", zap.String("Table", string(table)), zap.String("Reader", string(host)), zap.Error(err))
		if errors.Is(err, ErrRevisionPruned) {
			if g.snapshotWait(sentAt, false) <= relays.SnapshotInterval {
				break
			}
			g.sleepJittered(ctx, readerRetryDelay)
		}
		if err == nil && response.Revision == 0 {
			lastEmptyAt = boottime.Now()
		}
		g.sleepJittered(ctx, snapshotRetryPause)
	}
	g.log.Info("reading a whole table from the store", zap.String("Table", string(table)))
	return Rows{}, 0, false
}

// awaitPeers waits until another entry of this region is known, which may have the list of entries,
// up to peersWait. Only seeds name other entries before the list does.
func (g *Gateway) awaitPeers(ctx context.Context) {
	if len(g.config.Seeds) == 0 {
		return
	}
	known := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		_, all, _ := g.observedEntries(boottime.Now())
		return len(all) > 1
	}
	for end := boottime.Now() + peersWait; boottime.Now() < end && !known() && ctx.Err() == nil; {
		g.sleepJittered(ctx, snapshotRetryPause/2)
	}
}

// awaitEntryList waits until the list of entries has been read, up to entryListWait.
func (g *Gateway) awaitEntryList(ctx context.Context) {
	for end := boottime.Now() + entryListWait; boottime.Now() < end && !g.entriesListed.Load() && ctx.Err() == nil; {
		g.sleepJittered(ctx, snapshotRetryPause/2)
	}
}

// snapshotSource returns the host and the peer address of the entry to ask for snapshots: a ready
// entry of this region, or, if none is ready because all have just started, the entry that all of
// them select as their reader. It returns false if that is this entry.
func (g *Gateway) snapshotSource(now time.Duration) (filbertlever.HostID, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ready, all, addresses := g.observedEntries(now)
	if len(ready) > 0 {
		all = ready
	}
	host := relays.Home(all, g.config.Self.Region, readerHashKey)
	return host, addresses[host], host != g.config.Self.Host
}

// snapshotWait returns how long this entry waits for a snapshot before it reads the store. reading is
// true if the entry that it asks is known to be reading the table.
func (g *Gateway) snapshotWait(now time.Duration, reading bool) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, all, _ := g.observedEntries(now)
	rank := relays.Rank(g.config.Self.Host, all, g.config.Self.Region, readerHashKey)
	return relays.SnapshotWait(rank, reading)
}

// readerHashKey is the key that determines the order of a region's entries as readers of the
// store when all have just started.
const readerHashKey = "reader"

// observedEntries returns the entries of this region whose heartbeats have been received, those of
// them that are ready, and their peer addresses. The caller holds the lock.
//
// After a power failure the list still contains entries that have not started again, so only
// entries whose heartbeats have been received are asked.
func (g *Gateway) observedEntries(now time.Duration) (ready, all []relays.Entry, addresses map[filbertlever.HostID]string) {
	addresses = map[filbertlever.HostID]string{}
	for _, e := range g.peers.alive(now) {
		if e.Region != g.config.Self.Region || e.Host != g.config.Self.Host && !g.peers.hasHeartbeat(e.Host) {
			continue
		}
		entry := relays.Entry{Host: e.Host, Site: e.Region}
		addresses[e.Host] = e.Peers
		all = append(all, entry)
		if g.peers.isReady(e.Host) {
			ready = append(ready, entry)
		}
	}
	return ready, all, addresses
}
