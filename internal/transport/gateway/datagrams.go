package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Datagram is a message between processes that may be lost.
type Datagram struct {
	// Beat is an entry's heartbeat.
	Beat *Beat `json:",omitempty"`
	// Counts is an entry's requests at backend servers.
	Counts *Counts `json:",omitempty"`
	// Load is an agent's report on its backend server.
	Load *LoadReport `json:",omitempty"`
	// Changed tells an agent that there is a newer view than it knows.
	Changed uint64 `json:",omitempty"`
}

// Beat tells other entries that one lives.
type Beat struct {
	Entry Entry
	Ready bool
	// Lost is true while the store does not answer the entry.
	Lost  bool `json:",omitempty"`
	Named []NamedAge
}

// Counts tells how many requests an entry has at each backend server.
type Counts struct {
	From filbertlever.HostID
	// Sequence orders the counts of one entry, also across its restarts.
	Sequence int64
	Requests map[string]int
	// Silent are servers of the entry's region that have fallen silent.
	Silent []string `json:",omitempty"`
	// Boots are the processes that the counts are of, for servers that started again
	// lately.
	Boots map[string]catalog.Boot `json:",omitempty"`
}

// NamedAge is a named version and how long ago it was named.
type NamedAge struct {
	Model   string
	Version uint64
	Age     time.Duration
	// Known is false if the age is not known by any process.
	Known bool
}

// LoadReport is a backend server's load and the agent's last known view.
type LoadReport struct {
	fleet.Load
	// View is the revision of the view that the agent has of this entry.
	View uint64
}

// View is what an agent needs to know.
type View struct {
	// Revision is the answering entry's own count of changes.
	Revision uint64
	Entries  []Entry
	// Named are the versions wanted of the models of the agent's service, the
	// oldest of each model first.
	Named []NamedAge
	// Pass is the longest pass of the engines of the agent's service.
	Pass time.Duration
	// Place is the server's place among the Count servers of its service.
	Place int
	Count int
}

const datagramBytes = 8 << 10

func (g *Gateway) runDatagrams(ctx context.Context) {
	go g.runClose(ctx)
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := g.socket.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Error("datagrams end", zap.Error(err))
			}
			return
		}
		d, err := decodeDatagram(buffer[:n])
		if err != nil {
			g.metrics.badDatagrams.Inc()
			continue
		}
		g.take(d, from)
	}
}

func (g *Gateway) runClose(ctx context.Context) {
	<-ctx.Done()
	_ = g.socket.Close()
}

func (g *Gateway) take(d *Datagram, from net.Addr) {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.Beat != nil && d.Beat.Entry.Host != g.config.Self.Host {
		if g.peers.hear(d.Beat.Entry, d.Beat.Ready, d.Beat.Lost, now) {
			// Who has just started soon knows who else lives.
			g.send(Datagram{Beat: g.ownBeat(now)}, from)
		}
		for _, n := range d.Beat.Named {
			if n.Known {
				g.heardNamed(n.Model, n.Version, n.Age, now)
			}
		}
	}
	if d.Counts != nil {
		g.takeCounts(d.Counts, now)
	}
	if d.Load != nil {
		d.Load.Load.Agent = from.String()
		g.fleet.Report(d.Load.Load, now)
		g.logRestarts()
		if d.Load.View != g.revision {
			g.send(Datagram{Changed: g.revision}, from)
		}
	}
}

// takeCounts takes another entry's requests; the caller holds the lock.
func (g *Gateway) takeCounts(counts *Counts, now time.Duration) {
	if g.peers.newer(counts.From, counts.Sequence) {
		told := func(id string) bool { return g.fleet.Told(id, counts.Boots[id], now) }
		maps.DeleteFunc(counts.Requests, func(id string, _ int) bool { return !told(id) })
		counts.Silent = slices.DeleteFunc(counts.Silent, func(id string) bool { return !told(id) })
		g.fleet.SetCounts(counts.From, counts.Requests, now)
		g.fleet.SetSilent(counts.Silent, now)
	}
}

// send sends a datagram; one that cannot be sent is as good as lost.
func (g *Gateway) send(d Datagram, to net.Addr) {
	data, err := json.Marshal(d)
	if err != nil {
		g.log.Error("datagram not encoded", zap.Error(err))
		return
	}
	_, _ = g.socket.WriteTo(data, to)
}

func (g *Gateway) runHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		g.beat(boottime.Now(), turn%farBeats == 0)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beat tells the other entries of the region, or all, that this one lives.
func (g *Gateway) beat(now time.Duration, all bool) {
	g.mu.Lock()
	for _, host := range g.peers.silent(now) {
		g.fleet.SetCounts(host, nil, now)
	}
	addresses := g.peers.addresses(!all)
	beat := g.ownBeat(now)
	g.mu.Unlock()
	g.sendAll(Datagram{Beat: beat}, addresses)
}

// ownBeat is this entry's heartbeat; the caller holds the lock.
func (g *Gateway) ownBeat(now time.Duration) *Beat {
	return &Beat{Entry: g.config.Self, Ready: g.readyLocked(now), Lost: g.lost(now), Named: g.namedAges(now)}
}

func (g *Gateway) sendAll(d Datagram, addresses []string) {
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.log.Warn("entry has a bad address", zap.String("Address", address), zap.Error(err))
			continue
		}
		g.send(d, to)
	}
}

func (g *Gateway) counts(now time.Duration) Counts {
	counts := Counts{From: g.config.Self.Host, Sequence: int64(now), Requests: g.fleet.Counts(), Silent: g.fleet.Silent(now)}
	counts.Boots = g.fleet.Boots(slices.Concat(slices.Collect(maps.Keys(counts.Requests)), counts.Silent), now)
	return counts
}

// How often an entry tells the others what it has at each server, if that has
// changed. A server takes about 12 requests a second, so 25 ms leave a third of a
// request unknown, where reports of the servers alone, 0.3 s old, leave four.
const (
	countsEvery = 25 * time.Millisecond
	// nearShare is how many other entries of the region add one such period.
	nearShare = 8
	// farEach is what each entry of other regions adds to the period there: they
	// send here only what their own servers cannot take. 42 entries that told
	// all others every 125 ms made 174 MB in 34 s.
	farEach = 24 * time.Millisecond
)

// runCounts tells what has changed, less often the more entries there are.
func (g *Gateway) runCounts(ctx context.Context) {
	ticker := time.NewTicker(countsEvery)
	defer ticker.Stop()
	var lastNear, lastFar Counts
	var nearAt, farAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := boottime.Now()
		g.mu.Lock()
		near, far := g.peers.near()
		counts := g.counts(now)
		g.mu.Unlock()
		if now-nearAt >= countsEvery*time.Duration(near/nearShare) && !same(&lastNear, &counts) {
			lastNear, nearAt = counts, now
			g.sendCounts(&counts, true)
		}
		if now-farAt >= farEach*time.Duration(far) && !same(&lastFar, &counts) {
			lastFar, farAt = counts, now
			g.sendCounts(&counts, false)
		}
	}
}

// same reports whether counts tell nothing new. What they say of silent servers
// holds for a moment only and is always told.
func same(a, b *Counts) bool {
	return len(b.Silent) == 0 && len(a.Silent) == 0 && maps.Equal(a.Requests, b.Requests) && maps.Equal(a.Boots, b.Boots)
}

// sendCounts sends counts to the entries of the region, or to those elsewhere.
func (g *Gateway) sendCounts(counts *Counts, near bool) {
	g.mu.Lock()
	addresses := g.peers.addresses(true)
	if !near {
		all := g.peers.addresses(false)
		addresses = slices.DeleteFunc(all, func(address string) bool { return slices.Contains(addresses, address) })
	}
	g.mu.Unlock()
	g.sendAll(Datagram{Counts: counts}, addresses)
}

func (g *Gateway) namedAges(now time.Duration) []NamedAge {
	var ages []NamedAge
	for model := range g.named {
		ages = append(ages, g.agesOf(model, now)...)
	}
	return ages
}

func (g *Gateway) agesOf(model string, now time.Duration) []NamedAge {
	var ages []NamedAge
	for _, n := range g.named[model] {
		ages = append(ages, NamedAge{Model: model, Version: n.version, Age: now - n.since, Known: !n.guessed})
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

// firstVersion is the version of a model that nobody has named another of.
const firstVersion = 1

func (g *Gateway) view(service, address string) (View, bool) {
	state := g.state.Load()
	if state == nil {
		return View{}, false
	}
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	view := View{Revision: g.revision, Entries: g.peers.alive(now)}
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
			view.Named = append(view.Named, NamedAge{Model: model, Version: firstVersion})
			continue
		}
		view.Named = append(view.Named, g.agesOf(model, now)...)
	}
	return view, true
}
