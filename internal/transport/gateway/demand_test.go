package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/contention"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/shares"
)

// fakeController is contended, and requires a reserve of requests less urgent than level 0.
type fakeController struct {
	reserve  float64
	requests []contention.Request
	rooms    []contention.Room
	demand   contention.Demand
	peers    map[filbertlever.HostID]contention.Demand
}

func (f *fakeController) Decide(r contention.Request, room contention.Room, _ time.Duration) contention.Decision {
	f.requests, f.rooms = append(f.requests, r), append(f.rooms, room)
	switch {
	case !room.Admissible:
		return contention.Decision{RetryAfter: 30 * time.Millisecond, Reason: contention.ReasonNoRoom}
	case r.Level > 0 && float64(room.Free) < f.reserve:
		return contention.Decision{RetryAfter: 90 * time.Millisecond, Reserve: f.reserve, Reason: contention.ReasonLessUrgent}
	}
	return contention.Decision{Admit: true, Reason: contention.ReasonAdmitted}
}
func (f *fakeController) Demand() contention.Demand { return f.demand }
func (f *fakeController) ApplyPeer(host filbertlever.HostID, d contention.Demand, _ time.Duration) {
	f.peers[host] = d
}
func (f *fakeController) RemovePeer(host filbertlever.HostID) { delete(f.peers, host) }
func (f *fakeController) Contended(time.Duration) bool        { return true }
func (f *fakeController) Status(time.Duration) contention.Status {
	return contention.Status{Contended: true, Reserves: []float64{0, f.reserve / 2, f.reserve}}
}

// fakeShares has some usages, and one organisation that exceeds its share.
type fakeShares struct {
	usages   []shares.Usage
	recorded []time.Duration
	peers    map[filbertlever.HostID][]shares.Usage
}

func (f *fakeShares) Record(_ filbertlever.OrganisationID, work time.Duration, _ bool, _ time.Duration) {
	f.recorded = append(f.recorded, work)
}
func (f *fakeShares) Top(n int, _ time.Duration) []shares.Usage {
	return f.usages[:min(n, len(f.usages))]
}
func (f *fakeShares) ApplyPeer(host filbertlever.HostID, usages []shares.Usage, _ time.Duration) {
	f.peers[host] = usages
}
func (f *fakeShares) RemovePeer(host filbertlever.HostID) { delete(f.peers, host) }
func (f *fakeShares) Excess(id filbertlever.OrganisationID, _ time.Duration) float64 {
	if id == "large" {
		return 0.5
	}
	return 0
}

// levelledState returns a state with a service whose routes have some priorities.
func levelledState(version uint64, slots int, priorities ...int) *catalog.State {
	var routes []catalog.Route
	for _, priority := range priorities {
		routes = append(routes, catalog.Route{Priority: priority, Shares: []catalog.Share{{Service: "models"}}})
	}
	engine := newTypicalEngine()
	engine.Slots = slots
	return catalog.New(version, routes, []catalog.Service{{Name: "models", Engine: engine}}, nil, catalog.Limits{})
}

// newLevelledGateway returns an entry of region ra with fakes for a service with three levels, and its
// logs. It knows the entries near and far, the latter of another region.
func newLevelledGateway() (*Gateway, *fakeController, *fakeShares, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	rng := rand.New(rand.NewPCG(1, 2))
	g := &Gateway{crashes: newCrashes(), log: zap.New(core), metrics: newMetrics(prometheus.NewRegistry()), fleet: fleet.New(fleet.DefaultConfig(), rng), gate: admission.DefaultEntryGate(),
		rng: rng, levelled: map[string]*levelledService{}, peers: newPeers(Entry{Host: "self", Region: "ra"}, 0)}
	g.peers.observeHeartbeat(Entry{Host: "near", Region: "ra"}, true, false, time.Second)
	g.peers.observeHeartbeat(Entry{Host: "far", Region: "rb"}, true, false, time.Second)
	g.applyLevels(levelledState(1, 12, 0, 1, 2))
	controller := &fakeController{demand: contention.Demand{Admitted: []uint64{90_000, 80_000, 70_000}, Refused: []uint64{900, 8_000, 20_000}}, peers: map[filbertlever.HostID]contention.Demand{}}
	table := &fakeShares{peers: map[filbertlever.HostID][]shares.Usage{}}
	g.levelled["models"].controller, g.levelled["models"].shares = controller, table
	return g, controller, table, logs
}

// A change that does not concern a service resets its counts and reserves in the middle of an
// overload, or a changed one keeps a controller with the wrong number of levels.
func TestControllersFollowDesiredState(t *testing.T) {
	c := qt.New(t)
	g, controller, table, _ := newLevelledGateway()
	g.applyLevels(levelledState(2, 12, 0, 1, 2))
	c.Assert(g.levelled["models"].controller, qt.Equals, levelController(controller))
	for _, changed := range []*catalog.State{levelledState(3, 16, 0, 1, 2), levelledState(4, 16, 0, 1)} {
		before := g.levelled["models"].controller
		g.applyLevels(changed)
		c.Assert(g.levelled["models"].controller, qt.Not(qt.Equals), before)
		c.Assert(g.levelled["models"].shares, qt.Equals, shareTable(table))
	}
	g.applyLevels(levelledState(5, 16, 1, 1))
	c.Assert(g.levelled, qt.HasLen, 0)
}

// The demand of 14 other entries of a region, with 3 levels and 8 organisations, takes more than 4 KB/s
// of the control traffic of an entry.
func TestDemandSize(t *testing.T) {
	c := qt.New(t)
	g, _, table, _ := newLevelledGateway()
	for i := range 12 {
		table.usages = append(table.usages, shares.Usage{Organisation: filbertlever.OrganisationID(fmt.Sprint("organisation-", i)), Asked: 20_000.4, Served: 12_000.7})
	}
	const peers, seconds = 14, 10
	counts, size, messages := typicalCounts(15), 0, 0
	for now := time.Minute; now < time.Minute+seconds*time.Second; now += countsInterval {
		counts.Demand = g.dueDemand(peers, now)
		with, err := EncodeDatagram(Datagram{Counts: &counts})
		c.Assert(err, qt.IsNil)
		if len(counts.Demand) > 0 {
			messages++
			decoded, err := DecodeDatagram(with)
			c.Assert(err, qt.IsNil)
			c.Assert(decoded.Counts.Demand, qt.DeepEquals, counts.Demand)
		}
		counts.Demand = nil
		without, err := EncodeDatagram(Datagram{Counts: &counts})
		c.Assert(err, qt.IsNil)
		size += peers * (len(with) - len(without))
	}
	t.Logf("%d bytes/s, %d messages in %d s", size/seconds, messages, seconds)
	c.Assert(size/seconds < 4000, qt.IsTrue, qt.Commentf("%d bytes/s", size/seconds))
	c.Assert(messages <= seconds*5, qt.IsTrue)
	c.Assert(messages >= seconds*2, qt.IsTrue)
}

// Demand that is out of range, or of another region or desired state, changes decisions here, or a
// silent entry's demand counts for ever.
func TestDemandOfPeers(t *testing.T) {
	c := qt.New(t)
	g, controller, table, _ := newLevelledGateway()
	now := time.Second
	demand := func(service string, levels int) []ServiceDemand {
		return []ServiceDemand{{Service: service, Admitted: make([]uint64, levels), Refused: make([]uint64, levels), Organisations: []filbertlever.OrganisationID{"o"}, Asked: []uint32{7}, Served: []uint32{5}}}
	}
	sequence := int64(0)
	apply := func(host filbertlever.HostID, d []ServiceDemand) {
		sequence++
		g.applyCounts(&Counts{From: host, Sequence: sequence, Demand: d}, now)
	}
	for _, ignored := range []struct {
		host   filbertlever.HostID
		demand []ServiceDemand
	}{{"far", demand("models", 3)}, {"unknown", demand("models", 3)}, {"near", demand("models", 2)}, {"near", demand("other", 3)}} {
		apply(ignored.host, ignored.demand)
		c.Assert(controller.peers, qt.HasLen, 0)
		c.Assert(table.peers, qt.HasLen, 0)
	}
	apply("near", demand("models", 3))
	c.Assert(controller.peers, qt.HasLen, 1)
	c.Assert(table.peers["near"], qt.DeepEquals, []shares.Usage{{Organisation: "o", Asked: 7, Served: 5}})
	g.removeAbsentDemand()
	c.Assert(controller.peers, qt.HasLen, 1)
	g.peers.applyRows(nil, nil, true, now)
	g.removeAbsentDemand()
	c.Assert(controller.peers, qt.HasLen, 0)
	c.Assert(table.peers, qt.HasLen, 0)
}

// An invalid demand is accepted, and an index or a sum in a controller fails.
func TestInvalidDemandIsRejected(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("x", maxNameBytes+1)
	for name, d := range map[string]ServiceDemand{
		"no service":             {},
		"long service":           {Service: long},
		"levels differ":          {Service: "s", Admitted: []uint64{1}},
		"too many levels":        {Service: "s", Admitted: make([]uint64, 11), Refused: make([]uint64, 11)},
		"count out of range":     {Service: "s", Admitted: []uint64{math.MaxUint64}, Refused: []uint64{0}},
		"long organisation":      {Service: "s", Organisations: []filbertlever.OrganisationID{filbertlever.OrganisationID(long)}, Asked: []uint32{1}, Served: []uint32{1}},
		"organisations differ":   {Service: "s", Organisations: []filbertlever.OrganisationID{"o"}, Asked: []uint32{1}},
		"work out of range":      {Service: "s", Organisations: []filbertlever.OrganisationID{"o"}, Asked: []uint32{math.MaxUint32}, Served: []uint32{1}},
		"too many organisations": {Service: "s", Organisations: make([]filbertlever.OrganisationID, 9), Asked: make([]uint32, 9), Served: make([]uint32, 9)},
	} {
		data, err := EncodeDatagram(Datagram{Counts: &Counts{From: "e", Demand: []ServiceDemand{d}}})
		c.Assert(err, qt.IsNil)
		_, err = DecodeDatagram(data)
		c.Check(err, qt.IsNotNil, qt.Commentf(name))
	}
	for _, text := range []string{`[{"Service":"s","Admitted":[-1],"Refused":[0]}]`, `[{"Service":"s","Organisations":["o"],"Asked":[-1.5],"Served":[1]}]`} {
		_, err := DecodeDatagram(encodeJSONDatagram(`{"Counts":{"From":"e","Demand":` + text + `}}`))
		c.Check(err, qt.IsNotNil, qt.Commentf(text))
	}
}

// An operator cannot tell when a reserve took effect, or the log fills with changes of a fraction of
// a slot.
func TestReserveChangesAreLogged(t *testing.T) {
	c := qt.New(t)
	g, controller, _, logs := newLevelledGateway()
	s := g.levelled["models"]
	now := time.Minute
	for range 9 {
		s.refusals.record(0, true, now)
	}
	s.refusals.record(0, false, now)
	s.peers["near"] = peerDemand{at: now - 300*time.Millisecond}
	for _, reserve := range []float64{0, 0.9, 2.2, 2.9, 0.4} {
		controller.reserve = reserve
		g.reportReserves(now)
	}
	var lines []string
	for _, entry := range logs.All() {
		m := entry.ContextMap()
		c.Assert(entry.Message, qt.Equals, "urgency reserve changed")
		lines = append(lines, fmt.Sprint(m["UrgencyLevel"], m["Before"], m["Reserve"], m["RefusedMoreUrgent"], m["Peers"], m["OldestPeer"]))
	}
	c.Assert(lines, qt.DeepEquals, []string{"1 0 1.1 0.1 1 300ms", "2 0 2.2 0.1 1 300ms", "2 2.2 0.4 0.1 1 300ms"})
	c.Assert(s.refusals.moreUrgent(1, now+refusalPeriod), qt.Equals, 0.0)
}
