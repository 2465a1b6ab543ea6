package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// restoredGracePeriod is how long what is missing from, or older in, a store that was restored from
// a copy is not taken from it. The operator and the servers write their changes again, and a server
// that has left has exited by then. Each table is then read again.
const restoredGracePeriod = 10 * time.Second

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
