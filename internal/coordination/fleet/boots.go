package fleet

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Source names the kind of message from which a restart was detected.
type Source string

// The sources of restarts.
const (
	SourceRow    Source = "Row"
	SourceReport Source = "Report"
)

// Restart is a restart of a server under its ID.
type Restart struct {
	Backend string
	Source  Source
	// OldBoot is the boot of the replaced process and NewBoot that of the current one.
	OldBoot, NewBoot catalog.Boot
	// OldModels are the models that the replaced process was assumed to hold, and NewModels those
	// of the current one.
	OldModels, NewModels []catalog.Model
	// InFlight is the number of requests that this entry had in flight at the replaced process. It
	// is unknown whether they were executed.
	InFlight int
}

// process identifies one process of a server.
type process struct {
	id   string
	boot catalog.Boot
}

// rowVersion is the boot and the revision of the last row of a server.
type rowVersion struct {
	boot     catalog.Boot
	revision uint64
}

// endedProcessTTL is how long an ended process is remembered. Late updates about it arrive within
// seconds: a row through a region's reader, or the last write of the process that the store
// performed late.
const endedProcessTTL = time.Minute

// applyRow applies one row of the server list.
func (f *Fleet) applyRow(backend catalog.Backend, now time.Duration) {
	s, ok := f.servers[backend.ID]
	if !ok {
		s = &server{backend: catalog.Backend{ID: backend.ID}}
		f.servers[backend.ID] = s
	}
	s.missingSince, s.lostAt, s.closesConnections = 0, 0, false
	listed := processOf(backend)
	changed := backend.Revision == 0 || backend.Revision > s.lastRow.revision
	if !f.acceptRow(s, &backend, now) {
		return
	}
	if old := s.backend.Address; old != backend.Address && f.byAddress[old] == backend.ID {
		delete(f.byAddress, old)
	}
	s.backend, s.sighting = backend, f.sightings[listed]
	f.attributeAnnouncements(backend, now)
	f.byAddress[backend.Address] = backend.ID
	if a, limited := f.rateLimits[backend.ID]; limited && !ok {
		f.setRateShare(backend.ID, a)
	}
	if changed {
		f.markCold(s, backend.ColdFor, now)
	}
}

// acceptRow reports whether a row belongs to the current process or to one that replaced it, which
// then becomes the current process.
//
// The store may perform a process's last write after the report of the next process has arrived.
// That row must not restore the models of the ended process.
func (f *Fleet) acceptRow(s *server, row *catalog.Backend, now time.Duration) bool {
	if row.Revision < s.lastRow.revision {
		return false
	}
	s.lastRow = rowVersion{boot: row.Boot, revision: row.Revision}
	current := s.backend.Boot
	switch {
	case row.Boot == 0:
		row.Boot = current
		return true
	case row.Boot == current || current == 0:
		return true
	case row.Boot < current && (f.hasFreshReport(s, now) || f.hasEnded(process{row.ID, row.Boot}, now)):
		return false
	}
	f.applyRestart(s, SourceRow, row.Boot, row.Models, now)
	return true
}

// acceptReport does the same as acceptRow for a report of the server's agent.
func (f *Fleet) acceptReport(s *server, report *Report, now time.Duration) bool {
	current := s.backend.Boot
	switch {
	case report.Boot == 0 || report.Boot == current:
		return true
	case current == 0:
		s.backend.Boot = report.Boot
		f.attributeAnnouncements(s.backend, now)
		return true
	case slices.Contains(report.PreviousBoots, current):
		// The agent observed that this process replaced the current one.
	case report.Boot == s.lastRow.boot && !f.hasFreshReport(s, now):
		// The current boot came from a late datagram, and its process sends no more reports.
	case report.Boot < current || f.hasEnded(process{s.backend.ID, report.Boot}, now):
		return false
	}
	for _, boot := range report.PreviousBoots {
		f.recordEnded(process{s.backend.ID, boot}, now)
	}
	f.applyRestart(s, SourceReport, report.Boot, report.Models, now)
	return true
}

// hasFreshReport reports whether the current process has a fresh report.
func (f *Fleet) hasFreshReport(s *server, now time.Duration) bool {
	return s.hasReport && now-s.reportedAt < f.config.ReportTTL
}

// applyRestart discards the state of the replaced process.
//
// A server that restarts under its ID holds no models. Its counts and its suspicion belonged to the
// old process, as did those announcements that the new one has not made.
func (f *Fleet) applyRestart(s *server, source Source, boot catalog.Boot, models []catalog.Model, now time.Duration) {
	old := s.backend
	f.recordReplaced(old)
	f.restarts = append(f.restarts, Restart{Backend: old.ID, Source: source, OldBoot: old.Boot, NewBoot: boot,
		OldModels: f.heldModels(s, now), NewModels: models, InFlight: s.ownRequests})
	f.recordEnded(process{old.ID, old.Boot}, now)
	delete(f.endedProcesses, process{old.ID, boot})
	backend := old
	backend.Boot, backend.Models, backend.Draining = boot, nil, false
	delete(f.busy, old.ID)
	delete(f.unresponsive, old.ID)
	f.attributeAnnouncements(backend, now)
	f.removeFromReportOrder(s)
	*s = server{backend: backend, lastRow: s.lastRow, missingSince: s.missingSince, restartedAt: max(now, 1)}
	f.markUsable(s, false)
	f.markStarted(s, now)
	f.clearProcessState(backend)
	if source == SourceReport {
		// After a row, Apply updates the membership itself.
		f.updateMembership(now)
	}
}

// clearProcessState removes the state of an ended process from the router and the membership table.
func (f *Fleet) clearProcessState(b catalog.Backend) {
	id := filbertlever.HostID(b.ID)
	if router := f.router(b.Service); router != nil {
		router.ResetHost(id)
	}
	f.members.RecordRestart(id)
	f.speeds.Forget(b.ID)
	delete(f.slow, b.ID)
}

func (f *Fleet) recordEnded(p process, now time.Duration) {
	for other, at := range f.endedProcesses {
		if now-at >= endedProcessTTL {
			delete(f.endedProcesses, other)
		}
	}
	f.endedProcesses[p] = now
}

func (f *Fleet) hasEnded(p process, now time.Duration) bool {
	at, ok := f.endedProcesses[p]
	return ok && now-at < endedProcessTTL
}

// TakeRestarts returns the restarts detected since the last call.
func (f *Fleet) TakeRestarts() []Restart {
	restarts := f.restarts
	f.restarts = nil
	return restarts
}

// maxReplaced limits the number of processes that TakeReplaced returns at once.
const maxReplaced = 4096

func (f *Fleet) recordReplaced(b catalog.Backend) {
	if len(f.replaced) < maxReplaced {
		f.replaced = append(f.replaced, b)
	}
}

// TakeReplaced returns the processes that were found to have been replaced since the last call, in
// their last known state.
func (f *Fleet) TakeReplaced() []catalog.Backend {
	replaced := f.replaced
	f.replaced = nil
	return replaced
}

// Superseded reports whether the process that a request was placed at has been replaced by another
// process of the server. The outcome of the request then says nothing about the current process. It
// returns false if the boot of the placement is unknown, or if the server is only missing from the
// list and may still run.
func (f *Fleet) Superseded(b catalog.Backend) bool {
	s, ok := f.servers[b.ID]
	return ok && b.Boot != 0 && s.backend.Boot != b.Boot
}

// ServersToAvoid returns the servers, of those that a request was sent to, that it must not be sent
// to again.
//
// A server that has restarted since is left out. Where a service has few servers, the one that
// interrupted an answer may be the only one that can resume it after its restart.
func (f *Fleet) ServersToAvoid(visited []catalog.Backend) []filbertlever.HostID {
	var avoid []filbertlever.HostID
	for _, b := range visited {
		if !f.Superseded(b) {
			avoid = append(avoid, filbertlever.HostID(b.ID))
		}
	}
	return avoid
}

// restartPropagationDelay is the time after which all entries have observed a restart that this
// entry has observed. The agent's report goes to all entries at once. The row arrives within two
// seconds and a heartbeat interval.
const restartPropagationDelay = 5 * time.Second

// IsCurrentBoot reports whether gossip of another entry about a server refers to the current
// process. The boot in the gossip is 0 if that entry has observed no restart.
//
// Entries observe a restart seconds apart. Requests at the old process must not count at the new
// one, which would appear to be full or silent.
func (f *Fleet) IsCurrentBoot(id string, boot catalog.Boot, now time.Duration) bool {
	s, ok := f.servers[id]
	if !ok || s.restartedAt == 0 {
		return true
	}
	return boot == s.backend.Boot || boot == 0 && now-s.restartedAt >= restartPropagationDelay
}

// RecentBoots returns the current boot of those servers that restarted recently, to be sent with
// the gossip about them.
func (f *Fleet) RecentBoots(ids []string, now time.Duration) map[string]catalog.Boot {
	var boots map[string]catalog.Boot
	for _, id := range ids {
		s, ok := f.servers[id]
		if !ok || s.restartedAt == 0 || now-s.restartedAt >= 2*restartPropagationDelay {
			continue
		}
		if boots == nil {
			boots = map[string]catalog.Boot{}
		}
		boots[id] = s.backend.Boot
	}
	return boots
}

// ReleaseIfCurrent removes a request from the count of the process that it was placed at, unless
// that process was replaced.
//
// Requests at an ended process may end late. If they were subtracted from the count of the new
// process, it would appear to be idle while it is full.
func (f *Fleet) ReleaseIfCurrent(b catalog.Backend) {
	if !f.Superseded(b) {
		f.release(b.ID)
	}
}

// EndAttempt does the same as ReleaseIfCurrent for a request that was sent, once nothing more of its
// answer is read. A request that ends at a stalled server was given up.
func (f *Fleet) EndAttempt(b catalog.Backend, now time.Duration) {
	if s, ok := f.servers[b.ID]; ok && !f.Superseded(b) && f.stalled(s, now) {
		f.noteSilence(s, now)
		f.refreshUsable(s, now)
	}
	f.ReleaseIfCurrent(b)
}
