package gateway

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
)

// maxTrackedBadRows limits the bad rows whose reports are tracked. There may be 22,000 servers with a
// row each. If a program damages more rows than the limit, they are reported again.
const maxTrackedBadRows = 4096

// badRowTracker tracks invalid rows of the store. The zero value is empty. The gateway's lock
// guards it.
type badRowTracker struct {
	// reported holds the revisions of the rows that were reported.
	reported map[badRowKey]uint64
	// withheld holds the servers that are currently not used, by ID.
	withheld map[string]catalog.Backend
	// bootsReported is true once the row of any server has contained a boot.
	bootsReported bool
}

type badRowKey struct {
	table Table
	key   string
	cause Cause
}

// isNew reports whether a bad row, at its current revision, has not been reported yet.
//
// A bad row stays in the store, and is received again with each read of its table and from
// each entry that passes it on. If it were reported each time, it would hide all other log
// lines, and the metric would count reads.
func (b *badRowTracker) isNew(bad BadRow) bool {
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

// reportBadRows counts and logs invalid rows, once for each change of a row. The caller
// holds the lock.
func (g *Gateway) reportBadRows(rows []BadRow) {
	for _, bad := range rows {
		if !g.badRows.isNew(bad) {
			continue
		}
		g.metrics.badRows.WithLabelValues(string(bad.Table), string(bad.Cause)).Inc()
		g.log.Warn("invalid row ignored", zap.String("Table", string(bad.Table)), zap.String("Key", bad.Key),
			zap.Uint64("Revision", revision.Number(bad.Revision)), zap.String("Cause", string(bad.Cause)), zap.Error(bad.Err))
	}
}

// Reasons why a server is not used.
var (
	errUnknownService = errors.New("service: expected one that the desired state contains")
	errMissingBoot    = errors.New("boot: expected one, because other servers report theirs")
)

// withhold withholds the servers whose service is not in the desired state, and those without
// a boot if other servers report one. It returns the other servers, and the IDs of known servers
// that are no longer present. The caller holds the lock.
//
// Where no server reports a boot, each start of a server has an ID of its own.
//
// A row of another program contained an unknown service and the address of a live server. It was
// mistaken for the server's next start and put the live server out of use until that server's row
// changed. Such a row is withheld until a desired state contains its service.
func (g *Gateway) withhold(b Backends, whole bool) (present []catalog.Backend, removed []string) {
	if whole || g.badRows.withheld == nil {
		g.badRows.withheld = map[string]catalog.Backend{}
	}
	state := g.state.Load()
	for _, backend := range b.Present {
		g.badRows.bootsReported = g.badRows.bootsReported || backend.Boot != 0
	}
	for _, id := range b.Removed {
		delete(g.badRows.withheld, id)
		if g.fleet.Contains(id) || g.fleet.Lists(id) {
			removed = append(removed, id)
		}
	}
	for _, backend := range b.Present {
		if serves(state, backend) && g.badRows.hasKnownBoot(backend) {
			delete(g.badRows.withheld, backend.ID)
			present = append(present, backend)
			continue
		}
		g.badRows.withheld[backend.ID] = backend
		if g.fleet.Contains(backend.ID) || g.fleet.Lists(backend.ID) {
			removed = append(removed, backend.ID)
		}
	}
	g.reportWithheld(state)
	return present, removed
}

// serves reports whether a desired state contains a server's service.
func serves(state *catalog.State, backend catalog.Backend) bool {
	if state == nil {
		return false
	}
	_, ok := state.Services[backend.Service]
	return ok
}

// hasKnownBoot reports whether a row can be attributed to one boot of its server.
//
// A row without a boot, from another program or an earlier process, would be attributed to the
// known boot. Requests for the versions that one boot held would then be sent to the next.
func (b *badRowTracker) hasKnownBoot(backend catalog.Backend) bool {
	return backend.Boot != 0 || !b.bootsReported
}

// reportWithheld reports the withheld servers. Nothing is reported before the first desired state
// is known.
func (g *Gateway) reportWithheld(state *catalog.State) {
	if state == nil {
		return
	}
	for id, backend := range g.badRows.withheld {
		bad := BadRow{Table: TableBackends, Key: id, Revision: backend.Revision, Cause: CauseService, Err: errUnknownService}
		if serves(state, backend) {
			bad.Cause, bad.Err = CauseMissing, errMissingBoot
		}
		g.reportBadRows([]BadRow{bad})
	}
}

// releaseWithheld adds to the fleet the withheld servers whose service a new desired state
// contains. The caller holds the lock.
func (g *Gateway) releaseWithheld(state *catalog.State, now time.Duration) {
	var present []catalog.Backend
	for id, backend := range g.badRows.withheld {
		if serves(state, backend) && g.badRows.hasKnownBoot(backend) {
			present = append(present, backend)
			delete(g.badRows.withheld, id)
		}
	}
	g.reportWithheld(state)
	if len(present) == 0 {
		return
	}
	slices.SortFunc(present, func(a, b catalog.Backend) int { return cmp.Compare(a.Revision, b.Revision) })
	g.fleet.Apply(present, nil, false, now)
	g.logBackends(Backends{Present: present})
	go g.runFetchManifests(present)
}
