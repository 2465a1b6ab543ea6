package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// playOverload plays 6 s in which 11 engines are asked for two and a half times what they can do.
// Callers come back once, when back says.
func playOverload(back func(retry time.Duration) time.Duration) outcome {
	const step, perSecond, goal, limit = 5 * time.Millisecond, 320, 400 * time.Millisecond, 6 * time.Second
	rng, gate := newRng(), DefaultEntryGate()
	e, got := newEngines(11), outcome{}
	coming := map[time.Duration][]caller{}
	for now := time.Duration(0); now < 9*time.Second; now += step {
		arrivals := coming[now]
		if now < 6*time.Second {
			for range int((now+step)*perSecond/time.Second) - int(now*perSecond/time.Second) {
				arrivals = append(arrivals, caller{asked: now})
			}
		}
		for _, who := range arrivals {
			best, ahead, reading := e.best(now)
			first := predict(ahead, reading)
			ok, retry := gate.Admit(Forecast{Ahead: ahead, Reading: reading, Predicted: first}, Caller{Left: limit - (now - who.asked), Goal: goal}, rng)
			switch {
			case ok:
				e.run(best, now, first)
				if now+first-who.asked <= goal {
					got.inTime++
				} else {
					got.late++
				}
			case who.back:
				got.refused++
			default:
				again := (now + back(retry)).Truncate(step) + step
				coming[again] = append(coming[again], caller{asked: who.asked, back: true})
			}
		}
	}
	return got
}

// Callers that come back a second after a refusal are late whenever they get a place, and take it
// from one that would be in time.
func TestRefusedCallersComeBackWhileTheyCanBeInTime(t *testing.T) {
	c := qt.New(t)
	soon := playOverload(func(retry time.Duration) time.Duration { return retry })
	later := playOverload(func(retry time.Duration) time.Duration { return retry + time.Second })
	t.Logf("soon %+v, a second later %+v", soon, later)
	c.Assert(soon.late, qt.Equals, 0)
	c.Assert(soon.inTime > later.inTime, qt.IsTrue)
}

// The more requests wait, the later a caller comes back, but not so late that its answer is late; it
// waits for prompts that are being read as long as that takes.
func TestWhenToComeBack(t *testing.T) {
	gate := DefaultEntryGate()
	const goal = 400 * time.Millisecond
	tests := []struct {
		name          string
		forecast      Forecast
		goal          time.Duration
		least, latest time.Duration
	}{
		{"one place is missing", Forecast{Ahead: 1}, goal, earliestReturn, 2 * earliestReturn},
		{"three places are missing", Forecast{Ahead: 4}, goal, 3 * placeTime, 5 * placeTime},
		{"many places are missing", Forecast{Ahead: 40}, goal, goal / 4, goal / 2},
		{"many places are missing, without a goal", Forecast{Ahead: 40}, 0, 39 * placeTime, 2 * 39 * placeTime},
		{"prompts are being read", Forecast{Reading: gate.Reading + 300*time.Millisecond}, goal, 300 * time.Millisecond, 450 * time.Millisecond},
		{"prompts are being read for long", Forecast{Reading: time.Minute}, goal, latestReturn, 2 * latestReturn},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, retry := gate.Admit(test.forecast, Caller{Left: 6 * time.Second, Goal: test.goal}, newRng())
			qt.Assert(t, retry >= test.least && retry <= test.latest, qt.IsTrue, qt.Commentf("%v", retry))
		})
	}
}
