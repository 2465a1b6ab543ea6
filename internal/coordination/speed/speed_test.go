package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
)

const (
	ms = time.Millisecond
	// passGap is the mean gap of a full batch: six steps of 7 ms and 0.8 prompts of 29 ms.
	passGap   = 65 * ms
	stepsGap  = 42 * ms
	promptGap = 29 * ms
)

// observed simulates one server whose events some entries observe. The first entry runs the estimator
// under test, the others send it what they observe.
type observed struct {
	rng     *rand.Rand
	entries []*Estimator
	now     time.Duration
	nextAt  time.Duration
	// factor is the server's slowdown at a time.
	factor func(now time.Duration) float64
	// report, if set, returns what the server reports each 200 ms.
	report func(now time.Duration) float64
	// silent is true while no request is at the server.
	silent bool
}

func newObserved(seed uint64, entries int) *observed {
	o := &observed{rng: rand.New(rand.NewPCG(seed, 1)), now: 100 * time.Second, factor: func(time.Duration) float64 { return 1 }}
	o.nextAt = o.now
	for range entries {
		o.entries = append(o.entries, New())
	}
	return o
}

func constant(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// run advances the time in steps of 20 ms and calls check, which may be nil, after each.
func (o *observed) run(duration time.Duration, check func(slowdown float64)) {
	for end := o.now + duration; o.now < end; o.now += 20 * ms {
		for o.nextAt <= o.now {
			gap := stepsGap
			for range 16 {
				if o.rng.Float64() < 0.05 {
					gap += promptGap
				}
			}
			gap = time.Duration(float64(gap) * o.factor(o.nextAt))
			o.nextAt += gap
			if o.silent {
				continue
			}
			for i, e := range o.entries {
				for range 2 - i%2 {
					e.ObserveGap("m1", gap, passGap, o.nextAt)
				}
			}
		}
		if o.report != nil && o.now%(200*ms) == 0 {
			o.entries[0].Report("m1", o.report(o.now), o.now)
		}
		if o.now%(500*ms) == 0 {
			for i, e := range o.entries[1:] {
				o.entries[0].ApplyPeer(filbertlever.HostID(fmt.Sprint("e", i)), e.Observations(o.now), o.now)
			}
		}
		if check != nil {
			check(o.slowdown())
		}
	}
}

func (o *observed) slowdown() float64 { return o.entries[0].Slowdown("m1", o.now) }

// timeUntil runs until the slowdown is in a range and returns how long that took.
func (o *observed) timeUntil(low, high float64, limit time.Duration) time.Duration {
	for start := o.now; o.now < start+limit; {
		if s := o.slowdown(); s >= low && s <= high {
			return o.now - start
		}
		o.run(20*ms, nil)
	}
	return limit
}

// Calm: placement changed although no server was slow. Neither chance, with 1 or no reports, nor
// single prompts read between two events may make a server slow.
func TestNormalGapsAreNeverSlow(t *testing.T) {
	for _, entries := range []int{1, 8} {
		for _, report := range []func(time.Duration) float64{nil, constant(1), constant(1.1)} {
			o := newObserved(uint64(entries), entries)
			o.report = report
			o.run(10*time.Minute, func(slowdown float64) {
				if slowdown >= 1.25 {
					t.Fatalf("%d entries, reports %v: slowdown %v at %v", entries, report != nil, slowdown, o.now)
				}
			})
		}
	}
}

// A server 2.5 times slower for a day: its reports, or gaps alone, must show it, and its recovery.
func TestSlowServerIsRecognisedAndRecovers(t *testing.T) {
	c := qt.New(t)
	for _, reports := range []bool{true, false} {
		o := newObserved(3, 4)
		o.run(10*time.Second, nil)
		o.factor = constant(2.5)
		if reports {
			o.report = constant(2.5)
		}
		slow := o.timeUntil(1.9, 2.9, 10*time.Second)
		o.run(time.Minute, func(slowdown float64) {
			c.Assert(slowdown > 1.5 && slowdown < 4, qt.IsTrue, qt.Commentf("%v", slowdown))
		})
		o.factor = constant(1)
		if reports {
			o.report = constant(1)
		}
		recovered := o.timeUntil(0.5, 1.24, 10*time.Second)
		t.Logf("reports %v: slow after %v, normal after %v", reports, slow, recovered)
		limit := 3 * time.Second
		if reports {
			limit = 200 * ms
		}
		c.Check(slow <= limit, qt.IsTrue, qt.Commentf("reports %v: slow after %v", reports, slow))
		c.Check(recovered <= limit, qt.IsTrue, qt.Commentf("reports %v: normal after %v", reports, recovered))
	}
}

// Reports that lie: a server that always reports 1 although it is slow, one that reports 8 although it
// is not, and one whose report changes all the time.
func TestGapsContradictFalseReports(t *testing.T) {
	c := qt.New(t)
	slowLiar := newObserved(5, 4)
	slowLiar.factor, slowLiar.report = constant(2.5), constant(1)
	slowLiar.run(4*time.Second, nil)
	slowLiar.run(time.Minute, func(slowdown float64) { c.Assert(slowdown > 1.5, qt.IsTrue, qt.Commentf("%v", slowdown)) })
	// Without requests the report is doubted for 6 s, so that the server is tried at most that often.
	slowLiar.silent = true
	slowLiar.run(5*time.Second, func(slowdown float64) { c.Assert(slowdown > 1.5, qt.IsTrue) })
	c.Check(slowLiar.timeUntil(1, 1, 10*time.Second) < 4*time.Second, qt.IsTrue)

	fastLiar := newObserved(6, 4)
	fastLiar.report = constant(8)
	fastLiar.run(4*time.Second, nil)
	fastLiar.run(time.Minute, func(slowdown float64) { c.Assert(slowdown < 1.25, qt.IsTrue, qt.Commentf("%v", slowdown)) })

	changing := newObserved(7, 4)
	changing.report = func(now time.Duration) float64 { return 0.5 + 7.5*float64(now/(200*ms)%2) }
	changing.run(5*time.Second, nil)
	changing.run(time.Minute, func(slowdown float64) { c.Assert(slowdown < 1.25, qt.IsTrue, qt.Commentf("%v", slowdown)) })
}

// A spell of 0.6 s: gaps alone ignore it, as it is over once they show it. With reports, the server is
// slow from its report on, and normal at the report of the end.
func TestSpellEndsWithItsReport(t *testing.T) {
	c := qt.New(t)
	for _, reports := range []bool{false, true} {
		o := newObserved(8, 4)
		spell := func(now time.Duration) float64 {
			if now%(8*time.Second) < 600*ms {
				return 2.5
			}
			return 1
		}
		o.factor = spell
		if reports {
			o.report = func(now time.Duration) float64 { return spell(now - 200*ms) }
		}
		o.run(time.Minute, func(slowdown float64) {
			reported := reports && o.report(o.now-o.now%(200*ms)) > 1
			c.Assert(slowdown >= 1.25, qt.Equals, reported, qt.Commentf("reports %v: %v at %v", reports, slowdown, o.now%(8*time.Second)))
		})
	}
}

// One pause of a second, which all streams of the server see, and single outliers must not count.
func TestSingleOutliersDoNotCount(t *testing.T) {
	o := newObserved(9, 4)
	o.factor = func(now time.Duration) float64 {
		if now%(5*time.Second) < 80*ms {
			return 15
		}
		return 1
	}
	o.run(time.Minute, func(slowdown float64) {
		if slowdown >= 1.25 {
			t.Fatalf("slowdown %v at %v", slowdown, o.now)
		}
	})
}

// Reports stop, and the server gets no requests: a server that was 16 times slower must be tried
// again within 16 s.
func TestServerWithoutInformationIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	e, start := New(), 100*time.Second
	e.Report("m1", 16, start)
	c.Check(e.Slowdown("m1", start+5900*ms), qt.Equals, 16.0)
	last := 16.0
	for at := 6 * time.Second; at < 30*time.Second; at += 100 * ms {
		slowdown := e.Slowdown("m1", start+at)
		c.Assert(slowdown <= last && slowdown >= 1, qt.IsTrue)
		c.Assert(at < 16*time.Second || slowdown < 1.25, qt.IsTrue, qt.Commentf("%v after %v", slowdown, at))
		last = slowdown
	}
	// Gaps take the place of reports that stopped.
	o := newObserved(10, 4)
	o.factor = constant(2.5)
	o.entries[0].Report("m1", 2.5, o.now)
	o.run(time.Minute, func(slowdown float64) { c.Assert(slowdown > 1.6, qt.IsTrue, qt.Commentf("%v", slowdown)) })
}

// An entry was frozen for some seconds. The gaps that it measured over the pause and the events that it
// then reads at once say nothing of the servers, nor does what it observed before.
func TestFrozenEntryDiscardsObservations(t *testing.T) {
	c := qt.New(t)
	o := newObserved(11, 1)
	o.factor = constant(2.5)
	o.run(4*time.Second, nil)
	c.Assert(o.slowdown() > 1.6, qt.IsTrue)
	e := o.entries[0]
	resumedAt := o.now + 3*time.Second
	e.Invalidate(resumedAt)
	for range 12 {
		e.ObserveGap("m1", 3*time.Second, passGap, resumedAt)
		for range 40 {
			e.ObserveGap("m1", 10*time.Microsecond, passGap, resumedAt+10*ms)
		}
	}
	c.Check(e.Slowdown("m1", resumedAt+20*ms), qt.Equals, 1.0)
	c.Check(e.Observations(resumedAt+20*ms), qt.HasLen, 0)
	o.now, o.nextAt, o.factor = resumedAt+20*ms, resumedAt+20*ms, constant(1)
	o.run(10*time.Second, func(slowdown float64) { c.Assert(slowdown < 1.25, qt.IsTrue) })
}

// Impossible values, gaps in any order and false peers must neither panic nor leave the bounds.
func TestEstimateStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := New(), time.Second
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
			at := now - time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "late"))*ms
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				e.Report("m1", rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 1e300, 1, 2.5}).Draw(t, "report"), at)
			case 1:
				for range 30 {
					e.ObserveGap("m1", time.Duration(rapid.Int64().Draw(t, "gap")), time.Duration(rapid.Int64().Draw(t, "expected")), at)
				}
			case 2:
				o := Observation{Slowdown: rapid.Uint32().Draw(t, "slowdown"), Gaps: rapid.Uint32().Draw(t, "gaps")}
				e.ApplyPeer("e1", map[string]Observation{"m1": o}, at)
			case 3:
				for _, o := range e.Observations(now) {
					if o.Slowdown < 1000*minSlowdown || o.Slowdown > 1000*maxSlowdown || o.Gaps == 0 {
						t.Fatalf("observation %+v", o)
					}
				}
			case 4:
				e.Invalidate(now)
			}
			if s := e.Slowdown("m1", now); !(s >= minSlowdown && s <= maxSlowdown) {
				t.Fatalf("slowdown %v", s)
			}
		}
	})
}

// Names of servers and peers without an end must not exhaust the memory.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	e, now := New(), 100*time.Second
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range maxServers + 100 {
		id := fmt.Sprintf("i-%010x", i)
		e.Report(id, 2, now+time.Duration(i))
		e.ObserveGap(id, passGap, passGap, now+time.Duration(i))
	}
	for i := range 200 {
		e.ApplyPeer(filbertlever.HostID(fmt.Sprint("e", i)), map[string]Observation{"i-0000002000": {Slowdown: 2000, Gaps: 9}}, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perServer := (after.HeapAlloc - before.HeapAlloc) / maxServers
	t.Logf("%d bytes per server", perServer)
	c.Check(e.servers, qt.HasLen, maxServers)
	c.Check(len(e.servers["i-0000002000"].peers) <= maxPeers, qt.IsTrue)
	c.Check(perServer < 1024, qt.IsTrue, qt.Commentf("%d bytes", perServer))
	c.Check(len(e.Observations(now)) <= MaxObservations, qt.IsTrue)
	runtime.KeepAlive(e)
}

// BenchmarkEstimator measures the calls for a server with full buckets and the observations of 23 peers.
func BenchmarkEstimator(b *testing.B) {
	o := newObserved(1, 24)
	o.run(5*time.Second, nil)
	e, now := o.entries[0], o.now
	b.Run("ObserveGap", func(b *testing.B) {
		b.ReportAllocs()
		at := now
		for b.Loop() {
			at += 500 * time.Microsecond
			e.ObserveGap("m1", passGap, passGap, at)
		}
	})
	b.Run("Report", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e.Report("m1", 1, now)
		}
	})
	b.Run("Estimate", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			e.Estimate("m1", now)
		}
	})
}
