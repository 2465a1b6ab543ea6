package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// View is what an entry reports to an agent about the installation.
type View struct {
	// Entries are the live entries of the agent's region, and a few of each other region.
	Entries []Entry
	// Named are the named versions of the models of the agent's service, for each model
	// from the oldest to the newest.
	Named []NamedAge
	// LongestPass is the longest time that an engine of the agent's service computes without
	// checking for cancelled requests.
	LongestPass time.Duration `json:"Pass"`
	// ServerIndex is the server's index among the ServerCount servers of its service, or 0 if the
	// entry does not know the server.
	ServerIndex int `json:"Place"`
	ServerCount int `json:"Count"`
	// OriginRate is the rate of the origin's link in bytes per second, or 0 if it is unknown.
	OriginRate float64
}

// namedAges returns the ages of all named versions. The caller holds the lock.
func (g *Gateway) namedAges(now time.Duration) []NamedAge {
	var ages []NamedAge
	for model := range g.versionsByModel {
		ages = append(ages, g.namedAgesOf(model, now)...)
	}
	return ages
}

// namedAgesOf returns the ages of the named versions of a model. The caller holds the lock.
func (g *Gateway) namedAgesOf(model string, now time.Duration) []NamedAge {
	var ages []NamedAge
	for _, n := range g.versionsByModel[model] {
		ages = append(ages, NamedAge{Model: model, Version: n.version, Age: max(now-n.namedAt, 0), Known: !n.estimated})
	}
	return ages
}

// PathView is the path at which agents read an entry's View.
const PathView = "/view"

// PeerRoutes registers the handlers for calls of other entries and of agents.
func (g *Gateway) PeerRoutes(mux *http.ServeMux) {
	g.relay.Routes(mux)
	mux.HandleFunc("GET "+PathView, g.serveView)
	mux.HandleFunc("GET "+PathFeed, g.serveFeed)
	mux.HandleFunc("GET "+PathEntries, g.serveEntries)
}

func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	view, ok := g.view(query.Get("Service"), query.Get("Address"), query.Get("Region"))
	if !ok {
		http.Error(w, "no desired state is known", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(view)
}

// initialVersion is the version of a model for which no version has been named.
const initialVersion = 1

// view returns the view of the agent in a region, at a server's address. It returns false while no
// desired state is known.
func (g *Gateway) view(service, address, region string) (View, bool) {
	state := g.state.Load()
	if state == nil {
		return View{}, false
	}
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	view := View{Entries: g.peers.neighbours(region, now), OriginRate: g.originRate()}
	backends := g.fleet.Backends(service)
	view.ServerCount = len(backends)
	view.ServerIndex = max(slices.IndexFunc(backends, func(b catalog.Backend) bool { return b.Address == address }), 0)
	engine := state.Services[service].Engine
	if engine == nil {
		return view, true
	}
	view.LongestPass = engine.MaxPassTime()
	for _, model := range engine.Models {
		if len(g.versionsByModel[model]) == 0 {
			view.Named = append(view.Named, NamedAge{Model: model, Version: initialVersion})
			continue
		}
		view.Named = append(view.Named, g.namedAgesOf(model, now)...)
	}
	return view, true
}

// isAgentOutdated reports whether this entry has versions of a server's models, or naming times
// of them, that are missing from the report of the server's agent. The caller holds the lock.
//
// An agent that observes a version late changes its server after the deadline. Each entry therefore
// compares the versions in the agent's report, whichever entry they came from. A change counter of
// an entry would mean nothing to an agent that asked another entry, and the agent would read its view
// again with each report.
//
// A report that is handled late makes its agent appear outdated. The announcement therefore has the
// entry's ages, and the agent decides. Delay makes these appear younger, never older.
func (g *Gateway) isAgentOutdated(report *LoadReport, now time.Duration) bool {
	if report.Named == nil {
		// The agent has no view yet and asks for one in any case.
		return false
	}
	return Lacks(report.Named, g.namedAgesAt(report.Load.Address, now), g.config.MaxStaleness)
}

// namedAgesAt returns the ages of the named versions of the models of the server at an address.
// The caller holds the lock.
func (g *Gateway) namedAgesAt(address string, now time.Duration) []NamedAge {
	var ages []NamedAge
	for _, model := range g.modelsAt(address) {
		ages = append(ages, g.namedAgesOf(model, now)...)
	}
	return ages
}

// modelsAt returns the models of the service of the server at an address. The caller
// holds the lock.
func (g *Gateway) modelsAt(address string) []string {
	state, service := g.state.Load(), g.fleet.ServiceAt(address)
	if state == nil || state.Services[service].Engine == nil {
		return nil
	}
	return state.Services[service].Engine.Models
}

// Lacks reports whether one of the named versions is missing from the known ones, or is there
// with a later naming time. Versions are superseded maxStaleness after a newer one was named.
func Lacks(known, named []NamedAge, maxStaleness time.Duration) bool {
	return slices.ContainsFunc(named, func(n NamedAge) bool { return n.isMissingFrom(known, maxStaleness) })
}

func (n NamedAge) isMissingFrom(known []NamedAge, maxStaleness time.Duration) bool {
	newest := uint64(0)
	for _, k := range known {
		if k.Model != n.Model {
			continue
		}
		newest = max(newest, k.Version)
		if k.Version == n.Version {
			return n.Known && (!k.Known || n.Age > k.Age+ageTolerance) || !n.Known && !k.Known && n.Age < k.Age-ageTolerance
		}
	}
	// A version that a newer one has superseded is pruned, by some entries sooner than by
	// others.
	return n.Version > newest || n.Age < maxStaleness
}
