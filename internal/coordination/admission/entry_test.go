package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newRng() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

// Kinds with a short goal are refused most while all engines are full, and a
// kind's callers think the system is down. The gate looks at places alone.
func TestTheGateTreatsAllKindsAlike(t *testing.T) {
	c := qt.New(t)
	gate := DefaultEntryGate()
	for _, predicted := range []time.Duration{90 * time.Millisecond, 250 * time.Millisecond} {
		admitted, _ := gate.Admit(Forecast{Ahead: gate.Waiting, Predicted: predicted}, Caller{Left: 6 * time.Second}, newRng())
		c.Assert(admitted, qt.IsTrue)
		admitted, _ = gate.Admit(Forecast{Ahead: gate.Waiting + 1, Predicted: predicted}, Caller{Left: 6 * time.Second}, newRng())
		c.Assert(admitted, qt.IsFalse)
	}
}

// A request that cannot be answered in the time it has left is refused at once,
// also if a place is free.
func TestWhatCannotEndIsRefusedAtOnce(t *testing.T) {
	admitted, retry := DefaultEntryGate().Admit(Forecast{Ahead: -5, Predicted: time.Second}, Caller{Left: time.Second}, newRng())
	qt.Assert(t, admitted, qt.IsFalse)
	qt.Assert(t, retry > 0, qt.IsTrue)
}

// Callers refused together come back together and are refused again. Their
// times are spread, and soon enough that an answer can still be in time.
func TestRefusedCallersComeBackSpreadAndSoon(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	seen := map[time.Duration]bool{}
	for range 50 {
		_, retry := DefaultEntryGate().Admit(Forecast{Ahead: 2, Predicted: 200 * time.Millisecond}, Caller{Left: 6 * time.Second}, rng)
		c.Assert(retry >= earliestReturn && retry <= 2*earliestReturn, qt.IsTrue)
		seen[retry] = true
	}
	c.Assert(len(seen) > 40, qt.IsTrue)
}

// While weights load, callers are told to come back when they are there, not
// before and not all in the same moment.
func TestComeBackWhenTheWeightsAreThere(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	for range 50 {
		retry := ReturnWhenReady(1800*time.Millisecond, 6*time.Second, 3*time.Second, rng)
		c.Assert(retry >= 1800*time.Millisecond && retry <= 1800*time.Millisecond+readySpread, qt.IsTrue)
	}
	c.Assert(ReturnWhenReady(0, 6*time.Second, 0, rng) >= readyUnknown, qt.IsTrue)
}

// No server has had weights for a while, and all are ready at the same moment. Callers
// come back once, after a third of their time at most. Told to come back after a second
// and a bit, those who were refused early in the outage were refused for good; told to
// come back within 0.7 s of its end, all came at once, and engines that read 20 prompts
// a second each were full.
func TestCallersOutlastAnOutage(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	const perSecond, outage, left = 145, 2300 * time.Millisecond, 6 * time.Second
	// The last half second of it the load is under way, and its end known.
	const known = outage - 500*time.Millisecond
	var o Outage
	early, busiest := 0, 0
	returns := map[time.Duration]int{}
	const slice = 100 * time.Millisecond
	for i := range int(outage.Seconds() * perSecond) {
		now := time.Second + time.Duration(i)*time.Second/perSecond
		ready := time.Duration(0)
		if now-time.Second >= known {
			ready = time.Second + outage - now
		}
		back := now + ReturnWhenReady(ready, left, o.Refused(now), rng)
		if back < time.Second+outage {
			early++
		}
		c.Assert(back-now <= left/3+readySpread, qt.IsTrue)
		returns[back/slice]++
		busiest = max(busiest, returns[back/slice])
	}
	// Only those that cannot wait so long are too early.
	c.Assert(early < int(perSecond*(outage-left/3+500*time.Millisecond).Seconds()), qt.IsTrue, qt.Commentf("%d came too early", early))
	c.Assert(busiest <= 2*perSecond*int(slice)/int(time.Second)+8, qt.IsTrue, qt.Commentf("%d came within %v", busiest, slice))
}

// The load of a day on which 270 streams a second meet 16 engines that can run
// 190: one region of 6 engines with 16 places, its 3 entries that know each
// other's requests. Callers get 1.34 s answers from 16 places, so 72 a second
// can be served; with the gate nearly all of those begin with at most one
// request ahead, without it every queue grows until the deadline.
func TestOverloadIsRefusedAndTheRestIsInTime(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	const engines, places, perSecond, seconds = 6, 16, 101, 20
	const service = 1340 * time.Millisecond
	run := func(gate EntryGate) (inTime, late int) {
		var ends [engines][]time.Duration
		for i := range perSecond * seconds {
			now := time.Duration(i) * time.Second / perSecond
			best, fewest := 0, 1<<30
			for e := range ends {
				live := ends[e][:0]
				for _, end := range ends[e] {
					if end > now {
						live = append(live, end)
					}
				}
				ends[e] = live
				if len(live) < fewest {
					best, fewest = e, len(live)
				}
			}
			ahead := fewest + 1 - places
			wait := time.Duration(max(ahead, 0)) * service / places
			if ok, _ := gate.Admit(Forecast{Ahead: ahead, Predicted: 130*time.Millisecond + wait}, Caller{Left: 6 * time.Second}, rng); !ok {
				continue
			}
			length := time.Duration(rng.ExpFloat64() * float64(service))
			ends[best] = append(ends[best], now+wait+length)
			if 130*time.Millisecond+wait <= 300*time.Millisecond {
				inTime++
			} else {
				late++
			}
		}
		return inTime, late
	}
	inTime, late := run(DefaultEntryGate())
	openInTime, openLate := run(EntryGate{Waiting: 1 << 20, LateShare: 1})
	t.Logf("with the gate %d in time, %d late; without %d and %d", inTime, late, openInTime, openLate)
	c.Assert(late, qt.Equals, 0)
	c.Assert(inTime > 5*openInTime, qt.IsTrue)
	c.Assert(float64(inTime) > 0.85*72*seconds, qt.IsTrue)
}

// A thousand requests reach idle engines within half a second. Admitted by free
// places alone, twelve prompts lay at each, and all their answers were late; those
// beyond what is read in time are told to come back when that has been read.
func TestABurstOfPromptsIsRefusedInTime(t *testing.T) {
	c := qt.New(t)
	gate := DefaultEntryGate()
	admitted, _ := gate.Admit(Forecast{Ahead: -8, Reading: gate.Reading, Predicted: 300 * time.Millisecond}, Caller{Left: 6 * time.Second}, newRng())
	c.Assert(admitted, qt.IsTrue)
	admitted, retry := gate.Admit(Forecast{Ahead: -8, Reading: gate.Reading + 150*time.Millisecond, Predicted: 450 * time.Millisecond}, Caller{Left: 6 * time.Second}, newRng())
	c.Assert(admitted, qt.IsFalse)
	c.Assert(retry >= 150*time.Millisecond, qt.IsTrue)
}
