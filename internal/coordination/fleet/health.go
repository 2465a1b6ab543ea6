package fleet

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// gone reports whether a server's row was removed. After an outage of the store, in which
// the rows of live servers lapse, a missing row shows nothing for a while.
//
// Guard: an absence of this entry alone lapses no row.
func (f *Fleet) gone(s *server, now time.Duration) bool {
	return s.missingSince != 0 && (s.closes || !f.hadOutage || now-f.outageEnd >= f.config.LapseGrace)
}

// usable reports whether new requests may go to a server.
func (f *Fleet) usable(s *server, now time.Duration) bool {
	if f.gone(s, now) {
		return false
	}
	return now >= s.switchingUntil && now >= s.silentUntil && now >= f.retryAt(s) && !f.stalled(s, now) && !f.silent(s, now) && f.table.Usable(filbertlever.HostID(s.backend.ID), f.at(now))
}

// stalled reports whether a server has requests and has been silent for longer
// than any sound one is.
//
// Guard: a suspended host refuses nothing and breaks nothing off; it looks idle until its first
// request is given up.
func (f *Fleet) stalled(s *server, now time.Duration) bool {
	if s.own == 0 {
		return false
	}
	limit := f.config.PlainStall
	if f.state != nil {
		if engine := f.state.Services[s.backend.Service].Engine; engine != nil {
			limit = f.config.EngineStall + f.firstReading(s, engine)
		}
	}
	return now-s.progressAt > limit
}

// firstReading is how long an engine that has sent nothing yet of the requests that
// it has now may read their prompts before it sends anything.
//
// Guard: after a loss of power each engine gets a whole batch at once, and sends nothing while it
// reads the prompts; it is not stalled.
func (f *Fleet) firstReading(s *server, engine *catalog.Engine) time.Duration {
	if s.heardAt >= s.batchAt {
		return 0
	}
	return time.Duration(min(s.own+s.othersSum, engine.Slots)*engine.UsualPrompt) * engine.PromptToken
}

// Stalled reports whether a server is silent; its requests are better elsewhere.
func (f *Fleet) Stalled(id string, now time.Duration) bool {
	s, ok := f.servers[id]
	return ok && f.stalled(s, now)
}

// Progress notes that a part of an answer came from a server.
func (f *Fleet) Progress(id string, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.progressAt, s.heardAt = now, now
	}
}

// silent reports whether a server of this region has not been heard of for a while, neither by
// its agent's reports nor by its answers.
//
// Guard: of several suspended hosts, a request that is given up at one would be sent to the next.
// A restart of the agent alone is no sign, as answers go on.
func (f *Fleet) silent(s *server, now time.Duration) bool {
	if !s.hasReport || f.config.Regions[s.backend.Site] != f.config.Region {
		return false
	}
	quiet := now - max(s.reportedAt, s.heardAt)
	return quiet > f.config.ReportMissed && now-s.reportedAt < f.config.ReportForgotten
}

// Silent returns the servers of this region that are silent, for entries of
// other regions.
func (f *Fleet) Silent(now time.Duration) []string {
	ids := f.silentReporters(now)
	for id, s := range f.busy {
		if f.config.Regions[s.backend.Site] == f.config.Region && f.stalled(s, now) && !f.silent(s, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// silentReporters returns the servers whose agents have fallen silent, and whose answers
// do not go on.
func (f *Fleet) silentReporters(now time.Duration) []string {
	var ids []string
	for e := f.reports.Front(); e != nil; {
		s := e.Value.(*server)
		if now-s.reportedAt <= f.config.ReportMissed {
			break
		}
		e = e.Next()
		if now-s.reportedAt >= f.config.ReportForgotten {
			f.forgetReport(s)
			continue
		}
		if f.silent(s, now) {
			ids = append(ids, s.backend.ID)
		}
	}
	return ids
}

// noteReport notes that a server of this region has just reported.
func (f *Fleet) noteReport(s *server) {
	switch {
	case f.config.Regions[s.backend.Site] != f.config.Region:
	case s.turn == nil:
		s.turn = f.reports.PushBack(s)
	default:
		f.reports.MoveToBack(s.turn)
	}
}

func (f *Fleet) forgetReport(s *server) {
	if s.turn != nil {
		f.reports.Remove(s.turn)
		s.turn = nil
	}
}

// SetSilent takes another entry's report on servers of its region.
func (f *Fleet) SetSilent(ids []string, now time.Duration) {
	for _, id := range ids {
		s, ok := f.servers[id]
		if ok && f.config.Regions[s.backend.Site] != f.config.Region {
			s.silentUntil = now + f.config.SilentTTL
			f.setUsable(s, now)
		}
	}
}

// Observe notes how long a server took to begin an answer beside what was
// predicted for it.
func (f *Fleet) Observe(id string, predicted, took, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		if router := f.router(s.backend.Service); router != nil {
			router.Observe(filbertlever.HostID(id), predicted, took, now)
		}
	}
}

// Answered notes that a server answered a request soundly.
func (f *Fleet) Answered(id string, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		f.modelMisses[s.backend.Service] = 0
	}
	f.table.Answered(filbertlever.HostID(id), f.at(now))
}

// Failed notes that a server could not be reached, broke off, or answered
// unsoundly; it gets no request for a while.
func (f *Fleet) Failed(id string, now time.Duration) {
	f.table.Failed(filbertlever.HostID(id), f.at(now))
	f.transient[id] = true
	if _, ok := f.servers[id]; ok {
		f.place(id, now)
	}
}

// Unreachable notes that no connection to a server could be opened.
func (f *Fleet) Unreachable(id string, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.unreachableAt = now
	}
	f.Failed(id, now)
}

// unreachablePause is how long a server to which no connection could be opened is not tried again,
// also if no other is fit: the requests of a moment do not all find out the same.
const unreachablePause = 250 * time.Millisecond

// unreachable reports whether a connection to a server has just failed.
//
// Guard: while all servers load their weights, those that are gone for good seem to be the only
// ones that hold any; requests would use up their tries there instead of waiting.
func (f *Fleet) unreachable(s *server, now time.Duration) bool {
	return s.unreachableAt != 0 && now-s.unreachableAt < unreachablePause
}

// Replaced notes that another server answers at the address of this one, so
// that this one is gone.
func (f *Fleet) Replaced(id string, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		f.noteReplaced(s.backend)
		f.drop(id, s)
		f.list(now)
	}
}

// NoteModelMissing notes that a server does not hold what was expected.
//
// Guard: the list is a heartbeat behind, and after a loss of power names what every server held
// before. Until the server's agent or the list says more, the server holds nothing.
func (f *Fleet) NoteModelMissing(id string, now time.Duration) {
	s, ok := f.servers[id]
	if !ok || f.state == nil || f.state.Services[s.backend.Service].Engine == nil {
		return
	}
	s.backend.Models = nil
	s.reported = nil
	f.place(id, now)
	f.modelMisses[s.backend.Service]++
	if f.modelMisses[s.backend.Service] >= modelMissesMost {
		f.distrustList(s.backend.Service, now)
	}
}

// modelMissesMost is how many servers in a row must lack what the list says before the list is
// distrusted for all.
const modelMissesMost = 2

// distrustList takes servers of a service to hold only what agents have reported.
//
// Guard: after a loss of power requests would try one server after the other that held the model
// before, and use up the budget of retries.
func (f *Fleet) distrustList(service string, now time.Duration) {
	for id, s := range f.servers {
		if s.backend.Service != service || s.hasReport && now-s.reportedAt < f.config.ReportFresh {
			continue
		}
		s.backend.Models = nil
		f.place(id, now)
	}
}

// sweepEvery is how often it is looked which servers have fallen silent, or are no longer.
const sweepEvery = 50 * time.Millisecond

// setUsable updates the router if it has changed whether a server is usable.
func (f *Fleet) setUsable(s *server, now time.Duration) {
	usable := f.usable(s, now)
	if usable == s.placedUsable {
		return
	}
	if router := f.router(s.backend.Service); router != nil {
		f.noteUsable(s, usable)
		router.SetHost(f.host(s.backend), usable)
	}
}

func (f *Fleet) noteUsable(s *server, usable bool) {
	s.placedUsable = usable
	if usable {
		delete(f.unusable, s.backend.ID)
		return
	}
	f.unusable[s.backend.ID] = s
}

// sweep looks at the servers that time alone may have made unusable, or fit again: those
// whose agents are silent, those with requests, and those that are unusable.
func (f *Fleet) sweep(now time.Duration) {
	if now-f.sweptAt < sweepEvery {
		return
	}
	f.sweptAt = now
	for _, id := range f.silentReporters(now) {
		f.setUsable(f.servers[id], now)
	}
	for _, s := range f.busy {
		f.setUsable(s, now)
	}
	for _, s := range f.unusable {
		f.setUsable(s, now)
	}
}

// refresh takes note of what time alone has changed.
func (f *Fleet) refresh(now time.Duration) {
	f.sweep(now)
	for id := range f.transient {
		s, ok := f.servers[id]
		if !ok {
			delete(f.transient, id)
			continue
		}
		if f.gone(s, now) {
			f.drop(id, s)
			continue
		}
		f.place(id, now)
		if s.missingSince == 0 && f.usable(s, now) {
			delete(f.transient, id)
		}
	}
}

// drop forgets a server that is gone.
func (f *Fleet) drop(id string, s *server) {
	if router := f.router(s.backend.Service); router != nil {
		router.SetHost(f.host(s.backend), false)
		router.SetLoaded(filbertlever.HostID(id), nil)
	}
	f.forget(s.backend)
	f.forgetReport(s)
	delete(f.servers, id)
	delete(f.transient, id)
	delete(f.busy, id)
	delete(f.unusable, id)
	if f.byAddress[s.backend.Address] == id {
		delete(f.byAddress, s.backend.Address)
	}
}
