package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

const ms = time.Millisecond

// request returns the n-th of requests that all differ.
func request(n int) quarantine.Fingerprint {
	return (&quarantine.Identity{Organisation: "hauler-1", Method: "POST", Host: "portal.example", Target: fmt.Sprint("/draft/", n)}).Fingerprint()
}

func process(n int) quarantine.Process { return quarantine.Process{Server: fmt.Sprint("i-", n)} }

// fleet is several entries that tell each other news.
type fleet struct {
	tables []*quarantine.Table
	// lost drops a message.
	lost func(from, to int) bool
}

func newFleet(n int) *fleet {
	f := &fleet{lost: func(int, int) bool { return false }}
	for range n {
		f.tables = append(f.tables, quarantine.New(quarantine.DefaultConfig()))
	}
	return f
}

// end has a process end with requests of entries under way.
func (f *fleet) end(p quarantine.Process, requests map[int][]quarantine.Fingerprint, now time.Duration) {
	for at, t := range f.tables {
		for _, r := range requests[at] {
			t.Broke(r, p, true, now)
		}
		if len(requests[at]) > 0 {
			t.Ended(p, now+30*ms)
		}
	}
	f.tell(now + 40*ms)
}

// tell has all entries tell what is new.
func (f *fleet) tell(now time.Duration) {
	for from, t := range f.tables {
		for _, news := range t.Fresh(now) {
			f.send(from, news, now)
		}
	}
}

func (f *fleet) send(from int, news quarantine.News, now time.Duration) {
	for to, t := range f.tables {
		if to == from || f.lost(from, to) {
			continue
		}
		for _, reply := range t.Take(&news, now) {
			if !f.lost(to, from) {
				f.tables[from].Take(&reply, now)
			}
		}
	}
}

// advance lets time pass.
func (f *fleet) advance(now time.Duration) {
	for _, t := range f.tables {
		t.Advance(now)
	}
	f.tell(now)
}

func (f *fleet) held(r quarantine.Fingerprint, now time.Duration) int {
	n := 0
	for _, t := range f.tables {
		if _, ok := t.Held(r, now); ok {
			n++
		}
	}
	return n
}

// Servers end one after the other under a request that comes again at any entry. After
// the third all entries refuse it, also those that never had it, and nothing else.
func TestARequestIsHeldAfterThreeEnds(t *testing.T) {
	f := newFleet(5)
	bad, good := request(0), request(1)
	now := time.Second
	for n := range 3 {
		qt.Assert(t, f.held(bad, now), qt.Equals, 0)
		requests := map[int][]quarantine.Fingerprint{n: {bad}}
		if n == 1 {
			requests[4] = []quarantine.Fingerprint{good}
		}
		f.end(process(n), requests, now)
		now += time.Second
		f.advance(now)
	}
	qt.Assert(t, f.held(bad, now), qt.Equals, 5)
	qt.Assert(t, f.held(good, now), qt.Equals, 0)
}

// What is no evidence: servers that go on, ends that are seen long after, the same end
// told by several entries, and attempts that this side gave up.
func TestWhatHoldsNothing(t *testing.T) {
	bad := request(0)
	tests := []struct {
		name string
		play func(f *fleet, n int, now time.Duration)
	}{
		{"answers are lost and the servers go on", func(f *fleet, n int, now time.Duration) { f.tables[0].Broke(bad, process(n), true, now) }},
		{"servers end long after", func(f *fleet, n int, now time.Duration) {
			f.tables[0].Broke(bad, process(n), true, now)
			f.tables[0].Ended(process(n), now+10*time.Second)
		}},
		{"one end is told by all", func(f *fleet, _ int, now time.Duration) {
			f.end(process(0), map[int][]quarantine.Fingerprint{0: {bad}, 1: {bad}, 2: {bad}}, now)
		}},
		{"attempts are given up and nothing breaks off", func(f *fleet, n int, now time.Duration) {
			f.tables[0].Broke(bad, process(n), false, now)
			f.tables[0].Ended(process(n), now+30*ms)
		}},
		{"servers answer it in between", func(f *fleet, n int, now time.Duration) {
			f.end(process(n), map[int][]quarantine.Fingerprint{0: {bad}}, now)
			f.tables[1].Answered(bad, now+100*ms)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(3)
			for n := range 5 {
				now := time.Duration(n+1) * 300 * ms
				if test.name == "one end is told by all" {
					now = time.Second
				}
				test.play(f, n, now)
				f.advance(now + 250*ms)
			}
			f.advance(12 * time.Second)
			qt.Assert(t, f.held(bad, 12*time.Second), qt.Equals, 0)
		})
	}
}

// Two requests were under way at each of three servers that ended; one has no part in it
// and was refused with the other. The next end tells them apart.
func TestTwoAtTheSameServersAreToldApart(t *testing.T) {
	f := newFleet(2)
	bad, good := request(0), request(1)
	now := time.Second
	for n := range 3 {
		f.end(process(n), map[int][]quarantine.Fingerprint{0: {bad}, 1: {good}}, now)
		now += time.Second
		f.advance(now)
	}
	qt.Assert(t, f.held(bad, now)+f.held(good, now), qt.Equals, 0)
	f.end(process(3), map[int][]quarantine.Fingerprint{0: {bad}}, now)
	f.advance(now + time.Second)
	qt.Assert(t, f.held(bad, now+time.Second), qt.Equals, 2)
	qt.Assert(t, f.held(good, now+time.Second), qt.Equals, 0)
}

// A caller that leaves early hides that its request ended the server: the entry gave the
// attempt up a moment before. The other answers that broke off there show it.
func TestAnAttemptGivenUpJustBeforeIsSuspected(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	bad := request(0)
	now := time.Second
	for n := range 3 {
		table.Broke(bad, process(n), false, now)
		table.Broke(request(n+1), process(n), true, now+200*ms)
		table.Ended(process(n), now+230*ms)
		now += time.Second
		table.Advance(now)
	}
	_, held := table.Held(bad, now)
	qt.Assert(t, held, qt.IsTrue)
}

// A request that is held is let through again some minutes later, as what ran it may have
// been mended; refused for ever, nobody would see. The first end under it holds it twice
// as long, and an answer clears it at all entries.
func TestAHoldEndsAndIsRenewed(t *testing.T) {
	config := quarantine.DefaultConfig()
	f := newFleet(2)
	bad := request(0)
	now := time.Second
	for n := range 3 {
		f.end(process(n), map[int][]quarantine.Fingerprint{0: {bad}}, now)
		now += time.Second
		f.advance(now)
	}
	first, ok := f.tables[0].Held(bad, now)
	qt.Assert(t, ok && first <= config.Hold, qt.IsTrue, qt.Commentf("%v", first))
	now += first
	f.advance(now)
	qt.Assert(t, f.held(bad, now), qt.Equals, 0)
	qt.Assert(t, f.tables[1].Suspected(bad, now), qt.IsTrue)
	f.end(process(9), map[int][]quarantine.Fingerprint{1: {bad}}, now)
	now += time.Second
	f.advance(now)
	qt.Assert(t, f.held(bad, now), qt.Equals, 2)
	second, _ := f.tables[0].Held(bad, now)
	qt.Assert(t, second > config.Hold, qt.IsTrue)
	now += second
	f.advance(now)
	f.tables[0].Answered(bad, now)
	f.tell(now)
	now += 2 * config.Trust
	qt.Assert(t, f.tables[0].Suspected(bad, now), qt.IsFalse)
	qt.Assert(t, f.tables[1].Suspected(bad, now), qt.IsFalse)
}

// Verdicts are kept for longer than the clock of an entry that has just started goes back,
// and some are past when they are read: those are dropped, the others hold for what is left.
func TestKeptVerdictsHoldForWhatIsLeft(t *testing.T) {
	config := quarantine.DefaultConfig()
	table := quarantine.New(config)
	now := time.Second
	kept := []quarantine.Hold{
		{Request: request(0), Age: time.Minute, Times: 1},
		{Request: request(1), Age: config.Hold + time.Second, Times: 1},
		{Request: request(2), Age: config.Hold + time.Second, Times: 2},
	}
	past := table.Restore(kept, now)
	qt.Assert(t, past, qt.DeepEquals, []quarantine.Fingerprint{request(1)})
	left, held := table.Held(request(0), now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, left, qt.Equals, config.Hold-time.Minute)
	left, held = table.Held(request(2), now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, left, qt.Equals, config.Hold-time.Second)
	table.Answered(request(0), now)
	_, over := table.Verdicts()
	qt.Assert(t, over, qt.DeepEquals, []quarantine.Fingerprint{request(0)})
}

// A rack loses its power with a request under way at five of its servers, which others have
// answered seconds before. It was refused to all who send it.
func TestEndsAtOnceCountOnceForWhatIsAnswered(t *testing.T) {
	f := newFleet(2)
	popular := request(0)
	now := time.Second
	f.tables[0].Answered(popular, now)
	f.tables[1].Answered(popular, now)
	now += 10 * time.Second
	for n := range 5 {
		f.end(process(n), map[int][]quarantine.Fingerprint{0: {popular}}, now)
	}
	for range 20 {
		now += 100 * ms
		f.advance(now)
	}
	qt.Assert(t, f.held(popular, now), qt.Equals, 0)
}

// One entry answers a request again and again, at another it meets servers that end, and a
// third hears of these ends only, and not of the answers: its verdict had the request refused
// at all.
func TestWhoOnlyHearsOfEndsHoldsNothing(t *testing.T) {
	f := newFleet(3)
	f.lost = func(from, to int) bool { return from == 0 && to == 2 }
	popular := request(0)
	now := time.Second
	for n := range 5 {
		f.tables[0].Answered(popular, now)
		now += 100 * ms
		f.end(process(n), map[int][]quarantine.Fingerprint{1: {popular}}, now)
		for range 15 {
			now += 100 * ms
			f.tables[0].Answered(popular, now)
			f.advance(now)
		}
	}
	qt.Assert(t, f.held(popular, now), qt.Equals, 0)
}

// An entry that was cut off comes back with what it believed before, and a request that
// has been answered since is refused again.
func TestOldNewsHoldsNothing(t *testing.T) {
	f := newFleet(3)
	bad := request(0)
	now := time.Second
	for n := range 3 {
		f.end(process(n), map[int][]quarantine.Fingerprint{0: {bad}}, now)
		now += time.Second
		f.advance(now)
	}
	f.lost = func(from, to int) bool { return to == 2 }
	f.tables[0].Answered(bad, now)
	f.tell(now)
	qt.Assert(t, f.held(bad, now), qt.Equals, 1)
	f.lost = func(int, int) bool { return false }
	for _, news := range f.tables[2].Holds(now + time.Second) {
		f.send(2, news, now+time.Second)
	}
	qt.Assert(t, f.held(bad, now+time.Second), qt.Equals, 1)
}

// Half of all messages are lost, and one entry hears none for a while: it goes on sending
// what the others refuse. What was told is told again with each heartbeat, and entries
// that hold different requests tell each other all.
func TestLostNewsIsMadeUpFor(t *testing.T) {
	f := newFleet(8)
	rng := rand.New(rand.NewPCG(1, 2))
	f.lost = func(_, to int) bool { return to == 7 || rng.IntN(2) == 0 }
	bad := request(0)
	now := time.Second
	for n := range 3 {
		f.end(process(n), map[int][]quarantine.Fingerprint{n: {bad}}, now)
		for range 5 {
			now += 400 * ms
			f.advance(now)
			for from, table := range f.tables {
				for _, news := range table.Recent(now) {
					f.send(from, news, now)
				}
			}
		}
	}
	f.advance(now + time.Second)
	qt.Assert(t, f.held(bad, now), qt.Equals, 7)
	f.lost = func(int, int) bool { return false }
	qt.Assert(t, f.tables[7].Digest(now) == f.tables[0].Digest(now), qt.IsFalse)
	for _, news := range f.tables[0].Holds(now) {
		f.send(0, news, now)
	}
	qt.Assert(t, f.held(bad, now), qt.Equals, 8)
	qt.Assert(t, f.tables[7].Digest(now), qt.Equals, f.tables[0].Digest(now))
}

// A data centre is lost with hundreds of an entry's requests, and telling of each fills the
// links between regions. A message a second is the most, and a request under which another
// server has ended before is in the first.
func TestALossOfManyServersTellsLittle(t *testing.T) {
	table := quarantine.New(quarantine.DefaultConfig())
	bad := request(0)
	now := time.Second
	table.Broke(bad, process(0), true, now)
	table.Ended(process(0), now)
	table.Fresh(now)
	now += 10 * time.Second
	for n := range 100 {
		for k := range 3 {
			table.Broke(request(1+3*n+k), process(1+n), true, now)
		}
		if n == 99 {
			table.Broke(bad, process(1+n), true, now)
		}
		table.Ended(process(1+n), now)
	}
	first := table.Fresh(now)
	qt.Assert(t, first, qt.HasLen, 1)
	qt.Assert(t, first[0].Ends[0].Requests[0], qt.Equals, bad)
	messages, again := 0, 0
	for range 100 {
		now += 100 * ms
		messages += len(table.Fresh(now))
		table.Advance(now)
	}
	for range 5 {
		again += len(table.Recent(now))
		now += time.Second
	}
	told := 0
	for _, news := range table.Holds(now) {
		told += len(news.Holds)
	}
	qt.Assert(t, told, qt.Equals, 0)
	qt.Assert(t, messages <= 40 && again <= 5, qt.IsTrue, qt.Commentf("%d messages, %d again", messages, again))
}

// Callers send any number of different requests that each end a server, and an entry's
// memory grows until it is ended itself. It is bounded, and a held request stays.
func TestMemoryIsBounded(t *testing.T) {
	config := quarantine.DefaultConfig()
	config.Most = 100
	table := quarantine.New(config)
	bad := request(0)
	now := time.Second
	end := func(n int, r quarantine.Fingerprint) {
		table.Broke(r, process(n), true, now)
		table.Ended(process(n), now+30*ms)
		now += 200 * ms
		table.Advance(now)
	}
	for n := range 3 {
		end(n, bad)
	}
	for n := range 1000 {
		end(10+n, request(10+n))
	}
	_, held := table.Held(bad, now)
	qt.Assert(t, held, qt.IsTrue)
	known := 0
	for n := range 1010 {
		if r := request(n); table.Knows(r.Head()) {
			known++
		}
	}
	qt.Assert(t, known <= config.Most, qt.IsTrue, qt.Commentf("%d", known))
}

// Whatever comes in which order, at whichever entry, and lost on the way: a request that
// a server answers after it was last suspected is not held by that entry, and none is held
// under which fewer than three processes have ended.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		f.lost = func(int, int) bool { return rapid.Bool().Draw(t, "lost") }
		now := time.Second
		ended := map[quarantine.Fingerprint]map[quarantine.Process]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * ms
			entry := rapid.IntRange(0, 2).Draw(t, "entry")
			r, p := request(rapid.IntRange(0, 3).Draw(t, "request")), process(rapid.IntRange(0, 9).Draw(t, "process"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				f.tables[entry].Broke(r, p, rapid.Bool().Draw(t, "by peer"), now)
				if ended[r] == nil {
					ended[r] = map[quarantine.Process]bool{}
				}
				ended[r][p] = true
			case 1:
				f.tables[entry].Ended(p, now)
			case 2:
				f.tables[entry].Answered(r, now)
				if _, held := f.tables[entry].Held(r, now); held {
					t.Fatalf("held though it was just answered")
				}
			case 3:
				f.advance(now)
			}
			for n := range 4 {
				if f.held(request(n), now) > 0 && len(ended[request(n)]) < 3 {
					t.Fatalf("held after %d ends", len(ended[request(n)]))
				}
			}
		}
	})
}
