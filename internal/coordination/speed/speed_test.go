package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
)

const (
	ms = time.Millisecond
	// passGap is the mean gap of a full batch: six steps of 7 ms and 0.8 prompts of 29 ms.
	passGap, stepsGap, promptGap = 65 * ms, 42 * ms, 29 * ms
)

// observed simulates one server whose events some entries observe. The first entry runs the estimator
// under test, the others send it what they observe.
type observed struct {
	rng         *rand.Rand
	entries     []*Estimator
	now, nextAt time.Duration
	// factor is the server's slowdown at a time.
	factor func(now time.Duration) float64
	// report, if set, returns what the server reports each 200 ms.
	report func(now time.Duration) float64
	// idle is true while no request is at the server.
	idle bool
}

func newObserved(seed uint64, entries int) *observed {
	o := &observed{rng: rand.New(rand.NewPCG(seed, 1)), now: 100 * time.Second, nextAt: 100 * time.Second, factor: constant(1)}
	for range entries {
		o.entries = append(o.entries, New())
	}
	return o
}

func constant(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// spell returns a slowdown that applies at the beginning of each period.
func spell(factor float64, length, period time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now%period >= length {
			return 1
		}
		return factor
	}
}

// run advances the time in steps of 20 ms and calls check, which may be nil, after each.
func (o *observed) run(duration time.Duration, check func(slowdown float64)) {
	for end := o.now + duration; o.now < end; o.now += 20 * ms {
		for o.nextAt <= o.now {
			prompts := 0
			for range 16 {
				prompts += (o.rng.IntN(20) + 1) / 20
			}
			gap := time.Duration(float64(stepsGap+time.Duration(prompts)*promptGap) * o.factor(o.nextAt))
			o.nextAt += gap
			for i, e := range o.entries {
				for n := 0; n < 3-i%3 && !o.idle; n++ {
					e.ObserveGap("m1", gap, passGap, o.nextAt)
				}
			}
		}
		if o.report != nil && o.now%(200*ms) == 0 {
			o.entries[0].Report("m1", o.report(o.now), o.now)
		}
		for i, e := range o.entries[1:] {
			if o.now%(500*ms) == 0 {
				o.entries[0].ApplyPeer(filbertlever.HostID(fmt.Sprint("e", i)), e.Observations(o.now), o.now)
			}
		}
		if check != nil {
			check(o.entries[0].Slowdown("m1", o.now))
		}
	}
}

// timeUntil runs until the slowdown is in a range and returns how long that took.
func (o *observed) timeUntil(low, high float64) time.Duration {
	start, reached := o.now, time.Duration(-1)
	o.run(10*time.Second, func(slowdown float64) {
		if reached < 0 && slowdown >= low && slowdown <= high {
			reached = o.now - start
		}
	})
	return reached
}

// Each case is a load under which the slowdown must stay within bounds, in 8 runs of 2 minutes. Chance may
// lead out of them for at most 1 in 200 of the time, and 1 in 10,000 at servers that are never slow.
func TestSlowdownStaysWithinBounds(t *testing.T) {
	changing := func(now time.Duration) float64 { return 0.5 + 7.5*float64(now/(200*ms)%2) }
	for _, test := range []struct {
		name           string
		entries        int
		factor, report func(time.Duration) float64
		low, high      float64
		exceptions     float64
	}{
		{"chance makes a normal server slow, seen by one entry", 1, constant(1), nil, 0.5, 1.25, 1e-4},
		{"chance makes a normal server slow, seen by eight", 8, constant(1), nil, 0.5, 1.25, 1e-4},
		{"chance contradicts a true report of 1", 1, constant(1), constant(1), 1, 1.25, 1e-4},
		{"a server slow all day is missed by gaps", 4, constant(2.5), nil, 1.5, 4, 5e-3},
		{"a server slow all day is missed by reports", 4, constant(2.5), constant(2.5), 1.5, 4, 5e-3},
		{"a slow server reports 1", 4, constant(2.5), constant(1), 1.5, 4, 5e-3},
		{"a normal server reports 8", 4, constant(1), constant(8), 0.5, 1.25, 5e-3},
		{"a report changes all the time", 4, constant(1), changing, 0.5, 1.25, 5e-3},
		{"one pause of a second, seen by all streams", 4, spell(15, 80*ms, 5*time.Second), nil, 0.5, 1.25, 5e-3},
		{"a spell of 0.6 s is over before gaps show it", 4, spell(2.5, 600*ms, 8*time.Second), nil, 0.5, 1.25, 5e-3},
	} {
		t.Run(test.name, func(t *testing.T) {
			total, outside := 0, 0
			for seed := range uint64(8) {
				o := newObserved(seed, test.entries)
				o.factor, o.report = test.factor, test.report
				o.run(5*time.Second, nil)
				o.run(2*time.Minute, func(slowdown float64) {
					total++
					if slowdown < test.low || slowdown >= test.high {
						outside++
					}
				})
			}
			qt.Check(t, float64(outside) <= test.exceptions*float64(total), qt.IsTrue, qt.Commentf("%d of %d", outside, total))
		})
	}
}

// A server becomes slow and recovers: reports must show it at once, and gaps alone within 3 s.
func TestSlowServerIsRecognisedAndRecovers(t *testing.T) {
	for _, limit := range []time.Duration{200 * ms, 3 * time.Second} {
		o := newObserved(3, 4)
		for _, step := range []struct{ factor, low, high float64 }{{1, 0.5, 1.24}, {2.5, 1.9, 2.9}, {1, 0.5, 1.24}} {
			o.factor = constant(step.factor)
			if limit == 200*ms {
				o.report = o.factor
			}
			took := o.timeUntil(step.low, step.high)
			t.Logf("reports %v: at %v after %v", o.report != nil, step.factor, took)
			qt.Check(t, took >= 0 && took <= limit, qt.IsTrue)
		}
	}
}

// A spell of 0.6 s that is reported 200 ms late: the server must be slow exactly while it reports so.
func TestSpellEndsWithItsReport(t *testing.T) {
	c, o := qt.New(t), newObserved(8, 4)
	o.factor = spell(2.5, 600*ms, 8*time.Second)
	o.report = func(now time.Duration) float64 { return o.factor(now - 200*ms) }
	o.run(time.Minute, func(slowdown float64) {
		c.Assert(slowdown >= 1.25, qt.Equals, o.report(o.now-o.now%(200*ms)) > 1, qt.Commentf("%v at %v", slowdown, o.now))
	})
}

// A server that falsely reports 1 and gets no requests must be tried again, but not at once: the lack of
// gaps alone must not restore its report for 5 s.
func TestFalseReportIsDoubtedWithoutRequests(t *testing.T) {
	o := newObserved(5, 4)
	o.factor, o.report = constant(2.5), constant(1)
	o.run(5*time.Second, nil)
	o.idle = true
	o.run(5*time.Second, func(slowdown float64) { qt.Assert(t, slowdown > 1.5, qt.IsTrue) })
	qt.Check(t, o.timeUntil(1, 1) < 4*time.Second, qt.IsTrue)
}

// Impossible values, calls in any order and false peers must neither panic nor leave the bounds.
func TestEstimateOfAnyInputIsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := New(), time.Second
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * ms
			at := now - time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "late"))*ms
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				e.Report("m1", rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 1e300, 1, 2.5}).Draw(t, "report"), at)
			case 1:
				for range 30 {
					e.ObserveGap("m1", time.Duration(rapid.Int64().Draw(t, "gap")), time.Duration(rapid.Int64().Draw(t, "expected")), at)
				}
			case 2:
				e.ApplyPeer("e1", map[string]Observation{"m1": {Slowdown: rapid.Uint32().Draw(t, "slowdown"), Gaps: rapid.Uint32().Draw(t, "gaps")}}, at)
			case 3:
				e.Invalidate(at)
			}
			own := e.Observations(now)["m1"]
			if s := e.Slowdown("m1", now); !(s >= minSlowdown && s <= maxSlowdown) || own.Slowdown > 1000*maxSlowdown {
				t.Fatalf("slowdown %v, own %+v", s, own)
			}
		}
	})
}

// Names of servers and peers without an end must not exhaust the memory: it is at most maxServers times
// the bytes of a server and, for those that peers observe, of maxPeers peers.
func TestMemoryIsBounded(t *testing.T) {
	c, e, now := qt.New(t), New(), 100*time.Second
	for i := range maxServers + 100 {
		e.Report(fmt.Sprintf("i-%010x", i), 2, now+time.Duration(i))
		e.ApplyPeer(filbertlever.HostID(fmt.Sprint("e", i)), map[string]Observation{"m1": {Slowdown: 2000, Gaps: 9}}, now)
	}
	c.Check(e.servers, qt.HasLen, maxServers)
	c.Check(cap(e.servers["m1"].peers) <= maxPeers, qt.IsTrue)
	c.Check(unsafe.Sizeof(server{}) <= 512 && unsafe.Sizeof(peerObservation{}) <= 40, qt.IsTrue)
}

// BenchmarkEstimator measures a gap and an estimate with full buckets and the observations of 23 peers.
func BenchmarkEstimator(b *testing.B) {
	o := newObserved(1, 24)
	o.run(5*time.Second, nil)
	b.ReportAllocs()
	for at := o.now; b.Loop(); at += 10 * time.Nanosecond {
		o.entries[0].ObserveGap("m1", passGap, passGap, at)
		o.entries[0].Estimate("m1", at)
	}
}
