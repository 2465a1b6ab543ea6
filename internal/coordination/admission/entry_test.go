package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newRng() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }

// While all engines are full, kinds of requests with a short goal are refused
// more often than others. The gate must only look at the queue position.
func TestGateTreatsAllKindsEqually(t *testing.T) {
	c := qt.New(t)
	gate := DefaultEntryGate()
	for _, predicted := range []time.Duration{90 * time.Millisecond, 250 * time.Millisecond} {
		admitted, _ := gate.Admit(Forecast{QueuePosition: gate.MaxQueuePosition, Predicted: predicted}, Caller{Remaining: 6 * time.Second}, newRng())
		c.Assert(admitted, qt.IsTrue)
		admitted, _ = gate.Admit(Forecast{QueuePosition: gate.MaxQueuePosition + 1, Predicted: predicted}, Caller{Remaining: 6 * time.Second}, newRng())
		c.Assert(admitted, qt.IsFalse)
	}
}

// A request is sent to a free slot although it cannot be answered in its
// remaining time.
func TestGateRefusesIfDeadlineCannotBeMet(t *testing.T) {
	admitted, retryAfter := DefaultEntryGate().Admit(Forecast{QueuePosition: -5, Predicted: time.Second}, Caller{Remaining: time.Second}, newRng())
	qt.Assert(t, admitted, qt.IsFalse)
	qt.Assert(t, retryAfter > 0, qt.IsTrue)
}

// Callers that were refused together retry together and are refused again, or
// retry so late that their answers are late.
func TestRetryAfterIsShortAndJittered(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	seen := map[time.Duration]bool{}
	for range 50 {
		_, retryAfter := DefaultEntryGate().Admit(Forecast{QueuePosition: 2, Predicted: 200 * time.Millisecond}, Caller{Remaining: 6 * time.Second}, rng)
		c.Assert(retryAfter >= gateMinRetryAfter && retryAfter <= 2*gateMinRetryAfter, qt.IsTrue)
		seen[retryAfter] = true
	}
	c.Assert(len(seen) > 40, qt.IsTrue)
}

// While weights load, callers retry before the weights are ready, or all at the
// same time.
func TestRetryAfterOutageIsNotBeforeServersAreReady(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	for range 50 {
		retryAfter := RetryAfterOutage(1800*time.Millisecond, 6*time.Second, 3*time.Second, rng)
		c.Assert(retryAfter >= 1800*time.Millisecond && retryAfter <= 1800*time.Millisecond+outageMinJitter, qt.IsTrue)
	}
	c.Assert(RetryAfterOutage(0, 6*time.Second, 0, rng) >= outageMinRetryAfter, qt.IsTrue)
}

// All servers become ready together after an outage, and callers retry once. With a delay of just
// over 1 s, those refused early were refused again for good. With retries within 0.7 s of the end of
// the outage, engines that prefill 20 prompts per second each were full.
func TestRetriesAreSpreadAfterOutage(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	const perSecond, outage, remaining = 145, 2300 * time.Millisecond, 6 * time.Second
	// The end of the outage is predicted in its last half second, while the weights load.
	const predictedFrom = outage - 500*time.Millisecond
	var o Outage
	early, busiest := 0, 0
	retries := map[time.Duration]int{}
	const interval = 100 * time.Millisecond
	for i := range int(outage.Seconds() * perSecond) {
		now := time.Second + time.Duration(i)*time.Second/perSecond
		readyIn := time.Duration(0)
		if now-time.Second >= predictedFrom {
			readyIn = time.Second + outage - now
		}
		retryAt := now + RetryAfterOutage(readyIn, remaining, o.RecordRefusal(now), rng)
		if retryAt < time.Second+outage {
			early++
		}
		c.Assert(retryAt-now <= remaining/3+outageMinJitter, qt.IsTrue)
		retries[retryAt/interval]++
		busiest = max(busiest, retries[retryAt/interval])
	}
	// Only callers that cannot wait until the end of the outage may retry too early.
	c.Assert(early < int(perSecond*(outage-remaining/3+500*time.Millisecond).Seconds()), qt.IsTrue, qt.Commentf("%d callers retried too early", early))
	c.Assert(busiest <= 2*perSecond*int(interval)/int(time.Second)+8, qt.IsTrue, qt.Commentf("%d callers retried within %v", busiest, interval))
}

// All servers of a service were silent for a second. Callers that were refused meanwhile were told to
// return after 1.5 s or more, too late for an answer in time, although the servers had continued.
func TestRetryDuringSilenceIsInTime(t *testing.T) {
	const perSecond, goal, remaining, interval = 145, time.Second, 6 * time.Second, 100 * time.Millisecond
	for _, silence := range []time.Duration{600 * time.Millisecond, 800 * time.Millisecond, time.Second, 1400 * time.Millisecond} {
		c, rng := qt.New(t), newRng()
		busiest, retries := 0, map[time.Duration]int{}
		for now := 300 * time.Millisecond; now < silence; now += time.Second / perSecond {
			delay, ok := RetryAfterSilence(now, 0, goal, remaining, rng)
			c.Assert(ok && delay <= 2*goal/3, qt.IsTrue)
			c.Assert(now+delay >= silence || now+goal/3 < silence, qt.IsTrue, qt.Commentf("refused at %v", now))
			if now+delay >= silence {
				retries[(now+delay)/interval]++
				busiest = max(busiest, retries[(now+delay)/interval])
			}
		}
		c.Assert(busiest <= 2*perSecond*int(interval)/int(time.Second)+8, qt.IsTrue, qt.Commentf("%d callers retried within %v", busiest, interval))
	}
}

// A caller whose answer would be late anyway, or whose servers are silent for longer than a sound server
// would be, must not use up a retry soon.
func TestRetryDuringLongSilenceIsThatOfAnOutage(t *testing.T) {
	for name, test := range map[string]struct {
		silence, waited, goal, remaining time.Duration
		want                             bool
	}{
		"short silence":           {time.Second, 0, time.Second, 6 * time.Second, true},
		"no silence":              {0, 0, time.Second, 6 * time.Second, false},
		"long silence":            {2 * time.Second, 0, time.Second, 6 * time.Second, false},
		"late caller":             {time.Second, 500 * time.Millisecond, time.Second, 6 * time.Second, false},
		"caller with little time": {time.Second, 0, time.Second, time.Second, false},
		"no goal":                 {time.Second, 0, 0, 6 * time.Second, false},
	} {
		_, ok := RetryAfterSilence(test.silence, test.waited, test.goal, test.remaining, newRng())
		qt.Check(t, ok, qt.Equals, test.want, qt.Commentf(name))
	}
}

// Without the gate, every queue grows until the deadline under overload. Modelled on 270 streams per
// second for 16 engines that can run 190: one region has 6 engines with 16 slots and 3 entries that
// observe each other's requests. Answers take 1.34 s, so it can serve 72 requests per second.
func TestGateKeepsAdmittedRequestsInTimeUnderOverload(t *testing.T) {
	c := qt.New(t)
	rng := newRng()
	const engines, slots, perSecond, seconds = 6, 16, 101, 20
	const serviceTime = 1340 * time.Millisecond
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
			position := fewest + 1 - slots
			wait := time.Duration(max(position, 0)) * serviceTime / slots
			if ok, _ := gate.Admit(Forecast{QueuePosition: position, Predicted: 130*time.Millisecond + wait}, Caller{Remaining: 6 * time.Second}, rng); !ok {
				continue
			}
			duration := time.Duration(rng.ExpFloat64() * float64(serviceTime))
			ends[best] = append(ends[best], now+wait+duration)
			if 130*time.Millisecond+wait <= 300*time.Millisecond {
				inTime++
			} else {
				late++
			}
		}
		return inTime, late
	}
	inTime, late := run(DefaultEntryGate())
	ungatedInTime, ungatedLate := run(EntryGate{MaxQueuePosition: 1 << 20, MaxRemainingShare: 1})
	t.Logf("with the gate %d in time, %d late; without %d and %d", inTime, late, ungatedInTime, ungatedLate)
	c.Assert(late, qt.Equals, 0)
	c.Assert(inTime > 5*ungatedInTime, qt.IsTrue)
	c.Assert(float64(inTime) > 0.85*72*seconds, qt.IsTrue)
}

// A thousand requests reach idle engines within half a second. Admitted by free slots alone, each
// engine had twelve prompts to prefill, and all answers were late. Requests beyond the bound must be
// refused and retry once the backlog is prefilled.
func TestGateRefusesIfPrefillBacklogIsTooLong(t *testing.T) {
	c := qt.New(t)
	gate := DefaultEntryGate()
	admitted, _ := gate.Admit(Forecast{QueuePosition: -8, PrefillWait: gate.MaxPrefillWait, Predicted: 300 * time.Millisecond}, Caller{Remaining: 6 * time.Second}, newRng())
	c.Assert(admitted, qt.IsTrue)
	admitted, retryAfter := gate.Admit(Forecast{QueuePosition: -8, PrefillWait: gate.MaxPrefillWait + 150*time.Millisecond, Predicted: 450 * time.Millisecond}, Caller{Remaining: 6 * time.Second}, newRng())
	c.Assert(admitted, qt.IsFalse)
	c.Assert(retryAfter >= 150*time.Millisecond, qt.IsTrue)
}
