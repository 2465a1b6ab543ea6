package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Several listed servers may have the same address: a server that starts again has a new ID, its
// last row stays for seconds, and a late write may restore that row after it has expired. Only one
// of them, the occupant, is in Fleet.servers. The others stay in Fleet.rows, and the occupant
// follows from the rows and from what is known of their processes whenever one of these changes.

// listing is a row of the server list.
type listing struct {
	backend catalog.Backend
	// receivedAt is when the row arrived.
	receivedAt time.Duration
}

// sighting is what is known of one process of a server. It is kept for sightingTTL after its row
// was removed.
type sighting struct {
	// seenAt is when the first row of the process arrived.
	seenAt time.Duration
	// confirmedAt is when the process last proved that it runs at its address; 0 if it never did.
	confirmedAt time.Duration
	// unlistedAt is when the row of the process was removed; 0 while it is listed.
	unlistedAt time.Duration
}

const (
	// sightingTTL is how long an unlisted process is remembered. Late writes are performed within
	// seconds.
	sightingTTL = time.Minute
	// confirmationTTL is how long after a proof a process keeps its address against a server that
	// was not listed before. A restart takes longer.
	confirmationTTL = time.Second
	// denialTTL is how long a server that was not found at its address is not used, unless a row of
	// another one follows. The answer that says so may be wrong.
	denialTTL = 5 * time.Second
)

// denial records that a server was not found at its address.
type denial struct {
	process process
	until   time.Duration
}

// claim is the claim of one listed process to an address.
type claim struct {
	id       string
	sighting sighting
	draining bool
	boot     catalog.Boot
	revision uint64
}

// since returns the time of the last sign that the process runs at the address. A draining process
// that has not proved that it runs may have ended.
func (c claim) since() time.Duration {
	switch {
	case c.sighting.confirmedAt > 0:
		return max(c.sighting.seenAt, c.sighting.confirmedAt+confirmationTTL)
	case c.draining:
		return -1
	}
	return c.sighting.seenAt
}

// compareClaims orders claims to an address. The process with the highest one is assumed to run
// there. Boots and revisions decide only between processes that became known together: clocks step,
// and a late write of an ended process has a high revision.
func compareClaims(a, b claim) int {
	order := cmp.Compare(a.since(), b.since())
	if order == 0 && a.boot != 0 && b.boot != 0 {
		order = cmp.Compare(a.boot, b.boot)
	}
	return cmp.Or(order, cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
}

// recordRows records rows and removals, and returns the addresses whose occupant may have changed.
func (f *Fleet) recordRows(present []catalog.Backend, removed []string, now time.Duration) []string {
	var affected []string
	for _, id := range removed {
		if row, ok := f.rows[id]; ok {
			f.unlist(row, now)
			affected = append(affected, row.backend.Address)
		}
	}
	for i := range present {
		backend := &present[i]
		old, listed := f.rows[backend.ID]
		if listed && backend.Revision < old.backend.Revision {
			continue
		}
		if listed && processOf(old.backend) != processOf(*backend) || listed && old.backend.Address != backend.Address {
			f.unlist(old, now)
			affected = append(affected, old.backend.Address)
			listed = false
		}
		f.sight(*backend, now)
		f.rows[backend.ID] = listing{backend: *backend, receivedAt: now}
		if !listed {
			f.rowsAt[backend.Address] = append(f.rowsAt[backend.Address], backend.ID)
		}
		affected = append(affected, backend.Address)
	}
	return affected
}

func processOf(b catalog.Backend) process { return process{b.ID, b.Boot} }

// sight records that a process is listed.
func (f *Fleet) sight(b catalog.Backend, now time.Duration) {
	p := processOf(b)
	s, ok := f.sightings[p]
	if !ok || s.unlistedAt != 0 && now-s.unlistedAt >= sightingTTL {
		s = &sighting{seenAt: now}
		f.sightings[p] = s
	}
	s.unlistedAt = 0
}

// unlist removes a row.
func (f *Fleet) unlist(row listing, now time.Duration) {
	b := row.backend
	delete(f.rows, b.ID)
	others := slices.DeleteFunc(f.rowsAt[b.Address], func(id string) bool { return id == b.ID })
	if f.rowsAt[b.Address] = others; len(others) == 0 {
		delete(f.rowsAt, b.Address)
	}
	if s, ok := f.sightings[processOf(b)]; ok {
		s.unlistedAt = max(now, 1)
	}
	if now-f.sightingsPrunedAt < sightingTTL {
		return
	}
	f.sightingsPrunedAt = now
	for p, s := range f.sightings {
		if s.unlistedAt != 0 && now-s.unlistedAt >= sightingTTL {
			delete(f.sightings, p)
		}
	}
}

// electOccupant returns the listed server that is assumed to run at an address; false if there is
// none.
func (f *Fleet) electOccupant(address string, now time.Duration) (string, bool) {
	var claims []claim
	for _, id := range f.rowsAt[address] {
		b := f.rows[id].backend
		if !f.isDenied(b, now) {
			claims = append(claims, claim{id: id, sighting: *f.sightings[processOf(b)], draining: b.Draining, boot: b.Boot, revision: b.Revision})
		}
	}
	if len(claims) == 0 {
		return "", false
	}
	return slices.MaxFunc(claims, compareClaims).id, true
}

// isDenied reports whether a server was recently not found at its address.
func (f *Fleet) isDenied(b catalog.Backend, now time.Duration) bool {
	d, ok := f.denials[b.Address]
	return ok && d.process == processOf(b) && now < d.until
}

// settle makes the elected server the occupant of an address and returns it, or "" if the occupant
// remains the same.
//
// After a power failure every server has a new ID at its old address. The rows of the old servers
// stay for seconds, and requests would use up their retries on them.
func (f *Fleet) settle(address string, now time.Duration) string {
	old := f.byAddress[address]
	elected, ok := f.electOccupant(address, now)
	if s, tracked := f.servers[old]; tracked && old != elected && s.backend.Address == address {
		if !ok && !f.isDenied(f.rows[old].backend, now) {
			// The row of the last server at the address was removed.
			return ""
		}
		f.recordReplaced(s.backend)
		f.remove(old, s, now)
	}
	if !ok || old == elected {
		return ""
	}
	f.byAddress[address] = elected
	return elected
}

// occupy tracks a listed server that became the occupant of its address after its row had arrived.
func (f *Fleet) occupy(id string, now time.Duration) {
	row := f.rows[id]
	backend := row.backend
	backend.ColdFor = max(backend.ColdFor-(now-row.receivedAt), 0)
	f.applyRow(backend, now)
}

// resettle settles an address outside of a change of the list.
func (f *Fleet) resettle(address string, now time.Duration) {
	if occupant := f.settle(address, now); occupant != "" {
		f.occupy(occupant, now)
	}
	f.updateMembership(now)
	if id, ok := f.byAddress[address]; ok {
		f.syncRouter(id, now)
	}
}

// RecordReplaced records that another server answered at the address of this one. actual is the ID
// that it named.
func (f *Fleet) RecordReplaced(id, actual string, now time.Duration) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	address := s.backend.Address
	f.denials[address] = denial{process: processOf(f.rows[id].backend), until: now + denialTTL}
	if other, listed := f.rows[actual]; listed && other.backend.Address == address {
		f.sightings[processOf(other.backend)].confirmedAt = max(now, 1)
	}
	if _, listed := f.rows[id]; !listed {
		// Nothing lists the server any more, so nothing could bring it back.
		f.recordReplaced(s.backend)
		f.remove(id, s, now)
	}
	f.resettle(address, now)
}

// confirmReported makes the server with the boot that an agent reports the occupant of the agent's
// address.
func (f *Fleet) confirmReported(report *Report, now time.Duration) {
	ids := f.rowsAt[report.Address]
	if report.Boot == 0 || len(ids) < 2 || f.rows[f.byAddress[report.Address]].backend.Boot == report.Boot {
		return
	}
	for _, id := range ids {
		if f.rows[id].backend.Boot == report.Boot {
			f.sightings[processOf(f.rows[id].backend)].confirmedAt = max(now, 1)
			f.resettle(report.Address, now)
			return
		}
	}
}

// refreshDenials lets servers return that were not found at their address.
func (f *Fleet) refreshDenials(now time.Duration) {
	for address, d := range f.denials {
		if now >= d.until {
			delete(f.denials, address)
			f.resettle(address, now)
		}
	}
}

// Lists reports whether the server list contains a row of a server, whether or not the server is
// the occupant of its address.
func (f *Fleet) Lists(id string) bool {
	_, ok := f.rows[id]
	return ok
}
