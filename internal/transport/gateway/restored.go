package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// restoredGracePeriod is how long a copy from which the store was restored does not revert what is
// known. The operator and the servers write their changes again, and a server that was draining has
// exited by then. Each table is then read again and applied as a whole.
const restoredGracePeriod = 10 * time.Second

const (
	// rereadSpread spreads the reads after the grace period, which all entries would make at once.
	rereadSpread = 5 * time.Second
	// maxRereadsFromEntry is how often another entry is asked for a table before the store is.
	maxRereadsFromEntry = 3
)

// reread applies the whole table once more, from the entry that reads the store for this region if
// possible. Another attempt follows later if it fails, as the table must not wait for its changes
// meanwhile.
//
// The view keeps its revision, so that its followers lack no change in between. It may take changes
// again that are in the table already.
func (w *tableWatch) reread(ctx context.Context) error {
	w.rereadAt = boottime.Now() + w.gateway.jitter(rereadSpread, rereadSpread)
	w.rereads++
	rows, err := w.readWhole(ctx)
	if err != nil {
		w.gateway.log.Info("table not read again after the store was restored", w.fields(zap.Error(err))...)
		return nil
	}
	if rows.Revision < w.revision || revision.Era(rows.Revision) != w.era {
		// The other entry is behind, or the store was restored again.
		return nil
	}
	w.rereadAt = 0
	// A row that only the whole table has may have been written at any time since the restoration.
	rows.changed = switchover.Naming{At: w.restoredAfter, Estimated: true}
	return w.apply(rows, 0, true, false)
}

// readWhole returns the whole table.
func (w *tableWatch) readWhole(ctx context.Context) (Rows, error) {
	g := w.gateway
	from := g.snapshotSources(boottime.Now(), true)
	if len(from.hosts) == 0 || w.rereads > maxRereadsFromEntry {
		return g.store.Read(ctx, w.table)
	}
	host := from.hosts[(w.rereads-1)%len(from.hosts)]
	response, err := g.fetchFeed(ctx, from.addresses[host], FeedRequest{Table: w.table}, feedTimeout, nil)
	if err == nil && response.Age > maxAgeOf(w.table) {
		err = errOldView
	}
	return Rows{Revision: response.Revision, Raw: joinRows(response.Raw), source: host}, err
}

// errOldView means that the view of another entry is too old.
var errOldView = errors.New("the view of the entry is too old")

// noteEra records the era of a table's rows. It returns true if the store was restored from an older
// copy since the last rows of that table. The caller holds the lock.
func (g *Gateway) noteEra(table Table, r uint64) bool {
	era := revision.Era(r)
	last, known := g.tableEras[table]
	if known && era <= last {
		return false
	}
	g.tableEras[table] = era
	if !known {
		g.storeEra = max(g.storeEra, era)
		return false
	}
	g.log.Warn("store restored from an older copy", append([]zap.Field{zap.String("Table", string(table)), zap.Uint64("Before", last)}, revisionFields(r)...)...)
	if era > g.storeEra {
		g.storeEra = era
		g.metrics.storeRestored.Inc()
		g.requestWriteAgain()
	}
	return true
}

// requestWriteAgain requests that what this entry wrote to the store be written again, as it may be
// missing from the copy.
func (g *Gateway) requestWriteAgain() {
	for _, request := range []chan struct{}{g.writeAgain, g.namedChanged} {
		select {
		case request <- struct{}{}:
		default:
		}
	}
}

// saveHoldsAgain writes the quarantine holds to the store again, if this entry is its region's reader.
func (g *Gateway) saveHoldsAgain() {
	now := boottime.Now()
	if !g.isReader(now) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.StoreAgain(now)
}

// applyRestoredBackends applies the whole table of backend servers of a store that was restored from
// an older copy. The caller holds the lock.
func (g *Gateway) applyRestoredBackends(backends Backends, now time.Duration) {
	present, _ := g.withhold(backends, true)
	g.fleet.ApplyRestored(present, now)
	g.logBackends(Backends{Present: present})
	g.logRestarts()
}

// supersedesState reports whether a desired state replaces the one in force. A copy of the store may
// hold an older state, in which revoked keys are still valid. The caller holds the lock.
func (g *Gateway) supersedesState(state *catalog.State, r uint64) bool {
	current := g.state.Load()
	switch {
	case current == nil || state.Version > current.Version:
		return true
	case state.Version == current.Version:
		return revision.Era(r) > g.stateEra
	}
	if revision.Era(r) > g.stateEra {
		g.log.Warn("the restored store has an older desired state", zap.Uint64("Version", state.Version), zap.Uint64("InForce", current.Version))
	}
	return false
}

// revisionFields returns log fields with the era and the number of a revision.
func revisionFields(r uint64) []zap.Field {
	return []zap.Field{zap.Uint64("Era", revision.Era(r)), zap.Uint64("Revision", revision.Number(r))}
}
