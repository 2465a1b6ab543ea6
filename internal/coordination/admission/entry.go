package admission

import (
	"math/rand/v2"
	"time"
)

// EntryGate decides at an entry whether a request is sent to the best server
// found for it, or refused at once. It answers the minutes in which more is
// asked than all engines can do: a queue then only makes every answer late, and
// a batch of 16 gains nothing from requests that wait outside it.
type EntryGate struct {
	// GoalShare is the part of the goal that the predicted first token may take.
	GoalShare float64
	// LateShare is the same in relation to the time left, for requests whose
	// goal has passed already.
	LateShare float64
}

// DefaultEntryGate returns the shares used in production. A prediction misses
// what seven other entries have sent in the last 0.3 s, about 3 requests at a
// server or a tenth of a second, which is what GoalShare leaves of 400 ms.
func DefaultEntryGate() EntryGate { return EntryGate{GoalShare: 0.8, LateShare: 0.25} }

// Bounds of the time to come back.
const (
	// earliestReturn is about the time in which a full engine ends two requests.
	earliestReturn = 150 * time.Millisecond
	// latestReturn keeps a refused caller within a third of a usual 6 s.
	latestReturn = 1500 * time.Millisecond
	// returnSpread spreads callers that were refused together.
	returnSpread = 0.5
)

// Admit reports whether a request whose first token is predicted so is sent on.
// If not, it returns when to come back: when the queue should have drained to
// what is admitted, spread so that callers do not return together.
func (g EntryGate) Admit(predicted, goal, left time.Duration, rng *rand.Rand) (bool, time.Duration) {
	allowed := time.Duration(g.GoalShare * float64(goal))
	if goal <= 0 {
		allowed = time.Duration(g.LateShare * float64(left))
	}
	if predicted <= allowed && predicted < left {
		return true, 0
	}
	return false, ReturnTime(predicted-allowed, rng)
}

// ReturnTime returns when a caller should come back that was refused because a
// queue is this much too long.
func ReturnTime(over time.Duration, rng *rand.Rand) time.Duration {
	base := min(max(over, earliestReturn), latestReturn)
	return base + time.Duration(returnSpread*rng.Float64()*float64(base))
}
