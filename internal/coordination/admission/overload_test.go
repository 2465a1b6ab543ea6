package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulateOverload runs 11 engines for 6 s at two and a half times their capacity. Refused callers
// retry once, after the delay that delay returns.
func simulateOverload(delay func(retryAfter time.Duration) time.Duration) answerCounts {
	const step, perSecond, goal, timeout = 5 * time.Millisecond, 320, 400 * time.Millisecond, 6 * time.Second
	rng, gate := newRng(), DefaultEntryGate()
	e, counts := newEngines(11), answerCounts{}
	retries := map[time.Duration][]simulatedRequest{}
	for now := time.Duration(0); now < 9*time.Second; now += step {
		arrivals := retries[now]
		if now < 6*time.Second {
			for range int((now+step)*perSecond/time.Second) - int(now*perSecond/time.Second) {
				arrivals = append(arrivals, simulatedRequest{arrived: now})
			}
		}
		for _, r := range arrivals {
			best, position, prefillWait := e.best(now)
			firstToken := predictFirstToken(position, prefillWait)
			ok, retryAfter := gate.Admit(Forecast{QueuePosition: position, PrefillWait: prefillWait, Predicted: firstToken}, Caller{Remaining: timeout - (now - r.arrived), Goal: goal}, rng)
			switch {
			case ok:
				e.start(best, now, firstToken)
				if now+firstToken-r.arrived <= goal {
					counts.inTime++
				} else {
					counts.late++
				}
			case r.retried:
				counts.refused++
			default:
				retryAt := (now + delay(retryAfter)).Truncate(step) + step
				retries[retryAt] = append(retries[retryAt], simulatedRequest{arrived: r.arrived, retried: true})
			}
		}
	}
	return counts
}

// Callers that retry a second after a refusal are always late, and take a slot from a request that
// would be in time.
func TestShortRetryAfterGivesMoreAnswersInTime(t *testing.T) {
	c := qt.New(t)
	soon := simulateOverload(func(retryAfter time.Duration) time.Duration { return retryAfter })
	later := simulateOverload(func(retryAfter time.Duration) time.Duration { return retryAfter + time.Second })
	t.Logf("soon %+v, a second later %+v", soon, later)
	c.Assert(soon.late, qt.Equals, 0)
	c.Assert(soon.inTime > later.inTime, qt.IsTrue)
}

// The retry delay must grow with the queue, but not beyond a share of the caller's goal. It must last
// as long as a prefill backlog, within its upper bound.
func TestRetryAfterBounds(t *testing.T) {
	gate := DefaultEntryGate()
	const goal = 400 * time.Millisecond
	tests := []struct {
		name     string
		forecast Forecast
		goal     time.Duration
		min, max time.Duration
	}{
		{"one slot is missing", Forecast{QueuePosition: 1}, goal, gateMinRetryAfter, 2 * gateMinRetryAfter},
		{"three slots are missing", Forecast{QueuePosition: 4}, goal, 3 * retryAfterPerSlot, 5 * retryAfterPerSlot},
		{"many slots are missing", Forecast{QueuePosition: 40}, goal, goal / 4, goal / 2},
		{"many slots are missing, without a goal", Forecast{QueuePosition: 40}, 0, 39 * retryAfterPerSlot, 2 * 39 * retryAfterPerSlot},
		{"short prefill backlog", Forecast{PrefillWait: gate.MaxPrefillWait + 300*time.Millisecond}, goal, 300 * time.Millisecond, 450 * time.Millisecond},
		{"long prefill backlog", Forecast{PrefillWait: time.Minute}, goal, gateMaxRetryAfter, 2 * gateMaxRetryAfter},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, retryAfter := gate.Admit(test.forecast, Caller{Remaining: 6 * time.Second, Goal: test.goal}, newRng())
			qt.Assert(t, retryAfter >= test.min && retryAfter <= test.max, qt.IsTrue, qt.Commentf("%v", retryAfter))
		})
	}
}
