package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// entriesSimulation simulates a region whose entries observe each other's requests with a delay.
type entriesSimulation struct {
	engines, slots, entries int
	// perSecond is the arrival rate. Each request takes a slot for serviceTime on average.
	perSecond   int
	serviceTime time.Duration
	// propagationDelay is the time until an entry observes a request of another entry.
	propagationDelay time.Duration
	goal             time.Duration
}

// sentRequest is a request at an engine.
type sentRequest struct {
	entry          int
	sentAt, endsAt time.Duration
}

// Time to first token at a full engine, and the addition for each request that waits ahead.
const (
	firstToken           = 190 * time.Millisecond
	firstTokenPerWaiting = 92 * time.Millisecond
)

// run returns how many answers are in time and late within a duration.
func (s entriesSimulation) run(gate EntryGate, duration time.Duration, rng *rand.Rand) (inTime, late int) {
	engines := make([][]sentRequest, s.engines)
	interval := time.Second / time.Duration(s.perSecond)
	for now := time.Duration(0); now < duration; now += interval {
		entry, best, fewest := rng.IntN(s.entries), 0, 1<<30
		for range 8 {
			e := rng.IntN(s.engines)
			engines[e] = slices.DeleteFunc(engines[e], func(r sentRequest) bool { return r.endsAt <= now })
			observed := 0
			for _, r := range engines[e] {
				if r.entry == entry || now-r.sentAt >= s.propagationDelay {
					observed++
				}
			}
			if observed < fewest {
				best, fewest = e, observed
			}
		}
		if ok, _ := gate.Admit(Forecast{QueuePosition: fewest + 1 - s.slots, Predicted: firstToken}, Caller{Remaining: 6 * time.Second}, rng); !ok {
			continue
		}
		waiting := max(len(engines[best])+1-s.slots, 0)
		wait := time.Duration(waiting) * firstTokenPerWaiting
		engines[best] = append(engines[best], sentRequest{entry: entry, sentAt: now, endsAt: now + wait + time.Duration(rng.ExpFloat64()*float64(s.serviceTime))})
		if firstToken+wait <= s.goal {
			inTime++
		} else {
			late++
		}
	}
	return inTime, late
}

// Under overload, entries that observe each other's requests with a delay admit them to the same free
// slot, where all but one are late.
func TestQueueingAtServersMakesMoreAnswersLate(t *testing.T) {
	c := qt.New(t)
	s := entriesSimulation{engines: 58, slots: 12, entries: 32, perSecond: 1000, serviceTime: 1100 * time.Millisecond, propagationDelay: 30 * time.Millisecond, goal: 400 * time.Millisecond}
	for seed := range uint64(5) {
		run := func(gate EntryGate) (int, int) { return s.run(gate, 20*time.Second, rand.New(rand.NewPCG(seed, 1))) }
		queueing := DefaultEntryGate()
		queueing.MaxQueuePosition++
		inTime, late := run(DefaultEntryGate())
		inTimeQueueing, lateQueueing := run(queueing)
		c.Logf("%d in time, %d late; with a queue %d and %d", inTime, late, inTimeQueueing, lateQueueing)
		c.Check(late < lateQueueing, qt.IsTrue)
		c.Check(inTime > inTimeQueueing, qt.IsTrue)
	}
}
