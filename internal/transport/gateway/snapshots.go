package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

const (
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

// fetchSnapshot asks another entry of this region for a whole table. If
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
func (g *Gateway) fetchSnapshot(ctx context.Context, table Table, goneRevision uint64, failedReads int) (Rows, time.Duration, bool) {
	if table == TableEntries {
		g.awaitPeers(ctx)
	} else {
		g.awaitEntryList(ctx)
	}
	g.sleepJittered(ctx, heartbeatReplyWait)
	startedAt := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, maxSnapshotTransfer+g.snapshotWait(startedAt, true, failedReads))
	defer cancel()
	failed := 0
	for lastEmptyAt := startedAt; ctx.Err() == nil; {
		sentAt := boottime.Now()
		from := g.snapshotSources(sentAt, goneRevision > 0)
		if len(from.hosts) == 0 {
			return Rows{}, 0, false
		}
		host := from.hosts[failed%len(from.hosts)]
		reading := goneRevision == 0 && sentAt-lastEmptyAt < relays.SnapshotInterval
		timeout := startedAt + g.snapshotWait(sentAt, reading, failedReads) - sentAt
		if timeout <= 0 {
			break
		}
		response, err := g.fetchFeed(ctx, from.addresses[host], FeedRequest{Table: table, NewerThan: goneRevision}, min(timeout, feedTimeout), nil)
		if err == nil && response.Age <= maxFeedAge && response.Revision > goneRevision {
			return Rows{Revision: response.Revision, Raw: joinRows(response.Raw), batches: response.batches, observedAge: response.ObservedAge, source: host}, sentAt - response.Age, true
		}
		g.log.Debug("no snapshot from another entry", zap.String("Table", string(table)), zap.String("Source", string(host)), zap.Error(err))
		if err != nil || response.Age > maxFeedAge {
			failed++
		}
		if errors.Is(err, ErrRevisionPruned) {
			if g.snapshotWait(sentAt, false, failedReads) <= relays.SnapshotInterval {
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

// snapshotSources returns the entries to ask for snapshots. It has none if this entry reads the store
// for the region. running is true if this entry has had the table, as then have the others: they pass
// it on as they do with changes. Entries that start ask one that is ready.
func (g *Gateway) snapshotSources(now time.Duration, running bool) sources {
	if running {
		return g.selectSources(now)
	}
	host, address, remote := g.snapshotSource(now)
	if !remote {
		return sources{root: host}
	}
	return sources{root: host, hosts: []filbertlever.HostID{host}, addresses: map[filbertlever.HostID]string{host: address}}
}

// snapshotWait returns how long this entry waits for a snapshot before it reads the store. reading is
// true if the entry that it asks is known to be reading the table, and failedReads is how often this
// entry has failed to read it.
func (g *Gateway) snapshotWait(now time.Duration, reading bool, failedReads int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, all, _ := g.observedEntries(now)
	rank := relays.Rank(g.config.Self.Host, all, g.config.Self.Region, readerHashKey)
	if failedReads > 0 {
		return relays.SnapshotRetryWait(rank, len(all))
	}
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
