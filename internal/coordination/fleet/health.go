package fleet

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// isRemoved reports whether a server's row was removed. Rows of running servers expire during an
// outage of the store, and a store that was restored from an older copy may lack them, so a missing
// row counts as removed only after a grace period.
//
// Only outages of the store itself count. If this entry alone lost contact with the store, no rows
// expired.
func (f *Fleet) isRemoved(s *server, now time.Duration) bool {
	if s.missingSince == 0 || s.closesConnections {
		return s.missingSince != 0
	}
	mayHaveExpired := f.outageKnown && now-f.outageEnd < f.config.ExpiryGracePeriod
	mayBeLost := s.lostAt != 0 && now-s.lostAt < f.config.ExpiryGracePeriod
	return !mayHaveExpired && !mayBeLost
}

// usable reports whether new requests may be sent to a server.
func (f *Fleet) usable(s *server, now time.Duration) bool {
	if f.isRemoved(s, now) || f.evacuated[s.backend.Site] || f.coldLimited(s, now) || f.rateLimited(s, now) {
		return false
	}
	return now >= s.switchingUntil && !s.gossipedSilent(now) && now >= f.retryAt(s) && !f.stalled(s, now) && !s.awaitsProbe(now) && !s.awaitsAnswer() && !f.silent(s, now) && f.members.Usable(filbertlever.HostID(s.backend.ID), f.membershipTime(now))
}

// stalled reports whether a server with requests in flight has made no progress for longer than a
// healthy server would.
//
// A suspended host neither refuses nor closes connections. It appears idle until its first request
// times out.
func (f *Fleet) stalled(s *server, now time.Duration) bool {
	if s.ownRequests == 0 {
		return false
	}
	limit := f.config.PlainStallTimeout
	if f.state != nil {
		if engine := f.state.Services[s.backend.Service].Engine; engine != nil {
			limit = f.config.EngineStallTimeout + f.firstPrefill(s, engine)
		}
	}
	return f.TimeSince(s.progressAt, now) > limit
}

// Tick must be called every few ten milliseconds while this process runs. Time in which it was suspended
// then counts for no server: what servers sent meanwhile has not been read yet.
func (f *Fleet) Tick(now time.Duration) { f.suspensions.Tick(now) }

// TimeSince returns the time since an event without the last suspension of this process.
func (f *Fleet) TimeSince(event, now time.Duration) time.Duration {
	return f.suspensions.Elapsed(event, now)
}

// firstPrefill returns how long an engine may take to prefill the prompts of the requests in flight
// before it sends a first event for any of them.
//
// After a power failure each engine receives a whole batch at once and sends nothing while it
// prefills the prompts. This is not a stall.
func (f *Fleet) firstPrefill(s *server, engine *catalog.Engine) time.Duration {
	if s.lastEventAt >= s.batchStartedAt {
		return 0
	}
	return time.Duration(min(s.ownRequests+s.peerTotal, engine.Slots)*engine.MeanPromptTokens) * engine.PromptTokenTime
}

// Stalled reports whether a server with requests in flight makes no progress, so that they should
// be retried elsewhere.
func (f *Fleet) Stalled(id string, now time.Duration) bool {
	s, ok := f.servers[id]
	return ok && f.stalled(s, now)
}

// RecordProgress records that a server sent a part of an answer. A server that was silent gets requests
// again at once.
func (f *Fleet) RecordProgress(id string, now time.Duration) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	if s.ownRequests > 0 && now-s.progressAt > f.config.PlainStallTimeout {
		s.silenceEndedAt, s.silenceObserved = now, false
	}
	if s.sighting != nil {
		s.sighting.confirmedAt = now
	}
	s.progressAt, s.lastEventAt, s.failing = now, now, false
	if s.silentSince != 0 {
		s.silentSince, s.probeAt = 0, 0
		delete(f.unresponsive, id)
	}
	if !s.routerUsable {
		f.refreshUsable(s, now)
	}
}

// maxProbeDelay is the longest time until a silent server gets another request.
const maxProbeDelay = 10 * time.Second

// noteSilence records that a request ended at a server while it was stalled.
//
// The server may continue at any moment, so its silence is no failure. It gets a request as soon as
// its agent has read a report from it, but at the latest after as long as the silence has lasted, and
// one request at a time until it sends something.
func (f *Fleet) noteSilence(s *server, now time.Duration) {
	if s.silentSince == 0 {
		s.silentSince = max(s.progressAt, 1)
		f.unresponsive[s.backend.ID] = s
	}
	s.probeAt = now + min(now-s.silentSince, maxProbeDelay)
}

// awaitsProbe reports whether a silent server must get no request now.
func (s *server) awaitsProbe(now time.Duration) bool {
	return s.silentSince != 0 && (now < s.probeAt || s.ownRequests > 0)
}

// silence returns how long a server has sent nothing; false if it is not silent.
func (f *Fleet) silence(s *server, now time.Duration) (time.Duration, bool) {
	switch {
	case s.awaitsProbe(now):
		return now - s.silentSince, true
	case f.stalled(s, now):
		return now - s.progressAt, true
	case f.silent(s, now):
		return now - max(s.reportedAt, s.lastEventAt), true
	}
	return 0, false
}

// awaitsAnswer reports whether a server that failed has a request whose answer shows whether it still does.
func (s *server) awaitsAnswer() bool { return s.failing && s.ownRequests > 0 }

// recordSentProbe makes a silent or failing server unusable once it has a request.
func (f *Fleet) recordSentProbe(s *server, now time.Duration) {
	if s.silentSince != 0 || s.failing {
		f.refreshUsable(s, now)
	}
}

// silent reports whether a server of this region has sent neither reports of its agent nor answers
// for ReportTimeout.
//
// When several hosts are suspended, a request that timed out at one of them must not be retried at
// another. A restart of the agent alone does not make a server silent, because it continues to
// answer.
func (f *Fleet) silent(s *server, now time.Duration) bool {
	if !s.hasReport || f.config.Regions[s.backend.Site] != f.config.Region {
		return false
	}
	idle := f.TimeSince(max(s.reportedAt, s.lastEventAt), now)
	return idle > f.config.ReportTimeout && now-s.reportedAt < f.config.AgentTimeout
}

// SilentServers returns the silent, stalled and unresponsive servers of this region, which are gossiped
// to entries of other regions.
func (f *Fleet) SilentServers(now time.Duration) []string {
	ids := f.silentByReport(now)
	for id, s := range f.busy {
		if f.config.Regions[s.backend.Site] == f.config.Region && f.stalled(s, now) && !f.silent(s, now) {
			ids = append(ids, id)
		}
	}
	for id, s := range f.unresponsive {
		if f.config.Regions[s.backend.Site] == f.config.Region && s.awaitsProbe(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// silentByReport returns the servers whose agents stopped reporting and that send no answers. It
// removes servers from reportOrder whose agent has timed out.
func (f *Fleet) silentByReport(now time.Duration) []string {
	var ids []string
	for e := f.reportOrder.Front(); e != nil; {
		s := e.Value.(*server)
		if now-s.reportedAt <= f.config.ReportTimeout {
			break
		}
		e = e.Next()
		if now-s.reportedAt >= f.config.AgentTimeout {
			f.removeFromReportOrder(s)
			continue
		}
		if f.silent(s, now) {
			ids = append(ids, s.backend.ID)
		}
	}
	return ids
}

// moveToNewest moves a server of this region that has just reported to the end of reportOrder.
func (f *Fleet) moveToNewest(s *server) {
	switch {
	case f.config.Regions[s.backend.Site] != f.config.Region:
	case s.reportElement == nil:
		s.reportElement = f.reportOrder.PushBack(s)
	default:
		f.reportOrder.MoveToBack(s.reportElement)
	}
}

func (f *Fleet) removeFromReportOrder(s *server) {
	if s.reportElement != nil {
		f.reportOrder.Remove(s.reportElement)
		s.reportElement = nil
	}
}

// SetPeerSilent applies the gossip of another entry about the silent servers of its region. Servers that
// it named before and no longer does have continued.
func (f *Fleet) SetPeerSilent(entry filbertlever.HostID, ids []string, now time.Duration) {
	for _, id := range f.gossipedSilent[entry] {
		if s, ok := f.servers[id]; ok && !slices.Contains(ids, id) {
			delete(s.silentUntil, entry)
			f.refreshUsable(s, now)
		}
	}
	delete(f.gossipedSilent, entry)
	for _, id := range ids {
		s, ok := f.servers[id]
		if !ok || f.config.Regions[s.backend.Site] == f.config.Region {
			continue
		}
		if s.silentUntil == nil {
			s.silentUntil = map[filbertlever.HostID]time.Duration{}
		}
		s.silentUntil[entry] = now + f.config.SilentTTL
		f.gossipedSilent[entry] = append(f.gossipedSilent[entry], id)
		f.refreshUsable(s, now)
	}
}

// gossipedSilent reports whether another entry has recently named the server as silent.
func (s *server) gossipedSilent(now time.Duration) bool {
	for _, until := range s.silentUntil {
		if now < until {
			return true
		}
	}
	return false
}

// RecordLatency records the measured time to the first event of an answer together with the
// predicted time. Of the requests that were in flight during a silence of the server only the first one
// counts, since all of them are late for the same reason. None counts if this process was suspended.
func (f *Fleet) RecordLatency(id string, predicted, measured, now time.Duration) {
	s, ok := f.servers[id]
	if !ok {
		return
	}
	if f.suspensions.Interrupted(now-measured, now) {
		return
	}
	if now-measured < s.silenceEndedAt {
		if s.silenceObserved {
			return
		}
		s.silenceObserved = true
	}
	if router := f.router(s.backend.Service); router != nil {
		router.Observe(filbertlever.HostID(id), predicted, measured, now)
	}
}

// RecordSuccess records that a server answered a request correctly.
func (f *Fleet) RecordSuccess(id string, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		f.modelMisses[s.backend.Service] = 0
	}
	f.members.RecordAnswer(filbertlever.HostID(id), f.membershipTime(now))
}

// RecordFailure records that a server could not be reached, interrupted an answer or sent an
// invalid one. The server is then suspected and gets no requests for some time, unless no other
// server is usable. After that it gets one at a time until it sends something.
func (f *Fleet) RecordFailure(id string, now time.Duration) {
	f.members.RecordFailure(filbertlever.HostID(id), f.membershipTime(now))
	f.recheck[id] = true
	if s, ok := f.servers[id]; ok {
		s.failing = true
		f.syncRouter(id, now)
	}
}

// RecordUnreachable records that opening a connection to a server failed.
func (f *Fleet) RecordUnreachable(id string, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.unreachableAt = now
	}
	f.RecordFailure(id, now)
}

// unreachableBackoff is how long no request is sent to a server after a connection could not be
// opened, even if no other server is usable. It keeps concurrent requests from all failing at the
// same server.
const unreachableBackoff = 250 * time.Millisecond

// recentlyUnreachable reports whether opening a connection to a server failed within
// unreachableBackoff.
//
// While all running servers load their weights, servers that no longer exist appear to be the only
// ones that hold a model. Requests would use up their attempts there instead of waiting.
func (f *Fleet) recentlyUnreachable(s *server, now time.Duration) bool {
	return s.unreachableAt != 0 && now-s.unreachableAt < unreachableBackoff
}

// RecordModelMissing records that a server does not hold the model that it was expected to hold.
//
// The list lags by a heartbeat interval, and after a power failure it shows what every server held
// before. The server counts as holding no model until its agent or the list reports one.
func (f *Fleet) RecordModelMissing(id string, now time.Duration) {
	s, ok := f.servers[id]
	if !ok || f.state == nil || f.state.Services[s.backend.Service].Engine == nil {
		return
	}
	s.backend.Models = nil
	s.reportedModels = nil
	f.syncRouter(id, now)
	f.modelMisses[s.backend.Service]++
	if f.modelMisses[s.backend.Service] >= maxModelMisses {
		f.discardListedModels(s.backend.Service, now)
	}
}

// maxModelMisses is the number of consecutive servers found without their listed model after which
// the listed models of all servers of the service are discarded.
const maxModelMisses = 2

// discardListedModels discards the listed models of the servers of a service that have no fresh
// report.
//
// After a power failure, requests would otherwise try one server after another that held the model
// before, and use up the retry budget.
func (f *Fleet) discardListedModels(service string, now time.Duration) {
	for id, s := range f.servers {
		if s.backend.Service != service || s.hasReport && now-s.reportedAt < f.config.ReportTTL {
			continue
		}
		s.backend.Models = nil
		f.syncRouter(id, now)
	}
}

// healthCheckInterval is the minimum time between two health checks.
const healthCheckInterval = 50 * time.Millisecond

// refreshUsable updates the router if the usability of a server has changed.
func (f *Fleet) refreshUsable(s *server, now time.Duration) {
	usable := f.usable(s, now)
	if usable == s.routerUsable {
		return
	}
	if router := f.router(s.backend.Service); router != nil {
		f.markUsable(s, usable)
		router.SetHost(f.host(s.backend), usable)
	}
}

func (f *Fleet) markUsable(s *server, usable bool) {
	s.routerUsable = usable
	if usable {
		delete(f.unusable, s.backend.ID)
		return
	}
	f.unusable[s.backend.ID] = s
}

// checkHealth re-evaluates the servers whose usability may have changed with time alone: those
// whose agents are silent, those with requests in flight and those that are unusable.
func (f *Fleet) checkHealth(now time.Duration) {
	if now-f.healthCheckedAt < healthCheckInterval {
		return
	}
	f.healthCheckedAt = now
	for _, id := range f.silentByReport(now) {
		f.refreshUsable(f.servers[id], now)
	}
	for _, s := range f.busy {
		f.refreshUsable(s, now)
	}
	for _, s := range f.unusable {
		f.refreshUsable(s, now)
	}
}

// refresh applies the changes that depend on time alone.
func (f *Fleet) refresh(now time.Duration) {
	f.refreshDenials(now)
	f.checkHealth(now)
	f.refreshCold(now)
	f.refreshRateLimits(now)
	for id := range f.recheck {
		s, ok := f.servers[id]
		if !ok {
			delete(f.recheck, id)
			continue
		}
		if f.isRemoved(s, now) {
			f.remove(id, s, now)
			continue
		}
		f.syncRouter(id, now)
		if s.missingSince == 0 && f.usable(s, now) {
			delete(f.recheck, id)
		}
	}
}

// remove removes a server and all its state.
func (f *Fleet) remove(id string, s *server, now time.Duration) {
	f.recordDeparted(s.backend, now)
	if router := f.router(s.backend.Service); router != nil {
		router.SetHost(f.host(s.backend), false)
		router.SetTargets(filbertlever.HostID(id), nil)
	}
	f.clearProcessState(s.backend)
	f.removeFromReportOrder(s)
	delete(f.servers, id)
	delete(f.recheck, id)
	delete(f.busy, id)
	delete(f.unusable, id)
	delete(f.unresponsive, id)
	delete(f.cold, id)
	delete(f.rateSenders, id)
	if f.byAddress[s.backend.Address] == id {
		delete(f.byAddress, s.backend.Address)
	}
}
