package switchover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const bound = 8 * time.Second

// Callers wait while every server of a service loads at once. Turns must be
// spread, and the last server must have changed before the bound.
func TestTurnsAreSpreadAndEndBeforeTheBound(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	const count = 27
	away := 0
	for place := range count {
		turn := config.StartOffset(place, count)
		c.Assert(turn >= config.PreparationTime, qt.IsTrue)
		c.Assert(turn+config.LoadTime+config.Margin <= bound, qt.IsTrue)
		if turn < config.PreparationTime+config.LoadTime+config.Quiet {
			away++
		}
	}
	c.Assert(away <= count/3, qt.IsTrue, qt.Commentf("%d of %d servers are away at once", away, count))
}

// A request begins on version 1 after the bound of version 2 has passed. A
// third version is named meanwhile; a server that waits for its turn for the
// third misses the second one's bound.
func TestAVersionNamedLaterDoesNotPutOffTheFirst(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	named := []Named{{Version: 2, Since: 0, Whole: true}, {Version: 3, Since: 3 * time.Second}}
	version, begin, ok := config.Next(1, named, 26, 27)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(2))
	c.Assert(begin, qt.Equals, config.StartOffset(26, 27))
}

// The same, but the third version is there when the turn comes: one change
// takes the server to it.
func TestOneChangeServesTwoVersions(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	named := []Named{{Version: 2, Since: 0, Whole: true}, {Version: 3, Since: time.Second, Whole: true}}
	version, begin, _ := config.Next(1, named, 26, 27)
	c.Assert(version, qt.Equals, uint64(3))
	c.Assert(begin, qt.Equals, config.StartOffset(26, 27))
	_, _, ok := config.Next(3, named, 26, 27)
	c.Assert(ok, qt.IsFalse)
}

// An added server stays empty for seconds though its weights are there. It has
// no requests that a change could disturb.
func TestAnEmptyServerDoesNotWaitForItsTurn(t *testing.T) {
	c := qt.New(t)
	version, begin, ok := DefaultConfig(bound).Next(0, []Named{{Version: 2, Since: time.Minute, Whole: true}}, 20, 27)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(2))
	c.Assert(begin, qt.Equals, time.Duration(0))
}

// Two versions half a second apart: fetching both in turn would take the time
// of the link twice, and the second alone is enough.
func TestASupersededVersionIsNotFetched(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	named := []Named{{Version: 2, Since: 0}, {Version: 3, Since: 500 * time.Millisecond}}
	version, ok := config.Fetches(1, named, 500*time.Millisecond, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(3))
}

// A version named two seconds later would come too late for the first one's
// bound, which is fetched to its end.
func TestAVersionCloseToItsBoundIsFetchedFirst(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	named := []Named{{Version: 2, Since: 0}, {Version: 3, Since: 3 * time.Second}}
	version, ok := config.Fetches(1, named, 3*time.Second, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(2))
	named[0].Whole = true
	version, ok = config.Fetches(1, named, 3*time.Second, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(3))
}

// The origin was down past the bound of a version, and another one was named
// meanwhile. Fetching the first would only put off the second.
func TestAVersionWhoseBoundIsPastIsNotFetched(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	named := []Named{{Version: 2, Since: 0}, {Version: 3, Since: 2 * time.Second}}
	version, ok := config.Fetches(1, named, bound, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(3))
}

// A request began on the older version 46 ms after the bound. It was sent 0.71 s
// before it, while that version was still allowed, and waited 0.77 s in the
// server's queue. From then on only servers with the new version may be sent to.
func TestARequestThatWaitsInAQueueDoesNotBeginTooLate(t *testing.T) {
	c := qt.New(t)
	for _, bound := range []time.Duration{bound, 10300 * time.Millisecond} {
		config := DefaultConfig(bound)
		c.Assert(config.Strict()+770*time.Millisecond < bound, qt.IsTrue)
		c.Assert(config.Strict() > config.PreparationTime, qt.IsTrue)
	}
}

// The origin comes back after two bounds have passed or nearly so. Servers gave
// up a version of which an eighth was missing for a whole set of the next one, and
// answered nothing for 2.5 s more.
func TestANearlyWholeVersionIsFinishedFirst(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	now := bound + 500*time.Millisecond
	tests := []struct {
		name        string
		left, newer Named
		want        uint64
	}{
		{"an eighth is missing", Named{Left: 8, Known: true}, Named{Since: 4 * time.Second, Left: 64, Known: true}, 2},
		{"the newer set is not known", Named{Left: 8, Known: true}, Named{Since: 4 * time.Second}, 2},
		{"it would serve for less than it takes", Named{Left: 28, Known: true}, Named{Since: 3 * time.Second, Left: 64, Known: true}, 3},
		{"most is missing", Named{Left: 48, Known: true}, Named{Since: 4 * time.Second, Left: 64, Known: true}, 3},
		{"the newer one is nearer", Named{Left: 8, Known: true}, Named{Since: 4 * time.Second, Left: 4, Known: true}, 3},
		{"the newer one is the only one to answer soon", Named{Left: 8, Known: true}, Named{Since: time.Second, Left: 64, Known: true}, 3},
		{"nothing was begun", Named{}, Named{Since: 4 * time.Second}, 3},
	}
	for _, test := range tests {
		test.left.Version, test.newer.Version = 2, 3
		version, ok := config.Fetches(1, []Named{test.left, test.newer}, now, defaultPieceTime)
		c.Check(ok, qt.IsTrue)
		c.Check(version, qt.Equals, test.want, qt.Commentf(test.name))
		// What is being fetched is given up only for a better reason than time.
		c.Check(config.Abandons(2, []Named{test.left, test.newer}, now, defaultPieceTime), qt.Equals, test.want == 3, qt.Commentf(test.name))
		c.Check(config.Abandons(3, []Named{test.left, test.newer}, now, defaultPieceTime), qt.IsFalse)
		c.Check(config.Abandons(2, []Named{test.left, test.newer}, 0, defaultPieceTime), qt.IsFalse)
	}
}

// A version came after its bound. Every server was kept free of requests for half
// a second before it changed, though none could get any.
func TestAServerWithoutRequestsIsIdle(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	named := []Named{{Version: 2, Since: 0}}
	c.Assert(config.Idle(0, named, 0), qt.IsTrue)
	// Until a request would begin too late it may still get some.
	last := config.AnswersUntil(0)
	c.Assert(config.Idle(1, named, last), qt.IsFalse)
	c.Assert(config.Idle(1, named, last+1), qt.IsTrue)
	c.Assert(config.Idle(2, named, last+1), qt.IsFalse)
	c.Assert(DefaultConfig(0).Idle(1, named, time.Hour), qt.IsFalse)
}

// The origin was away while a version was named, and no server holds it at the end
// of its bound. Callers were refused for the last 1.5 s of it, though servers with a
// free place would have begun their requests in time. A request that may begin after
// the bound, late by what one in a hundred is, must not be sent.
func TestOlderWeightsAnswerUntilTheyWouldBeginTooLate(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	const since, usual = 3 * time.Second, 160 * time.Millisecond
	refusedBefore := config.MaxQueueDelay
	last := since
	for now := since; now < since+2*bound; now += 10 * time.Millisecond {
		if config.MayBegin(since, now, usual) {
			last = now
		}
	}
	c.Assert(last+usual+290*time.Millisecond+propagationDelay <= since+bound, qt.IsTrue)
	c.Assert(since+bound-last < refusedBefore/2, qt.IsTrue, qt.Commentf("refused for %v", since+bound-last))
	c.Assert(config.MayBegin(since, last, 500*time.Millisecond), qt.IsFalse)
}

// The origin was away for 6 s while two versions were named 2 s apart; 4 of the
// first one's 96 pieces were missing, 27 ms each. By a constant of 88 ms it seemed
// of no use and was given up, and no server had anything to answer with until the
// second one was whole 3 s later.
func TestTheRateThatIsSeenDecidesWhatIsFinished(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	named := []Named{{Version: 2, Left: 4, Known: true}, {Version: 3, Since: 2 * time.Second, Left: 96, Known: true}}
	const back = 8500 * time.Millisecond
	version, _ := config.Fetches(1, named, back, defaultPieceTime)
	c.Assert(version, qt.Equals, uint64(3))
	var pace Pace
	now := time.Second
	for range 92 {
		now += 27 * time.Millisecond
		pace.Came(now)
	}
	pace.Came(back)
	c.Assert(pace.Each() < 30*time.Millisecond, qt.IsTrue, qt.Commentf("%v", pace.Each()))
	version, _ = config.Fetches(1, named, back, pace.Each())
	c.Assert(version, qt.Equals, uint64(2))
	c.Assert(config.Abandons(2, named, back, pace.Each()), qt.IsFalse)
	c.Assert(config.Abandons(2, named, back+time.Second, pace.Each()), qt.IsTrue)
	c.Assert(Worth(4, pace.Each(), back, config.AnswersUntil(named[1].Since)), qt.IsTrue)
}

// The origin was away while a version was named, and all servers had it at the same
// late moment, when the turns of most had passed. All changed at once, and every
// answer broke off with no server to go on at. Their turns must be spread over what
// is left of the bound.
func TestTurnsThatHavePassedAreSpreadAnew(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound)
	const count, wholeAt = 19, 5500 * time.Millisecond
	named := []Named{{Version: 2, Whole: true, WholeAt: wholeAt}}
	var begins []time.Duration
	for place := range count {
		_, begin, _ := config.Next(1, named, place, count)
		c.Assert(begin >= wholeAt && begin <= config.latestStart(), qt.IsTrue)
		begins = append(begins, begin)
	}
	away := 0
	for _, begin := range begins {
		if begin < wholeAt+config.LoadTime {
			away++
		}
	}
	c.Assert(away <= count/3, qt.IsTrue, qt.Commentf("%d of %d servers are away at once", away, count))
	// Too late for turns: a server that waits answers nobody.
	named[0].WholeAt = bound
	_, begin, _ := config.Next(1, named, count-1, count)
	c.Assert(begin, qt.Equals, bound)
}

// Requests began on weights whose bound had passed: their connections were closed behind
// what the server was being brought at the full rate of its link. It is still only once
// all that was to be taken back has been, or once it says that it has none, in a report
// that is young enough to count those that were sent last.
func TestAServerThatGetsNoRequestsIsNotStillYet(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(bound).WithPass(550 * time.Millisecond)
	named := []Named{{Version: 2, Since: time.Minute}}
	until, by := config.AnswersUntil(time.Minute), config.BeginBy(time.Minute)
	tests := []struct {
		held         uint64
		now, emptyAt time.Duration
		want         bool
	}{
		{held: 0, now: until, want: true},
		{held: 1, now: until + 1},
		{held: 1, now: by - 1},
		{held: 1, now: by, want: true},
		// This report may not show what was sent last.
		{held: 1, now: by - 1, emptyAt: until + maxReportDelay - 1},
		{held: 1, now: by - 1, emptyAt: until + maxReportDelay, want: true},
		{held: 2, now: by + time.Hour, emptyAt: by + time.Hour},
	}
	for _, test := range tests {
		c.Check(config.Still(test.held, named, test.now, test.emptyAt), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	c.Check(DefaultConfig(0).Still(1, named, time.Hour, time.Hour), qt.IsFalse)
}
