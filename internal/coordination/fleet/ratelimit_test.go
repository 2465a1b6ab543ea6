package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// Bounds of a rate limit: the requests in any limitWindow from entries that had received an answer
// with the limit limitGrace before, once limitDelay has passed since the first such answer.
const (
	limitWindow    = 4 * time.Second
	limitGrace     = 500 * time.Millisecond
	limitDelay     = 3 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

func maxInLimitWindow(perSecond float64) int {
	return int(limitOvershoot*perSecond*limitWindow.Seconds()) + limitSlack
}

func rate(perSecond float64) *float64 { return &perSecond }

// limitedServer returns the only server of the plain service.
func limitedServer() catalog.Backend { return newBackend("o1", plainService, "10.0.0.1:1", 1) }

// limitSimulation simulates entries that send requests to one server with a rate limit.
type limitSimulation struct {
	rng     *rand.Rand
	fleets  []*Fleet
	entries []filbertlever.Host
	// cut are the entries whose reports are lost, both ways.
	cut []bool
	// limit is what the server announces; nil for none.
	limit *float64
	// informedAt is when each entry received its first answer with a limit; negative if it has not.
	informedAt []time.Duration
	firstAt    time.Duration
	// events are the answers and reports in flight.
	events []limitEvent
	// counted are the times of the requests that count against the limit, and arrived of all.
	counted, arrived []time.Duration
}

// limitEvent is an answer or a report that arrives at an entry.
type limitEvent struct {
	at       time.Duration
	entry    int
	fleet    *Fleet
	report   *RateReport
	limit    *float64
	placedAt time.Duration
}

func newLimitSimulation(perRegion int, seed uint64) *limitSimulation {
	s := &limitSimulation{rng: rand.New(rand.NewPCG(seed, 1)), fleets: newColdFleets(perRegion), firstAt: -1}
	s.entries = s.fleets[0].entries
	s.cut = make([]bool, len(s.fleets))
	for i, f := range s.fleets {
		f.Apply([]catalog.Backend{limitedServer()}, nil, true, 0)
		f.rng = rand.New(rand.NewPCG(seed, uint64(i)))
		s.informedAt = append(s.informedAt, -1)
	}
	return s
}

// restart replaces an entry by one that knows nothing.
func (s *limitSimulation) restart(i int, now time.Duration) {
	old := s.fleets[i]
	f := New(old.config, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	f.SetState(old.state, now)
	f.SetEntries(s.entries, now)
	f.Apply([]catalog.Backend{limitedServer()}, nil, true, now)
	s.fleets[i], s.informedAt[i] = f, -1
}

// step delivers what arrives and lets each entry place a request with some probability.
func (s *limitSimulation) step(now time.Duration, probability float64) {
	s.deliver(now)
	for i, f := range s.fleets {
		if s.rng.Float64() < probability {
			s.place(i, f, now)
		}
		for _, r := range f.RateReports(now) {
			s.report(i, r, now)
		}
	}
}

func (s *limitSimulation) place(i int, f *Fleet, now time.Duration) {
	p := f.Choose(Request{Service: plainService}, now)
	if !p.Found {
		return
	}
	f.release(p.Backend.ID)
	s.arrived = append(s.arrived, now)
	if at := s.informedAt[i]; at >= 0 && now-at >= limitGrace {
		s.counted = append(s.counted, now)
	}
	latency := time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))
	s.events = append(s.events, limitEvent{at: now + latency, entry: i, fleet: f, limit: s.limit, placedAt: now})
}

// report sends a report to all other entries; one in ten is lost.
func (s *limitSimulation) report(from int, r RateReport, now time.Duration) {
	for to, f := range s.fleets {
		if to == from || s.cut[from] || s.cut[to] || s.rng.IntN(10) == 0 {
			continue
		}
		latency := time.Duration(s.rng.Int64N(int64(30 * time.Millisecond)))
		s.events = append(s.events, limitEvent{at: now + latency, entry: to, fleet: f, report: &r})
	}
}

func (s *limitSimulation) deliver(now time.Duration) {
	s.events = slices.DeleteFunc(s.events, func(e limitEvent) bool {
		if e.at > now {
			return false
		}
		switch {
		case e.fleet != s.fleets[e.entry]:
			// The process that sent the request has ended.
		case e.report != nil:
			e.fleet.ApplyRateReport(*e.report, now)
		default:
			e.fleet.RecordRateLimit(Answer{Backend: limitedServer()}, e.limit, e.placedAt, now)
			if e.limit != nil && s.informedAt[e.entry] < 0 {
				s.informedAt[e.entry] = now
			}
			if e.limit != nil && s.firstAt < 0 {
				s.firstAt = now
			}
		}
		return true
	})
}

// mostCounted returns the largest number of counted requests within limitWindow.
func (s *limitSimulation) mostCounted() int {
	most, first := 0, 0
	for last, at := range s.counted {
		for at-s.counted[first] > limitWindow {
			first++
		}
		if s.firstAt >= 0 && at-s.firstAt >= limitDelay {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Entries that know different lists of entries, are cut off, restart or join shared a limit so that
// the server got more than it had announced for all of them together.
func TestRateLimitHoldsWhileViewsOfEntriesDiffer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perRegion := rapid.SampledFrom([]int{2, 4, 10, 30}).Draw(rt, "entries")
		s := newLimitSimulation(perRegion, rapid.Uint64().Draw(rt, "seed"))
		perSecond := rapid.SampledFrom([]float64{0, 0.3, 1, 2.7, 8, 40}).Draw(rt, "rate")
		probability := rapid.SampledFrom([]float64{0.01, 0.1, 0.5}).Draw(rt, "load")
		joining := rapid.IntRange(0, len(s.entries)-1).Draw(rt, "joining")
		// without lacks an entry that has not registered yet, or is removed.
		without := slices.Concat(s.entries[:joining], s.entries[joining+1:])
		for _, f := range s.fleets {
			if rapid.Bool().Draw(rt, "late") && f.config.Host != s.entries[joining].ID {
				f.SetEntries(without, 0)
			}
		}
		s.limit = rate(perSecond)
		for now := time.Duration(0); now < 12*time.Second; now += 10 * time.Millisecond {
			i := s.rng.IntN(len(s.fleets))
			switch s.rng.IntN(200) {
			case 0:
				s.restart(i, now)
			case 1:
				s.cut[i] = !s.cut[i]
			case 2:
				s.fleets[i].SetEntries(s.entries, now)
			case 3:
				s.fleets[i].RecordFailure(limitedServer().ID, now)
			}
			s.step(now, probability)
		}
		if most, bound := s.mostCounted(), maxInLimitWindow(perSecond); most > bound {
			rt.Fatalf("%d requests within %v, allowed %d", most, limitWindow, bound)
		}
	})
}

// The entries together use most of the rate, resume when the limit is lifted, and keep a limit that
// changes.
func TestRateLimitIsUsedChangedAndLifted(t *testing.T) {
	for _, perRegion := range []int{4, 30} {
		t.Run(fmt.Sprint(2*perRegion), func(t *testing.T) {
			c := qt.New(t)
			s := newLimitSimulation(perRegion, 7)
			phase := func(limit *float64, from time.Duration) []time.Duration {
				s.limit, s.arrived = limit, nil
				for now := from; now < from+16*time.Second; now += 10 * time.Millisecond {
					s.step(now, 0.1)
				}
				// The second half, when all entries know the limit.
				return slices.DeleteFunc(s.arrived, func(at time.Duration) bool { return at < from+8*time.Second })
			}
			between := func(n int, perSecond float64) bool {
				return float64(n) >= 0.6*8*perSecond && float64(n) <= 8*perSecond*1.2+3
			}
			for step, perSecond := range []float64{2, 10, 4} {
				n := len(phase(rate(perSecond), time.Duration(step)*16*time.Second))
				c.Check(between(n, perSecond), qt.IsTrue, qt.Commentf("%d requests in 8 s at %v a second", n, perSecond))
			}
			n := len(phase(nil, 3*16*time.Second))
			c.Check(float64(n) > 0.9*8*0.1*100*float64(len(s.fleets)), qt.IsTrue, qt.Commentf("%d requests in 8 s without a limit", n))
		})
	}
}

// All entries that are not senders of a limited server had their turn at the same moment, if they had
// learned of the limit soon after the start of their clocks.
func TestOtherEntriesTakeTurnsAtALimitedServer(t *testing.T) {
	c := qt.New(t)
	s := newLimitSimulation(30, 7)
	const perSecond = 1.0
	s.limit = rate(perSecond)
	for i, f := range s.fleets {
		c.Assert(f.ApplyRateReport(RateReport{Backend: limitedServer().ID, PerSecond: perSecond}, time.Second), qt.IsTrue)
		s.informedAt[i] = time.Second
	}
	s.firstAt = time.Second
	interval := time.Duration(float64(len(s.fleets)-minRateSenders)/(otherEntriesShare*perSecond)) * time.Second
	for now := time.Second; now < interval+2*time.Second; now += 200 * time.Millisecond {
		s.step(now, 1)
	}
	c.Check(s.mostCounted() <= maxInLimitWindow(perSecond), qt.IsTrue, qt.Commentf("%d requests", s.mostCounted()))
	perEntry := float64(len(s.counted)) / interval.Seconds()
	c.Check(perEntry > 0.9*perSecond && perEntry < 1.3*perSecond, qt.IsTrue, qt.Commentf("%v a second", perEntry))
}

// Answers arrive in another order than the server sent them.
func TestRateLimitFollowsTheLastAnswer(t *testing.T) {
	// answer is what arrives at a time: an answer to a request placed at a time, or a report.
	type answer struct {
		limit    *float64
		placedAt time.Duration
		at       time.Duration
		report   bool
		boot     catalog.Boot
	}
	s := time.Second
	tests := []struct {
		name    string
		answers []answer
		want    float64
	}{
		{"announced", []answer{{limit: rate(2), at: s}}, 2},
		{"raised", []answer{{limit: rate(2), at: s}, {limit: rate(5), placedAt: 2 * s, at: 3 * s}}, 5},
		{"lowered", []answer{{limit: rate(5), at: s}, {limit: rate(2), placedAt: 2 * s, at: 3 * s}}, 2},
		{"two at once, the lower one last", []answer{{limit: rate(5), at: 2 * s}, {limit: rate(2), placedAt: s, at: 3 * s}}, 2},
		{"two at once, the higher one last", []answer{{limit: rate(2), at: 2 * s}, {limit: rate(5), placedAt: s, at: 3 * s}}, 2},
		{"zero", []answer{{limit: rate(0), at: s}}, minRateLimit},
		{"no longer announced", []answer{{limit: rate(2), at: s}, {placedAt: 2 * s, at: 3 * s}}, 0},
		{"an answer that began before", []answer{{limit: rate(2), at: 2 * s}, {placedAt: s, at: 3 * s}}, 2},
		{"announced again by an old answer", []answer{{limit: rate(2), at: s}, {placedAt: 2 * s, at: 3 * s}, {limit: rate(2), placedAt: s, at: 4 * s}}, 2},
		{"never announced", []answer{{placedAt: s, at: 2 * s}}, 0},
		{"reported", []answer{{limit: rate(3), at: s, report: true}}, 3},
		{"reported as lifted", []answer{{limit: rate(3), at: s}, {at: 2 * s, report: true}}, 0},
		{"an old report", []answer{{limit: rate(3), at: 2 * s}, {limit: rate(1), placedAt: s, at: 3 * s, report: true}}, 3},
		{"an old report that it was lifted", []answer{{limit: rate(3), at: 2 * s}, {placedAt: s, at: 3 * s, report: true}}, 3},
		{"of a process that has ended", []answer{{limit: rate(3), at: s, boot: 9}}, 0},
		{"reported for a process that has ended", []answer{{limit: rate(3), at: s, boot: 9, report: true}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newColdFleets(2)[0]
			server := limitedServer()
			server.Boot = 10
			f.Apply([]catalog.Backend{server}, nil, true, 0)
			for _, a := range test.answers {
				b := server
				b.Boot = max(a.boot, 9)
				if a.boot == 0 {
					b.Boot = server.Boot
				}
				if !a.report {
					f.RecordRateLimit(Answer{Backend: b}, a.limit, a.placedAt, a.at)
					continue
				}
				r := RateReport{Backend: b.ID, Boot: b.Boot}
				if a.limit != nil {
					r.PerSecond = *a.limit
				}
				if a.placedAt > 0 {
					r.Age = a.at - a.placedAt
				}
				f.ApplyRateReport(r, a.at)
			}
			got := 0.0
			if l := f.activeRateLimit(f.servers[server.ID]); l != nil {
				got = l.perSecond
			}
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

// A limit ends with the process that announced it.
func TestRateLimitEndsWithItsProcess(t *testing.T) {
	c := qt.New(t)
	f := newColdFleets(2)[0]
	server := limitedServer()
	server.Boot = 1
	f.Apply([]catalog.Backend{server}, nil, true, 0)
	f.RecordRateLimit(Answer{Backend: server}, rate(1), 0, 0)
	f.RateReports(0)
	c.Assert(f.activeRateLimit(f.servers[server.ID]), qt.IsNotNil)
	server.Boot, server.Revision = 2, 2
	f.Apply([]catalog.Backend{server}, nil, false, time.Second)
	c.Assert(f.activeRateLimit(f.servers[server.ID]), qt.IsNil)
	c.Assert(f.RateReports(time.Minute), qt.HasLen, 0)
}

// The row of a limited server expired while the list of entries changed, and no entry sent it a request
// again when it was back.
func TestRateLimitedServerIsUsedWhenItIsListedAgain(t *testing.T) {
	c := qt.New(t)
	f := newColdFleets(3)[0]
	f.Apply([]catalog.Backend{limitedServer()}, nil, true, 0)
	f.RecordRateLimit(Answer{Backend: limitedServer()}, rate(1), 0, 0)
	f.Apply(nil, nil, true, time.Second)
	c.Assert(f.Contains(limitedServer().ID), qt.IsFalse)
	entries := f.entries
	f.SetEntries(entries[:len(entries)-1], time.Second)
	f.SetEntries(entries, time.Second)
	f.Apply([]catalog.Backend{limitedServer()}, nil, true, 2*time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, 20*time.Second).Found, qt.IsTrue)
	c.Assert(f.Choose(Request{Service: plainService}, 20*time.Second).Found, qt.IsFalse)
}

// A request that waited for a connection was sent although the server had announced a limit since.
func TestRequestPlacedBeforeTheRateLimitIsNotSent(t *testing.T) {
	c := qt.New(t)
	// The three entries of one region are its senders.
	f := newColdFleets(3)[0]
	f.Apply([]catalog.Backend{limitedServer()}, nil, true, 0)
	before := f.Choose(Request{Service: plainService}, 0)
	c.Assert(f.WithinRateLimit(before), qt.IsTrue)
	f.RecordRateLimit(Answer{Backend: limitedServer()}, rate(1), 0, time.Second)
	c.Assert(f.WithinRateLimit(before), qt.IsFalse)
	f.ReleaseIfCurrent(before.Backend)
	after := f.Choose(Request{Service: plainService}, 20*time.Second)
	c.Assert(after.Found, qt.IsTrue)
	c.Assert(f.WithinRateLimit(after), qt.IsTrue)
	f.Release(after.Backend.ID)
	c.Assert(f.Choose(Request{Service: plainService}, 20*time.Second).Found, qt.IsTrue)
	refused := f.Choose(Request{Service: plainService}, 20*time.Second)
	c.Assert(refused.Found, qt.IsFalse)
	c.Assert(refused.ReadyIn > 0, qt.IsTrue)
}
