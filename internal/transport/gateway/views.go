package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// View is what an agent needs to know.
type View struct {
	Entries []Entry
	// Named are the versions wanted of the models of the agent's service, the
	// oldest of each model first.
	Named []NamedAge
	// Pass is the longest pass of the engines of the agent's service.
	Pass time.Duration
	// Place is the server's place among the Count servers of its service.
	Place int
	Count int
	// OriginRate is the rate of the origin's link in bytes a second; 0 if unknown.
	OriginRate float64
}

func (g *Gateway) namedAges(now time.Duration) []NamedAge {
	var ages []NamedAge
	for model := range g.named {
		ages = append(ages, g.namedAgesOf(model, now)...)
	}
	return ages
}

func (g *Gateway) namedAgesOf(model string, now time.Duration) []NamedAge {
	var ages []NamedAge
	for _, n := range g.named[model] {
		ages = append(ages, NamedAge{Model: model, Version: n.version, Age: now - n.namedAt, Known: !n.estimated})
	}
	return ages
}

// PathView is where agents read an entry's View.
const PathView = "/view"

// PeerRoutes adds the calls of other processes.
func (g *Gateway) PeerRoutes(mux *http.ServeMux) {
	g.relay.Routes(mux)
	mux.HandleFunc("GET "+PathView, g.serveView)
	mux.HandleFunc("GET "+PathFeed, g.serveFeed)
	mux.HandleFunc("GET "+PathEntries, g.serveEntries)
}

func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	service, address := r.URL.Query().Get("Service"), r.URL.Query().Get("Address")
	view, ok := g.view(service, address)
	if !ok {
		http.Error(w, "no desired state is known", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(view)
}

// initialVersion is the version of a model that nobody has named another of.
const initialVersion = 1

func (g *Gateway) view(service, address string) (View, bool) {
	state := g.state.Load()
	if state == nil {
		return View{}, false
	}
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	view := View{Entries: g.peers.alive(now), OriginRate: g.originRate()}
	backends := g.fleet.Backends(service)
	view.Count = len(backends)
	view.Place = max(slices.IndexFunc(backends, func(b catalog.Backend) bool { return b.Address == address }), 0)
	engine := state.Services[service].Engine
	if engine == nil {
		return view, true
	}
	view.Pass = engine.LongestPass()
	for _, model := range engine.Models {
		if len(g.named[model]) == 0 {
			view.Named = append(view.Named, NamedAge{Model: model, Version: initialVersion})
			continue
		}
		view.Named = append(view.Named, g.namedAgesOf(model, now)...)
	}
	return view, true
}

// news reports whether this entry knows more of the versions of a server's models than
// the server's agent does; the caller holds the lock.
//
// Guard: an agent that hears of a version late changes its server after the bound. Each entry looks
// at what the agent knows, wherever it has it from. Counts of an entry's own changes mean nothing to
// an agent that asked another one, which would read its view again with each report.
func (g *Gateway) news(report *LoadReport, now time.Duration) bool {
	if report.Named == nil {
		// It has no view yet, and asks for one anyway.
		return false
	}
	for _, model := range g.modelsAt(report.Load.Address) {
		for _, n := range g.named[model] {
			if g.isMissingFrom(model, n, report.Named, now) {
				return true
			}
		}
	}
	return false
}

// modelsAt returns the models of the service of the server at an address; the caller
// holds the lock.
func (g *Gateway) modelsAt(address string) []string {
	state, service := g.state.Load(), g.fleet.ServiceAt(address)
	if state == nil || state.Services[service].Engine == nil {
		return nil
	}
	return state.Services[service].Engine.Models
}

// isMissingFrom reports whether a version, or how long ago it was named, is not among what is told.
func (g *Gateway) isMissingFrom(model string, n named, told []NamedAge, now time.Duration) bool {
	newest := uint64(0)
	for _, t := range told {
		if t.Model != model {
			continue
		}
		newest = max(newest, t.Version)
		if t.Version == n.version {
			return !n.estimated && (!t.Known || now-n.namedAt > t.Age+ageTolerance)
		}
	}
	// One that a newer one has taken the place of by now is forgotten, at some entries
	// sooner than at others.
	return n.version > newest || now-n.namedAt < g.config.Bound
}
