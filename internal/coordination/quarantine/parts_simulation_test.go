package quarantine_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
)

// partsScenario describes a day on which requests with a part of their prompts in common crash
// servers.
type partsScenario struct {
	seed                        uint64
	entries, servers, perServer int
	// parts is the number of parts of a prompt. The last one is the request's own.
	parts int
	// bad are the parts that crash servers, and organisations the number of those that send them.
	bad, organisations int
	// pause is the time between two requests with such a part.
	pause time.Duration
	// lost is the share of messages between entries that are lost.
	lost float64
	// others crashes servers for reasons of their own at each step.
	others func(p *partsRun)
}

// partsRun is a run of a scenario and what was seen in it.
type partsRun struct {
	*simulation
	partsScenario
	// crashed and tries are when requests with a bad part crashed a server and were sent to one.
	crashed map[quarantine.PartID][]time.Duration
	tries   map[quarantine.PartID][]time.Duration
	// heldSince is when a sound part was first seen held at some entry, and longest the longest time.
	heldSince map[quarantine.PartID]time.Duration
	longest   time.Duration
	// soundHeld is the number of sound parts that were held, and decided when all entries held a
	// bad part.
	soundHeld int
	decided   map[quarantine.PartID]time.Duration
	sound     map[quarantine.PartID]bool
}

// contactDelay is the time after the fifth crash in which entries must learn of a part that crashes
// servers. maxTriesAfterwards is how many requests with it may be sent to servers later.
const (
	contactDelay       = 3 * time.Second
	maxTriesAfterwards = 3
	crashesToKnow      = 5
	heartbeatInterval  = 400 * ms
	heartbeatTurns     = 5
)

func organisationTag(n int) uint64 { return quarantine.OrganisationTag(fmt.Sprint("hauler-", n)) }

func partID(kind string, n int) quarantine.PartID {
	return quarantine.NewPartID("drafter", fmt.Sprint(kind, n))
}

// prompt returns the parts of a sound request: a first part that thousands share, middle parts that
// tens or hundreds share, and its own last part.
func (p *partsRun) prompt() []quarantine.PartID {
	parts := []quarantine.PartID{partID("first", p.rng.IntN(4))}
	for len(parts) < p.parts-1 {
		id := partID("middle", int(rand.NewZipf(p.rng, 1.2, 1, 500).Uint64()))
		if !slices.Contains(parts, id) {
			parts = append(parts, id)
		}
	}
	return append(parts, partID("last", p.next))
}

func newPartsRun(s partsScenario) *partsRun {
	p := &partsRun{simulation: newSimulation(s.seed, s.servers), partsScenario: s, crashed: map[quarantine.PartID][]time.Duration{},
		tries: map[quarantine.PartID][]time.Duration{}, heldSince: map[quarantine.PartID]time.Duration{}, decided: map[quarantine.PartID]time.Duration{}, sound: map[quarantine.PartID]bool{}}
	p.cluster = newCluster(s.entries)
	p.dropped = func(int, int) bool { return s.lost > 0 && p.rng.Float64() < s.lost }
	p.nextRequest = func() *quarantine.Request {
		r := whole(request(p.next))
		r.Organisation, r.Parts = organisationTag(p.rng.IntN(10)), p.prompt()
		for _, id := range r.Parts[:len(r.Parts)-1] {
			p.sound[id] = true
		}
		return r
	}
	return p
}

// badRequest returns a request with a part that crashes servers among parts that sound requests have.
func (p *partsRun) badRequest(n int) *modelRequest {
	r := p.nextRequest()
	p.next++
	r.Organisation = organisationTag(n % max(p.organisations, 1))
	id := partID("bad", n%p.bad)
	at := 0
	if len(r.Parts) > 2 {
		at = 1
	}
	r.Parts = slices.Insert(r.Parts, at, id)
	return &modelRequest{Request: r, entry: p.rng.IntN(p.entries), crashes: true}
}

func (p *partsRun) badPart(r *modelRequest) quarantine.PartID {
	for n := range p.bad {
		if id := partID("bad", n); slices.Contains(r.Parts, id) {
			return id
		}
	}
	return quarantine.PartID{}
}

// play runs the scenario for a time, and returns what was seen.
func (p *partsRun) play(duration time.Duration) *partsRun {
	p.onSent = func(r *modelRequest) {
		id := p.badPart(r)
		p.tries[id] = append(p.tries[id], p.now)
	}
	p.onCrash = func(r *modelRequest) {
		id := p.badPart(r)
		p.crashed[id] = append(p.crashed[id], p.now)
	}
	p.run(2*time.Second, p.perServer)
	next, n := p.now, 0
	var retries []*modelRequest
	for end := p.now + duration; p.now < end; {
		if p.now >= next {
			r := p.badRequest(n)
			n, next = n+1, p.now+p.pause
			p.dispatch(r)
			retries = append(retries, r)
		}
		// The caller repeats the request once, at any entry.
		if len(retries) > 0 && p.rng.IntN(8) == 0 {
			r := retries[0]
			retries = retries[1:]
			p.dispatch(&modelRequest{Request: r.Request, entry: p.rng.IntN(p.entries), crashes: true})
		}
		if p.others != nil {
			p.others(p)
		}
		p.run(p.now+step, p.perServer)
		p.resend()
		p.observe()
	}
	return p
}

// resend sends the recent reports of each entry to a fifth of the others, as with each heartbeat.
func (p *partsRun) resend() {
	if p.now%heartbeatInterval != 0 {
		return
	}
	turn := int(p.now/heartbeatInterval) % heartbeatTurns
	for from, t := range p.tables {
		for _, report := range t.RecentReports(p.now) {
			p.sendTo(from, report, p.now, func(to int) bool { return to%heartbeatTurns == turn })
		}
	}
}

// observe records which parts are held.
func (p *partsRun) observe() {
	held := map[quarantine.PartID]bool{}
	for _, t := range p.tables {
		for _, report := range t.HoldReports(p.now) {
			for _, h := range report.Holds {
				if id := quarantine.PartID(h.Feature[8:]); h.Kind != quarantine.KindRequest && p.sound[id] {
					held[id] = true
				}
			}
		}
	}
	for id := range held {
		since, was := p.heldSince[id]
		if !was {
			since, p.heldSince[id], p.soundHeld = p.now, p.now, p.soundHeld+1
		}
		p.longest = max(p.longest, p.now-since)
	}
	maps.DeleteFunc(p.heldSince, func(id quarantine.PartID, _ time.Duration) bool { return !held[id] })
	for n := range p.bad {
		id := partID("bad", n)
		if _, ok := p.decided[id]; ok || !p.heldByAll(id) {
			continue
		}
		p.decided[id] = p.now
	}
}

func (p *partsRun) heldByAll(id quarantine.PartID) bool {
	for _, t := range p.tables {
		for n := range max(p.organisations, 1) {
			if _, held := t.Held(&quarantine.Request{Organisation: organisationTag(n), Parts: []quarantine.PartID{id}}, p.now); !held {
				return false
			}
		}
	}
	return true
}

// lateTries returns how many requests with a bad part were sent to servers contactDelay after its
// fifth crash, the most of any part.
func (p *partsRun) lateTries() int {
	most := 0
	for id, crashes := range p.crashed {
		if len(crashes) < crashesToKnow {
			continue
		}
		n := 0
		for _, at := range p.tries[id] {
			if at > crashes[crashesToKnow-1]+contactDelay {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// check verifies the promises of a run: a part is known contactDelay after its fifth crash, and no
// sound part is held for longer than a second.
func (p *partsRun) check(t *testing.T) {
	t.Helper()
	qt.Check(t, p.lateTries() <= maxTriesAfterwards, qt.IsTrue, qt.Commentf("seed %d: %d late tries", p.seed, p.lateTries()))
	qt.Check(t, p.longest <= time.Second, qt.IsTrue, qt.Commentf("seed %d: a sound part was held for %v", p.seed, p.longest))
}

// rackFailures crashes six servers at one moment every 4 s, and one server every 0.7 s.
func rackFailures(p *partsRun) {
	if p.now%(4*time.Second) == 0 {
		for _, s := range p.simulation.servers[:6] {
			p.crash(s)
		}
	}
	if p.now%(700*ms) == 0 {
		p.crash(p.simulation.servers[p.rng.IntN(len(p.simulation.servers))])
	}
}

// Parts that sound requests have in common must not be held for what another part does, and no part
// may go on to crash servers after five of them.
func TestOnlyPartsThatCrashServersAreHeld(t *testing.T) {
	for _, test := range []struct {
		name  string
		seeds int
		partsScenario
	}{
		{"1 request a server", 10, partsScenario{entries: 8, perServer: 1, parts: 4, bad: 1, pause: 300 * ms}},
		{"8 requests a server", 6, partsScenario{entries: 8, perServer: 8, parts: 4, bad: 1, pause: 300 * ms}},
		{"32 requests a server", 2, partsScenario{entries: 8, perServer: 32, parts: 4, bad: 1, pause: 300 * ms}},
		{"1 part", 4, partsScenario{entries: 8, perServer: 8, parts: 2, bad: 1, pause: 300 * ms}},
		{"8 parts", 4, partsScenario{entries: 8, perServer: 8, parts: 8, bad: 1, pause: 300 * ms}},
		{"45 entries", 2, partsScenario{entries: 45, perServer: 8, parts: 4, bad: 1, pause: 300 * ms}},
		{"Two parts", 6, partsScenario{entries: 8, perServer: 8, parts: 4, bad: 2, pause: 200 * ms}},
		{"Five organisations", 6, partsScenario{entries: 8, perServer: 8, parts: 4, bad: 1, organisations: 5, pause: 300 * ms}},
		{"Messages are lost", 6, partsScenario{entries: 8, perServer: 8, parts: 4, bad: 1, pause: 300 * ms, lost: 0.05}},
		{"Racks fail", 10, partsScenario{entries: 8, perServer: 8, parts: 4, bad: 1, pause: 300 * ms, others: rackFailures}},
		{"Few requests", 10, partsScenario{entries: 8, perServer: 1, parts: 8, bad: 1, pause: time.Second, others: rackFailures}},
	} {
		t.Run(test.name, func(t *testing.T) {
			crashes, late, refused, sent, held, bad := 0, 0, 0, 0, 0, 0
			var longest, slowest time.Duration
			for seed := range test.seeds {
				s := test.partsScenario
				s.seed, s.servers = uint64(seed), 24
				p := newPartsRun(s).play(12 * time.Second)
				p.check(t)
				crashes, refused, sent, held, late = crashes+p.crashes, refused+p.refused, sent+p.next, held+p.soundHeld, max(late, p.lateTries())
				bad, longest = bad+s.bad, max(longest, p.longest)
				for id, at := range p.decided {
					if c := p.crashed[id]; len(c) > 0 {
						slowest = max(slowest, at-c[min(len(c), crashesToKnow)-1])
					}
				}
			}
			t.Logf("%.1f crashes a part, %d of %d sound requests refused, %d sound parts held, longest %v, late tries %d, all entries %v after the fifth crash",
				float64(crashes)/float64(bad), refused, sent, held, longest, late, slowest)
		})
	}
}

// BenchmarkCrashingParts measures what a part that crashes servers costs until all entries hold it,
// and what sound requests pay, per million of them.
func BenchmarkCrashingParts(b *testing.B) {
	base := partsScenario{entries: 8, perServer: 8, parts: 4, bad: 1, pause: 300 * ms, lost: 0.05, others: rackFailures}
	with := func(change func(*partsScenario)) partsScenario {
		s := base
		change(&s)
		return s
	}
	for _, s := range []partsScenario{
		with(func(s *partsScenario) { s.perServer = 1 }), base, with(func(s *partsScenario) { s.perServer = 16 }), with(func(s *partsScenario) { s.perServer = 32 }),
		with(func(s *partsScenario) { s.parts = 1 }), with(func(s *partsScenario) { s.parts = 8 }),
		with(func(s *partsScenario) { s.bad = 2 }), with(func(s *partsScenario) { s.organisations = 5 }),
		with(func(s *partsScenario) { s.entries = 45 }), with(func(s *partsScenario) { s.entries = 98 }), with(func(s *partsScenario) { s.entries = 460 }),
	} {
		b.Run(fmt.Sprintf("%dEntries/%dPerServer/%dParts/%dBad/%dOrganisations", s.entries, s.perServer, s.parts, s.bad, max(s.organisations, 1)), func(b *testing.B) {
			var delays []time.Duration
			crashes, refused, held, sent, late, bytes, seed := 0, 0, 0, 0, 0, 0, uint64(0)
			longest := time.Duration(0)
			for b.Loop() {
				s.seed, s.servers = seed, 24
				seed++
				p := newPartsRun(s)
				p.countBytes = true
				p.play(12 * time.Second)
				crashes, refused, held, sent, late, bytes = crashes+p.crashes, refused+p.refused, held+p.soundHeld, sent+p.next, max(late, p.lateTries()), bytes+p.bytes
				longest = max(longest, p.longest)
				for n := range s.bad {
					at, ok := p.decided[partID("bad", n)]
					if !ok {
						at = p.now
					}
					if c := p.crashed[partID("bad", n)]; len(c) > 0 {
						delays = append(delays, at-c[min(len(c), crashesToKnow)-1])
					}
				}
			}
			slices.Sort(delays)
			b.ReportMetric(float64(crashes)/float64(int(seed)*s.bad), "crashes/part")
			b.ReportMetric(1e6*float64(refused)/float64(sent), "refused/M")
			b.ReportMetric(1e6*float64(held)/float64(sent), "held/M")
			b.ReportMetric(longest.Seconds(), "s/longest-hold")
			b.ReportMetric(float64(late), "late")
			b.ReportMetric(delays[len(delays)/2].Seconds(), "s/half")
			b.ReportMetric(delays[len(delays)*99/100].Seconds(), "s/99")
			b.ReportMetric(float64(bytes)/float64(seed)/float64(s.entries)/12, "B/s")
		})
	}
}
