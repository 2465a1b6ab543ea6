package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

// A caller is answered by old weights seconds after their bound. Its entry was cut off
// while the new ones were named, heard of them 7 s later, and counted the bound from
// then, though its peers told it when they had been named.
func TestTheEarliestWordOnAVersionCounts(t *testing.T) {
	c := qt.New(t)
	const now, age = 25 * time.Second, 7 * time.Second
	g := &Gateway{named: map[string][]named{"drafter": {{version: 2, since: now}}}}
	g.heardNamed("drafter", 2, age, now)
	c.Assert(g.named["drafter"][0].since, qt.Equals, now-age)
	revision := g.revision
	c.Assert(revision > 0, qt.IsTrue)
	// Neither a later word nor the time on the way changes anything.
	g.heardNamed("drafter", 2, time.Second, now)
	g.heardNamed("drafter", 2, age+heardSlack/2, now)
	c.Assert(g.named["drafter"][0].since, qt.Equals, now-age)
	c.Assert(g.revision, qt.Equals, revision)
}

// A request was sent to old weights just before their bound, and waited there longer
// than predicted. It is taken back before it can begin, and its server is not blamed;
// one that has begun goes on.
func TestARequestThatWouldBeginTooLateIsTakenBack(t *testing.T) {
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
func TestAnAnswerThatHasBegunIsNotTakenBack(t *testing.T) {
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
func TestASlowServerIsGivenSoMuchMoreTime(t *testing.T) {
	c := qt.New(t)
	engine := olderEngine()
	for _, pace := range []float64{0, 1, 3, 7.5} {
		g := olderEntry(engine, 1)
		sent := olderNamed + olderBound - 2*time.Second
		g.fleet.Report(fleet.Load{Address: "10.0.0.1:1", Boot: 1, Sequence: 1, Pace: pace, Models: []catalog.Model{{Name: olderModel, Version: 2}}}, sent)
		a := olderAttempt(g, 900, false)
		placement := a.choose(sent)
		pass := time.Duration(max(pace, 1) * float64(engine.LongestPass()))
		comment := qt.Commentf("pace %v", pace)
		c.Check(placement.Found, qt.Equals, pace < 3, comment)
		if placement.Found {
			c.Check(a.beginBy+pass < olderNamed+olderBound, qt.IsTrue, comment)
		}
	}
}
