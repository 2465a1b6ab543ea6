package fleet

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Source is what news came by.
type Source string

// The sources.
const (
	SourceRow    Source = "Row"
	SourceReport Source = "Report"
)

// Restart is a server that was seen to have started again.
type Restart struct {
	Backend string
	// Source is what showed it.
	Source        Source
	Before, After catalog.Boot
	// Held is what the process before was taken to hold, and Holds what this one is.
	Held, Holds []catalog.Model
	// UnderWay is how many requests of this entry the process before had; whether they
	// have run is not known.
	UnderWay int
}

// life is one process of a server.
type life struct {
	id   string
	boot catalog.Boot
}

// rowOf is what the last row of a server said of its process.
type rowOf struct {
	boot     catalog.Boot
	revision uint64
}

// endedKept is how long a process that has ended is remembered. Late news of it come
// within seconds: a row over a region's reader, or the last write of a process that the
// store performed late.
const endedKept = time.Minute

// show takes one server as it is listed now.
func (f *Fleet) show(backend catalog.Backend, now time.Duration) {
	s, ok := f.servers[backend.ID]
	if !ok {
		s = &server{backend: catalog.Backend{ID: backend.ID}}
		f.servers[backend.ID] = s
	}
	s.missingSince, s.closes = 0, false
	if !f.takesRow(s, &backend, now) {
		return
	}
	if old := s.backend.Address; old != backend.Address && f.byAddress[old] == backend.ID {
		delete(f.byAddress, old)
	}
	s.backend = backend
	f.byAddress[backend.Address] = backend.ID
}

// takesRow reports whether a row is of the process that is believed in, or of one that has
// followed it, which then is believed in.
//
// Guard: a process's last write may be performed after the report of the next. Its row must not
// bring back what a process that is gone held.
func (f *Fleet) takesRow(s *server, row *catalog.Backend, now time.Duration) bool {
	if row.Revision < s.row.revision {
		return false
	}
	s.row = rowOf{boot: row.Boot, revision: row.Revision}
	believed := s.backend.Boot
	switch {
	case row.Boot == 0:
		row.Boot = believed
		return true
	case row.Boot == believed || believed == 0:
		return true
	case row.Boot < believed && (f.reportsLately(s, now) || f.hasEnded(life{row.ID, row.Boot}, now)):
		return false
	}
	f.restart(s, SourceRow, row.Boot, row.Models, now)
	return true
}

// takesReport does the same for a server's own report.
func (f *Fleet) takesReport(s *server, load *Load, now time.Duration) bool {
	believed := s.backend.Boot
	switch {
	case load.Boot == 0 || load.Boot == believed:
		return true
	case believed == 0:
		s.backend.Boot = load.Boot
		return true
	case slices.Contains(load.Before, believed):
		// The agent has seen this one follow.
	case load.Boot == s.row.boot && !f.reportsLately(s, now):
		// A late datagram was believed, and its process reports nothing more.
	case load.Boot < believed || f.hasEnded(life{s.backend.ID, load.Boot}, now):
		return false
	}
	for _, boot := range load.Before {
		f.noteEnded(life{s.backend.ID, boot}, now)
	}
	f.restart(s, SourceReport, load.Boot, load.Models, now)
	return true
}

// reportsLately reports whether the process that is believed in has a fresh report.
func (f *Fleet) reportsLately(s *server, now time.Duration) bool {
	return s.hasReport && now-s.reportedAt < f.config.ReportFresh
}

// restart drops all that is held of the process before.
//
// Guard: a server that starts again under its ID holds nothing of before; weights, counts, drain
// and suspicion were those of another process.
func (f *Fleet) restart(s *server, source Source, boot catalog.Boot, holds []catalog.Model, now time.Duration) {
	before := s.backend
	f.noteReplaced(before)
	f.restarts = append(f.restarts, Restart{Backend: before.ID, Source: source, Before: before.Boot, After: boot,
		Held: f.models(s, now), Holds: holds, UnderWay: s.own})
	f.noteEnded(life{before.ID, before.Boot}, now)
	delete(f.ended, life{before.ID, boot})
	backend := before
	backend.Boot, backend.Models, backend.Leaving = boot, nil, false
	delete(f.busy, before.ID)
	delete(f.announcements, before.ID)
	f.forgetReport(s)
	*s = server{backend: backend, row: s.row, missingSince: s.missingSince, bootedAt: max(now, 1)}
	f.noteUsable(s, false)
	f.forget(backend)
	if source == SourceReport {
		// Rows are followed by the list anyway.
		f.list(now)
	}
}

// forget drops what router and membership hold of a process that is gone.
func (f *Fleet) forget(b catalog.Backend) {
	id := filbertlever.HostID(b.ID)
	if router := f.router(b.Service); router != nil {
		router.Forget(id)
	}
	f.table.Restarted(id)
}

func (f *Fleet) noteEnded(l life, now time.Duration) {
	for other, at := range f.ended {
		if now-at >= endedKept {
			delete(f.ended, other)
		}
	}
	f.ended[l] = now
}

func (f *Fleet) hasEnded(l life, now time.Duration) bool {
	at, ok := f.ended[l]
	return ok && now-at < endedKept
}

// Restarts returns the restarts seen since the last call.
func (f *Fleet) Restarts() []Restart {
	restarts := f.restarts
	f.restarts = nil
	return restarts
}

// replacedMost bounds the processes that Replacements returns at once.
const replacedMost = 4096

func (f *Fleet) noteReplaced(b catalog.Backend) {
	if len(f.replaced) < replacedMost {
		f.replaced = append(f.replaced, b)
	}
}

// Replacements returns the processes, as they were, that were seen to have been followed
// by another since the last call.
func (f *Fleet) Replacements() []catalog.Backend {
	replaced := f.replaced
	f.replaced = nil
	return replaced
}

// Followed reports whether another process of the server has followed the one that a
// request was placed at; false if that one's boot is not known. What the request tells then counts for neither. A server that
// is only missing from the list may go on.
func (f *Fleet) Followed(b catalog.Backend) bool {
	s, ok := f.servers[b.ID]
	return ok && b.Boot != 0 && s.backend.Boot != b.Boot
}

// Avoid returns the servers that a request is to go to no more, of those that it has been
// to.
//
// Guard: where a service has few servers, the one that broke an answer off, once started again, is
// the one to go on at.
func (f *Fleet) Avoid(tried []catalog.Backend) []filbertlever.HostID {
	var avoid []filbertlever.HostID
	for _, b := range tried {
		if !f.Followed(b) {
			avoid = append(avoid, filbertlever.HostID(b.ID))
		}
	}
	return avoid
}

// bootHeard is how long after a restart was heard of here all entries have heard of it:
// by the agent's report, which goes to all at once, or by the row, within 2 s and a
// heartbeat.
const bootHeard = 5 * time.Second

// IsCurrent reports whether another entry's report on a server is of the process believed in.
// The boot that it names is 0 if it knows of no restart.
//
// Guard: entries hear of a restart seconds apart. Requests at the process before must not count
// at the new one, which would look full or silent.
func (f *Fleet) IsCurrent(id string, boot catalog.Boot, now time.Duration) bool {
	s, ok := f.servers[id]
	if !ok || s.bootedAt == 0 {
		return true
	}
	return boot == s.backend.Boot || boot == 0 && now-s.bootedAt >= bootHeard
}

// Boots returns which process this entry's reports on servers are of, for those that started
// again lately.
func (f *Fleet) Boots(ids []string, now time.Duration) map[string]catalog.Boot {
	var boots map[string]catalog.Boot
	for _, id := range ids {
		s, ok := f.servers[id]
		if !ok || s.bootedAt == 0 || now-s.bootedAt >= 2*bootHeard {
			continue
		}
		if boots == nil {
			boots = map[string]catalog.Boot{}
		}
		boots[id] = s.backend.Boot
	}
	return boots
}

// EndedAt notes that a request has ended at the process that it was placed at.
//
// Guard: requests at a process that is gone end late; taken from the count of the new one, it
// would look idle while full.
func (f *Fleet) EndedAt(b catalog.Backend) {
	if !f.Followed(b) {
		f.Ended(b.ID)
	}
}
