// Package fleet keeps what one entry believes of the backend servers of all
// services, and picks one for each request.
package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/membership"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
)

// Config holds the costs and times of a Fleet.
type Config struct {
	Site   string
	Region string
	// Regions gives the region of each site.
	Regions map[string]string
	// OtherSite and OtherRegion are what a server there must be better by.
	OtherSite   time.Duration
	OtherRegion time.Duration
	// FarMargin is how many more requests a server of another region is taken to
	// have than is known: what its own entries send it is heard later, and of
	// several such servers the one that seems best is the one most misjudged.
	FarMargin int
	// PlainService is what a plain service takes for a request, until known.
	PlainService time.Duration
	// ReportFresh is how long a server's own report goes before the list.
	ReportFresh time.Duration
	// SwitchMost is how long a server may be switching weights before a missing
	// end of it is taken for a lost report.
	SwitchMost time.Duration
	// EngineStall and PlainStall are the silences after which a server with
	// requests gets no more.
	EngineStall time.Duration
	PlainStall  time.Duration
	// ReportMissed is the time without a report after which a server of this
	// region is silent, and ReportForgotten when it counts as one without agent.
	ReportMissed    time.Duration
	ReportForgotten time.Duration
	// SilentTold is how long another entry's word on a silent server holds.
	SilentTold time.Duration
	// LapseGrace is how long after the store's return a missing entry may be one
	// that lapsed while the store was away and comes back.
	LapseGrace time.Duration
}

// DefaultConfig returns the costs used in production.
func DefaultConfig() Config {
	return Config{
		OtherSite: 20 * time.Millisecond,
		// A little more than one waiting request costs: a server elsewhere is taken
		// if two would wait here. Bytes between regions are scarce too.
		OtherRegion: 90 * time.Millisecond,
		FarMargin:   2,
		// Orders and lookups take 15 to 30 ms at their servers.
		PlainService: 30 * time.Millisecond,
		ReportFresh:  2 * time.Second,
		// The first event of one request in a full engine's queue takes 0.5 s at
		// most; work at plain servers 110 ms at most.
		EngineStall: 600 * time.Millisecond,
		PlainStall:  300 * time.Millisecond,
		// Three reports missed, and one late.
		ReportMissed:    700 * time.Millisecond,
		SilentTold:      time.Second,
		ReportForgotten: 15 * time.Second,
		SwitchMost:      4 * time.Second,
		LapseGrace:      2200 * time.Millisecond,
	}
}

// Request is what is placed.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Version is the only version wanted; 0 means any.
	Version uint64
	// Least is the oldest version wanted, one that SetNamed told; 0 means any.
	Least        uint64
	PromptTokens int
	// Avoid are servers that the request has been to.
	Avoid []filbertlever.HostID
}

// Placement is the server picked for a request.
type Placement struct {
	Backend catalog.Backend
	// Found is false if no server can take the request.
	Found bool
	// Version is the version that must answer, if Version or Least was wanted.
	Version   uint64
	Predicted time.Duration
	// Ahead is how many requests the server has beyond what it runs at once,
	// this one included; 0 or less if it need not wait.
	Ahead   int
	Reason  routing.Reason
	Weighed int
	// ReportAge is the age of the load report that decided; negative if none.
	ReportAge time.Duration
	// ReadyIn is when a server is predicted to be able to take the request, if
	// none can now; 0 if that is not known.
	ReadyIn time.Duration
}

// server is what is known of one life of a backend server.
type server struct {
	backend catalog.Backend
	// own is how many requests of this entry the server has now, and others how
	// many each other entry says that it has there.
	own int
	// progressAt is when a part of an answer last came, or the first of the
	// present requests was sent; heardAt only the former.
	progressAt time.Duration
	heardAt    time.Duration
	others     map[filbertlever.HostID]int
	// load is what the server itself reported last.
	load Load
	// reported are the models by the server's own report, at reportedAt.
	reported   []catalog.Model
	reportedAt time.Duration
	hasReport  bool
	// loadedAt is when the server will hold what it is being brought; 0 if unknown.
	loadedAt time.Duration
	// switchingUntil is when the server is taken to have ended its switch.
	switchingUntil time.Duration
	// placedUsable is what the router was told last.
	placedUsable bool
	// silentUntil is until when entries of the server's own region say that it is
	// silent; this entry, of another region, cannot see it.
	silentUntil time.Duration
	// missingSince is when the list first lacked the server; 0 if it is listed.
	missingSince time.Duration
}

// Fleet is not safe for concurrent use. Times are of one steady clock.
type Fleet struct {
	config  Config
	rng     *rand.Rand
	state   *catalog.State
	table   *membership.Table
	routers map[string]*routing.Router
	servers map[string]*server
	// byAddress gives the server listed last for an address.
	byAddress map[string]string
	revision  uint64
	// named are the versions of each model that operators have named.
	named map[string][]uint64
	// wobbly are servers whose fitness changes with time alone.
	wobbly map[string]bool
	// sweptAt is when all servers were last looked at for silence.
	sweptAt time.Duration
	// returned is when the store was last reached again after an absence.
	returned time.Duration
	epoch    time.Time
}

// New returns a fleet that knows no server.
func New(config Config, rng *rand.Rand) *Fleet {
	return &Fleet{
		config:    config,
		rng:       rng,
		table:     membership.New(membership.DefaultConfig()),
		routers:   map[string]*routing.Router{},
		servers:   map[string]*server{},
		byAddress: map[string]string{},
		named:     map[string][]uint64{},
		wobbly:    map[string]bool{},
		epoch:     time.Unix(0, 0),
		returned:  -config.LapseGrace,
	}
}

// at maps the steady clock to the times that membership counts in.
func (f *Fleet) at(now time.Duration) time.Time { return f.epoch.Add(now) }

// SetState takes the desired state that is in force.
func (f *Fleet) SetState(state *catalog.State, now time.Duration) {
	old := f.state
	f.state = state
	for name := range f.routers {
		if old != nil && !sameEngine(old.Services[name].Engine, state.Services[name].Engine) {
			delete(f.routers, name)
		}
	}
	for id := range f.servers {
		f.place(id, now)
	}
}

func sameEngine(a, b *catalog.Engine) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Slots == b.Slots && a.Step == b.Step && a.PromptToken == b.PromptToken &&
		a.UsualPrompt == b.UsualPrompt && a.UsualAnswer == b.UsualAnswer
}

// StoreReturned notes that the store is reached again after an absence.
func (f *Fleet) StoreReturned(now time.Duration) { f.returned = now }

// SetNamed takes the versions of a model that operators have named.
func (f *Fleet) SetNamed(model string, versions []uint64, now time.Duration) {
	f.named[model] = versions
	for id := range f.servers {
		f.place(id, now)
	}
}

// Apply takes servers that the list shows or no longer shows. A whole list
// also drops the servers that it lacks.
func (f *Fleet) Apply(present []catalog.Backend, gone []string, whole bool, now time.Duration) {
	listed := map[string]bool{}
	for _, backend := range present {
		listed[backend.ID] = true
		f.show(backend)
	}
	if whole {
		for id := range f.servers {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if s, ok := f.servers[id]; ok && s.missingSince == 0 {
			s.missingSince = max(now, 1)
			f.wobbly[id] = true
		}
	}
	f.list(now)
	for _, backend := range present {
		f.place(backend.ID, now)
	}
	f.refresh(now)
}

// show takes one server as it is listed now.
func (f *Fleet) show(backend catalog.Backend) {
	s, ok := f.servers[backend.ID]
	if !ok {
		s = &server{}
		f.servers[backend.ID] = s
	}
	s.backend = backend
	s.missingSince = 0
	f.byAddress[backend.Address] = backend.ID
}

// list hands the present list to the membership table.
func (f *Fleet) list(now time.Duration) {
	f.revision++
	hosts := make([]filbertlever.Host, 0, len(f.servers))
	for _, s := range f.servers {
		hosts = append(hosts, f.host(s.backend))
	}
	f.table.ApplyList(f.revision, hosts, f.at(now))
}

func (f *Fleet) host(b catalog.Backend) filbertlever.Host {
	return filbertlever.Host{ID: filbertlever.HostID(b.ID), Site: b.Site, Region: f.config.Regions[b.Site], Leaving: b.Leaving}
}

// plainTarget is the target of services without models.
const plainTarget routing.Target = "plain"

func modelTarget(model string) routing.Target { return routing.Target(model) }

func versionTarget(model string, version uint64) routing.Target {
	return routing.Target(model + "@" + strconv.FormatUint(version, 10))
}

func leastTarget(model string, version uint64) routing.Target {
	return routing.Target(model + ">=" + strconv.FormatUint(version, 10))
}

// place brings the router up to date on one server.
func (f *Fleet) place(id string, now time.Duration) {
	s := f.servers[id]
	router := f.router(s.backend.Service)
	if router == nil {
		return
	}
	host := f.host(s.backend)
	s.placedUsable = f.usable(s, now)
	router.SetHost(host, s.placedUsable)
	router.SetLoaded(host.ID, f.targets(s, now))
	f.count(s, now)
}

// targets are what a server can serve: by its own report while that is fresh,
// else by the list, which is up to a heartbeat behind.
func (f *Fleet) targets(s *server, now time.Duration) []routing.Target {
	if f.state == nil || f.state.Services[s.backend.Service].Engine == nil {
		return []routing.Target{plainTarget}
	}
	var targets []routing.Target
	for _, model := range f.models(s, now) {
		targets = append(targets, modelTarget(model.Name), versionTarget(model.Name, model.Version))
		for _, named := range f.named[model.Name] {
			if model.Version >= named {
				targets = append(targets, leastTarget(model.Name, named))
			}
		}
	}
	return targets
}

// models are what a server holds.
func (f *Fleet) models(s *server, now time.Duration) []catalog.Model {
	if s.hasReport && now-s.reportedAt < f.config.ReportFresh {
		return s.reported
	}
	return s.backend.Models
}

// version is the version that a server holds of a model; 0 if none.
func (f *Fleet) version(s *server, model string, now time.Duration) uint64 {
	for _, m := range f.models(s, now) {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// usable reports whether new requests may go to a server.
//
// Guard: an entry that lapsed while the store was away is missing from the
// list for a moment though its server lives; all servers may be so at once. Only
// what is still missing some time after the store's return is gone.
func (f *Fleet) usable(s *server, now time.Duration) bool {
	if s.missingSince != 0 && now-f.returned >= f.config.LapseGrace {
		return false
	}
	return now >= s.switchingUntil && now >= s.silentUntil && !f.stalled(s, now) && !f.silent(s, now) && f.table.Usable(filbertlever.HostID(s.backend.ID), f.at(now))
}

// stalled reports whether a server has requests and has been silent for longer
// than any sound one is.
//
// Guard: a host that stands still refuses nothing and breaks nothing off; until
// the first of its requests is given up it looks idle, and more are sent to it.
// A sound engine sends a part of some answer every tenth of a second.
func (f *Fleet) stalled(s *server, now time.Duration) bool {
	if s.own == 0 {
		return false
	}
	limit := f.config.PlainStall
	if f.state != nil && f.state.Services[s.backend.Service].Engine != nil {
		limit = f.config.EngineStall
	}
	return now-s.progressAt > limit
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

// silent reports whether a server of this region, whose agent tells of it five
// times a second, has not been heard of for a while, by its agent or its answers.
//
// Guard: of several hosts that stand still at once, a request that is given up
// at one is sent to the next, and reaches it when it wakes, long after its
// caller has left. An agent that is merely being restarted is no sign as long as
// the server's answers go on.
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
	var ids []string
	for id, s := range f.servers {
		if f.silent(s, now) || f.config.Regions[s.backend.Site] == f.config.Region && f.stalled(s, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// SetSilent takes another entry's word on servers of its region.
func (f *Fleet) SetSilent(ids []string, now time.Duration) {
	for _, id := range ids {
		s, ok := f.servers[id]
		if ok && f.config.Regions[s.backend.Site] != f.config.Region {
			s.silentUntil = now + f.config.SilentTold
			f.setUsable(s, now)
		}
	}
}

// router returns the router of a service, or nil if the state lacks it.
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
		Service: f.config.PlainService, OtherSite: f.config.OtherSite, OtherRegion: f.config.OtherRegion, Samples: samples,
	}
	if e := service.Engine; e != nil {
		config.Service = serviceTime(e)
		config.PrefillToken = e.PromptToken
		config.FirstToken = firstPasses * time.Duration(e.Stride) * e.Step
	}
	router := routing.New(config, f.config.Site, f.config.Region, f.rng)
	f.routers[name] = router
	return router
}

const (
	// samples is how many servers are weighed. Of 16 to 60 servers eight drawn
	// at random hold one of the least loaded fifth five times in six.
	samples = 8
	// firstPasses is how many passes of an engine a new request waits through
	// before its first event, with others' prompts read between.
	firstPasses = 2
)

// serviceTime is how long a request holds a slot of a full engine: each of the
// batch waits while the prompts of all are read.
func serviceTime(e *catalog.Engine) time.Duration {
	reading := time.Duration(e.Slots*e.UsualPrompt) * e.PromptToken
	return reading + time.Duration(e.UsualAnswer)*e.Step
}

// Load is a server's own report, as its agent sends it.
type Load struct {
	// Address is where the server serves.
	Address string
	// Sequence grows with each report, also across restarts of the agent.
	Sequence uint64
	Running  int
	Queued   int
	// Switching is true from shortly before a load order until it is done.
	Switching bool
	Models    []catalog.Model
	// LoadedIn is how long it still takes until the server holds what it is
	// being brought; 0 if nothing is.
	LoadedIn time.Duration
}

// Report takes a server's own report.
func (f *Fleet) Report(load Load, now time.Duration) {
	s, ok := f.servers[f.byAddress[load.Address]]
	if !ok {
		return
	}
	s.hasReport = true
	s.load = load
	s.reported = load.Models
	s.reportedAt = now
	s.switchingUntil, s.loadedAt = 0, 0
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
	router.SetOthers(filbertlever.HostID(s.backend.ID), others, s.backend.Slots)
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

// chooseSuspected picks among servers that failed lately.
//
// Guard: if all servers of a service fail some of their requests, all are under
// suspicion most of the time, and every request would be refused though most
// would be answered.
func (f *Fleet) chooseSuspected(router *routing.Router, service string, wanted *routing.Request, now time.Duration) routing.Choice {
	var suspected []string
	for id := range f.wobbly {
		s, ok := f.servers[id]
		fit := ok && s.backend.Service == service && s.missingSince == 0 && now >= s.switchingUntil
		if fit && f.table.Fit(filbertlever.HostID(id), f.at(now)) {
			suspected = append(suspected, id)
			router.SetHost(f.host(s.backend), true)
		}
	}
	choice := routing.Choice{Reason: routing.ReasonNone}
	if len(suspected) > 0 {
		choice = router.Choose(wanted)
	}
	for _, id := range suspected {
		f.place(id, now)
	}
	return choice
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

// Choose picks a server and counts the request as sent there; Ended takes that
// back.
func (f *Fleet) Choose(request Request, now time.Duration) Placement {
	f.refresh(now)
	router := f.router(request.Service)
	if router == nil {
		return Placement{Reason: routing.ReasonNone}
	}
	target := plainTarget
	switch {
	case f.state.Services[request.Service].Engine == nil:
	case request.Version != 0:
		target = versionTarget(request.Model, request.Version)
	case request.Least != 0:
		target = leastTarget(request.Model, request.Least)
	default:
		target = modelTarget(request.Model)
	}
	wanted := &routing.Request{Target: target, PromptTokens: request.PromptTokens, Avoid: request.Avoid, Now: now}
	choice := router.Choose(wanted)
	if choice.Host == "" {
		choice = f.chooseSuspected(router, request.Service, wanted, now)
	}
	s, ok := f.servers[string(choice.Host)]
	if !ok {
		return Placement{Reason: choice.Reason, Weighed: choice.Weighed, ReadyIn: f.readyIn(request, now)}
	}
	if s.own == 0 {
		s.progressAt = now
	}
	s.own++
	age := time.Duration(-1)
	if s.hasReport {
		age = now - s.reportedAt
	}
	placement := Placement{Backend: s.backend, Found: true, Predicted: choice.Predicted, Ahead: choice.Ahead, Reason: choice.Reason, Weighed: choice.Weighed, ReportAge: age}
	if f.config.Regions[s.backend.Site] != f.config.Region {
		placement.Ahead += f.config.FarMargin
	}
	if request.Version != 0 || request.Least != 0 {
		placement.Version = f.version(s, request.Model, now)
	}
	return placement
}

// Ended notes that a request sent to a server has ended there, or was not sent.
func (f *Fleet) Ended(id string) {
	if s, ok := f.servers[id]; ok {
		s.own = max(s.own-1, 0)
		if router := f.router(s.backend.Service); router != nil {
			router.Ended(filbertlever.HostID(id))
		}
	}
}

// ReadyIn is when the first server of a service will hold what it is being
// brought; 0 if nothing is known to be.
func (f *Fleet) ReadyIn(service string, now time.Duration) time.Duration {
	return f.readyIn(Request{Service: service}, now)
}

// readyIn is when the first server will hold what a request needs.
func (f *Fleet) readyIn(request Request, now time.Duration) time.Duration {
	first := time.Duration(0)
	for _, s := range f.servers {
		if s.backend.Service != request.Service || s.loadedAt <= now {
			continue
		}
		if in := s.loadedAt - now; first == 0 || in < first {
			first = in
		}
	}
	return first
}

// Replaced notes that another server answers at the address of this one, so
// that this one is gone.
func (f *Fleet) Replaced(id string, now time.Duration) {
	if s, ok := f.servers[id]; ok {
		f.drop(id, s)
		f.list(now)
	}
}

// Lacks notes that a server says that it does not hold what was expected.
//
// Guard: the list is a heartbeat behind, and after a loss of power it still
// names what every server held before; all requests would go to servers that
// hold nothing. Until the server's agent or the list says more, it holds nothing.
func (f *Fleet) Lacks(id string, now time.Duration) {
	s, ok := f.servers[id]
	if !ok || f.state == nil || f.state.Services[s.backend.Service].Engine == nil {
		return
	}
	s.backend.Models = nil
	s.reported = nil
	f.place(id, now)
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
	f.table.Answered(filbertlever.HostID(id), f.at(now))
}

// Failed notes that a server could not be reached, broke off, or answered
// unsoundly; it gets no request for a while.
func (f *Fleet) Failed(id string, now time.Duration) {
	f.table.Failed(filbertlever.HostID(id), f.at(now))
	f.wobbly[id] = true
	if _, ok := f.servers[id]; ok {
		f.place(id, now)
	}
}

// sweepEvery is how often all servers are looked at for silence.
const sweepEvery = 50 * time.Millisecond

// setUsable tells the router whether a server is usable, if that has changed.
func (f *Fleet) setUsable(s *server, now time.Duration) {
	usable := f.usable(s, now)
	if usable == s.placedUsable {
		return
	}
	if router := f.router(s.backend.Service); router != nil {
		s.placedUsable = usable
		router.SetHost(f.host(s.backend), usable)
	}
}

// refresh takes note of what time alone has changed.
func (f *Fleet) refresh(now time.Duration) {
	if now-f.sweptAt >= sweepEvery {
		f.sweptAt = now
		for _, s := range f.servers {
			f.setUsable(s, now)
		}
	}
	for id := range f.wobbly {
		s, ok := f.servers[id]
		if !ok {
			delete(f.wobbly, id)
			continue
		}
		if s.missingSince != 0 && now-f.returned >= f.config.LapseGrace {
			f.drop(id, s)
			continue
		}
		f.place(id, now)
		if s.missingSince == 0 && f.usable(s, now) {
			delete(f.wobbly, id)
		}
	}
}

// drop forgets a server that is gone.
func (f *Fleet) drop(id string, s *server) {
	if router := f.router(s.backend.Service); router != nil {
		router.SetHost(f.host(s.backend), false)
		router.SetLoaded(filbertlever.HostID(id), nil)
	}
	delete(f.servers, id)
	delete(f.wobbly, id)
	if f.byAddress[s.backend.Address] == id {
		delete(f.byAddress, s.backend.Address)
	}
}

// Backends returns the servers of a service that are not gone, by ID.
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

// Known reports whether a server is still listed.
func (f *Fleet) Known(id string) bool {
	_, ok := f.servers[id]
	return ok
}
