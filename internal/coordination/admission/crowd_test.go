package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crowd is a region of engines behind entries that hear of each other's requests late.
type crowd struct {
	engines, places, entries int
	// perSecond is how many requests come, each of which takes a place for service on average.
	perSecond int
	service   time.Duration
	// heard is how late an entry hears of a request that another one sent.
	heard time.Duration
	goal  time.Duration
}

// sent is a request at an engine.
type sent struct {
	entry   int
	at, end time.Duration
}

// Times of a first token at an engine that is full, and of each request that waits before.
const (
	firstToken = 190 * time.Millisecond
	waitToken  = 92 * time.Millisecond
)

// play returns how many answers are in time and late in a time.
func (w crowd) play(gate EntryGate, length time.Duration, rng *rand.Rand) (inTime, late int) {
	engines := make([][]sent, w.engines)
	every := time.Second / time.Duration(w.perSecond)
	for now := time.Duration(0); now < length; now += every {
		entry, best, fewest := rng.IntN(w.entries), 0, 1<<30
		for range 8 {
			e := rng.IntN(w.engines)
			engines[e] = slices.DeleteFunc(engines[e], func(s sent) bool { return s.end <= now })
			known := 0
			for _, s := range engines[e] {
				if s.entry == entry || now-s.at >= w.heard {
					known++
				}
			}
			if known < fewest {
				best, fewest = e, known
			}
		}
		if ok, _ := gate.Admit(Forecast{Ahead: fewest + 1 - w.places, Predicted: firstToken}, Caller{Left: 6 * time.Second}, rng); !ok {
			continue
		}
		waiting := max(len(engines[best])+1-w.places, 0)
		wait := time.Duration(waiting) * waitToken
		engines[best] = append(engines[best], sent{entry: entry, at: now, end: now + wait + time.Duration(rng.ExpFloat64()*float64(w.service))})
		if firstToken+wait <= w.goal {
			inTime++
		} else {
			late++
		}
	}
	return inTime, late
}

// More is asked than engines can do, and entries that hear late of each other's requests admit them
// to the same free place, where their answers are late.
func TestFewerAnswersAreLateIfNoneIsAdmittedToAQueue(t *testing.T) {
	c := qt.New(t)
	w := crowd{engines: 58, places: 12, entries: 32, perSecond: 1000, service: 1100 * time.Millisecond, heard: 30 * time.Millisecond, goal: 400 * time.Millisecond}
	for seed := range uint64(5) {
		play := func(gate EntryGate) (int, int) { return w.play(gate, 20*time.Second, rand.New(rand.NewPCG(seed, 1))) }
		queueing := DefaultEntryGate()
		queueing.Waiting++
		inTime, late := play(DefaultEntryGate())
		inTimeQueueing, lateQueueing := play(queueing)
		c.Logf("%d in time, %d late; with a queue %d and %d", inTime, late, inTimeQueueing, lateQueueing)
		c.Check(late < lateQueueing, qt.IsTrue)
		c.Check(inTime > inTimeQueueing, qt.IsTrue)
	}
}
