package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
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
	entriesFollowWait = 6 * time.Second
	// batchDelay is the delay before the next call after a change, so that a series of
	// changes needs few calls. All deadlines for changes of these tables are at least 2 s.
	batchDelay = 250 * time.Millisecond
	// batchDelayDesired is the same for desired states and versions. It is shorter, since
	// the deadline of a version counts from the time at which entries observe it.
	batchDelayDesired = 60 * time.Millisecond
	// initialBackoff and maxBackoff bound the exponential backoff after failed calls.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// readerRetryDelay is the delay before readers that cannot reach the store are queried
	// again.
	readerRetryDelay = 200 * time.Millisecond
	// followGrace is how long a call may exceed its wait before the followers of this
	// entry are notified that the store is unreachable. It is longer than a slow store
	// takes, and short enough that the next reader has a change within its deadline.
	followGrace = 400 * time.Millisecond
	// maxStoreTransfer is how long an answer of the store may take to arrive before another entry reads
	// the store for the region.
	maxStoreTransfer = 2 * time.Second
	// confirmWait is the wait of a call that only has to confirm the view.
	confirmWait = time.Millisecond
)

// tableWatch keeps the view of one table of the store current.
type tableWatch struct {
	gateway *Gateway
	table   Table
	// wait is how long one call waits for a change.
	wait time.Duration
	// apply applies rows newer than after. whole is true if they are the complete table,
	// and initial on the first call.
	apply func(rows Rows, after uint64, whole, initial bool) error
	// onConfirmed is called with a time at which the view was current, and who said so. It may be nil.
	onConfirmed func(at time.Duration, source filbertlever.HostID)

	// revision is the revision of the view; 0 if the whole table must be read.
	revision uint64
	// droppedRevision is the newest revision from which the store could no longer send
	// changes; 0 if there is none.
	droppedRevision uint64
	// era is that of the view.
	era uint64
	// rereadAt is when the whole table is read again after a restoration of the store; 0 if it is not.
	// rereads counts the attempts.
	rereadAt time.Duration
	rereads  int
	// failedReads counts the attempts to read the whole table from the store since it was last known.
	failedReads int
	// initial is true until rows have been applied.
	initial bool
	// unreachable is true while calls fail.
	unreachable bool
	// failingSince is when the other entries began to fail as sources; 0 if they do not.
	failingSince time.Duration
	// unansweredAt is when the last call was made that the store did not answer; 0 if there was none.
	unansweredAt time.Duration
	// storeFailedAt is when the store last failed to answer a call for changes; 0 if it never did.
	storeFailedAt time.Duration
	// suspects are sources that failed, and until when they are asked last.
	suspects map[filbertlever.HostID]time.Duration
	// confirmedAt is the latest time at which the view was certainly current; 0 before the first read.
	confirmedAt time.Duration
	// justConfirmed is true if the last call to the store did not wait for changes.
	justConfirmed bool
	// restoredAfter is a time before the last restoration of the store; 0 if there was none.
	restoredAfter time.Duration
	// position is that of this entry among size entries in the tree, when it last asked others.
	position, size int
	// fromPeer is true if the last rows came from another entry.
	fromPeer bool
}

// run reads the table and follows it until ctx ends.
func (w *tableWatch) run(ctx context.Context) {
	w.initial = true
	backoff := initialBackoff
	for ctx.Err() == nil {
		changed, err := w.poll(ctx)
		switch {
		case errors.Is(err, ErrRevisionPruned):
			w.gateway.log.Warn("store dropped its history", w.fields(zap.Error(err))...)
			w.revision, w.droppedRevision = 0, w.revision
		case errors.Is(err, errReaderDisconnected), errors.Is(err, errSourcesFailed):
			w.noteUnreachable(ctx, err)
			w.gateway.sleepJittered(ctx, w.retryDelay(boottime.Now()))
		case err != nil:
			w.noteUnreachable(ctx, err)
			w.gateway.sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		default:
			w.noteReachable()
			backoff = initialBackoff
			if changed && !w.fromPeer {
				w.gateway.sleepJittered(ctx, batchDelayFor(w.table))
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
func (w *tableWatch) poll(ctx context.Context) (changed bool, err error) {
	g := w.gateway
	if w.rereadAt != 0 && boottime.Now() >= w.rereadAt {
		return false, w.reread(ctx)
	}
	if w.revision == 0 {
		if rows, at, ok := g.fetchSnapshot(ctx, w.table, w.droppedRevision, w.failedReads); ok {
			w.failedReads = 0
			g.feeds.reset(w.table, rows, at)
			return false, w.applyRows(rows, at, true)
		}
		return false, w.readAll(ctx)
	}
	if w.suspects == nil {
		w.suspects = map[filbertlever.HostID]time.Duration{}
	}
	rows, at, ok, err := w.followReader(ctx)
	if err != nil {
		return false, err
	}
	w.fromPeer = ok
	if ok {
		// Entries may disagree temporarily on which one is the reader, so that some follow an
		// entry that itself follows another one. Each entry forwards the changes it receives.
		g.feeds.publish(w.table, w.revision, rows, at)
		return len(rows.Raw) > 0, w.applyRows(rows, at, false)
	}
	rows, at, err = w.follow(ctx)
	if err != nil {
		w.storeFailedAt = boottime.Now()
		if errors.Is(err, ErrStoreRejected) {
			g.markStoreUnreachable()
		}
		return false, err
	}
	g.feeds.publish(w.table, w.revision, rows, at)
	return len(rows.Raw) > 0, w.applyRows(rows, at, false)
}

// follow calls the store for changes. It also returns a time at which the view was certainly current.
//
// If the store does not begin to answer in time, or its answer takes too long, another entry reads the
// store for the region. An answer that is arriving may be a large change on a busy link, which that
// entry would fetch again.
//
// The view of an entry that takes over is as old as that of the previous reader. Its first call
// returns without waiting for a change. Otherwise the followers would reject its view as too
// old and take over in turn.
func (w *tableWatch) follow(ctx context.Context) (Rows, time.Duration, error) {
	g := w.gateway
	sent, wait := boottime.Now(), w.wait
	confirmFirst := w.table == TableDesired && switchover.ConfirmFirst(w.changesFrom(), sent, w.justConfirmed)
	if age := g.feeds.age(w.table, sent); age > w.wait+followGrace || w.isDue(sent) || confirmFirst {
		wait = confirmWait
	}
	w.justConfirmed = wait == confirmWait
	var firstByteAt atomic.Int64
	late := time.AfterFunc(wait+followGrace, func() {
		if firstByteAt.Load() == 0 {
			g.recordUnanswered(sent)
		}
		g.markStoreUnreachable()
	})
	defer late.Stop()
	rows, err := g.store.Follow(ctx, w.table, w.revision, wait, func() {
		g.feeds.markArriving(w.table)
		if firstByteAt.CompareAndSwap(0, int64(boottime.Now())) {
			late.Reset(maxStoreTransfer)
		}
	})
	switch {
	case err == nil:
		g.recordStoreAnswer(sent)
	case errors.Is(err, ErrRevisionPruned):
	default:
		// A call that fails immediately must also notify the followers.
		g.feeds.markUnreachable(w.table)
		if !errors.Is(err, ErrStoreRestored) {
			w.unansweredAt = sent
			g.recordUnanswered(sent)
		}
	}
	if arrivingAt := time.Duration(firstByteAt.Load()); arrivingAt > 0 {
		rows.waited, rows.transferred = arrivingAt-sent, boottime.Now()-arrivingAt
	}
	answeredAt := max(sent, rows.AnsweredAt)
	rows.changed = switchover.NamingOf(switchover.StoreCall{SentAt: sent, AnsweredAt: answeredAt, MaxWait: wait}, w.changesFrom())
	return rows, answeredAt, err
}

// changesFrom returns the earliest time from which the limits of a change count that this entry does not know of
// yet: it was made after the view was confirmed, and time before the end of an outage does not count.
func (w *tableWatch) changesFrom() time.Duration { return max(w.confirmedAt, w.unansweredAt) }

// readAll reads the whole table from the store.
func (w *tableWatch) readAll(ctx context.Context) error {
	g := w.gateway
	sent := boottime.Now()
	rows, err := g.store.Read(ctx, w.table)
	if err != nil {
		w.failedReads++
		return err
	}
	w.failedReads = 0
	g.recordStoreAnswer(sent)
	g.feeds.reset(w.table, rows, sent)
	return w.applyRows(rows, sent, true)
}

// applyRows applies rows that were complete at a time, and confirms the view.
func (w *tableWatch) applyRows(rows Rows, at time.Duration, whole bool) error {
	after, started := w.revision, boottime.Now()
	if rows.changed.At == 0 {
		rows.changed = switchover.NamingOf(switchover.StoreCall{SentAt: at, AnsweredAt: at}, w.changesFrom())
	}
	confirmedAt := w.confirmedAt
	w.confirmedAt = max(w.confirmedAt, at)
	if err := w.apply(rows, after, whole, w.initial); err != nil {
		return err
	}
	if len(rows.Raw) > 0 {
		w.gateway.feeds.changeDelay.WithLabelValues(string(w.table)).Observe((boottime.Now() - started + rows.observedAge).Seconds())
		w.logChange(rows, whole, started)
	}
	era := revision.Era(rows.Revision)
	if !w.initial && era > w.era {
		w.rereadAt, w.rereads, w.restoredAfter = boottime.Now()+w.gateway.jitter(restoredGracePeriod, rereadSpread), 0, confirmedAt
	}
	w.initial, w.era = false, era
	w.revision = max(w.revision, rows.Revision)
	if w.onConfirmed != nil {
		w.onConfirmed(at, rows.sourceName())
	}
	return nil
}

// logChange logs where rows came from and how long they took.
func (w *tableWatch) logChange(rows Rows, whole bool, applyStarted time.Duration) {
	if w.table != TableDesired {
		return
	}
	bytes := len(rows.Raw)
	if rows.batches != nil {
		bytes = 0
		for _, list := range rows.batches {
			bytes += len(list.compressed)
		}
	}
	w.gateway.log.Info("table changed", append([]zap.Field{zap.String("Table", string(w.table))}, append(revisionFields(rows.Revision),
		zap.String("Source", string(rows.sourceName())), zap.Bool("Whole", whole), zap.Int("Bytes", bytes), zap.Duration("Waited", rows.waited),
		zap.Duration("Transferred", rows.transferred), zap.Duration("Applied", boottime.Now()-applyStarted), zap.Duration("SinceReader", boottime.Now()-applyStarted+rows.observedAge))...)...)
}

// noteUnreachable logs the first of a series of failed calls.
func (w *tableWatch) noteUnreachable(ctx context.Context, err error) {
	if !w.unreachable && ctx.Err() == nil {
		w.unreachable = true
		w.gateway.log.Warn("store unreachable", zap.String("Table", string(w.table)), zap.Error(err))
	}
}

// noteReachable logs the first successful call after failed ones.
func (w *tableWatch) noteReachable() {
	if w.unreachable {
		w.unreachable = false
		w.gateway.log.Info("store reachable again", w.fields()...)
	}
}

// fields returns log fields with the table and the revision of its view.
func (w *tableWatch) fields(more ...zap.Field) []zap.Field {
	return append(append([]zap.Field{zap.String("Table", string(w.table))}, revisionFields(w.revision)...), more...)
}

// jitter returns a time between base and base + spread.
func (g *Gateway) jitter(base, spread time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return base + time.Duration(g.rng.Int64N(int64(spread)))
}

// sleepJittered sleeps for half to one and a half times a delay, so that entries do not make
// their calls at the same time.
func (g *Gateway) sleepJittered(ctx context.Context, delay time.Duration) {
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
	w := &tableWatch{gateway: g, table: TableDesired, wait: followWait, apply: g.applyDesired,
		onConfirmed: func(at time.Duration, source filbertlever.HostID) {
			// The view of the region's reader may be older than one read from the store.
			if int64(at) > g.stateConfirmedAt.Load() {
				g.stateConfirmedBy.Store(&source)
				g.stateConfirmedAt.Store(int64(at))
			}
		}}
	w.run(ctx)
}

// applyDesired applies changes of the desired state and the named versions.
//
// Answers of the store may arrive out of order. Only a state with a higher version replaces
// the current one, or one with the same version from a later era of the store.
func (g *Gateway) applyDesired(rows Rows, after uint64, whole, initial bool) error {
	desired, err := g.store.DecodeDesired(rows, after)
	if err != nil {
		return err
	}
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	restored := g.noteEra(TableDesired, rows.Revision)
	if desired.State != nil && g.supersedesState(desired.State, rows.Revision) {
		old := g.state.Load()
		desired.State.RetainServices(old, now, maxRequestDuration)
		g.stateEra = revision.Era(rows.Revision)
		g.fleet.SetState(desired.State, now)
		g.state.Store(desired.State)
		g.applyLevels(desired.State)
		g.logClamped(desired.Clamped)
		g.releaseWithheld(desired.State, now)
		if old == nil {
			close(g.stateKnown)
		}
		g.log.Info("desired state in force", append([]zap.Field{zap.Uint64("Version", desired.State.Version), zap.Bool("RequireKeys", desired.State.RequireKeys), zap.Int("Keys", desired.State.KeyCount()),
			zap.String("Source", string(rows.sourceName()))}, revisionFields(rows.Revision)...)...)
	}
	// The copy may lack an evacuation that the operator asked for since.
	g.setEvacuated(desired, whole && !restored, now)
	g.setNamed(desired.Named, initial, rows.changed, rows.sourceName(), now)
	g.reportBadRows(desired.Bad)
	return nil
}

// setEvacuated applies changes of the evacuated sites. The caller holds the lock.
func (g *Gateway) setEvacuated(desired Desired, whole bool, now time.Duration) {
	for _, site := range g.fleet.SetEvacuated(desired.Evacuated, desired.Reopened, whole, now) {
		message := "site reopened"
		if g.fleet.Evacuated(site) {
			message = "site evacuated"
		}
		g.log.Info(message, zap.String("Site", site))
	}
}

// runBackends follows the table of backend servers.
func (g *Gateway) runBackends(ctx context.Context) {
	last := boottime.Now()
	apply := func(rows Rows, after uint64, whole, _ bool) error {
		backends, err := g.store.DecodeBackends(rows, after)
		if err != nil {
			return err
		}
		now := boottime.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.backendsInterval, last = now-last, now
		restored := g.noteEra(TableBackends, rows.Revision)
		switch {
		case restored:
			g.applyRestoredBackends(backends, now)
		case whole || len(rows.Raw) > 0:
			go g.runFetchManifests(g.applyBackends(backends, whole, now))
		}
		g.reportBadRows(backends.Bad)
		return nil
	}
	w := &tableWatch{gateway: g, table: TableBackends, wait: followWait, apply: apply}
	w.run(ctx)
}

// applyBackends applies rows of backend servers, and returns the servers that may be used. The
// caller holds the lock.
func (g *Gateway) applyBackends(backends Backends, whole bool, now time.Duration) []catalog.Backend {
	present, removed := g.withhold(backends, whole)
	g.fleet.Apply(present, removed, whole, now)
	g.logBackends(Backends{Present: present, Removed: removed})
	g.logRestarts()
	return present
}

// runFetchManifests prefetches the manifests of the versions that servers hold. Manifests are
// small.
func (g *Gateway) runFetchManifests(present []catalog.Backend) {
	for _, b := range present {
		for _, m := range b.Models {
			g.relay.PrefetchManifest(catalog.ModelVersion{Model: m.Name, Version: m.Version})
		}
	}
}

// logBackends logs servers that were added, changed or removed.
func (g *Gateway) logBackends(backends Backends) {
	for _, b := range backends.Present {
		g.log.Info("backend server listed", zap.String("Backend", b.ID), zap.String("Service", b.Service),
			zap.String("Address", b.Address), zap.Bool("Leaving", b.Draining), zap.Int("Models", len(b.Models)), zap.Duration("ColdFor", b.ColdFor), zap.Duration("Within", g.backendsInterval))
	}
	for _, id := range backends.Removed {
		g.log.Info("backend server removed", zap.String("Backend", id), zap.Duration("Within", g.backendsInterval))
	}
}

// logRestarts logs the state of restarted servers before and after the restart. The caller
// holds the lock.
func (g *Gateway) logRestarts() {
	for _, r := range g.fleet.TakeRestarts() {
		g.log.Info("backend server started again", zap.String("Backend", r.Backend), zap.String("Source", string(r.Source)),
			zap.Int64("Before", int64(r.OldBoot)), zap.Int64("After", int64(r.NewBoot)),
			zap.Strings("Held", modelNames(r.OldModels)), zap.Strings("Holds", modelNames(r.NewModels)), zap.Int("UnderWay", r.InFlight))
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
		entries, err := g.store.DecodeEntries(rows, after)
		if err != nil {
			return err
		}
		now := boottime.Now()
		g.mu.Lock()
		// The copy may lack entries that registered since. They register again.
		restored := g.noteEra(TableEntries, rows.Revision)
		g.peers.applyRows(entries.Present, entries.Removed, whole && !restored, now)
		g.removeAbsentDemand()
		g.resizeRetryBudgets()
		g.fleet.SetEntries(g.peers.hosts(), now)
		g.reportBadRows(entries.Bad)
		g.mu.Unlock()
		if !g.entriesListed.Swap(true) {
			g.sendHeartbeat(boottime.Now(), g.addressesOf(scopeRegion))
		}
		return nil
	}
	w := &tableWatch{gateway: g, table: TableEntries, wait: entriesFollowWait, apply: apply}
	w.run(ctx)
}

// registerSpread spreads the registrations of entries that start together. The store performs 200
// writes of a part a second; at half of that rate the rows of servers are not delayed.
var registerSpread = retry.Spread{Interval: 10 * time.Millisecond, Initial: initialBackoff, Max: 8 * time.Second}

// runRegister registers this entry in the store. It does so again, and saves the quarantine holds
// again, whenever the store was restored from an older copy.
func (g *Gateway) runRegister(ctx context.Context) {
	g.awaitPeers(ctx)
	for ctx.Err() == nil {
		g.register(ctx)
		select {
		case <-ctx.Done():
		case <-g.writeAgain:
			g.saveHoldsAgain()
		}
	}
}

// register registers this entry, with retries until it succeeds.
func (g *Gateway) register(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		g.mu.Lock()
		delay := registerSpread.Delay(failures, g.peers.registeredCount(), g.rng)
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		err := g.store.Register(ctx, g.config.Self)
		if err == nil {
			return
		}
		g.log.Warn("failed to register entry", zap.Error(err))
	}
}
