// Package fleet keeps what one entry believes of the backend servers of all
// services, and picks one for each request.
package fleet

import (
	"cmp"
	"container/list"
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
	// SilentTTL is how long another entry's report of a silent server holds.
	SilentTTL time.Duration
	// LapseGrace is how long after an outage of the store a missing row may be one that
	// lapsed meanwhile and comes back.
	LapseGrace time.Duration
	// Lapsed is what a server whose row may have lapsed must be better by.
	Lapsed time.Duration
}

// DefaultConfig returns the costs used in production.
func DefaultConfig() Config {
	return Config{
		OtherSite: 20 * time.Millisecond,
		// A little more than one waiting request costs: a server elsewhere is taken
		// if two would wait here. Bytes between regions are scarce too.
		OtherRegion:  90 * time.Millisecond,
		FarMargin:    2,
		PlainService: 30 * time.Millisecond,
		ReportFresh:  2 * time.Second,
		// Longer than the first event of a request in a full engine's queue takes, and than work at
		// plain servers does.
		EngineStall: 600 * time.Millisecond,
		PlainStall:  300 * time.Millisecond,
		// Three reports missed, and one late.
		ReportMissed:    700 * time.Millisecond,
		SilentTTL:       time.Second,
		ReportForgotten: 15 * time.Second,
		SwitchMost:      4 * time.Second,
		LapseGrace:      2 * time.Second,
		Lapsed:          90 * time.Millisecond,
	}
}

// server is what is known of one life of a backend server.
type server struct {
	// backend is by the row, but for the boot, which may be known by a report first.
	backend catalog.Backend
	row     rowOf
	// own is how many requests of this entry the server has now, and others how
	// many each other entry says that it has there.
	own int
	// progressAt is when a part of an answer last came, or the first of the
	// present requests was sent; heardAt only the former.
	progressAt time.Duration
	heardAt    time.Duration
	// batchAt is when the first of the present requests was sent.
	batchAt time.Duration
	others  map[filbertlever.HostID]int
	// othersSum is the sum of others.
	othersSum int
	// load is what the server itself reported last.
	load Load
	// reported are the models by the server's own report, at reportedAt.
	reported   []catalog.Model
	reportedAt time.Duration
	hasReport  bool
	// turn is the server's place in Fleet.reports; nil if it has none.
	turn *list.Element
	// loadedAt is when the server will hold what it is being brought; 0 if unknown.
	loadedAt time.Duration
	// leavesAt is when the server breaks off what it does for a change of its
	// weights; 0 if none is due.
	leavesAt time.Duration
	// switchingUntil is when the server is taken to have ended its switch.
	switchingUntil time.Duration
	// placedUsable is what the router was last given; Fleet.unusable has those that are not.
	placedUsable bool
	// silentUntil is until when entries of the server's own region say that it is
	// silent; this entry, of another region, cannot see it.
	silentUntil time.Duration
	// bootedAt is when this process was first heard of, if it followed another; else 0.
	bootedAt time.Duration
	// unreachableAt is when a connection to the server could last not be opened; 0 if always one could.
	unreachableAt time.Duration
	// missingSince is when the list first lacked the server; 0 if it is listed.
	missingSince time.Duration
	// closes is true once the server has closed a connection while it was not listed.
	closes bool
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
	// announcements are what servers have announced in answers, by ID.
	announcements map[string]*announcement
	// named are the versions of each model that operators have named.
	named map[string][]uint64
	// modelMisses is how many servers of a service in a row lacked what they should hold.
	modelMisses map[string]int
	// transient are servers whose fitness changes with time alone.
	transient map[string]bool
	// ended are processes that have ended, and restarts those that Restarts has not returned.
	ended    map[life]time.Duration
	restarts []Restart
	// replaced are processes that another has followed, and that Replacements has not returned.
	replaced []catalog.Backend
	// What has changed is noted where it changes, so that no step looks at every server.

	// busy are the servers that have requests of this entry.
	busy map[string]*server
	// gossiped are the servers at which another entry has requests.
	gossiped map[filbertlever.HostID][]string
	// reports has the servers of this region by when they last reported, the longest ago
	// first, but for those that are forgotten.
	reports *list.List
	// unusable are the servers that get no requests.
	unusable map[string]*server
	// sweptAt is when servers were last looked at for silence.
	sweptAt time.Duration
	// outageEnd is the end of the store's last outage; hadOutage is false if none is known.
	outageEnd time.Duration
	hadOutage bool
	epoch     time.Time
}

// New returns a fleet that knows no server.
func New(config Config, rng *rand.Rand) *Fleet {
	return &Fleet{
		config:        config,
		rng:           rng,
		table:         membership.New(membership.DefaultConfig()),
		routers:       map[string]*routing.Router{},
		servers:       map[string]*server{},
		byAddress:     map[string]string{},
		announcements: map[string]*announcement{},
		named:         map[string][]uint64{},
		modelMisses:   map[string]int{},
		transient:     map[string]bool{},
		ended:         map[life]time.Duration{},
		busy:          map[string]*server{},
		gossiped:      map[filbertlever.HostID][]string{},
		reports:       list.New(),
		unusable:      map[string]*server{},
		epoch:         time.Unix(0, 0),
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

// SetOutageEnd takes the end of the store's last outage; ok is false if none is known.
func (f *Fleet) SetOutageEnd(end time.Duration, ok bool, now time.Duration) {
	f.outageEnd, f.hadOutage = end, ok
	f.refresh(now)
}

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
		f.show(backend, now)
	}
	f.dropReplaced(present)
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
			f.transient[id] = true
		}
	}
	f.list(now)
	for _, backend := range present {
		if f.Known(backend.ID) {
			f.place(backend.ID, now)
		}
	}
	f.refresh(now)
}

// dropReplaced drops servers whose address has been taken by another one since.
//
// Guard: after a loss of power every server is a new one at its old address, and the rows of
// the old ones, which stay for seconds, would use up the retries.
func (f *Fleet) dropReplaced(present []catalog.Backend) {
	newest := map[string]string{}
	for id, s := range f.servers {
		old, ok := f.servers[newest[s.backend.Address]]
		if !ok || s.backend.Revision > old.backend.Revision {
			newest[s.backend.Address] = id
		}
	}
	for _, backend := range present {
		f.byAddress[backend.Address] = newest[backend.Address]
	}
	for id, s := range f.servers {
		other, ok := f.servers[newest[s.backend.Address]]
		if ok && newest[s.backend.Address] != id && s.backend.Revision < other.backend.Revision {
			f.noteReplaced(s.backend)
			f.drop(id, s)
		}
	}
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
	return filbertlever.Host{ID: filbertlever.HostID(b.ID), Site: b.Site, Region: f.config.Regions[b.Site], Leaving: f.draining(b)}
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
	f.noteUsable(s, f.usable(s, now))
	router.SetHost(host, s.placedUsable)
	router.SetLoaded(host.ID, f.targets(s, now))
	router.SetLeaves(host.ID, s.leavesAt)
	router.SetDoubtful(host.ID, s.missingSince != 0)
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
		Doubtful: f.config.Lapsed,
	}
	if e := service.Engine; e != nil {
		config.Service = serviceTime(e)
		config.PrefillToken = e.PromptToken
		config.UsualPrompt = time.Duration(e.UsualPrompt) * e.PromptToken
		config.Cut = cutCost
		config.FirstToken = firstPasses * time.Duration(e.Stride) * e.Step
	}
	router := routing.New(config, f.config.Site, f.config.Region, f.rng)
	f.routers[name] = router
	return router
}

const (
	// samples is how many servers are weighed: one of the least loaded fifth is among them
	// nearly always.
	samples = 8
	// cutCost is what it costs to begin an answer where it will be broken off: it decides
	// between servers that are alike, and does not gather long answers at a few.
	cutCost = 20 * time.Millisecond
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
