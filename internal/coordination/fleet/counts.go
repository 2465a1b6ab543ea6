package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Load is a server's own report, as its agent sends it.
type Load struct {
	// Address is where the server serves.
	Address string `cbor:"1,keyasint"`
	// Boot is the server's start; 0 if the agent does not report it.
	Boot catalog.Boot `cbor:"2,keyasint,omitempty"`
	// Before are the boots that the agent saw end, the latest last.
	Before []catalog.Boot `cbor:"3,keyasint,omitempty"`
	// Agent is where the report came from, and the agent gives out pieces.
	Agent string `cbor:"-"`
	// Sequence grows with each report, also across restarts of the agent, but for
	// steps of the host's clock.
	Sequence uint64 `cbor:"4,keyasint"`
	Running  int    `cbor:"5,keyasint,omitempty"`
	Queued   int    `cbor:"6,keyasint,omitempty"`
	// Pace is above 1 if the server takes so many times longer than it should; 0 if
	// that is not known.
	Pace float64 `cbor:"7,keyasint,omitempty"`
	// Switching is true from shortly before a load order until it is done.
	Switching bool            `cbor:"8,keyasint,omitempty"`
	Models    []catalog.Model `cbor:"9,keyasint,omitempty"`
	// LeavesIn is how long it still takes until the server breaks off what it does
	// for a change of its weights; 0 if none is due.
	LeavesIn time.Duration `cbor:"10,keyasint,omitempty"`
	// LoadedIn is how long it still takes until the server holds what it is
	// being brought; 0 if nothing is.
	LoadedIn time.Duration `cbor:"11,keyasint,omitempty"`
	// Leaving is true if the server seems to leave, by its own answers.
	Leaving bool `cbor:"12,keyasint,omitempty"`
}

// Report takes a server's own report.
func (f *Fleet) Report(load Load, now time.Duration) {
	s, ok := f.servers[f.byAddress[load.Address]]
	if !ok || !f.takesReport(s, &load, now) {
		return
	}
	changed := load.Leaving != s.load.Leaving
	s.hasReport = true
	s.load = load
	s.reported = load.Models
	s.reportedAt = now
	f.noteReport(s)
	s.switchingUntil, s.loadedAt, s.leavesAt = 0, 0, 0
	if load.LeavesIn > 0 {
		s.leavesAt = now + load.LeavesIn
	}
	if load.LoadedIn > 0 {
		s.loadedAt = now + load.LoadedIn
	}
	if load.Switching {
		s.switchingUntil = now + f.config.SwitchMost
		f.transient[s.backend.ID] = true
	}
	if changed {
		f.list(now)
	}
	f.place(s.backend.ID, now)
}

// strayRequests is how many more requests a server may report than the entries
// know of before the report is believed: what the server took and ended since the report was made.
const strayRequests = 4

// count updates the router's count of other entries' requests at a server.
//
// Guard: requests of an entry that is not heard wait in the same queue; only the server's own
// report shows them.
func (f *Fleet) count(s *server, now time.Duration) {
	router := f.router(s.backend.Service)
	if router == nil {
		return
	}
	others := s.othersSum
	if s.hasReport && now-s.reportedAt < f.config.ReportFresh {
		others = max(others, s.load.Running+s.load.Queued-s.own-strayRequests)
	}
	router.SetOthers(filbertlever.HostID(s.backend.ID), others, s.backend.Slots, now)
}

// Counts returns how many requests of this entry each server has.
func (f *Fleet) Counts() map[string]int {
	counts := make(map[string]int, len(f.busy))
	for id, s := range f.busy {
		counts[id] = s.own
	}
	return counts
}

// sent counts one more request of this entry at a server.
func (f *Fleet) sent(s *server, now time.Duration) {
	if s.own == 0 {
		s.progressAt, s.batchAt = now, now
		f.busy[s.backend.ID] = s
	}
	s.own++
}

// Ended notes that a request sent to a server has ended there, or was not sent.
func (f *Fleet) Ended(id string) {
	s, ok := f.busy[id]
	if !ok {
		return
	}
	s.own--
	if s.own == 0 {
		delete(f.busy, id)
	}
	if router := f.router(s.backend.Service); router != nil {
		router.Ended(filbertlever.HostID(id))
	}
}

// SetCounts takes how many requests another entry has at each server; nil if
// the entry is gone.
func (f *Fleet) SetCounts(entry filbertlever.HostID, counts map[string]int, now time.Duration) {
	for _, id := range f.gossiped[entry] {
		if counts[id] == 0 {
			f.setOthers(id, entry, 0, now)
		}
	}
	known := f.gossiped[entry][:0]
	for id, n := range counts {
		if n > 0 && f.setOthers(id, entry, n, now) {
			known = append(known, id)
		}
	}
	if len(known) == 0 {
		delete(f.gossiped, entry)
		return
	}
	f.gossiped[entry] = known
}

// setOthers takes how many requests another entry has at one server; it returns false if
// the server is not known.
func (f *Fleet) setOthers(id string, entry filbertlever.HostID, n int, now time.Duration) bool {
	s, ok := f.servers[id]
	if !ok {
		return false
	}
	old := s.others[entry]
	if n == old {
		return true
	}
	s.othersSum += n - old
	switch {
	case n == 0:
		delete(s.others, entry)
	case s.others == nil:
		s.others = map[filbertlever.HostID]int{entry: n}
	default:
		s.others[entry] = n
	}
	f.count(s, now)
	return true
}

// ServiceAt returns the service of the server at an address; empty if none is known there.
func (f *Fleet) ServiceAt(address string) string {
	if s, ok := f.servers[f.byAddress[address]]; ok {
		return s.backend.Service
	}
	return ""
}
