package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/relay"
)

// A caller is answered by old weights seconds after their bound. Its entry was cut off
// while the new ones were named, heard of them 7 s later, and counted the bound from
// then, though its peers told it when they had been named.
func TestEarliestReportedNamingTimeWins(t *testing.T) {
	c := qt.New(t)
	const now, age = 25 * time.Second, 7 * time.Second
	g := &Gateway{crashes: newCrashes(), named: map[string][]named{"drafter": {{version: 2, namedAt: now}}},
		relay: relay.New(relays.Entry{}, nil, nil, nil, zap.NewNop(), prometheus.NewRegistry())}
	g.heardNamed("drafter", 2, age, now)
	c.Assert(g.named["drafter"][0].namedAt, qt.Equals, now-age)
	// Neither a later word nor the time on the way changes anything.
	g.heardNamed("drafter", 2, time.Second, now)
	g.heardNamed("drafter", 2, age+ageTolerance/2, now)
	c.Assert(g.named["drafter"][0].namedAt, qt.Equals, now-age)
}

// Servers change their weights after the bound: their agent heard of a version, or of how
// long ago it was named, from an entry that knew less than another one. That one tells it
// that there is news, and no other does.
func TestAgentIsNotifiedOfMissingVersions(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	now := boottime.Now()
	ago := func(version uint64, age time.Duration, known bool) NamedAge {
		return NamedAge{Model: switchoverModel, Version: version, Age: age, Known: known}
	}
	long := 2 * g.config.Bound
	for _, test := range []struct {
		name  string
		named []named
		told  []NamedAge
		news  bool
	}{
		{"without a view it asks anyway", []named{{version: 2, namedAt: now}}, nil, false},
		{"nothing was named", nil, []NamedAge{ago(1, 0, false)}, false},
		{"a version", []named{{version: 2, namedAt: now}}, []NamedAge{ago(1, 0, false)}, true},
		{"the next version", []named{{version: 2, namedAt: now - time.Second}, {version: 3, namedAt: now}}, []NamedAge{ago(2, time.Second, true)}, true},
		{"the same", []named{{version: 2, namedAt: now - time.Second}}, []NamedAge{ago(2, time.Second, true)}, false},
		{"the time on the way", []named{{version: 2, namedAt: now - time.Second}}, []NamedAge{ago(2, time.Second-ageTolerance, true)}, false},
		{"it was named earlier", []named{{version: 2, namedAt: now - time.Second}}, []NamedAge{ago(2, time.Second/2, true)}, true},
		{"it was named later", []named{{version: 2, namedAt: now - time.Second}}, []NamedAge{ago(2, 2*time.Second, true)}, false},
		{"when it was named", []named{{version: 2, namedAt: now - time.Second}}, []NamedAge{ago(2, 2*time.Second, false)}, true},
		{"neither knows when", []named{{version: 2, namedAt: now - time.Second, estimated: true}}, []NamedAge{ago(2, 0, false)}, false},
		{"one before it, still in its bound", []named{{version: 2, namedAt: now - time.Second}, {version: 3, namedAt: now}}, []NamedAge{ago(3, 0, true)}, true},
		{"one that is forgotten elsewhere", []named{{version: 2, namedAt: now - long}, {version: 3, namedAt: now - long}}, []NamedAge{ago(3, long, true)}, false},
		{"the agent knows more", []named{{version: 2, namedAt: now - time.Second}}, []NamedAge{ago(2, time.Second, true), ago(3, 0, true)}, false},
	} {
		g.named[switchoverModel] = test.named
		g.mu.Lock()
		got := g.news(&LoadReport{Load: fleet.Load{Address: "10.0.0.1:1"}, Named: test.told}, now)
		g.mu.Unlock()
		c.Check(got, qt.Equals, test.news, qt.Commentf(test.name))
	}
	// Versions of another service's models are nothing to it.
	c.Check(g.news(&LoadReport{Load: fleet.Load{Address: "10.0.0.9:9"}, Named: []NamedAge{ago(1, 0, false)}}, now), qt.IsFalse)
}

// A request was sent to old weights just before their bound, and waited there longer
// than predicted. It is taken back before it can begin, and its server is not blamed;
// one that has begun goes on.
func TestRequestThatWouldStartTooLateIsCancelled(t *testing.T) {
	c := qt.New(t)
	for _, begins := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		a := &attempts{beginBy: 1}
		if begins {
			a.beginBy = 1 << 62
		}
		end := a.watchBegin(cancel)
		if begins {
			// Another attempt, whose bound lies far ahead too.
			end()
			end = a.watchBegin(cancel)
			a.hasBegun()
			c.Check(ctx.Err(), qt.IsNil)
			c.Check(a.takenBack.Load(), qt.IsFalse)
		} else {
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
			c.Check(a.takenBack.Load(), qt.IsTrue)
		}
		end()
		cancel()
	}
}

// An answer that had just begun was cut off: the time at which it was to be taken back came
// while its first event was read. Whichever comes first holds.
func TestStartedAnswerIsNotCancelled(t *testing.T) {
	c := qt.New(t)
	cancelled := 0
	a := &attempts{beginBy: 1 << 62}
	end := a.watchBegin(func() { cancelled++ })
	a.hasBegun()
	c.Assert(a.takenBack.take(), qt.IsFalse)
	c.Assert(a.takenBack.Load(), qt.IsFalse)
	end()
	// The next attempt is another one.
	a.beginBy = 1
	a.watchBegin(func() { cancelled++ })()
	c.Assert(a.takenBack.Load(), qt.IsTrue)
	c.Assert(cancelled, qt.Equals, 1)
}

// Requests began on old weights up to 2.8 s after their bound at a server that took several
// times longer than it should: a pass of it lasts so much longer. Its own report tells.
func TestCancelDeadlineAccountsForSlowServer(t *testing.T) {
	c := qt.New(t)
	engine := newTypicalEngine()
	for _, pace := range []float64{0, 1, 3, 7.5} {
		g := newSwitchoverEntry(engine, 1)
		sent := switchoverNamedAt + switchoverBound - 2*time.Second
		g.fleet.Report(fleet.Load{Address: "10.0.0.1:1", Boot: 1, Sequence: 1, Pace: pace, Models: []catalog.Model{{Name: switchoverModel, Version: 2}}}, sent)
		a := newSwitchoverAttempt(g, 900, false)
		placement := a.choose(sent)
		pass := time.Duration(max(pace, 1) * float64(engine.LongestPass()))
		comment := qt.Commentf("pace %v", pace)
		c.Check(placement.Found, qt.Equals, pace < 3, comment)
		if placement.Found {
			c.Check(a.beginBy+pass < switchoverNamedAt+switchoverBound, qt.IsTrue, comment)
		}
	}
}
