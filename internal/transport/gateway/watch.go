package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Intervals and timeouts of following the store.
const (
	// followWait is how long one call to the store waits for a change. Each return
	// confirms the view, so its age stays below twice this, well below the time in
	// which a revoked key must stop working. This costs one call a second.
	followWait = time.Second
	// entriesFollowWait is the same for the entry table. It is longer, since the table
	// only serves to discover new entries and heartbeats show which ones are alive.
	entriesWait = 6 * time.Second
	// batchDelay is the delay before the next call after a change, so that a series of
	// changes needs few calls. All deadlines for changes of these tables are at least 2 s.
	batchDelay = 250 * time.Millisecond
	// batchDelayDesired is the same for desired states and versions. It is shorter, since
	// the deadline of a version counts from the time at which entries observe it.
	batchDelayDesired = 60 * time.Millisecond
	// initialBackoff and maxBackoff bound the exponential backoff after failed calls.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// readerRetryDelay is the delay before readers that cannot reach the store are queried
	// again.
	readerRetryDelay = 200 * time.Millisecond
	// followGrace is how long a call may exceed its wait before the followers of this
	// entry are notified that the store is unreachable. It is longer than a slow store
	// takes, and short enough that the next reader has a change within its deadline.
	followGrace = 400 * time.Millisecond
	// confirmWait is the wait of a call that only has to confirm the view.
	confirmWait = time.Millisecond
)

// tableWatch keeps the view of one table of the store current.
type watch struct {
	gateway *Gateway
	table   Table
	// wait is how long one call waits for a change.
	wait time.Duration
	// apply applies rows newer than after. whole is true if they are the complete table,
	// and initial on the first call.
	apply func(rows Rows, after uint64, whole, initial bool) error
	// onConfirmed is called with a time at which the view was current. It may be nil.
	onConfirmed func(at time.Duration)

	// revision is the revision of the view; 0 if the whole table must be read.
	revision uint64
	// droppedRevision is the newest revision from which the store could no longer send
	// changes; 0 if there is none.
	droppedRevision uint64
	// initial is true until rows have been applied.
	initial bool
	// unreachable is true while calls fail.
	unreachable bool
}

// run reads the table and follows it until ctx ends.
func (w *watch) run(ctx context.Context) {
	w.initial = true
	backoff := retryFirst
	for ctx.Err() == nil {
		changed, err := w.turn(ctx)
		switch {
		case errors.Is(err, ErrHistoryGone):
			w.gateway.log.Warn("store dropped its history", zap.String("Table", string(w.table)), zap.Uint64("Revision", w.revision))
			w.revision, w.droppedRevision = 0, w.revision
		case errors.Is(err, errReaderLost):
			w.noteUnreachable(ctx, err)
			w.gateway.sleep(ctx, readerRetryDelay)
		case err != nil:
			w.noteUnreachable(ctx, err)
			w.gateway.sleep(ctx, backoff)
			backoff = min(2*backoff, retryMost)
		default:
			w.noteReachable()
			backoff = retryFirst
			if changed {
				w.gateway.sleep(ctx, batchDelayFor(w.table))
			}
		}
	}
}

// batchDelayFor returns the batch delay of a table.
//
// A version that is named right after a desired state is observed only with the next call. A
// long delay would make entries miss its deadline.
func batchDelayFor(table Table) time.Duration {
	if table == TableDesired {
		return batchDelayDesired
	}
	return batchDelay
}

// poll makes one call, to the region's reader or to the store.
func (w *watch) turn(ctx context.Context) (changed bool, err error) {
	g := w.gateway
	if w.revision == 0 {
		if rows, at, ok := g.wholeFromReader(ctx, w.table, w.droppedRevision); ok {
			g.feeds.restart(w.table, rows, at)
			return false, w.applyRows(rows, at, true)
		}
		return false, w.readAll(ctx)
	}
	rows, at, ok, err := g.followReader(ctx, w.table, w.revision)
	if err != nil {
		return false, err
	}
	if ok {
		// Entries may disagree temporarily on which one is the reader, so that some follow an
		// entry that itself follows another one. Each entry forwards the changes it receives.
		g.feeds.publish(w.table, w.revision, rows, at)
		return len(rows.Raw) > 0, w.applyRows(rows, at, false)
	}
	rows, sent, err := w.follow(ctx)
	if err != nil {
		// Other errors do not hand the reading over to another entry: a late answer may be a
		// large change on a busy link, which that entry would fetch again.
		if errors.Is(err, ErrTurnedAway) {
			g.loseStore(w.table)
		}
		return false, err
	}
	g.recordStoreAnswer()
	g.feeds.publish(w.table, w.revision, rows, sent)
	return len(rows.Raw) > 0, w.applyRows(rows, sent, false)
}

// follow calls the store for changes. It also returns when the call was sent.
//
// If the store does not answer in time, the followers of this entry are notified, and one of
// them reads the store for all.
//
// The view of an entry that takes over is as old as that of the previous reader. Its first call
// returns without waiting for a change. Otherwise the followers would reject its view as too
// old and take over in turn.
func (w *watch) follow(ctx context.Context) (Rows, time.Duration, error) {
	sent, wait := boottime.Now(), w.wait
	if w.gateway.feeds.age(w.table, sent) > w.wait+followGrace {
		wait = confirmWait
	}
	late := time.AfterFunc(wait+followGrace, func() { w.gateway.feeds.lose(w.table) })
	defer late.Stop()
	rows, err := w.gateway.store.Follow(ctx, w.table, w.revision, wait)
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		// A call that fails immediately must also notify the followers.
		w.gateway.feeds.lose(w.table)
	}
	return rows, sent, err
}

// readAll reads the whole table from the store.
func (w *watch) readAll(ctx context.Context) error {
	g := w.gateway
	sent := boottime.Now()
	rows, err := g.store.Read(ctx, w.table)
	if err != nil {
		return err
	}
	g.recordStoreAnswer()
	g.feeds.restart(w.table, rows, sent)
	return w.applyRows(rows, sent, true)
}

// applyRows applies rows that were complete at a time, and confirms the view.
func (w *watch) applyRows(rows Rows, at time.Duration, whole bool) error {
	after := w.revision
	if err := w.apply(rows, after, whole, w.initial); err != nil {
		return err
	}
	w.initial = false
	w.revision = max(w.revision, rows.Revision)
	if w.onConfirmed != nil {
		w.onConfirmed(at)
	}
	return nil
}

// noteUnreachable logs the first of a series of failed calls.
func (w *watch) noteUnreachable(ctx context.Context, err error) {
	if !w.unreachable && ctx.Err() == nil {
		w.unreachable = true
		w.gateway.log.Warn("store unreachable", zap.String("Table", string(w.table)), zap.Error(err))
	}
}

// noteReachable logs the first successful call after failed ones.
func (w *watch) noteReachable() {
	if w.unreachable {
		w.unreachable = false
		w.gateway.log.Info("store reachable again", zap.String("Table", string(w.table)), zap.Uint64("Revision", w.revision))
	}
}

// sleepJittered sleeps for half to one and a half times a delay, so that entries do not make
// their calls at the same time.
func (g *Gateway) sleep(ctx context.Context, delay time.Duration) {
	g.mu.Lock()
	delay = delay/2 + time.Duration(g.rng.Int64N(int64(delay)))
	g.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// runDesired follows the table of desired states.
func (g *Gateway) runDesired(ctx context.Context) {
	w := &watch{gateway: g, table: TableDesired, wait: followWait, apply: g.applyDesired,
		onConfirmed: func(at time.Duration) {
			// The view of the region's reader may be older than one read from the store.
			g.confirmed.Store(max(g.confirmed.Load(), int64(at)))
		}}
	w.run(ctx)
}

// applyDesired applies changes of the desired state and the named versions.
//
// Answers of the store may arrive out of order. Only a state with a higher version replaces
// the current one.
func (g *Gateway) applyDesired(rows Rows, after uint64, _, initial bool) error {
	desired, err := g.store.Desired(rows, after)
	if err != nil {
		return err
	}
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.state.Load()
	if desired.State != nil && (old == nil || desired.State.Version > old.Version) {
		g.fleet.SetState(desired.State, now)
		g.state.Store(desired.State)
		g.release(desired.State, now)
		if old == nil {
			close(g.stated)
		}
		g.log.Info("desired state in force", zap.Uint64("Version", desired.State.Version), zap.Uint64("Revision", rows.Revision))
	}
	g.setNamed(desired.Named, initial, now)
	g.noteBad(desired.Bad)
	return nil
}

// runBackends follows the table of backend servers.
func (g *Gateway) runBackends(ctx context.Context) {
	last := boottime.Now()
	apply := func(rows Rows, after uint64, whole, _ bool) error {
		backends, err := g.store.Backends(rows, after)
		if err != nil {
			return err
		}
		now := boottime.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.viewGap, last = now-last, now
		if whole || len(rows.Raw) > 0 {
			go g.runLearn(g.takeBackends(backends, whole, now))
		}
		g.noteBad(backends.Bad)
		return nil
	}
	w := &watch{gateway: g, table: TableBackends, wait: followWait, apply: apply}
	w.run(ctx)
}

// applyBackends applies rows of backend servers, and returns the servers that may be used. The
// caller holds the lock.
func (g *Gateway) takeBackends(backends Backends, whole bool, now time.Duration) []catalog.Backend {
	present, removed := g.withhold(backends, whole)
	g.fleet.Apply(present, removed, whole, now)
	g.logBackends(Backends{Present: present, Gone: removed})
	g.logRestarts()
	return present
}

// runFetchManifests prefetches the manifests of the versions that servers hold. Manifests are
// small.
func (g *Gateway) runLearn(present []catalog.Backend) {
	for _, b := range present {
		for _, m := range b.Models {
			g.relay.Learn(catalog.NamedVersion{Model: m.Name, Version: m.Version})
		}
	}
}

// logBackends logs servers that were added, changed or removed.
func (g *Gateway) logBackends(backends Backends) {
	for _, b := range backends.Present {
		g.log.Info("backend server listed", zap.String("Backend", b.ID), zap.String("Service", b.Service),
			zap.String("Address", b.Address), zap.Bool("Leaving", b.Leaving), zap.Int("Models", len(b.Models)), zap.Duration("Within", g.viewGap))
	}
	for _, id := range backends.Gone {
		g.log.Info("backend server removed", zap.String("Backend", id), zap.Duration("Within", g.viewGap))
	}
}

// logRestarts logs the state of restarted servers before and after the restart. The caller
// holds the lock.
func (g *Gateway) logRestarts() {
	for _, r := range g.fleet.Restarts() {
		g.log.Info("backend server started again", zap.String("Backend", r.Backend), zap.String("Source", string(r.Source)),
			zap.Int64("Before", int64(r.Before)), zap.Int64("After", int64(r.After)),
			zap.Strings("Held", modelNames(r.Held)), zap.Strings("Holds", modelNames(r.Holds)), zap.Int("UnderWay", r.UnderWay))
	}
}

// modelNames formats models as NAME@VERSION.
func modelNames(models []catalog.Model) []string {
	names := make([]string, 0, len(models))
	for _, m := range models {
		names = append(names, m.Name+"@"+strconv.FormatUint(m.Version, 10))
	}
	return names
}

// runEntries registers this entry and follows the table of entries.
func (g *Gateway) runEntries(ctx context.Context) {
	go g.runRegister(ctx)
	apply := func(rows Rows, after uint64, whole, _ bool) error {
		entries, err := g.store.Entries(rows, after)
		if err != nil {
			return err
		}
		g.mu.Lock()
		g.peers.applyRows(entries.Present, entries.Gone, whole, boottime.Now())
		g.resizeBudgets()
		g.noteBad(entries.Bad)
		g.mu.Unlock()
		if !g.listed.Swap(true) {
			g.beat(boottime.Now(), true)
		}
		return nil
	}
	w := &watch{gateway: g, table: TableEntries, wait: entriesWait, apply: apply}
	w.run(ctx)
}

// runRegister registers this entry in the store, with retries until it succeeds.
func (g *Gateway) runRegister(ctx context.Context) {
	for backoff := retryFirst; ctx.Err() == nil; backoff = min(2*backoff, retryMost) {
		err := g.store.Register(ctx, g.config.Self)
		if err == nil {
			return
		}
		g.log.Warn("failed to register entry", zap.Error(err))
		g.sleep(ctx, backoff)
	}
}
