package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// An entry that was disconnected observed a new version 7 s late and counted the deadline from then,
// although its peers reported the naming time. Old weights answered seconds after the deadline.
func TestEarliestReportedNamingTimeWins(t *testing.T) {
	c := qt.New(t)
	const now, age = 25 * time.Second, 7 * time.Second
	g := &Gateway{crashes: newCrashes(), log: zap.NewNop(), versionsByModel: map[string][]namedVersion{"drafter": {{version: 2, namedAt: now}}},
		relay: relay.New(relays.Entry{}, nil, nil, nil, zap.NewNop(), prometheus.NewRegistry())}
	g.mergeNamedAge(NamedAge{Model: "drafter", Version: 2, Age: age, Known: true}, "entry-2", now)
	c.Assert(g.versionsByModel["drafter"][0].namedAt, qt.Equals, now-age)
	// Neither a later naming time nor the propagation delay changes anything.
	g.mergeNamedAge(NamedAge{Model: "drafter", Version: 2, Age: time.Second, Known: true}, "entry-2", now)
	g.mergeNamedAge(NamedAge{Model: "drafter", Version: 2, Age: age + ageTolerance/2, Known: true}, "entry-2", now)
	c.Assert(g.versionsByModel["drafter"][0].namedAt, qt.Equals, now-age)
}

// After an outage no entry had observed the naming, and those that started then took the deadline for passed and refused
// requests until all servers had changed.
func TestEstimateOfNamingTimeIsTakenOver(t *testing.T) {
	const now, staleness = 25 * time.Second, 8 * time.Second
	unknown, estimate := namedVersion{version: 2, namedAt: now - staleness, estimated: true, beforeStart: true}, namedVersion{version: 2, namedAt: now - 2*time.Second, estimated: true}
	known := namedVersion{version: 2, namedAt: now - 2*time.Second}
	for _, test := range []struct {
		name         string
		before       namedVersion
		age          time.Duration
		known        bool
		wantAge      time.Duration
		wantEstimate bool
	}{
		{"by an entry that knows nothing", unknown, 3 * time.Second, false, 3 * time.Second, true},
		{"not from another that knows nothing", unknown, staleness, false, staleness, true},
		{"not by one with an estimate, or delays would add up", estimate, time.Second, false, 2 * time.Second, true},
		{"not by one that knows", known, time.Second, false, 2 * time.Second, false},
		{"a known time replaces an estimate", estimate, time.Second, true, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := &Gateway{crashes: newCrashes(), log: zap.NewNop(), config: Config{MaxStaleness: staleness}, versionsByModel: map[string][]namedVersion{"drafter": {test.before}},
				relay: relay.New(relays.Entry{}, nil, nil, nil, zap.NewNop(), prometheus.NewRegistry())}
			g.mergeNamedAge(NamedAge{Model: "drafter", Version: 2, Age: test.age, Known: test.known}, "entry-2", now)
			got := g.versionsByModel["drafter"][0]
			c.Check(now-got.namedAt, qt.Equals, test.wantAge)
			c.Check(got.estimated, qt.Equals, test.wantEstimate)
			// A version that is not known yet is learned from the store.
			g.mergeNamedAge(NamedAge{Model: "drafter", Version: 3, Age: time.Second, Known: false}, "entry-2", now)
			c.Check(g.versionsByModel["drafter"], qt.HasLen, 1)
		})
	}
}

// An agent whose view comes from an entry with outdated versions or naming times changes its server
// after the deadline. Only entries with newer information must notify it.
func TestAgentIsNotifiedOfMissingVersions(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	now := boottime.Now()
	reportedAge := func(version uint64, age time.Duration, known bool) NamedAge {
		return NamedAge{Model: switchoverModel, Version: version, Age: age, Known: known}
	}
	longAgo := 2 * g.config.MaxStaleness
	for _, test := range []struct {
		name     string
		named    []namedVersion
		reported []NamedAge
		outdated bool
	}{
		{"the agent has no view and asks for one in any case", []namedVersion{{version: 2, namedAt: now}}, nil, false},
		{"no version was named", nil, []NamedAge{reportedAge(1, 0, false)}, false},
		{"the version is missing", []namedVersion{{version: 2, namedAt: now}}, []NamedAge{reportedAge(1, 0, false)}, true},
		{"the next version is missing", []namedVersion{{version: 2, namedAt: now - time.Second}, {version: 3, namedAt: now}}, []NamedAge{reportedAge(2, time.Second, true)}, true},
		{"the same version", []namedVersion{{version: 2, namedAt: now - time.Second}}, []NamedAge{reportedAge(2, time.Second, true)}, false},
		{"the ages differ by the propagation delay", []namedVersion{{version: 2, namedAt: now - time.Second}}, []NamedAge{reportedAge(2, time.Second-ageTolerance, true)}, false},
		{"the version was named earlier than reported", []namedVersion{{version: 2, namedAt: now - time.Second}}, []NamedAge{reportedAge(2, time.Second/2, true)}, true},
		{"the version was named later than reported", []namedVersion{{version: 2, namedAt: now - time.Second}}, []NamedAge{reportedAge(2, 2*time.Second, true)}, false},
		{"the agent does not know the naming time", []namedVersion{{version: 2, namedAt: now - time.Second}}, []NamedAge{reportedAge(2, 2*time.Second, false)}, true},
		{"neither knows the naming time", []namedVersion{{version: 2, namedAt: now - time.Second, estimated: true}}, []NamedAge{reportedAge(2, 0, false)}, false},
		{"an older version before its deadline is missing", []namedVersion{{version: 2, namedAt: now - time.Second}, {version: 3, namedAt: now}}, []NamedAge{reportedAge(3, 0, true)}, true},
		{"an older version that other entries have pruned", []namedVersion{{version: 2, namedAt: now - longAgo}, {version: 3, namedAt: now - longAgo}}, []NamedAge{reportedAge(3, longAgo, true)}, false},
		{"the agent knows more", []namedVersion{{version: 2, namedAt: now - time.Second}}, []NamedAge{reportedAge(2, time.Second, true), reportedAge(3, 0, true)}, false},
	} {
		g.versionsByModel[switchoverModel] = test.named
		g.mu.Lock()
		got := g.isAgentOutdated(&LoadReport{Load: fleet.Report{Address: "10.0.0.1:1"}, Named: test.reported}, now)
		g.mu.Unlock()
		c.Check(got, qt.Equals, test.outdated, qt.Commentf(test.name))
	}
	// Versions of another service's models do not matter.
	c.Check(g.isAgentOutdated(&LoadReport{Load: fleet.Report{Address: "10.0.0.9:9"}, Named: []NamedAge{reportedAge(1, 0, false)}}, now), qt.IsFalse)
}

// An agent that has all versions appears outdated if its report is handled late. The announcement
// must state the entry's ages, by which the agent recognises that nothing is missing.
func TestAnnouncementStatesAgesOfEntry(t *testing.T) {
	c := qt.New(t)
	g, agent := newEntryWithServer(t, 1), newEntryWithServer(t, 1).socket
	namedAt := boottime.Now() - time.Second
	g.versionsByModel[switchoverModel] = []namedVersion{{version: 2, namedAt: namedAt}}
	agentAges := func(delay time.Duration) []NamedAge {
		return []NamedAge{{Model: switchoverModel, Version: 2, Age: boottime.Now() - namedAt - delay, Known: true}}
	}
	g.handleDatagram(&Datagram{Load: &LoadReport{Load: fleet.Report{Address: "10.0.0.1:1"}, Named: agentAges(400 * time.Millisecond)}}, agent.Address())
	c.Assert(agent.Receive(func(data []byte, _ net.Addr) {
		d, err := DecodeDatagram(data)
		c.Assert(err, qt.IsNil)
		c.Check(d.Changed, qt.IsTrue)
		c.Check(Lacks(agentAges(0), d.Named, g.config.MaxStaleness), qt.IsFalse)
		c.Check(Lacks(agentAges(400*time.Millisecond), d.Named, g.config.MaxStaleness), qt.IsTrue)
	}), qt.IsNil)
}

// A request sent to old weights just before the deadline may wait longer than predicted. It must
// be cancelled before it starts, without counting as its server's failure. A started one continues.
func TestRequestThatWouldStartTooLateIsCancelled(t *testing.T) {
	c := qt.New(t)
	for _, starts := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		newAttempt := func(startDeadline time.Duration) *attempt {
			return &attempt{attempts: &attempts{exchange: &exchange{route: &catalog.Route{}}}, chosenServer: chosenServer{startDeadline: startDeadline}, cancel: func(forward.EndedBy) { cancel() }}
		}
		a := newAttempt(1)
		if starts {
			a = newAttempt(1 << 62)
		}
		a.watchStart()
		if starts {
			// Another attempt, with a late deadline too.
			a.markStarted()
			a = newAttempt(1 << 62)
			a.watchStart()
			a.markStarted()
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(a.phase.isCancelled(), qt.IsFalse)
		} else {
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
			c.Check(a.phase.isCancelled(), qt.IsTrue)
		}
		a.markStarted()
		cancel()
	}
}

// An answer that had just started was cancelled because its deadline passed while its first event
// was being read. Whichever comes first must decide.
func TestStartedAnswerIsNotCancelled(t *testing.T) {
	c := qt.New(t)
	cancelled := 0
	newAttempt := func(startDeadline time.Duration) *attempt {
		return &attempt{attempts: &attempts{exchange: &exchange{route: &catalog.Route{}}}, chosenServer: chosenServer{startDeadline: startDeadline}, cancel: func(forward.EndedBy) { cancelled++ }}
	}
	a := newAttempt(1 << 62)
	a.watchStart()
	a.markStarted()
	c.Assert(a.phase.tryCancel(), qt.IsFalse)
	c.Assert(a.phase.isCancelled(), qt.IsFalse)
	// The next attempt is cancelled independently.
	a = newAttempt(1)
	a.watchStart()
	a.markStarted()
	c.Assert(a.phase.isCancelled(), qt.IsTrue)
	c.Assert(cancelled, qt.Equals, 1)
}

// At a server several times slower than expected, requests started on old weights up to 2.8 s after
// the deadline, because a pass takes that much longer. The server reports its slowdown.
func TestCancelDeadlineAccountsForSlowServer(t *testing.T) {
	c := qt.New(t)
	engine := newTypicalEngine()
	for _, slowdown := range []float64{0, 1, 3, 7.5} {
		g := newSwitchoverEntry(engine, 1)
		sentAt := switchoverNamedAt + switchoverBound - 2*time.Second
		g.fleet.ApplyReport(fleet.Report{Address: "10.0.0.1:1", Boot: 1, Sequence: 1, Pace: slowdown, Models: []catalog.Model{{Name: switchoverModel, Version: 2}}}, sentAt)
		a := newSwitchoverAttempt(g, 900, false)
		placement := a.choose(sentAt)
		pass := time.Duration(max(slowdown, 1) * float64(engine.MaxPassTime()))
		comment := qt.Commentf("slowdown %v", slowdown)
		c.Check(placement.Found, qt.Equals, slowdown < 3, comment)
		if placement.Found {
			c.Check(placement.startDeadline+pass < switchoverNamedAt+switchoverBound, qt.IsTrue, comment)
		}
	}
}

// A process that had been suspended took versions for as new as the heartbeats in its socket said, and requests began
// on older ones long after the deadline.
func TestHeartbeatsOfASuspensionAreNoNewsOfVersions(t *testing.T) {
	c := qt.New(t)
	g, peer := newEntryWithServer(t, 1), newEntryWithServer(t, 1).socket
	heartbeat := &Datagram{Heartbeat: &Heartbeat{Entry: Entry{Host: "other"}, Named: []NamedAge{{Model: switchoverModel, Version: 2, Age: time.Second, Known: true}}}}
	now := boottime.Now()
	g.peers.suspensions.Tick(now - 4*time.Second)
	g.peers.suspensions.Tick(now)
	g.handleDatagram(heartbeat, peer.Address())
	c.Check(g.versionsByModel[switchoverModel], qt.HasLen, 0)
	for at := now; at < now+400*time.Millisecond; at += 50 * time.Millisecond {
		g.peers.suspensions.Tick(at)
	}
	time.Sleep(200 * time.Millisecond)
	g.handleDatagram(heartbeat, peer.Address())
	c.Check(g.versionsByModel[switchoverModel], qt.HasLen, 1)
}

// The log did not say why a version counted from its time, nor that a report had replaced it, so that an entry with a wrong
// report could not be told from one that had heard late.
func TestLogSaysWhyAVersionCountsFromItsTime(t *testing.T) {
	const now, staleness = 25 * time.Second, 8 * time.Second
	for _, test := range []struct {
		name    string
		first   bool
		changed switchover.Naming
		basis   string
	}{
		{"observed", false, switchover.Naming{At: now - time.Second}, "Observed"},
		{"estimated", false, switchover.Naming{At: now - time.Second, Estimated: true}, "Estimated"},
		{"before the start", true, switchover.Naming{}, "BeforeStart"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newEntryWithServer(t, 1)
			core, lines := observer.New(zap.InfoLevel)
			g.log, g.config.MaxStaleness = zap.New(core), staleness
			g.setNamed([]catalog.ModelVersion{{Model: switchoverModel, Version: 2}}, test.first, test.changed, "entry-2", now)
			named := lines.FilterMessage("version named").All()
			c.Assert(named, qt.HasLen, 1)
			fields := named[0].ContextMap()
			c.Check(fields["Basis"], qt.Equals, test.basis)
			c.Check(fields["Source"], qt.Equals, "entry-2")
			for _, source := range []filbertlever.HostID{"entry-3", "entry-4"} {
				g.mergeNamedAge(NamedAge{Model: switchoverModel, Version: 2, Age: 5 * time.Second, Known: true}, source, now)
			}
			replaced := lines.FilterMessage("naming time replaced").All()
			c.Assert(replaced, qt.HasLen, 1)
			fields = replaced[0].ContextMap()
			c.Check(fields["Basis"], qt.Equals, "Reported")
			c.Check(fields["BasisBefore"], qt.Equals, test.basis)
			c.Check(fields["Source"], qt.Equals, "entry-3")
			c.Check(fields["Age"], qt.Equals, 5*time.Second)
		})
	}
}

// The end of a request stated the age of the view at that time, not the age and the source of the one that it was judged by.
func TestLogSaysWhichStateJudgedARequest(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	core, lines := observer.New(zap.InfoLevel)
	g.log = zap.New(core)
	source := filbertlever.HostID("entry-2")
	g.stateConfirmedBy.Store(&source)
	g.stateConfirmedAt.Store(int64(boottime.Now() - time.Second))
	x := &exchange{gateway: g, arrived: time.Now(), stateFields: g.stateFields(g.state.Load(), boottime.Now())}
	g.stateConfirmedAt.Store(int64(boottime.Now()))
	x.recordOutcome(http.StatusOK, "")
	fields := lines.FilterMessage("request ended").All()[0].ContextMap()
	c.Check(fields["StateVersion"], qt.Equals, g.state.Load().Version)
	c.Check(fields["StateSource"], qt.Equals, "entry-2")
	age := fields["StateAge"].(time.Duration)
	c.Check(age >= time.Second && age < 2*time.Second, qt.IsTrue, qt.Commentf("%v", age))
}
