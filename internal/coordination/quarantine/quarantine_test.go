package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

const ms = time.Millisecond

// request returns the fingerprint of request number n. Different numbers have different
// fingerprints.
func request(n int) quarantine.Feature {
	return (&quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: fmt.Sprint("/draft/", n)}).Fingerprint()
}

// whole returns a request that has nothing in common with others.
func whole(f quarantine.Feature) *quarantine.Request { return &quarantine.Request{Fingerprint: f} }

// attempt returns a failed attempt at such a request.
func attempt(f quarantine.Feature, p quarantine.Process, closedByServer bool) quarantine.Attempt {
	return quarantine.Attempt{Request: whole(f), Process: p, ClosedByServer: closedByServer}
}

func process(n int) quarantine.Process { return quarantine.Process{Server: fmt.Sprint("i-", n)} }

// cluster is several entries that send each other crash reports.
type cluster struct {
	tables []*quarantine.Table
	// dropped reports whether a message is dropped.
	dropped func(from, to int) bool
	// bytes is the size of all reports that were sent, if countBytes is true.
	bytes      int
	countBytes bool
}

func newCluster(n int) *cluster {
	c := &cluster{dropped: func(int, int) bool { return false }}
	for range n {
		c.tables = append(c.tables, quarantine.New(quarantine.DefaultConfig()))
	}
	return c
}

// crash crashes a process with requests of several entries in flight.
func (c *cluster) crash(p quarantine.Process, requests map[int][]quarantine.Feature, now time.Duration) {
	attempts := map[int][]quarantine.Attempt{}
	for at, features := range requests {
		for _, f := range features {
			attempts[at] = append(attempts[at], attempt(f, p, true))
		}
	}
	c.crashAttempts(p, attempts, now)
}

// crashAttempts crashes a process with attempts of several entries in flight.
func (c *cluster) crashAttempts(p quarantine.Process, attempts map[int][]quarantine.Attempt, now time.Duration) {
	for at, t := range c.tables {
		for _, a := range attempts[at] {
			t.RecordFailure(a, now)
		}
		if len(attempts[at]) > 0 {
			t.RecordCrash(p, now+30*ms)
		}
	}
	c.sendNew(now + 40*ms)
}

// sendNew sends the new reports of all entries.
func (c *cluster) sendNew(now time.Duration) {
	for from, t := range c.tables {
		for _, report := range t.NewReports(now) {
			c.send(from, report, now)
		}
	}
}

func (c *cluster) send(from int, report quarantine.CrashReport, now time.Duration) {
	c.sendTo(from, report, now, func(int) bool { return true })
}

// sendTo sends a report to the entries that are selected.
func (c *cluster) sendTo(from int, report quarantine.CrashReport, now time.Duration, selected func(to int) bool) {
	size := 0
	if c.countBytes {
		data, _ := cbor.Marshal(report) // always encodes
		size = len(data)
	}
	for to, t := range c.tables {
		if to == from || !selected(to) {
			continue
		}
		c.bytes += size
		if c.dropped(from, to) {
			continue
		}
		for _, reply := range t.Merge(&report, now) {
			if !c.dropped(to, from) {
				c.tables[from].Merge(&reply, now)
			}
		}
	}
}

// advance advances all entries to now and sends their new reports.
func (c *cluster) advance(now time.Duration) {
	for _, t := range c.tables {
		t.Advance(now)
	}
	c.sendNew(now)
}

// held returns how many entries hold the request.
func (c *cluster) held(r quarantine.Feature, now time.Duration) int {
	n := 0
	for _, t := range c.tables {
		if _, ok := t.Held(whole(r), now); ok {
			n++
		}
	}
	return n
}

// A request that callers retry at any entry crashes one server after the other. After the
// third crash all entries must hold it, including those that never received it, and no other
// request.
func TestRequestIsHeldAfterThreeCrashes(t *testing.T) {
	c := newCluster(5)
	bad, good := request(0), request(1)
	now := time.Second
	for n := range 3 {
		qt.Assert(t, c.held(bad, now), qt.Equals, 0)
		requests := map[int][]quarantine.Feature{n: {bad}}
		if n == 1 {
			requests[4] = []quarantine.Feature{good}
		}
		c.crash(process(n), requests, now)
		now += time.Second
		c.advance(now)
	}
	qt.Assert(t, c.held(bad, now), qt.Equals, 5)
	qt.Assert(t, c.held(good, now), qt.Equals, 0)
}

// Some events must not cause a hold: failures at servers that keep running, crashes that are
// detected late, one crash that several entries report, attempts that the entry cancelled,
// and crashes of a request that servers answer.
func TestInsufficientEvidenceHoldsNothing(t *testing.T) {
	bad := request(0)
	tests := []struct {
		name string
		run  func(c *cluster, n int, now time.Duration)
	}{
		{"answers are lost and the servers keep running", func(c *cluster, n int, now time.Duration) {
			c.tables[0].RecordFailure(attempt(bad, process(n), true), now)
		}},
		{"servers crash long after", func(c *cluster, n int, now time.Duration) {
			c.tables[0].RecordFailure(attempt(bad, process(n), true), now)
			c.tables[0].RecordCrash(process(n), now+10*time.Second)
		}},
		{"all entries report the same crash", func(c *cluster, _ int, now time.Duration) {
			c.crash(process(0), map[int][]quarantine.Feature{0: {bad}, 1: {bad}, 2: {bad}}, now)
		}},
		{"attempts are cancelled and no connection breaks", func(c *cluster, n int, now time.Duration) {
			c.tables[0].RecordFailure(attempt(bad, process(n), false), now)
			c.tables[0].RecordCrash(process(n), now+30*ms)
		}},
		{"servers answer the request between crashes", func(c *cluster, n int, now time.Duration) {
			c.crash(process(n), map[int][]quarantine.Feature{0: {bad}}, now)
			c.tables[1].RecordAnswer(bad, now+100*ms)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(3)
			for n := range 5 {
				now := time.Duration(n+1) * 300 * ms
				if test.name == "all entries report the same crash" {
					now = time.Second
				}
				test.run(c, n, now)
				c.advance(now + 250*ms)
			}
			c.advance(12 * time.Second)
			qt.Assert(t, c.held(bad, 12*time.Second), qt.Equals, 0)
		})
	}
}

// Two requests were in flight at each of three servers that crashed, and only one is the
// cause. Neither may be held until the next crash shows which one it is, whether or not servers answer
// others meanwhile.
func TestAmbiguousCauseIsNotHeld(t *testing.T) {
	for _, answers := range []bool{false, true} {
		c := newCluster(2)
		bad, good := request(0), request(1)
		now := time.Second
		for n := range 3 {
			c.crash(process(n), map[int][]quarantine.Feature{0: {bad}, 1: {good}}, now)
			now += time.Second
			for _, table := range c.tables {
				if answers {
					table.RecordAnswer(request(2), now)
				}
			}
			c.advance(now)
		}
		qt.Assert(t, c.held(bad, now)+c.held(good, now), qt.Equals, 0)
		c.crash(process(3), map[int][]quarantine.Feature{0: {bad}}, now)
		c.advance(now + time.Second)
		qt.Assert(t, c.held(bad, now+time.Second), qt.Equals, 2)
		qt.Assert(t, c.held(good, now+time.Second), qt.Equals, 0)
	}
}

// A caller that disconnects early makes the entry cancel the attempt just before the server
// crashes. The request must still be suspected, because other answers failed there at the
// same time.
func TestAttemptCancelledJustBeforeACrashIsSuspected(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	bad := request(0)
	now := time.Second
	for n := range 3 {
		table.RecordFailure(attempt(bad, process(n), false), now)
		table.RecordFailure(attempt(request(n+1), process(n), true), now+200*ms)
		table.RecordCrash(process(n), now+230*ms)
		now += time.Second
		table.Advance(now)
	}
	_, held := table.Held(whole(bad), now)
	qt.Assert(t, held, qt.IsTrue)
}

// Until a crash is known, requests are written to connections that the process has left open, and
// break off at once. None of them may be held for the crash.
func TestRequestSentAfterACrashIsNotItsCause(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	bad, good := request(0), request(1)
	now := time.Second
	for n := range 3 {
		table.RecordAlive(process(n), now)
		now += 100 * ms
		table.RecordFailure(attempt(bad, process(n), true), now)
		late := attempt(good, process(n), true)
		late.Sent = now + 200*ms
		table.RecordFailure(late, now+201*ms)
		qt.Assert(t, table.RecordCrash(process(n), now+500*ms), qt.HasLen, 1)
		now += time.Second
		table.Advance(now)
	}
	_, held := table.Held(whole(bad), now)
	qt.Assert(t, held, qt.IsTrue)
	_, held = table.Held(whole(good), now)
	qt.Assert(t, held, qt.IsFalse)
}

// Requests that callers send alike are in flight at most crashes, in the middle of their answers. They
// must not be held beside a request that may have crashed the servers as it began, and must be if
// there is none.
func TestRequestInTheMiddleOfItsAnswerIsSuspectedLast(t *testing.T) {
	for _, test := range []struct {
		pending, answered, held bool
	}{{false, false, true}, {true, false, false}, {true, true, true}} {
		table := quarantine.New(quarantine.DefaultConfig())
		now := time.Second
		for n := range 3 {
			begun := attempt(request(0), process(n), true)
			begun.Begun = true
			table.RecordFailure(begun, now)
			if test.pending {
				table.RecordFailure(attempt(request(1+n), process(n), true), now)
			}
			table.RecordCrash(process(n), now+30*ms)
			now += 300 * ms
			if test.answered {
				table.RecordBegun(whole(request(1+n)), now)
			}
			table.Advance(now)
		}
		_, held := table.Held(whole(request(0)), now)
		qt.Check(t, held, qt.Equals, test.held, qt.Commentf("%+v", test))
	}
}

// A connection that broke before a process answered again does not tell when it crashed.
func TestCrashIsDatedAfterTheLastSignOfLife(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	table.RecordFailure(attempt(request(0), process(0), true), time.Second)
	table.RecordAlive(process(0), 2*time.Second)
	qt.Assert(t, table.RecordCrash(process(0), 2500*ms), qt.HasLen, 0)
	table.RecordFailure(attempt(request(1), process(0), true), 3*time.Second)
	qt.Assert(t, table.RecordCrash(process(0), 3500*ms), qt.HasLen, 1)
}

// A hold must expire after some minutes, because the server may have been fixed and nobody
// would notice while the request is refused. The next crash holds it for twice as long, and
// an answer clears it at all entries.
func TestHoldExpiresAndIsRenewed(t *testing.T) {
	config := quarantine.DefaultConfig()
	c := newCluster(2)
	bad := request(0)
	now := time.Second
	for n := range 3 {
		c.crash(process(n), map[int][]quarantine.Feature{0: {bad}}, now)
		now += time.Second
		c.advance(now)
	}
	first, ok := c.tables[0].Held(whole(bad), now)
	qt.Assert(t, ok && first.Left <= config.HoldDuration, qt.IsTrue, qt.Commentf("%v", first.Left))
	now += first.Left
	c.advance(now)
	qt.Assert(t, c.held(bad, now), qt.Equals, 0)
	qt.Assert(t, c.tables[1].OneCrashFromHold(bad, now), qt.IsTrue)
	c.crash(process(9), map[int][]quarantine.Feature{1: {bad}}, now)
	now += time.Second
	c.advance(now)
	qt.Assert(t, c.held(bad, now), qt.Equals, 2)
	second, _ := c.tables[0].Held(whole(bad), now)
	qt.Assert(t, second.Left > config.HoldDuration, qt.IsTrue)
	now += second.Left
	c.advance(now)
	c.tables[0].RecordAnswer(bad, now)
	c.sendNew(now)
	now += 2 * config.AnswerTTL
	qt.Assert(t, c.tables[0].OneCrashFromHold(bad, now), qt.IsFalse)
	qt.Assert(t, c.tables[1].OneCrashFromHold(bad, now), qt.IsFalse)
}

// Stored holds may be older than the clock of an entry that has just started. Holds that
// have expired when they are read are dropped, and the others last for their remaining time.
func TestRestoredHoldsLastForTheRemainingTime(t *testing.T) {
	config := quarantine.DefaultConfig()
	table := quarantine.New(config)
	now := time.Second
	stored := []quarantine.Hold{
		{Feature: request(0), Age: time.Minute, Count: 1},
		{Feature: request(1), Age: config.HoldDuration + time.Second, Count: 1},
		{Feature: request(2), Age: config.HoldDuration + time.Second, Count: 2},
	}
	expired := table.Restore(stored, now)
	qt.Assert(t, expired, qt.DeepEquals, []quarantine.Feature{request(1)})
	remaining, held := table.Held(whole(request(0)), now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, remaining.Left, qt.Equals, config.HoldDuration-time.Minute)
	remaining, held = table.Held(whole(request(2)), now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, remaining.Left, qt.Equals, config.HoldDuration-time.Second)
	table.RecordAnswer(request(0), now)
	_, cleared := table.TakeStoreChanges()
	qt.Assert(t, cleared, qt.DeepEquals, []quarantine.Feature{request(0)})
}

// A rack fails with a request in flight at five of its servers, which other servers answered
// seconds before. Crashes within a second must count once, or the request is refused for all
// callers.
func TestSimultaneousCrashesCountOnceForAnAnsweredRequest(t *testing.T) {
	c := newCluster(2)
	popular := request(0)
	now := time.Second
	c.tables[0].RecordAnswer(popular, now)
	c.tables[1].RecordAnswer(popular, now)
	now += 10 * time.Second
	for n := range 5 {
		c.crash(process(n), map[int][]quarantine.Feature{0: {popular}}, now)
		now += 150 * ms
	}
	for range 20 {
		now += 100 * ms
		c.advance(now)
	}
	qt.Assert(t, c.held(popular, now), qt.Equals, 0)
}

// One entry gets answers to a request, at another the request is in flight at crashes, and a
// third receives reports of the crashes but not of the answers. The third must not hold the
// request, as its hold would be sent to all entries.
func TestEntryWithoutLocalCrashHoldsNothing(t *testing.T) {
	c := newCluster(3)
	c.dropped = func(from, to int) bool { return from == 0 && to == 2 }
	popular := request(0)
	now := time.Second
	for n := range 5 {
		c.tables[0].RecordAnswer(popular, now)
		now += 100 * ms
		c.crash(process(n), map[int][]quarantine.Feature{1: {popular}}, now)
		for range 15 {
			now += 100 * ms
			c.tables[0].RecordAnswer(popular, now)
			c.advance(now)
		}
	}
	qt.Assert(t, c.held(popular, now), qt.Equals, 0)
}

// An entry that was partitioned from the others still holds a request that was answered since.
// Its outdated hold must not be applied by the other entries, and must end once it sends it.
func TestOutdatedHoldIsIgnored(t *testing.T) {
	c := newCluster(3)
	bad := request(0)
	now := time.Second
	for n := range 3 {
		c.crash(process(n), map[int][]quarantine.Feature{0: {bad}}, now)
		now += time.Second
		c.advance(now)
	}
	c.dropped = func(from, to int) bool { return to == 2 }
	c.tables[0].RecordAnswer(bad, now)
	c.sendNew(now)
	qt.Assert(t, c.held(bad, now), qt.Equals, 1)
	c.dropped = func(int, int) bool { return false }
	for _, report := range c.tables[2].HoldReports(now + time.Second) {
		c.send(2, report, now+time.Second)
	}
	qt.Assert(t, c.held(bad, now+time.Second), qt.Equals, 0)
}

// Half of all messages are lost, and one entry receives none for a while and continues to
// send a request that the others refuse. Reports must be sent again with each heartbeat, and
// entries that hold different requests send each other all their holds.
func TestLostReportsAreResent(t *testing.T) {
	c := newCluster(8)
	rng := rand.New(rand.NewPCG(1, 2))
	c.dropped = func(_, to int) bool { return to == 7 || rng.IntN(2) == 0 }
	bad := request(0)
	now := time.Second
	for n := range 3 {
		c.crash(process(n), map[int][]quarantine.Feature{n: {bad}}, now)
		for range 5 {
			now += 400 * ms
			c.advance(now)
			for from, table := range c.tables {
				for _, report := range table.RecentReports(now) {
					c.send(from, report, now)
				}
			}
		}
	}
	c.advance(now + time.Second)
	qt.Assert(t, c.held(bad, now), qt.Equals, 7)
	c.dropped = func(int, int) bool { return false }
	qt.Assert(t, c.tables[7].Digest(now) == c.tables[0].Digest(now), qt.IsFalse)
	for _, report := range c.tables[0].HoldReports(now) {
		c.send(0, report, now)
	}
	qt.Assert(t, c.held(bad, now), qt.Equals, 8)
	qt.Assert(t, c.tables[7].Digest(now), qt.Equals, c.tables[0].Digest(now))
}

// A data centre fails with hundreds of an entry's requests, and reports on each of them would
// fill the links between regions. The number of messages must be limited, and a request with
// an earlier crash must be in the first one.
func TestManyCrashesSendFewMessages(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	bad := request(0)
	now := time.Second
	table.RecordFailure(attempt(bad, process(0), true), now)
	table.RecordCrash(process(0), now)
	table.NewReports(now)
	now += 10 * time.Second
	for n := range 100 {
		for k := range 3 {
			table.RecordFailure(attempt(request(1+3*n+k), process(1+n), true), now)
		}
		if n == 99 {
			table.RecordFailure(attempt(bad, process(1+n), true), now)
		}
		table.RecordCrash(process(1+n), now)
	}
	first := table.NewReports(now)
	qt.Assert(t, first, qt.HasLen, 1)
	qt.Assert(t, first[0].Crashes[0].Requests[0], qt.Equals, bad)
	messages, resent := 0, 0
	for range 100 {
		now += 100 * ms
		messages += len(table.NewReports(now))
		table.Advance(now)
	}
	for range 5 {
		resent += len(table.RecentReports(now))
		now += time.Second
	}
	holds := 0
	for _, report := range table.HoldReports(now) {
		holds += len(report.Holds)
	}
	qt.Assert(t, holds, qt.Equals, 0)
	qt.Assert(t, messages <= 40 && resent <= 5, qt.IsTrue, qt.Commentf("%d messages, %d resent", messages, resent))
}

// Callers may send any number of different requests that each crash a server. An entry must
// not run out of memory, and a request that is held must not be evicted.
func TestMemoryIsBounded(t *testing.T) {
	config := quarantine.DefaultConfig()
	config.MaxEntries = 100
	table := quarantine.New(config)
	bad := request(0)
	now := time.Second
	crash := func(n int, r quarantine.Feature) {
		table.RecordFailure(attempt(r, process(n), true), now)
		table.RecordCrash(process(n), now+30*ms)
		now += 200 * ms
		table.Advance(now)
	}
	for n := range 3 {
		crash(n, bad)
	}
	for n := range 1000 {
		crash(10+n, request(10+n))
	}
	_, held := table.Held(whole(bad), now)
	qt.Assert(t, held, qt.IsTrue)
	suspected := 0
	for n := range 1010 {
		if r := request(n); table.MaySuspect(r.MetadataHash()) {
			suspected++
		}
	}
	qt.Assert(t, suspected <= config.MaxEntries, qt.IsTrue, qt.Commentf("%d", suspected))
}

// For any order of events at any entry and any lost messages: an entry must not hold a
// request that was just answered there, and no request may be held whose attempts failed at
// fewer than three processes.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		c.dropped = func(int, int) bool { return rapid.Bool().Draw(t, "lost") }
		now := time.Second
		failedAt := map[quarantine.Feature]map[quarantine.Process]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * ms
			entry := rapid.IntRange(0, 2).Draw(t, "entry")
			r, p := request(rapid.IntRange(0, 3).Draw(t, "request")), process(rapid.IntRange(0, 9).Draw(t, "process"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				c.tables[entry].RecordFailure(attempt(r, p, rapid.Bool().Draw(t, "by peer")), now)
				if failedAt[r] == nil {
					failedAt[r] = map[quarantine.Process]bool{}
				}
				failedAt[r][p] = true
			case 1:
				c.tables[entry].RecordCrash(p, now)
			case 2:
				c.tables[entry].RecordAnswer(r, now)
				if _, held := c.tables[entry].Held(whole(r), now); held {
					t.Fatalf("the request is held although it was just answered")
				}
			case 3:
				c.advance(now)
			}
			for n := range 4 {
				if c.held(request(n), now) > 0 && len(failedAt[request(n)]) < 3 {
					t.Fatalf("a request is held after failures at only %d processes", len(failedAt[request(n)]))
				}
			}
		}
	})
}
