package gateway

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// maxTrackedBadRows bounds the bad rows that are remembered: 22,000 servers have a row each, and
// a program that spoils more of them than this is told of again.
const maxTrackedBadRows = 4096

// badRows are the rows that name nothing. The zero value knows none; the gateway's lock
// guards it.
type badRows struct {
	// reported are the revisions that were told of.
	reported map[badRowKey]uint64
	// withheld are servers that are not used for now, by ID.
	withheld map[string]catalog.Backend
	// bootsReported is true once a server has told when it started.
	bootsReported bool
}

type badRowKey struct {
	table Table
	key   string
	cause Cause
}

// isNew reports whether a bad row, as it is now, was not known.
//
// Guard: a bad row stays in the store, and comes again with each read of its table and
// from each entry that tells of it. Told each time it would hide all other lines, and
// the count would grow by reads.
func (b *badRows) isNew(bad BadRow) bool {
	key := badRowKey{bad.Table, bad.Key, bad.Cause}
	if revision, ok := b.reported[key]; ok && bad.Revision <= revision {
		return false
	}
	if b.reported == nil || len(b.reported) >= maxTrackedBadRows {
		b.reported = map[badRowKey]uint64{}
	}
	b.reported[key] = bad.Revision
	return true
}

// noteBad counts and logs rows that name nothing, once for each change of a row; the
// caller holds the lock.
func (g *Gateway) noteBad(rows []BadRow) {
	for _, bad := range rows {
		if !g.bad.isNew(bad) {
			continue
		}
		g.metrics.badRows.WithLabelValues(string(bad.Table), string(bad.Cause)).Inc()
		g.log.Warn("row names nothing", zap.String("Table", string(bad.Table)), zap.String("Key", bad.Key),
			zap.Uint64("Revision", bad.Revision), zap.String("Cause", string(bad.Cause)), zap.Error(bad.Err))
	}
}

// Why a server is not used.
var (
	errUnknownService = errors.New("service: expected one of the desired state")
	errMissingBoot    = errors.New("boot: expected one, as other servers tell theirs")
)

// withhold keeps back the servers whose service the desired state does not name, and
// those that do not say when they started while others do. It returns the others, and
// which of those that are known are there no longer; the caller holds the lock.
//
// Where no server tells its start, each start of one has an ID of its own.
//
// Guard: a row of another program named a service that there is not, at the address of a
// live server. Taken for the server's next start it put the live one out of use, until
// that one's row changed; it waits here until a desired state names its service.
func (g *Gateway) withhold(b Backends, whole bool) (present []catalog.Backend, gone []string) {
	if whole || g.bad.withheld == nil {
		g.bad.withheld = map[string]catalog.Backend{}
	}
	state := g.state.Load()
	for _, backend := range b.Present {
		g.bad.bootsReported = g.bad.bootsReported || backend.Boot != 0
	}
	for _, id := range b.Gone {
		delete(g.bad.withheld, id)
		if g.fleet.Known(id) {
			gone = append(gone, id)
		}
	}
	for _, backend := range b.Present {
		if serves(state, backend) && g.bad.hasKnownBoot(backend) {
			delete(g.bad.withheld, backend.ID)
			present = append(present, backend)
			continue
		}
		g.bad.withheld[backend.ID] = backend
		if g.fleet.Known(backend.ID) {
			gone = append(gone, backend.ID)
		}
	}
	g.reportWithheld(state)
	return present, gone
}

// serves reports whether a desired state names a server's service.
func serves(state *catalog.State, backend catalog.Backend) bool {
	if state == nil {
		return false
	}
	_, ok := state.Services[backend.Service]
	return ok
}

// hasKnownBoot reports whether it can be told which start of a server a row is of.
//
// Guard: a row of another program, or of a process before, that does not say when its
// server started would be taken for the one that is known: what that one held would be
// asked of the next.
func (b *badRows) hasKnownBoot(backend catalog.Backend) bool {
	return backend.Boot != 0 || !b.bootsReported
}

// reportWithheld tells of the servers that a state does not name; none is told of before
// the first state is known.
func (g *Gateway) reportWithheld(state *catalog.State) {
	if state == nil {
		return
	}
	for id, backend := range g.bad.withheld {
		bad := BadRow{Table: TableBackends, Key: id, Revision: backend.Revision, Cause: CauseService, Err: errUnknownService}
		if serves(state, backend) {
			bad.Cause, bad.Err = CauseMissing, errMissingBoot
		}
		g.noteBad([]BadRow{bad})
	}
}

// release hands the fleet the servers whose service a new state names; the caller holds
// the lock.
func (g *Gateway) release(state *catalog.State, now time.Duration) {
	var present []catalog.Backend
	for id, backend := range g.bad.withheld {
		if serves(state, backend) && g.bad.hasKnownBoot(backend) {
			present = append(present, backend)
			delete(g.bad.withheld, id)
		}
	}
	g.reportWithheld(state)
	if len(present) == 0 {
		return
	}
	slices.SortFunc(present, func(a, b catalog.Backend) int { return cmp.Compare(a.Revision, b.Revision) })
	g.fleet.Apply(present, nil, false, now)
	g.logBackends(Backends{Present: present})
	go g.runLearn(present)
}
