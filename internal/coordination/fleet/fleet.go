// Package fleet tracks the state of the backend servers of all services as one entry sees it, and
// picks a server for each request.
package fleet

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/membership"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/coordination/speed"
	"github.com/filbertlever/filbertlever/internal/coordination/suspension"
)

// Config holds the penalties, timeouts and limits of a Fleet.
type Config struct {
	// Host, Site and Region are those of this entry.
	Host   filbertlever.HostID
	Site   string
	Region string
	// Regions maps each site to its region.
	Regions map[string]string
	// OtherSitePenalty is added to the predicted latency of a server of another site in this
	// region, and OtherRegionPenalty to that of a server of another region.
	OtherSitePenalty   time.Duration
	OtherRegionPenalty time.Duration
	// OtherRegionMargin is added to the known number of requests at a server of another region.
	// Requests that entries of that region send are gossiped here with a delay, and of several such
	// servers the one that seems least loaded is the one whose load is underestimated most.
	OtherRegionMargin int
	// MaxPrefillWait is the prefill backlog beyond which admission control refuses a request; 0 if
	// there is no bound.
	MaxPrefillWait time.Duration
	// PlainServiceTime is the assumed duration of a request of a service without models, until it
	// is known.
	PlainServiceTime time.Duration
	// ReportTTL is how long a report of a server's agent takes precedence over the server list.
	ReportTTL time.Duration
	// MaxSwitchDuration is how long a server counts as switching weights after the last report of
	// the switch. The report of its end may have been lost.
	MaxSwitchDuration time.Duration
	// EngineStallTimeout and PlainStallTimeout are the times without progress after which a server
	// with requests in flight gets no more requests.
	EngineStallTimeout time.Duration
	PlainStallTimeout  time.Duration
	// ReportTimeout is the time with neither a report nor an answer after which a server of this
	// region is silent. After AgentTimeout without a report it counts as a server without an agent.
	ReportTimeout time.Duration
	AgentTimeout  time.Duration
	// SilentTTL is how long gossip that a server is silent stays valid.
	SilentTTL time.Duration
	// ExpiryGracePeriod is the time after an outage of the store during which a missing row may
	// have expired in the outage and may be written again.
	ExpiryGracePeriod time.Duration
	// ExpiredRowPenalty is added to the predicted latency of a server whose row is missing and may
	// have expired.
	ExpiredRowPenalty time.Duration
}

// DefaultConfig returns the configuration used in production.
func DefaultConfig() Config {
	return Config{
		OtherSitePenalty: 20 * time.Millisecond,
		// Slightly more than the wait behind one queued request. A server of another region is used if two
		// requests would queue in this region. Bandwidth between regions is scarce too.
		OtherRegionPenalty: 90 * time.Millisecond,
		OtherRegionMargin:  2,
		MaxPrefillWait:     admission.DefaultEntryGate().MaxPrefillWait,
		PlainServiceTime:   30 * time.Millisecond,
		ReportTTL:          2 * time.Second,
		// Longer than a request in the queue of a full engine waits for its first event, and longer than
		// a request takes at a server without models.
		EngineStallTimeout: 600 * time.Millisecond,
		PlainStallTimeout:  300 * time.Millisecond,
		// Three missed reports and one late report.
		ReportTimeout:     700 * time.Millisecond,
		SilentTTL:         time.Second,
		AgentTimeout:      15 * time.Second,
		MaxSwitchDuration: 4 * time.Second,
		ExpiryGracePeriod: 2 * time.Second,
		ExpiredRowPenalty: 90 * time.Millisecond,
	}
}

// server is the state of one process of a backend server.
type server struct {
	// backend is the server as its row describes it. The boot may come from a report before the row
	// has it.
	backend catalog.Backend
	lastRow rowVersion
	// sighting is that of the process of the last row; nil if the process started after that row.
	sighting *sighting
	// ownRequests is the number of requests of this entry in flight at the server.
	ownRequests int
	// progressAt is when the server last sent a part of an answer or the first of the requests in
	// flight was sent to it. lastEventAt is the former only.
	progressAt  time.Duration
	lastEventAt time.Duration
	// batchStartedAt is when the first of the requests in flight was sent.
	batchStartedAt time.Duration
	// peerRequests is the number of requests in flight at the server, by the entry that gossiped
	// it.
	peerRequests map[filbertlever.HostID]int
	// peerTotal is the sum of peerRequests.
	peerTotal int
	// report is the last report of the server's agent.
	report Report
	// reportedModels are the models of the last report, which arrived at reportedAt.
	reportedModels []catalog.Model
	reportedAt     time.Duration
	hasReport      bool
	// reportElement is the server's element in Fleet.reportOrder; nil if it has none.
	reportElement *list.Element
	// loadedAt is when the server is expected to hold the model that it loads; 0 if unknown.
	loadedAt time.Duration
	// interruptsAt is when the server interrupts its requests to switch weights; 0 if no switch is
	// due.
	interruptsAt time.Duration
	// switchingUntil is when a weight switch is assumed to have ended.
	switchingUntil time.Duration
	// routerUsable is the value that the router was last given. Servers for which it is false are
	// in Fleet.unusable.
	routerUsable bool
	// silentSince is when the server last sent something before a request ended there while it was stalled;
	// 0 if it has sent something since. Until it does it gets one request at a time, the next one not
	// before probeAt.
	silentSince time.Duration
	probeAt     time.Duration
	// failing is true if a request failed and the server has sent nothing since.
	failing bool
	// silenceEndedAt is when the server last sent something after it had sent nothing for
	// PlainStallTimeout, whatever its service. silenceObserved is true if the latency of a request in
	// flight before then has been recorded.
	silenceEndedAt  time.Duration
	silenceObserved bool
	// silentUntil is when the gossip of each entry that the server is silent expires. It is set for
	// servers of other regions, whose silence this entry cannot detect itself.
	silentUntil map[filbertlever.HostID]time.Duration
	// restartedAt is when this process was first observed, if it replaced another process; else 0.
	restartedAt time.Duration
	// unreachableAt is when opening a connection to the server last failed; 0 if it never did.
	unreachableAt time.Duration
	// missingSince is when the server was first missing from the list; 0 if it is listed.
	missingSince time.Duration
	// lostAt is when the store was restored from a copy that lacks the server; 0 if it was not.
	lostAt time.Duration
	// closesConnections is true if the server closed a connection while it was missing from the
	// list.
	closesConnections bool
	// coldUntil is when the server is no longer cold. Until then this entry sends it a request each
	// coldInterval, the next one not before coldNextAt, or none if coldInterval is 0.
	coldUntil    time.Duration
	coldInterval time.Duration
	coldNextAt   time.Duration
	// slowdown is the value that the router was last given; 0 if none was, which means 1. Servers for
	// which it is over 1 are in Fleet.slow.
	slowdown float64
	// paceSequence is the sequence number of the last report whose pace was used, at paceAt.
	paceSequence uint64
	paceAt       time.Duration
}

// Fleet tracks the backend servers of all services. It is not safe for concurrent use. All times
// are of one monotonic clock.
type Fleet struct {
	config  Config
	rng     *rand.Rand
	state   *catalog.State
	members *membership.Table
	routers map[string]*routing.Router
	// servers are the occupants of the listed addresses, and servers that are missing from the list
	// but may return.
	servers map[string]*server
	// byAddress maps each address to its occupant.
	byAddress map[string]string
	// rows are the rows of the server list by ID, and rowsAt their IDs by address.
	rows   map[string]listing
	rowsAt map[string][]string
	// sightings are the processes that are listed or were listed recently.
	sightings         map[process]*sighting
	sightingsPrunedAt time.Duration
	// denials are the servers that were recently not found at their address, by address.
	denials  map[string]denial
	revision uint64
	// announcements are what servers announced in their answers, by server ID.
	announcements map[string]*announcement
	// rateLimits are the announcements of the servers that limit their rate or did so recently, and
	// rateSenders the limited servers of which this entry is a sender.
	rateLimits  map[string]*announcement
	rateSenders map[string]*server
	// entries are the registered entries, including this one; nil if they are unknown.
	entries []filbertlever.Host
	// evacuated are the sites whose servers must get no requests.
	evacuated map[string]bool
	// unservedRegions are, by service, the regions without a usable server as of the last RefreshRegions.
	unservedRegions map[string]map[string]bool
	// namedVersions are the versions of each model that operators have named.
	namedVersions map[string][]uint64
	// modelMisses counts, by service, consecutive requests at servers that lacked the model they
	// were expected to hold.
	modelMisses map[string]int
	// recheck are the servers whose state changes with time alone. Each refresh evaluates them.
	recheck map[string]bool
	// endedProcesses maps each process that has ended to when this was observed.
	endedProcesses map[process]time.Duration
	// departed maps each process that is no longer listed to when it was removed.
	departed map[process]time.Duration
	// restarts are those that TakeRestarts has not returned yet.
	restarts []Restart
	// replaced are the processes that were replaced and that TakeReplaced has not returned yet.
	replaced []catalog.Backend
	// The following indexes are updated incrementally, so that periodic work need not scan all servers.

	// busy are the servers at which this entry has requests in flight.
	busy map[string]*server
	// gossipedServers are, by entry, the servers at which that entry has requests in flight.
	gossipedServers map[filbertlever.HostID][]string
	// gossipedSilent are, by entry, the servers that its last gossip named as silent.
	gossipedSilent map[filbertlever.HostID][]string
	// unresponsive are the servers with a silentSince.
	unresponsive map[string]*server
	// cold are the cold servers that this entry may use.
	cold map[string]*server
	// reportOrder holds the servers of this region by the time of their last report, oldest first.
	// Servers whose agent has timed out are not in it.
	reportOrder *list.List
	// unusable are the servers that are marked as unusable in their router.
	unusable        map[string]*server
	healthCheckedAt time.Duration
	suspensions     suspension.Detector
	// outageEnd is the end of the store's last outage; outageKnown is false if none is known.
	outageEnd   time.Duration
	outageKnown bool
	epoch       time.Time
	// speeds estimates the slowdowns of the model servers, and slow are those that are considered slow.
	speeds *speed.Estimator
	slow   map[string]*server
	// speedsCheckedAt is when RefreshSpeeds was last called, and slowCheckedAt when it last evaluated slow.
	speedsCheckedAt time.Duration
	slowCheckedAt   time.Duration
	// gapFactors are, by service, the factors by which gaps of normal servers are longer than expected;
	// 1 if there is none.
	gapFactors map[string]float64
	// speedChanges are those that TakeSpeedChanges has not returned yet.
	speedChanges []SpeedChange
}

// New returns a fleet without servers.
func New(config Config, rng *rand.Rand) *Fleet {
	return &Fleet{
		config:          config,
		rng:             rng,
		members:         membership.New(membership.DefaultConfig()),
		routers:         map[string]*routing.Router{},
		servers:         map[string]*server{},
		byAddress:       map[string]string{},
		rows:            map[string]listing{},
		rowsAt:          map[string][]string{},
		sightings:       map[process]*sighting{},
		denials:         map[string]denial{},
		announcements:   map[string]*announcement{},
		rateLimits:      map[string]*announcement{},
		rateSenders:     map[string]*server{},
		evacuated:       map[string]bool{},
		unservedRegions: map[string]map[string]bool{},
		namedVersions:   map[string][]uint64{},
		modelMisses:     map[string]int{},
		recheck:         map[string]bool{},
		endedProcesses:  map[process]time.Duration{},
		departed:        map[process]time.Duration{},
		busy:            map[string]*server{},
		gossipedServers: map[filbertlever.HostID][]string{},
		gossipedSilent:  map[filbertlever.HostID][]string{},
		unresponsive:    map[string]*server{},
		cold:            map[string]*server{},
		reportOrder:     list.New(),
		unusable:        map[string]*server{},
		epoch:           time.Unix(0, 0),
		speeds:          speed.New(),
		slow:            map[string]*server{},
		gapFactors:      map[string]float64{},
	}
}

// membershipTime converts a monotonic time to the time that package membership expects.
func (f *Fleet) membershipTime(now time.Duration) time.Time { return f.epoch.Add(now) }

// SetState sets the active desired state.
func (f *Fleet) SetState(state *catalog.State, now time.Duration) {
	old := f.state
	f.state = state
	for name := range f.routers {
		if old != nil && !sameEngine(old.Services[name].Engine, state.Services[name].Engine) {
			delete(f.routers, name)
			delete(f.gapFactors, name)
		}
	}
	f.updateCold(now)
	for id := range f.servers {
		f.syncRouter(id, now)
	}
}

func sameEngine(a, b *catalog.Engine) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Slots == b.Slots && a.StepTime == b.StepTime && a.StepsPerEvent == b.StepsPerEvent && a.PromptTokenTime == b.PromptTokenTime &&
		a.MeanPromptTokens == b.MeanPromptTokens && a.MeanAnswerTokens == b.MeanAnswerTokens
}

// SetOutageEnd sets the end of the store's last outage; ok is false if none is known.
func (f *Fleet) SetOutageEnd(end time.Duration, ok bool, now time.Duration) {
	f.outageEnd, f.outageKnown = end, ok
	f.refresh(now)
}

// SetNamedVersions sets the versions of a model that operators have named.
func (f *Fleet) SetNamedVersions(model string, versions []uint64, now time.Duration) {
	f.namedVersions[model] = versions
	for id := range f.servers {
		f.syncRouter(id, now)
	}
}

// Apply applies changes of the server list. If complete is true, present is the whole list and all
// other servers are removed from it.
func (f *Fleet) Apply(present []catalog.Backend, removed []string, complete bool, now time.Duration) {
	present = slices.Clone(present)
	listed := map[string]bool{}
	for _, backend := range present {
		listed[backend.ID] = true
	}
	if complete {
		removed = append(slices.Clone(removed), f.unlistedBy(listed)...)
	}
	var applied []string
	for _, address := range f.recordRows(present, removed, now) {
		if occupant := f.settle(address, now); occupant != "" && !listed[occupant] {
			applied = append(applied, occupant)
			f.occupy(occupant, now)
		}
	}
	for _, backend := range present {
		if f.byAddress[backend.Address] == backend.ID {
			applied = append(applied, backend.ID)
			f.applyRow(backend, now)
		}
	}
	for _, id := range removed {
		if s, ok := f.servers[id]; ok && s.missingSince == 0 {
			s.missingSince = max(now, 1)
			f.recheck[id] = true
		}
	}
	f.updateMembership(now)
	for _, id := range applied {
		f.syncRouter(id, now)
	}
	f.refresh(now)
}

// unlistedBy returns the known servers that a whole list lacks.
func (f *Fleet) unlistedBy(listed map[string]bool) []string {
	var unlisted []string
	for id := range f.rows {
		if !listed[id] {
			unlisted = append(unlisted, id)
		}
	}
	for id := range f.servers {
		if !listed[id] && !f.Lists(id) {
			unlisted = append(unlisted, id)
		}
	}
	return unlisted
}

// updateMembership passes the current servers to the membership table.
func (f *Fleet) updateMembership(now time.Duration) {
	f.revision++
	hosts := make([]filbertlever.Host, 0, len(f.servers))
	for _, s := range f.servers {
		hosts = append(hosts, f.host(s.backend))
	}
	f.members.ApplyList(f.revision, hosts, f.membershipTime(now))
}

func (f *Fleet) host(b catalog.Backend) filbertlever.Host {
	return filbertlever.Host{ID: filbertlever.HostID(b.ID), Site: b.Site, Region: f.config.Regions[b.Site], Leaving: f.draining(b)}
}

// plainTarget is the routing target of services without models.
const plainTarget routing.Target = "plain"

func modelTarget(model string) routing.Target { return routing.Target(model) }

func versionTarget(model string, version uint64) routing.Target {
	return routing.Target(model + "@" + strconv.FormatUint(version, 10))
}

func minVersionTarget(model string, version uint64) routing.Target {
	return routing.Target(model + ">=" + strconv.FormatUint(version, 10))
}

// syncRouter updates the router with the state of one server.
func (f *Fleet) syncRouter(id string, now time.Duration) {
	s := f.servers[id]
	router := f.router(s.backend.Service)
	if router == nil {
		return
	}
	host := f.host(s.backend)
	f.markUsable(s, f.usable(s, now))
	router.SetHost(host, s.routerUsable)
	router.SetTargets(host.ID, f.targets(s, now))
	router.SetInterruptAt(host.ID, s.interruptsAt)
	router.SetSuspect(host.ID, s.missingSince != 0)
	f.syncFreeMemory(router, s)
	if s.slowdown != 0 {
		router.SetSlowdown(host.ID, s.slowdown)
	}
	f.syncPeerRequests(s, now)
}

// targets returns the routing targets that a server can serve.
func (f *Fleet) targets(s *server, now time.Duration) []routing.Target {
	if f.state == nil || f.state.Services[s.backend.Service].Engine == nil {
		return []routing.Target{plainTarget}
	}
	var targets []routing.Target
	for _, model := range f.heldModels(s, now) {
		targets = append(targets, modelTarget(model.Name), versionTarget(model.Name, model.Version))
		for _, named := range f.namedVersions[model.Name] {
			if model.Version >= named {
				targets = append(targets, minVersionTarget(model.Name, named))
			}
		}
	}
	return targets
}

// heldModels returns the models that a server holds. A fresh report takes precedence over the list,
// which lags by up to a heartbeat interval.
func (f *Fleet) heldModels(s *server, now time.Duration) []catalog.Model {
	if s.hasReport && now-s.reportedAt < f.config.ReportTTL {
		return s.reportedModels
	}
	return s.backend.Models
}

// heldVersion returns the version of a model that a server holds; 0 if none.
func (f *Fleet) heldVersion(s *server, model string, now time.Duration) uint64 {
	for _, m := range f.heldModels(s, now) {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// router returns the router of a service, creating it if needed, or nil if the desired state lacks
// the service.
func (f *Fleet) router(name string) *routing.Router {
	if router, ok := f.routers[name]; ok {
		return router
	}
	if f.state == nil {
		return nil
	}
	service, ok := f.state.Services[name]
	if !ok {
		return nil
	}
	config := routing.Config{
		ServiceTime: f.config.PlainServiceTime, OtherSiteCost: f.config.OtherSitePenalty, OtherRegionCost: f.config.OtherRegionPenalty, Samples: candidateSamples,
		SuspectCost: f.config.ExpiredRowPenalty,
	}
	if e := service.Engine; e != nil {
		config.ServiceTime = serviceTime(e)
		config.PrefillPerToken = e.PromptTokenTime
		config.TypicalPrefill = time.Duration(e.MeanPromptTokens) * e.PromptTokenTime
		config.TypicalDecode = time.Duration(e.MeanAnswerTokens) * e.StepTime
		config.StepTime, config.StepsPerEvent = e.StepTime, e.StepsPerEvent
		config.MaxPrefillWait, config.OtherRegionMargin = f.config.MaxPrefillWait, f.config.OtherRegionMargin
		config.InterruptCost = interruptionCost
		config.FirstToken = passesBeforeFirstEvent * time.Duration(e.StepsPerEvent) * e.StepTime
	}
	router := routing.New(config, f.config.Site, f.config.Region, f.rng)
	f.routers[name] = router
	return router
}

const (
	// candidateSamples is the number of servers compared for a request. The sample nearly always
	// includes one of the least loaded fifth.
	candidateSamples = 8
	// interruptionCost is the cost of starting an answer at a server that will interrupt it. It is
	// small enough to decide only between similar servers and not to concentrate long answers at a
	// few.
	interruptionCost = 20 * time.Millisecond
	// passesBeforeFirstEvent is the number of engine passes that a new request waits for before its
	// first event. Prompts of other requests are prefilled between them.
	passesBeforeFirstEvent = 2
)

// serviceTime returns how long a request occupies a slot of a full engine. Each request of a batch
// waits while the prompts of all of them are prefilled.
func serviceTime(e *catalog.Engine) time.Duration {
	prefill := time.Duration(e.Slots*e.MeanPromptTokens) * e.PromptTokenTime
	return prefill + time.Duration(e.MeanAnswerTokens)*e.StepTime
}

// Backends returns the listed servers of a service, sorted by ID.
func (f *Fleet) Backends(service string) []catalog.Backend {
	var backends []catalog.Backend
	for _, s := range f.servers {
		if s.backend.Service == service && s.missingSince == 0 {
			backends = append(backends, s.backend)
		}
	}
	slices.SortFunc(backends, func(a, b catalog.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return backends
}

// Contains reports whether the fleet tracks a server. A server that is missing from the list is
// tracked until it is removed.
func (f *Fleet) Contains(id string) bool {
	_, ok := f.servers[id]
	return ok
}
