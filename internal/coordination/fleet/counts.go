package fleet

import (
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
)

// Report is the state of a server as its agent reports it.
type Report struct {
	// Address is the address at which the server accepts requests.
	Address string `cbor:"1,keyasint"`
	// Boot is the boot of the server; 0 if the agent does not report it.
	Boot catalog.Boot `cbor:"2,keyasint,omitempty"`
	// PreviousBoots are the boots that the agent has observed to end, oldest first.
	PreviousBoots []catalog.Boot `cbor:"3,keyasint,omitempty"`
	// AgentAddress is the address that the report came from, at which the agent serves pieces.
	AgentAddress string `cbor:"-"`
	// Sequence increases with each report, also across restarts of the agent, unless the host's
	// clock is set back.
	Sequence uint64 `cbor:"4,keyasint"`
	Running  int    `cbor:"5,keyasint,omitempty"`
	Queued   int    `cbor:"6,keyasint,omitempty"`
	// Pace is the factor by which the server is slower than expected, above 1 if it is slower; 0 if
	// unknown.
	Pace float64 `cbor:"7,keyasint,omitempty"`
	// Switching is true from shortly before a load order until the load has ended.
	Switching bool            `cbor:"8,keyasint,omitempty"`
	Models    []catalog.Model `cbor:"9,keyasint,omitempty"`
	// LeavesIn is the time until the server interrupts its requests to switch weights; 0 if no
	// switch is due.
	LeavesIn time.Duration `cbor:"10,keyasint,omitempty"`
	// LoadedIn is the time until the server holds the model that it loads; 0 if it loads none.
	LoadedIn time.Duration `cbor:"11,keyasint,omitempty"`
	// Leaving is true if the answers of the server indicate that it is draining.
	Leaving bool `cbor:"12,keyasint,omitempty"`
	// FreeMemory is the free part of the engine's cache, in tokens times layers; nil if unknown.
	FreeMemory *int `cbor:"13,keyasint,omitempty"`
}

// ApplyReport applies the report of a server's agent.
func (f *Fleet) ApplyReport(report Report, now time.Duration) {
	f.confirmReported(&report, now)
	s, ok := f.servers[f.byAddress[report.Address]]
	if !ok || !f.acceptReport(s, &report, now) {
		return
	}
	f.recordPace(s, &report, now)
	changed := report.Leaving != s.report.Leaving
	s.hasReport = true
	s.report = report
	s.reportedModels = report.Models
	s.reportedAt = now
	s.probeAt = min(s.probeAt, now)
	f.moveToNewest(s)
	s.switchingUntil, s.loadedAt, s.interruptsAt = 0, 0, 0
	if report.LeavesIn > 0 {
		s.interruptsAt = now + report.LeavesIn
	}
	if report.LoadedIn > 0 {
		s.loadedAt = now + report.LoadedIn
	}
	if report.Switching {
		s.switchingUntil = now + f.config.MaxSwitchDuration
		f.recheck[s.backend.ID] = true
	}
	if changed {
		f.updateMembership(now)
	}
	f.syncRouter(s.backend.ID, now)
}

// syncFreeMemory updates the router's view of the free memory of a server.
func (f *Fleet) syncFreeMemory(router *routing.Router, s *server) {
	id := filbertlever.HostID(s.backend.ID)
	engine := f.state.Services[s.backend.Service].Engine
	if !s.hasReport || s.report.FreeMemory == nil || engine == nil {
		router.SetFreeMemory(id, -1)
		return
	}
	router.SetFreeMemoryUntil(id, *s.report.FreeMemory/max(engine.Layers, 1), s.reportedAt+f.config.ReportTTL)
}

// reportTolerance is the number of requests by which a report may exceed the sum of all known
// requests before the report takes precedence. It covers the requests that the server received and
// ended since the report was made.
const reportTolerance = 4

// syncPeerRequests updates the router's count of other entries' requests at a server.
//
// Requests of an entry whose gossip does not arrive wait in the same queue. Only the report of the
// server's agent includes them.
func (f *Fleet) syncPeerRequests(s *server, now time.Duration) {
	router := f.router(s.backend.Service)
	if router == nil {
		return
	}
	others := s.peerTotal
	if s.hasReport && now-s.reportedAt < f.config.ReportTTL {
		others = max(others, s.report.Running+s.report.Queued-s.ownRequests-reportTolerance)
	}
	router.SetOtherRequests(filbertlever.HostID(s.backend.ID), others, s.backend.Slots, now)
}

// InFlightCounts returns the number of requests of this entry in flight, by server.
func (f *Fleet) InFlightCounts() map[string]int {
	counts := make(map[string]int, len(f.busy))
	for id, s := range f.busy {
		counts[id] = s.ownRequests
	}
	return counts
}

// recordSent counts one more request of this entry at a server. It returns true if the request
// counts against a rate limit.
func (f *Fleet) recordSent(s *server, now time.Duration) bool {
	if s.ownRequests == 0 {
		s.progressAt, s.batchStartedAt = now, now
		f.busy[s.backend.ID] = s
	}
	s.ownRequests++
	f.recordSentProbe(s, now)
	f.recordSentCold(s, now)
	return f.recordSentLimited(s, now)
}

// Release reverts a Choose whose request was not sent.
func (f *Fleet) Release(id string) {
	if s, ok := f.busy[id]; ok {
		f.refundCold(s)
		f.refundRate(s)
	}
	f.release(id)
}

// Withdraw reverts a Choose whose request was refused, immediately after it. Unlike Release it also takes the
// prompt out of the server's backlog. Requests are refused at servers with free slots too, where prompts
// that never arrive would make the server look busy to those that may use the slots.
func (f *Fleet) Withdraw(id string, promptTokens int) {
	s, ok := f.busy[id]
	if !ok {
		return
	}
	f.refundCold(s)
	f.refundRate(s)
	f.forget(id, s)
	if router := f.router(s.backend.Service); router != nil {
		router.Withdraw(filbertlever.HostID(id), promptTokens)
	}
}

// forget removes a request of this entry from the count of a server.
func (f *Fleet) forget(id string, s *server) {
	s.ownRequests--
	if s.ownRequests == 0 {
		delete(f.busy, id)
	}
}

// release removes a request from the count of a server.
func (f *Fleet) release(id string) {
	s, ok := f.busy[id]
	if !ok {
		return
	}
	f.forget(id, s)
	if router := f.router(s.backend.Service); router != nil {
		router.Release(filbertlever.HostID(id))
	}
}

// SetPeerCounts sets the number of requests that another entry has in flight, by server. The counts
// are nil if the entry has left.
func (f *Fleet) SetPeerCounts(entry filbertlever.HostID, counts map[string]int, now time.Duration) {
	for _, id := range f.gossipedServers[entry] {
		if counts[id] == 0 {
			f.setPeerCount(id, entry, 0, now)
		}
	}
	servers := f.gossipedServers[entry][:0]
	for id, n := range counts {
		if n > 0 && f.setPeerCount(id, entry, n, now) {
			servers = append(servers, id)
		}
	}
	if len(servers) == 0 {
		delete(f.gossipedServers, entry)
		return
	}
	f.gossipedServers[entry] = servers
}

// setPeerCount sets the number of requests that another entry has in flight at one server. It
// returns false if the fleet does not track the server.
func (f *Fleet) setPeerCount(id string, entry filbertlever.HostID, n int, now time.Duration) bool {
	s, ok := f.servers[id]
	if !ok {
		return false
	}
	old := s.peerRequests[entry]
	if n == old {
		return true
	}
	s.peerTotal += n - old
	switch {
	case n == 0:
		delete(s.peerRequests, entry)
	case s.peerRequests == nil:
		s.peerRequests = map[filbertlever.HostID]int{entry: n}
	default:
		s.peerRequests[entry] = n
	}
	f.syncPeerRequests(s, now)
	return true
}

// ServiceAt returns the service of the server at an address; empty if there is none.
func (f *Fleet) ServiceAt(address string) string {
	if s, ok := f.servers[f.byAddress[address]]; ok {
		return s.backend.Service
	}
	return ""
}
