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
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// One entry of each region follows the store, the others follow it: the store's
// calls then grow with the regions and not with the entries.
const (
	// readerWait is how long an entry lets the reader wait for a change.
	readerWait = 700 * time.Millisecond
	// readerAge is the age of a reader's view up to which it is used. A reader's own is
	// below two of its calls; one that has lost the store passes this soon after.
	readerAge = 2300 * time.Millisecond
	// entriesAge is the same for the list of entries, whose calls wait longer.
	entriesAge = 2 * entriesWait
	// readerTimeout bounds a call to the reader beyond its waiting.
	readerTimeout = 400 * time.Millisecond
	// feedKept is how many answers of the store an entry keeps for the others, and
	// feedBytes how much of them before they are packed, as followers unpack and read all.
	feedKept  = 256
	feedBytes = 2 << 20
	// wholeTimeout is how long the second entry of a region waits for a whole table from the first,
	// which may itself be reading it; the third waits twice as long, and so on up to wholeTurns
	// times. A table that is arriving is awaited for wholeMost. wholePause is left between calls to
	// one that has not started yet.
	wholeTimeout = 600 * time.Millisecond
	wholeTurns   = 8
	wholeMost    = 10 * time.Second
	wholePause   = 50 * time.Millisecond
	// hearWait is how long a new process waits for the heartbeats with which others
	// answer its first one.
	hearWait = 20 * time.Millisecond
	// listedWait is how long the list of entries is waited for at the start.
	listedWait = 400 * time.Millisecond
)

// feedLog is what a reader knows of one table's changes.
type feedLog struct {
	// base is the whole table as of from, without which it can be told no more; its
	// revision is 0 then.
	base   chunk
	chunks []chunk
	// bytes is the size of all chunks, which are told together.
	bytes int
	// from and head are the revisions between which all changes are here.
	from, head uint64
	// confirmed is when the read was sent that last confirmed head.
	confirmed time.Duration
	// changed is closed when a chunk is added, or the reader has lost the store.
	changed chan struct{}
	// lost is true while the store does not answer the reader.
	lost bool
}

// feeds keeps the logs of all tables.
type feeds struct {
	mu     sync.Mutex
	tables map[Table]*feedLog
	// restarted is closed when a log begins.
	restarted chan struct{}
}

func newFeeds() *feeds { return &feeds{tables: map[Table]*feedLog{}, restarted: make(chan struct{})} }

// restart begins a table's log anew after a whole read.
func (f *feeds) restart(table Table, rows Rows, sent time.Duration) {
	base := newChunk(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.tables[table]; ok {
		close(old.changed)
	}
	f.tables[table] = &feedLog{base: base, from: rows.Revision, head: rows.Revision, confirmed: sent, changed: make(chan struct{})}
	close(f.restarted)
	f.restarted = make(chan struct{})
}

// publish adds what the store, or a reader, answered to a call for changes after a
// revision; sent is when the view was surely current.
func (f *feeds) publish(table Table, after uint64, rows Rows, sent time.Duration) {
	added := newChunk(rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok {
		return
	}
	if after > log.head {
		// Guard: some changes came through another entry and are not here; without them
		// the whole table is not to be sent.
		log.chunks, log.bytes, log.from, log.base = nil, 0, after, chunk{}
	}
	log.head = max(log.head, rows.Revision)
	log.confirmed, log.lost = max(log.confirmed, sent), false
	if added.size == 0 {
		return
	}
	log.chunks = append(log.chunks, added)
	log.bytes += added.size
	for len(log.chunks) > feedKept || log.bytes > feedBytes {
		log.from = log.chunks[0].revision
		log.bytes -= log.chunks[0].size
		log.chunks = log.chunks[1:]
		log.base = chunk{}
	}
	close(log.changed)
	log.changed = make(chan struct{})
}

// lose notes that the store does not answer, and wakes those who wait.
//
// Guard: followers that wait for a reader which lost the store hear of changes after their bounds.
func (f *feeds) lose(table Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok || log.lost {
		return
	}
	log.lost = true
	close(log.changed)
	log.changed = make(chan struct{})
}

// lost reports whether the store does not answer for a table.
func (f *feeds) lost(table Table) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	return ok && log.lost
}

// age returns how old the view of a table is.
func (f *feeds) age(table Table, now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	if !ok {
		return 0
	}
	return now - log.confirmed
}

// since returns the changes after a revision, or waits for some; after 0 means
// the whole table. It returns false if the log does not reach back so far.
func (f *feeds) since(ctx context.Context, table Table, after uint64) (FeedAnswer, bool) {
	timer := time.NewTimer(readerWait)
	defer timer.Stop()
	for waited := false; ; {
		answer, changed, ok := f.look(table, after)
		// A whole table may be empty, as while an installation starts.
		whole := after == 0 && answer.Revision > 0
		if !ok || len(answer.Packed) > 0 || whole || waited {
			return answer, ok
		}
		select {
		case <-ctx.Done():
			waited = true
		case <-timer.C:
			waited = true
		case <-changed:
		}
	}
}

func (f *feeds) look(table Table, after uint64) (FeedAnswer, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log, ok := f.tables[table]
	whole := after == 0
	switch {
	case whole && !ok:
		return FeedAnswer{}, f.restarted, true
	case !ok, log.lost && !whole, whole && log.base.revision == 0, !whole && after < log.from:
		// Guard: a reader that has lost the store reports no changes, but still its whole view
		// and how old it is, which a new process needs.
		return FeedAnswer{}, nil, false
	}
	answer := FeedAnswer{Revision: log.head, Age: boottime.Now() - log.confirmed}
	if whole {
		answer.Packed = append(answer.Packed, log.base.packed...)
	}
	for _, c := range log.chunks {
		if c.revision > after {
			answer.Packed = append(answer.Packed, c.packed...)
		}
	}
	return answer, log.changed, true
}

// reader returns the peer address of the entry that reads the store for this
// region; false if it is this one.
func (g *Gateway) reader(now time.Duration) (filbertlever.HostID, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var readers []relays.Reader
	addresses := map[filbertlever.HostID]string{}
	for _, e := range g.peers.alive(now) {
		self := e.Host == g.config.Self.Host
		if e.Region != g.config.Self.Region || !self && !g.peers.isReady(e.Host) {
			continue
		}
		addresses[e.Host] = e.Peers
		reader := relays.Reader{Host: e.Host, Lost: !g.peers.isReader(e.Host), Answered: g.peers.isAnswered(e.Host, now)}
		if self {
			reader.Lost, reader.Answered = g.lost(now), g.answered(now)
		}
		readers = append(readers, reader)
	}
	host := relays.PickReader(g.config.Self.Region, readers)
	return host, addresses[host], host != g.config.Self.Host
}

// reads reports whether this entry reads the store for its region.
func (g *Gateway) reads(now time.Duration) bool {
	_, _, other := g.reader(now)
	return !other
}

// lost reports whether the store has lately not answered this entry, so that another
// one should read for the region; the caller holds the lock.
func (g *Gateway) lost(now time.Duration) bool { return now < time.Duration(g.lostUntil.Load()) }

// lostFor is how long an entry that the store turned away leaves the reading to others before it
// tries again.
const lostFor = 3 * time.Second

// loseStore notes that the store does not answer this entry, and tells the others.
func (g *Gateway) loseStore(table Table) {
	now := boottime.Now()
	told := now < time.Duration(g.lostUntil.Swap(int64(now+lostFor)))
	g.feeds.lose(table)
	if !told {
		g.beat(now, false)
	}
}

// followReader asks the region's reader for changes after a revision. It returns
// the time at which the view was surely current. It returns false if the store
// must be asked instead: this entry is the reader, or the reader is gone, does
// not reach back so far, or has not heard from the store for too long. It fails if
// several readers have lost the store.
//
// Guard: if all followers of a reader that lost the store asked the store, each would fetch the
// same large desired state over one thin link. They ask the next reader, and only that one asks the
// store.
//
// Guard: while the store is away for all, one entry goes on trying; the others ask the readers
// again a little later.
//
// Guard: readers that the store leaves unanswered notice it one after the other, too late for the
// bound on servers that leave. Rows of servers are small: a follower asks the store for them itself.
func (g *Gateway) followReader(ctx context.Context, table Table, after uint64) (Rows, time.Duration, bool, error) {
	var asked filbertlever.HostID
	for range readersAsked {
		sent := boottime.Now()
		host, address, other := g.reader(sent)
		if !other {
			return Rows{}, 0, false, nil
		}
		if host == asked {
			// None is left but the one that goes on trying for all.
			break
		}
		asked = host
		answer, err := g.fetchFeed(ctx, address, table, after, feedTimeout)
		if !errors.Is(err, errReaderLost) {
			rows, at, ok := g.followed(table, host, after, sent, answer, err)
			return rows, at, ok, nil
		}
		g.log.Info("reader lost the store", zap.String("Table", string(table)), zap.String("Reader", string(host)))
		g.mu.Lock()
		g.peers.noteLost(host)
		asksItself := table == TableBackends && !g.lost(sent) && g.storeIsUp(sent)
		g.mu.Unlock()
		if asksItself {
			return Rows{}, 0, false, nil
		}
	}
	return Rows{}, 0, false, errReaderLost
}

// readersAsked bounds the readers that are asked one after the other.
const readersAsked = 3

// errReaderLost means that the store does not answer the reader.
var errReaderLost = errors.New("the reader has lost the store")

// followed judges a reader's answer.
func (g *Gateway) followed(table Table, host filbertlever.HostID, after uint64, sent time.Duration, answer FeedAnswer, err error) (Rows, time.Duration, bool) {
	if err == nil && answer.Age > ageMost(table) {
		err = fmt.Errorf("its view is %v old", answer.Age)
	}
	if err != nil {
		g.log.Info("store asked directly", zap.String("Table", string(table)), zap.String("Reader", string(host)), zap.Error(err))
		return Rows{}, 0, false
	}
	rows := Rows{Revision: max(answer.Revision, after), Raw: joinRows(answer.Raw), packed: answer.Packed}
	return rows, sent - answer.Age, true
}

// ageMost is the age of a reader's view of a table up to which it is used.
func ageMost(table Table) time.Duration {
	if table == TableEntries {
		return entriesAge
	}
	return readerAge
}

// wholeFromReader asks the entry that reads the store for this region for a whole
// table, newer than a revision from where the store cannot go on, or 0. It returns false
// if the store must be asked instead.
//
// Guard: after a loss of power all entries of a region would read the same tables over one thin
// link, and time out. One of each region reads, and the others have them from that one.
//
// Guard: where that takes long, as with many servers, all others would give up at the same time and
// fill the link for good. While the one that reads answers that it has nothing yet, they take turns.
//
// Guard: after the store dropped its history a reader that asks its own followers hears nothing
// new. The reader reads the store, and the others wait for that, none long, as their views age.
func (g *Gateway) wholeFromReader(ctx context.Context, table Table, gone uint64) (Rows, time.Duration, bool) {
	if table == TableEntries || gone > 0 && g.reads(boottime.Now()) {
		return Rows{}, 0, false
	}
	g.awaitListed(ctx)
	g.sleep(ctx, hearWait)
	ctx, cancel := context.WithTimeout(ctx, wholeMost)
	defer cancel()
	began := boottime.Now()
	for heard := began; ctx.Err() == nil; {
		sent := boottime.Now()
		host, address, other := g.starter(sent)
		if !other {
			return Rows{}, 0, false
		}
		left := wholeTimeout - (sent - began)
		if gone == 0 && sent-heard < wholeTimeout {
			left = began + g.patience(sent) - sent
		}
		if left <= 0 {
			break
		}
		answer, err := g.fetchFeed(ctx, address, table, 0, min(left, feedTimeout))
		if err == nil && answer.Age <= readerAge && answer.Revision > gone {
			return Rows{Revision: answer.Revision, Raw: joinRows(answer.Raw), packed: answer.Packed}, sent - answer.Age, true
		}
		g.log.Debug("table not had from the reader", zap.String("Table", string(table)), zap.String("Reader", string(host)), zap.Error(err))
		if errors.Is(err, ErrHistoryGone) {
			break
		}
		if err == nil && answer.Revision == 0 {
			heard = boottime.Now()
		}
		g.sleep(ctx, wholePause)
	}
	g.log.Info("store asked for a whole table", zap.String("Table", string(table)))
	return Rows{}, 0, false
}

// awaitListed waits a moment until the entries are known.
func (g *Gateway) awaitListed(ctx context.Context) {
	for end := boottime.Now() + listedWait; boottime.Now() < end && !g.listed.Load() && ctx.Err() == nil; {
		g.sleep(ctx, wholePause/2)
	}
}

// starter returns the peer address of the entry to ask for whole tables: one of
// this region that is ready; if none is, as all have just started, the one that
// all of them take for their reader. It returns false if that is this one.
func (g *Gateway) starter(now time.Duration) (filbertlever.HostID, string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ready, all, addresses := g.startedEntries(now)
	if len(ready) > 0 {
		all = ready
	}
	host := relays.Home(all, g.config.Self.Region, readerPiece)
	return host, addresses[host], host != g.config.Self.Host
}

// patience is how long this entry waits for a whole table from another one that is reading it, by its
// place among the entries of its region.
func (g *Gateway) patience(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, all, _ := g.startedEntries(now)
	turn := relays.Turn(g.config.Self.Host, all, g.config.Self.Region, readerPiece)
	return wholeTimeout * time.Duration(max(min(turn, wholeTurns), 1))
}

// readerPiece orders the entries of a region by who reads the store when all have just started.
const readerPiece = "reader"

// startedEntries returns the entries of this region that have been heard, and those of them that are
// ready, with their peer addresses; the caller holds the lock.
//
// Guard: after a loss of power the list names entries that have not started again yet; only those
// that have been heard are asked.
func (g *Gateway) startedEntries(now time.Duration) (ready, all []relays.Entry, addresses map[filbertlever.HostID]string) {
	addresses = map[filbertlever.HostID]string{}
	for _, e := range g.peers.alive(now) {
		if e.Region != g.config.Self.Region || e.Host != g.config.Self.Host && !g.peers.isHeard(e.Host) {
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
