package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// withParts returns request number n of an organisation, with parts in its prompt.
func withParts(n, organisation int, parts ...quarantine.PartID) *quarantine.Request {
	r := whole((&quarantine.Identity{Organisation: fmt.Sprint("hauler-", organisation), Target: fmt.Sprint("/draft/", n)}).Fingerprint())
	r.Organisation, r.Parts = organisationTag(organisation), parts
	return r
}

var (
	badPart   = partID("bad", 0)
	otherPart = partID("other", 0)
)

// badPartOfAny is the feature of all requests with badPart, whoever sends them.
var badPartOfAny = func() quarantine.Feature {
	d := newPartDay()
	for n := range 5 {
		d.crashUnder(withParts(n, n, badPart))
	}
	verdict, _ := d.tables[0].Held(withParts(4, 4, badPart), d.now)
	return verdict.Feature
}()

// partDay is a series of crashes, one in 300 ms, with answers to other requests between them.
type partDay struct {
	*cluster
	now time.Duration
	// silent is true if no server answers anything.
	silent bool
	// processes is the number of processes that have crashed.
	processes int
}

func newPartDay() *partDay { return &partDay{cluster: newCluster(3), now: time.Second} }

// crashUnder crashes one process under each request, which entry 0 sent.
func (d *partDay) crashUnder(requests ...*quarantine.Request) {
	for _, r := range requests {
		p := process(d.processes)
		d.processes++
		d.crashAttempts(p, map[int][]quarantine.Attempt{0: {{Request: r, Process: p, ClosedByServer: true}}}, d.now)
		d.now += 300 * ms
		if !d.silent {
			d.answer(withParts(int(d.now), 9, partID("first", 0)))
		}
		d.advance(d.now)
	}
}

// answer records at all entries that the first event of an answer arrived.
func (d *partDay) answer(r *quarantine.Request) {
	for _, t := range d.tables {
		t.RecordBegun(r, d.now)
	}
}

// heldBy returns the number of entries that hold a request.
func (d *partDay) heldBy(r *quarantine.Request) int {
	n := 0
	for _, t := range d.tables {
		if _, ok := t.Held(r, d.now); ok {
			n++
		}
	}
	return n
}

// What is held must be what crashes servers, and nothing wider or narrower.
func TestNarrowestFeatureThatExplainsTheCrashesIsHeld(t *testing.T) {
	same, single := withParts(0, 1, badPart, otherPart), withParts(0, 1, badPart)
	for _, test := range []struct {
		name string
		run  func(d *partDay)
		// held and free are requests that must be held by all entries and by none.
		held, free *quarantine.Request
	}{
		{"One request is retried", func(d *partDay) { d.crashUnder(same, same, same) },
			same, withParts(1, 1, badPart)},
		{"One request with one part is retried", func(d *partDay) { d.crashUnder(single, single, single) },
			single, withParts(1, 1, badPart)},
		{"Different requests of an organisation", func(d *partDay) {
			d.crashUnder(withParts(1, 1, badPart), withParts(2, 1, badPart), withParts(3, 1, badPart))
		}, withParts(4, 1, badPart), withParts(5, 2, badPart)},
		{"Different organisations", func(d *partDay) {
			for n := range 5 {
				d.crashUnder(withParts(n, n, badPart))
			}
		}, withParts(6, 6, badPart), withParts(7, 6, otherPart)},
		{"Too few for all organisations", func(d *partDay) {
			for n := range 4 {
				d.crashUnder(withParts(n, n, badPart))
			}
		}, nil, withParts(6, 1, badPart)},
		{"A held request does not explain the crashes of others", func(d *partDay) {
			d.crashUnder(same, same, same, withParts(1, 1, badPart))
		}, withParts(2, 1, badPart), withParts(3, 1, otherPart)},
		{"The other part is answered", func(d *partDay) {
			for n := range 3 {
				d.crashUnder(withParts(n, 1, otherPart, badPart))
				d.answer(withParts(10+n, 1, otherPart))
			}
			d.now += time.Second
			d.advance(d.now)
		}, withParts(4, 1, badPart), withParts(5, 1, otherPart)},
		{"Answered until a moment", func(d *partDay) {
			d.answer(withParts(0, 1, badPart))
			d.now += 300 * ms
			for n := range 3 {
				d.crashUnder(withParts(1+n, 1, badPart))
				d.now += time.Second
			}
			d.advance(d.now)
		}, withParts(4, 1, badPart), withParts(5, 1, otherPart)},
		{"Answered between the crashes", func(d *partDay) {
			for n := range 5 {
				d.crashUnder(withParts(n, 1, badPart))
				d.answer(withParts(10+n, 2, badPart))
			}
		}, nil, withParts(6, 1, badPart)},
		{"Servers fail at one moment", func(d *partDay) {
			for n := range 8 {
				now := d.now
				d.crashUnder(withParts(n, n, badPart))
				d.now = now
			}
			d.now += time.Second
			d.answer(withParts(99, 9, partID("first", 0)))
			d.advance(d.now)
		}, nil, withParts(9, 1, badPart)},
		{"No server answers anything", func(d *partDay) {
			d.silent = true
			for n := range 6 {
				d.crashUnder(withParts(n, n, badPart))
			}
		}, nil, withParts(9, 1, badPart)},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newPartDay()
			test.run(d)
			if test.held != nil {
				qt.Check(t, d.heldBy(test.held), qt.Equals, len(d.tables))
			}
			qt.Check(t, d.heldBy(test.free), qt.Equals, 0)
		})
	}
}

// Servers that were paused run what they received meanwhile at once, and a part in it crashes several
// of them. A request that was sent to each of them must not be held for it.
func TestSimultaneousCrashesCountOnceForEveryFeature(t *testing.T) {
	d := newPartDay()
	alike := whole(request(0))
	for n := range 2 {
		for range 2 {
			p := process(d.processes)
			d.processes++
			d.crashAttempts(p, map[int][]quarantine.Attempt{
				0: {{Request: alike, Process: p, ClosedByServer: true}},
				1: {{Request: withParts(n, 1, badPart), Process: p, ClosedByServer: true}},
			}, d.now)
		}
		d.now += 2 * time.Second
		d.advance(d.now)
	}
	qt.Assert(t, d.heldBy(alike), qt.Equals, 0)
}

// An entry has just started and does not know the others, or learns of crashes only seconds after them,
// while others get answers to what was in flight. It must not decide without these answers, and must
// decide if there are none.
func TestDecisionAwaitsTheAnswersOfOthers(t *testing.T) {
	for _, test := range []struct {
		started, answered bool
	}{{true, true}, {true, false}, {false, true}, {false, false}} {
		c := newCluster(2)
		now, alike := time.Second, request(0)
		c.tables[0].SetPeersKnown(!test.started, now)
		for n := range 3 {
			c.tables[0].RecordFailure(attempt(alike, process(n), true), now)
			now += 1500 * ms
		}
		if test.answered {
			c.tables[1].RecordAnswer(alike, now)
		}
		for n := range 3 {
			c.tables[0].RecordCrash(process(n), now)
		}
		for range 30 {
			now += 50 * ms
			c.advance(now)
			if test.started {
				qt.Check(t, c.held(alike, now), qt.Equals, 0)
			}
		}
		c.tables[0].SetPeersKnown(true, now)
		c.sendNew(now)
		for range 5 {
			now += 50 * ms
			c.advance(now)
		}
		qt.Check(t, c.held(alike, now) > 0, qt.Equals, !test.answered, qt.Commentf("%+v", test))
	}
}

// An entry that has reports of enough crashes has its own request at another one. It must not decide on
// the crashes that it knew before others could reply to its own report.
func TestFirstOwnCrashAwaitsReplies(t *testing.T) {
	c := newCluster(2)
	now, alike := time.Second, request(0)
	c.tables[1].RecordAnswer(alike, now)
	for n := range 3 {
		now += 300 * ms
		c.crash(process(n), map[int][]quarantine.Feature{1: {alike}}, now)
	}
	now += 3 * time.Second
	c.advance(now)
	c.tables[0].RecordFailure(attempt(alike, process(3), true), now)
	c.tables[0].RecordCrash(process(3), now)
	for range 30 {
		now += 50 * ms
		c.advance(now)
		qt.Assert(t, c.held(alike, now), qt.Equals, 0)
	}
}

// While servers answer nothing, requests that callers send alike are in flight at each crash. They must
// not be held for a part of other requests, however many servers crash, until they are in flight alone.
func TestRequestsSentAlikeAreNotHeldWhileNothingIsAnswered(t *testing.T) {
	d := newPartDay()
	d.silent = true
	alike := []*quarantine.Request{whole(request(0)), whole(request(1))}
	for n := range 6 {
		p := process(d.processes)
		d.processes++
		attempts := map[int][]quarantine.Attempt{1: {{Request: withParts(n, 1, badPart), Process: p, ClosedByServer: true}}}
		for _, r := range alike[:1+n%2] {
			attempts[0] = append(attempts[0], quarantine.Attempt{Request: r, Process: p, ClosedByServer: true})
		}
		d.crashAttempts(p, attempts, d.now)
		d.now += 300 * ms
		d.advance(d.now)
	}
	qt.Assert(t, d.heldBy(alike[0])+d.heldBy(alike[1]), qt.Equals, 0)
	d.crashUnder(alike[0])
	qt.Assert(t, d.heldBy(alike[0]), qt.Equals, len(d.tables))
}

// An answer between two crashes may become known after the second. The first must then not count.
func TestLateNewsOfAnAnswerClearsEarlierCrashes(t *testing.T) {
	d := newPartDay()
	var answered time.Duration
	for n := range 3 {
		d.crashUnder(withParts(n, 1, badPart))
		switch n {
		case 0:
			answered = d.now - 150*ms
		case 1:
			d.tables[0].Merge(&quarantine.CrashReport{Cleared: []quarantine.Clearance{{
				Feature: badPartOfAny, Kind: quarantine.KindPart, Age: d.now - answered}}}, d.now)
		}
		// Long enough for crashes to count separately.
		d.now += quarantine.DefaultConfig().CorrelationWindow
	}
	d.advance(d.now)
	qt.Assert(t, d.heldBy(withParts(9, 1, badPart)), qt.Equals, 0)
}

// A request that was held before the part that it has was known must not stay held on its own once
// servers answer the part again.
func TestHoldOfRequestIsWithdrawnForItsPart(t *testing.T) {
	d := newPartDay()
	same := withParts(0, 1, badPart)
	d.crashUnder(same, same, same, withParts(1, 1, badPart))
	verdict, held := d.tables[1].Held(same, d.now)
	qt.Assert(t, held, qt.IsTrue)
	qt.Assert(t, verdict.Kind, qt.Equals, quarantine.KindOrganisationPart)
	for _, table := range d.tables {
		qt.Assert(t, table.HeldCount(quarantine.KindRequest, d.now), qt.Equals, 0)
		qt.Assert(t, table.Digest(d.now), qt.Equals, d.tables[0].Digest(d.now))
	}
	d.now += quarantine.DefaultConfig().HoldDuration
	d.tables[2].RecordBegun(withParts(2, 1, badPart), d.now)
	d.sendNew(d.now)
	for _, table := range d.tables {
		qt.Assert(t, table.Trials(same, d.now), qt.HasLen, 0)
	}
}

// When a hold ends, each entry tried its own request, and each try crashed a server. At any time
// only the entries of one turn may try, and within a round each may.
func TestTrialsTakeTurns(t *testing.T) {
	config := quarantine.DefaultConfig()
	for _, n := range []int{1, 8, 98} {
		table := quarantine.New(config)
		var hosts []string
		for i := range n {
			hosts = append(hosts, fmt.Sprint("edge-", i))
		}
		turns := map[string]bool{}
		for since := time.Duration(0); since < time.Minute; since += 500 * ms {
			trying := 0
			for _, host := range hosts {
				wait := table.TrialWait(quarantine.Trial{Feature: request(0), Since: since}, host, hosts)
				qt.Assert(t, wait >= 0 && wait < time.Duration(n)*config.TrialInterval, qt.IsTrue)
				if wait == 0 {
					trying++
					turns[host] = true
				}
			}
			qt.Assert(t, trying >= 1 && trying <= (n+15)/16, qt.IsTrue, qt.Commentf("%d of %d entries try", trying, n))
		}
		qt.Assert(t, turns, qt.HasLen, n)
	}
}

// For any order of events and any lost messages, a part that was just answered here is not held,
// and none after crashes of fewer than three processes.
func TestAnyOrderOfEventsWithParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		c.dropped = func(int, int) bool { return rapid.Bool().Draw(t, "lost") }
		now := time.Second
		failedAt := map[quarantine.PartID]map[quarantine.Process]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * ms
			entry := c.tables[rapid.IntRange(0, 2).Draw(t, "entry")]
			p := process(rapid.IntRange(0, 9).Draw(t, "process"))
			r := withParts(rapid.IntRange(0, 5).Draw(t, "request"), rapid.IntRange(0, 2).Draw(t, "organisation"),
				rapid.SliceOfNDistinct(rapid.Map(rapid.IntRange(0, 3), func(n int) quarantine.PartID { return partID("p", n) }), 1, 3, rapid.ID).Draw(t, "parts")...)
			begun := rapid.Bool().Draw(t, "begun")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				entry.RecordFailure(quarantine.Attempt{Request: r, Process: p, Begun: begun, ClosedByServer: true}, now)
				for _, id := range r.Parts {
					if failedAt[id] == nil {
						failedAt[id] = map[quarantine.Process]bool{}
					}
					failedAt[id][p] = failedAt[id][p] || !begun
				}
			case 1:
				entry.RecordCrash(p, now)
			case 2:
				entry.RecordBegun(r, now)
				if v, held := entry.Held(&quarantine.Request{Organisation: r.Organisation, Parts: r.Parts}, now); held {
					t.Fatalf("%v is held although it was just answered", v)
				}
			case 3:
				c.advance(now)
			}
			for n := range 4 {
				id, suspected := partID("p", n), 0
				for _, pending := range failedAt[id] {
					if pending {
						suspected++
					}
				}
				for _, table := range c.tables {
					if _, held := table.Held(&quarantine.Request{Organisation: r.Organisation, Parts: []quarantine.PartID{id}}, now); held && suspected < 3 {
						t.Fatalf("a part is held after crashes of only %d processes", suspected)
					}
				}
			}
		}
	})
}

// Callers may send new parts with each request. An entry must not run out of memory, and a part
// that is held must not be evicted.
func TestMemoryOfPartsIsBounded(t *testing.T) {
	d := newPartDay()
	for n := range 3 {
		d.crashUnder(withParts(n, 1, badPart))
	}
	for n := range 3000 {
		r, p := withParts(100+n, 1, partID("new", 2*n), partID("new", 2*n+1)), process(1_000_000+n)
		d.tables[0].RecordFailure(quarantine.Attempt{Request: r, Process: p, ClosedByServer: true}, d.now)
		d.tables[0].RecordCrash(p, d.now)
	}
	qt.Assert(t, d.heldBy(withParts(1, 1, badPart)), qt.Equals, len(d.tables))
	suspected := 0
	for n := range 6000 {
		if d.tables[0].SuspectsPart(partID("new", n)) {
			suspected++
		}
	}
	qt.Assert(t, suspected <= quarantine.DefaultConfig().MaxEntries, qt.IsTrue, qt.Commentf("%d", suspected))
}

// BenchmarkParts measures what a request of five parts costs its entry: the look-up before it is
// sent, and the record of its first event.
func BenchmarkParts(b *testing.B) {
	for _, suspects := range []int{0, 1, 4096} {
		table := quarantine.New(quarantine.DefaultConfig())
		now := time.Second
		for n := range suspects / 2 {
			p := process(n)
			table.RecordFailure(quarantine.Attempt{Request: withParts(n, 1), Process: p, ClosedByServer: true}, now)
			table.RecordFailure(quarantine.Attempt{Request: withParts(n, 1, partID("suspect", n)), Process: p, ClosedByServer: true}, now)
			table.RecordCrash(p, now)
		}
		r := withParts(1_000_000, 1, partID("a", 1), partID("a", 2), partID("a", 3), partID("a", 4), partID("a", 5))
		b.Run(fmt.Sprintf("Held/%d", suspects), func(b *testing.B) {
			for b.Loop() {
				table.Held(r, now)
			}
		})
		b.Run(fmt.Sprintf("Begun/%d", suspects), func(b *testing.B) {
			for b.Loop() {
				table.RecordBegun(r, now)
			}
		})
	}
	table, now := quarantine.New(quarantine.DefaultConfig()), time.Second
	b.Run("Begun/NoParts", func(b *testing.B) {
		r := withParts(1, 1)
		for b.Loop() {
			table.RecordBegun(r, now)
		}
	})
	b.Run("Answer/NoParts", func(b *testing.B) {
		r := withParts(1, 1)
		for b.Loop() {
			table.RecordAnswer(r.Fingerprint, now)
		}
	})
	b.Run("Alive", func(b *testing.B) {
		p := process(1)
		for b.Loop() {
			table.RecordAlive(p, now)
		}
	})
	b.Run("PartID", func(b *testing.B) {
		for b.Loop() {
			quarantine.NewPartID("drafter", "5c1e07a2")
		}
	})
}
