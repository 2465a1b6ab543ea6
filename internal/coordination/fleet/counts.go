package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Load is a server's own report, as its agent sends it.
type Load struct {
	// Address is where the server serves.
	Address string
	// Boot is the server's start; 0 if the agent does not tell it.
	Boot catalog.Boot `json:",omitempty"`
	// Before are the boots that the agent saw end, the latest last.
	Before []catalog.Boot `json:",omitempty"`
	// Agent is where the report came from, and the agent gives out pieces.
	Agent string `json:"-"`
	// Sequence grows with each report, also across restarts of the agent, but for
	// steps of the host's clock.
	Sequence uint64
	Running  int
	Queued   int
	// Pace is above 1 if the server takes so many times longer than it should; 0 if
	// that is not known.
	Pace float64 `json:",omitempty"`
	// Switching is true from shortly before a load order until it is done.
	Switching bool
	Models    []catalog.Model
	// LeavesIn is how long it still takes until the server breaks off what it does
	// for a change of its weights; 0 if none is due.
	LeavesIn time.Duration
	// LoadedIn is how long it still takes until the server holds what it is
	// being brought; 0 if nothing is.
	LoadedIn time.Duration
}

// Report takes a server's own report.
func (f *Fleet) Report(load Load, now time.Duration) {
	s, ok := f.servers[f.byAddress[load.Address]]
	if !ok || !f.takesReport(s, &load, now) {
		return
	}
	s.hasReport = true
	s.load = load
	s.reported = load.Models
	s.reportedAt = now
	s.switchingUntil, s.loadedAt, s.leavesAt = 0, 0, 0
	if load.LeavesIn > 0 {
		s.leavesAt = now + load.LeavesIn
	}
	if load.LoadedIn > 0 {
		s.loadedAt = now + load.LoadedIn
	}
	if load.Switching {
		s.switchingUntil = now + f.config.SwitchMost
		f.wobbly[s.backend.ID] = true
	}
	f.place(s.backend.ID, now)
}

// strayRequests is how many more requests a server may report than the entries
// know of before the report is believed: it is some 0.3 s old, in which a server
// of 16 places takes and ends about four.
const strayRequests = 4

// count tells the router how many requests of other entries a server has.
//
// Guard: an entry that cannot be heard still sends, and its requests wait in the
// same queue; the server's own report shows what no entry tells of.
func (f *Fleet) count(s *server, now time.Duration) {
	router := f.router(s.backend.Service)
	if router == nil {
		return
	}
	others := 0
	for _, n := range s.others {
		others += n
	}
	if s.hasReport && now-s.reportedAt < f.config.ReportFresh {
		others = max(others, s.load.Running+s.load.Queued-s.own-strayRequests)
	}
	router.SetOthers(filbertlever.HostID(s.backend.ID), others, s.backend.Slots, now)
}

// Counts returns how many requests of this entry each server has.
func (f *Fleet) Counts() map[string]int {
	counts := map[string]int{}
	for id, s := range f.servers {
		if s.own > 0 {
			counts[id] = s.own
		}
	}
	return counts
}

// SetCounts takes how many requests another entry has at each server; nil if
// the entry is gone.
func (f *Fleet) SetCounts(entry filbertlever.HostID, counts map[string]int, now time.Duration) {
	for id, s := range f.servers {
		n, old := counts[id], s.others[entry]
		if n == old {
			continue
		}
		if s.others == nil {
			s.others = map[filbertlever.HostID]int{}
		}
		if n == 0 {
			delete(s.others, entry)
		} else {
			s.others[entry] = n
		}
		f.count(s, now)
	}
}
