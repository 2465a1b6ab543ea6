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

// Times of watching the store.
const (
	// followWait is how long a feed waits for a change. The view is confirmed
	// when it returns, so its age stays below twice this, well under the bound
	// of keys, at one call a second.
	followWait = time.Second
	// entriesWait is longer: entries hear each other directly, and only learn of
	// new ones here.
	entriesWait = 6 * time.Second
	// batchDelay is how long changes are left to gather after one was heard, since
	// they come in series and each answer is a call. All bounds of what is heard
	// here are 2 s and more.
	batchDelay = 250 * time.Millisecond
	// batchDelayDesired is the same for desired states and versions: the bound of a version
	// counts from when it is heard of.
	batchDelayDesired = 60 * time.Millisecond
	// retryFirst and retryMost are the pauses after failed calls.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// readerRetryDelay is left before readers that have lost the store are asked again.
	readerRetryDelay = 200 * time.Millisecond
	// followGrace is how long beyond its waiting a call may take before the followers of
	// this entry are told that the store is lost: longer than a slow store takes, and
	// short enough that the next reader has a change within its bound.
	followGrace = 400 * time.Millisecond
	// confirmWait is how long a call waits for changes whose answer is wanted at once.
	confirmWait = time.Millisecond
)

// watch keeps one table's view current.
type watch struct {
	gateway *Gateway
	table   Table
	wait    time.Duration
	// apply takes rows newer than after; whole is true if they are all there are.
	apply func(rows Rows, after uint64, whole, first bool) error
	// onConfirmed takes the time at which the view was surely current; nil if
	// nobody wants to know.
	onConfirmed func(at time.Duration)

	// revision is up to where the view is current; 0 if it must be read.
	revision uint64
	// droppedRevision is the newest revision from where the store could not go on.
	droppedRevision uint64
	initial         bool
	unreachable     bool
}

// run reads the table and follows it until ctx ends.
func (w *watch) run(ctx context.Context) {
	w.initial = true
	pause := retryFirst
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
			w.gateway.sleep(ctx, pause)
			pause = min(2*pause, retryMost)
		default:
			w.noteReachable()
			pause = retryFirst
			if changed {
				w.gateway.sleep(ctx, batchDelayFor(w.table))
			}
		}
	}
}

// batchDelayFor is how long a table's changes are left to gather.
//
// Guard: a version that is named right after a desired state waits for the next call, and its bound
// is kept so much too late.
func batchDelayFor(table Table) time.Duration {
	if table == TableDesired {
		return batchDelayDesired
	}
	return batchDelay
}

// turn makes one call, to the store or to the region's reader.
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
		// Guard: entries disagree for a while on which one reads, and some follow one that
		// follows another. Each entry passes on what it was sent.
		g.feeds.publish(w.table, w.revision, rows, at)
		return len(rows.Raw) > 0, w.applyRows(rows, at, false)
	}
	rows, sent, err := w.follow(ctx)
	if err != nil {
		// An answer that is merely late may be a large change on a busy link, which the next
		// reader would fetch once more.
		if errors.Is(err, ErrTurnedAway) {
			g.loseStore(w.table)
		}
		return false, err
	}
	g.recordStoreAnswer()
	g.feeds.publish(w.table, w.revision, rows, sent)
	return len(rows.Raw) > 0, w.applyRows(rows, sent, false)
}

// follow asks the store for changes; it also returns when that was.
//
// Guard: followers of a reader that the store leaves unanswered must not wait for it; they are told
// soon, and one of them reads for all.
//
// Guard: the view of the one that takes over is as old as the reader's. It asks for what there is
// now, so that the others do not leave it while it waits for a change.
func (w *watch) follow(ctx context.Context) (Rows, time.Duration, error) {
	sent, wait := boottime.Now(), w.wait
	if w.gateway.feeds.age(w.table, sent) > w.wait+followGrace {
		wait = confirmWait
	}
	late := time.AfterFunc(wait+followGrace, func() { w.gateway.feeds.lose(w.table) })
	defer late.Stop()
	rows, err := w.gateway.store.Follow(ctx, w.table, w.revision, wait)
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		// Guard: a call that fails at once must end the followers' waiting too.
		w.gateway.feeds.lose(w.table)
	}
	return rows, sent, err
}

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

// applyRows applies rows that were surely all there were at a time.
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

func (w *watch) noteUnreachable(ctx context.Context, err error) {
	if !w.unreachable && ctx.Err() == nil {
		w.unreachable = true
		w.gateway.log.Warn("store lost", zap.String("Table", string(w.table)), zap.Error(err))
	}
}

func (w *watch) noteReachable() {
	if w.unreachable {
		w.unreachable = false
		w.gateway.log.Info("store regained", zap.String("Table", string(w.table)), zap.Uint64("Revision", w.revision))
	}
}

// sleep waits for a pause, spread so that entries do not call together.
func (g *Gateway) sleep(ctx context.Context, pause time.Duration) {
	g.mu.Lock()
	pause = pause/2 + time.Duration(g.rng.Int64N(int64(pause)))
	g.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func (g *Gateway) runDesired(ctx context.Context) {
	w := &watch{gateway: g, table: TableDesired, wait: followWait, apply: g.applyDesired,
		onConfirmed: func(at time.Duration) {
			// The region's reader may be a little behind what was read directly.
			g.confirmed.Store(max(g.confirmed.Load(), int64(at)))
		}}
	w.run(ctx)
}

// applyDesired puts a desired state in force.
//
// Guard: an answer of the store may arrive after a newer one, and the older
// state must not come back; only a higher version is taken.
func (g *Gateway) applyDesired(rows Rows, after uint64, _, first bool) error {
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
	g.setNamed(desired.Named, first, now)
	g.noteBad(desired.Bad)
	return nil
}

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

// takeBackends takes rows of backend servers, and returns those of them that may be used;
// the caller holds the lock.
func (g *Gateway) takeBackends(backends Backends, whole bool, now time.Duration) []catalog.Backend {
	present, gone := g.withhold(backends, whole)
	g.fleet.Apply(present, gone, whole, now)
	g.logBackends(Backends{Present: present, Gone: gone})
	g.logRestarts()
	return present
}

// runLearn has the manifests of what servers hold, which are small, drawn before they
// are needed.
func (g *Gateway) runLearn(present []catalog.Backend) {
	for _, b := range present {
		for _, m := range b.Models {
			g.relay.Learn(catalog.NamedVersion{Model: m.Name, Version: m.Version})
		}
	}
}

func (g *Gateway) logBackends(backends Backends) {
	for _, b := range backends.Present {
		g.log.Info("backend server listed", zap.String("Backend", b.ID), zap.String("Service", b.Service),
			zap.String("Address", b.Address), zap.Bool("Leaving", b.Leaving), zap.Int("Models", len(b.Models)), zap.Duration("Within", g.viewGap))
	}
	for _, id := range backends.Gone {
		g.log.Info("backend server gone", zap.String("Backend", id), zap.Duration("Within", g.viewGap))
	}
}

// logRestarts writes what was believed of servers that started again, and what is now;
// the caller holds the lock.
func (g *Gateway) logRestarts() {
	for _, r := range g.fleet.Restarts() {
		g.log.Info("backend server started again", zap.String("Backend", r.Backend), zap.String("Source", string(r.Source)),
			zap.Int64("Before", int64(r.Before)), zap.Int64("After", int64(r.After)),
			zap.Strings("Held", modelNames(r.Held)), zap.Strings("Holds", modelNames(r.Holds)), zap.Int("UnderWay", r.UnderWay))
	}
}

func modelNames(models []catalog.Model) []string {
	names := make([]string, 0, len(models))
	for _, m := range models {
		names = append(names, m.Name+"@"+strconv.FormatUint(m.Version, 10))
	}
	return names
}

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

// runRegister writes this entry's row, until the store has taken it.
func (g *Gateway) runRegister(ctx context.Context) {
	for pause := retryFirst; ctx.Err() == nil; pause = min(2*pause, retryMost) {
		err := g.store.Register(ctx, g.config.Self)
		if err == nil {
			return
		}
		g.log.Warn("entry not registered", zap.Error(err))
		g.sleep(ctx, pause)
	}
}
