package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Queued requests are served out of order, a service without free slots blocks another one, or a
// timeout goes unnoticed.
func TestEntryQueueIsFIFOPerService(t *testing.T) {
	c := qt.New(t)
	q := NewEntryQueue()
	first, _ := q.Add("models", time.Second)
	second, _ := q.Add("models", time.Second)
	other, _ := q.Add("others", 2*time.Second)
	var asked []uint64
	expired := q.Dispatch(0, func(id uint64) bool { asked = append(asked, id); return false })
	c.Assert(expired, qt.HasLen, 0)
	c.Assert(asked, qt.DeepEquals, []uint64{first, other})
	expired = q.Dispatch(0, func(id uint64) bool { return id == first })
	c.Assert(expired, qt.HasLen, 0)
	expired = q.Dispatch(time.Second, func(uint64) bool { return false })
	c.Assert(expired, qt.DeepEquals, []uint64{second})
	c.Assert(q.Empty(), qt.IsFalse)
	q.Remove(other)
	c.Assert(q.Empty(), qt.IsTrue)
}

// In a long overload, queued requests time out and are refused a second later than necessary. Very few
// may wait then.
func TestEntryQueueShrinksWhenRequestsTimeOut(t *testing.T) {
	c := qt.New(t)
	q := NewEntryQueue()
	waited := 0
	for now := time.Duration(0); now < 30*time.Second; now += 20 * time.Millisecond {
		if _, ok := q.Add("models", now+EntryQueueTimeout); ok && now > 10*time.Second {
			waited++
		}
		q.Dispatch(now, func(uint64) bool { return false })
	}
	c.Assert(waited <= 20*minCapacity, qt.IsTrue, qt.Commentf("%d waited until their timeout in 20 s", waited))
	for range 200 {
		q.Add("models", time.Hour)
		q.Dispatch(0, func(uint64) bool { return true })
	}
	c.Assert(int(q.capacity), qt.Equals, maxCapacity)
}

// simulatedEngines is a service whose engines prefill prompts one at a time and run 16 requests at
// once.
type simulatedEngines struct {
	ends         [][]time.Duration
	prefillUntil []time.Duration
}

const (
	engineSlots       = 16
	engineServiceTime = 1340 * time.Millisecond
	enginePrefill     = 45 * time.Millisecond
	engineFirstToken  = 95 * time.Millisecond
)

func newEngines(count int) *simulatedEngines {
	return &simulatedEngines{ends: make([][]time.Duration, count), prefillUntil: make([]time.Duration, count)}
}

// best returns the engine with the fewest requests, the queue position of a new request there, and
// the prefill backlog.
func (e *simulatedEngines) best(now time.Duration) (best, position int, prefillWait time.Duration) {
	fewest := 1 << 30
	for i, ends := range e.ends {
		running := ends[:0]
		for _, end := range ends {
			if end > now {
				running = append(running, end)
			}
		}
		e.ends[i] = running
		if len(running) < fewest {
			best, fewest = i, len(running)
		}
	}
	return best, fewest + 1 - engineSlots, max(e.prefillUntil[best]-now, 0)
}

// predictFirstToken predicts a request's time to first token.
func predictFirstToken(position int, prefillWait time.Duration) time.Duration {
	return engineFirstToken + enginePrefill + prefillWait + time.Duration(max(position, 0))*engineServiceTime/engineSlots
}

func (e *simulatedEngines) start(engine int, now, firstToken time.Duration) {
	e.ends[engine] = append(e.ends[engine], now+firstToken+engineServiceTime)
	e.prefillUntil[engine] = max(e.prefillUntil[engine], now) + enginePrefill
}

// simulatedRequest is one request, retried once after a refusal.
type simulatedRequest struct {
	arrived time.Duration
	retried bool
}

// answerCounts counts the requests of a simulation by result.
type answerCounts struct{ inTime, late, refused int }

// simulateOutage runs 11 engines for 12 s at three fifths of their capacity. An outage of all engines
// begins after 2 s and lasts 2.3 s.
func simulateOutage(queues []*EntryQueue) answerCounts {
	const step, perSecond, goal, timeout = 5 * time.Millisecond, 80, 400 * time.Millisecond, 6 * time.Second
	const outageStart, outageEnd = 2 * time.Second, 4300 * time.Millisecond
	rng, gate, outage := newRng(), DefaultEntryGate(), Outage{}
	e, counts := newEngines(11), answerCounts{}
	type ticket struct {
		queue int
		id    uint64
	}
	retries, waiting := map[time.Duration][]simulatedRequest{}, map[ticket]simulatedRequest{}
	recordAnswer := func(r simulatedRequest, now, firstToken time.Duration) {
		if now+firstToken-r.arrived <= goal {
			counts.inTime++
		} else {
			counts.late++
		}
	}
	refuse := func(r simulatedRequest, now, retryAfter time.Duration) {
		if r.retried {
			counts.refused++
			return
		}
		retryAt := (now + retryAfter).Truncate(step) + step
		retries[retryAt] = append(retries[retryAt], simulatedRequest{arrived: r.arrived, retried: true})
	}
	for now := time.Duration(0); now < 20*time.Second; now += step {
		unavailable := now >= outageStart && now < outageEnd
		arrivals := retries[now]
		if now < 12*time.Second && int(now*perSecond/time.Second) != int((now+step)*perSecond/time.Second) {
			arrivals = append(arrivals, simulatedRequest{arrived: now})
		}
		for _, r := range arrivals {
			remaining := timeout - (now - r.arrived)
			if unavailable {
				refuse(r, now, RetryAfterOutage(0, remaining, outage.RecordRefusal(now), rng))
				continue
			}
			best, position, prefillWait := e.best(now)
			firstToken := predictFirstToken(position, prefillWait)
			ok, retryAfter := gate.Admit(Forecast{QueuePosition: position, PrefillWait: prefillWait, Predicted: firstToken}, Caller{Remaining: remaining, Goal: goal}, rng)
			if ok {
				e.start(best, now, firstToken)
				recordAnswer(r, now, firstToken)
				continue
			}
			if len(queues) > 0 && now-r.arrived > goal {
				queue := rng.IntN(len(queues))
				if id, ok := queues[queue].Add("models", now+EntryQueueTimeout); ok {
					waiting[ticket{queue, id}] = r
					continue
				}
			}
			refuse(r, now, retryAfter)
		}
		if unavailable {
			continue
		}
		for n, queue := range queues {
			expired := queue.Dispatch(now, func(id uint64) bool {
				best, position, prefillWait := e.best(now)
				firstToken := predictFirstToken(position, prefillWait)
				if !gate.AdmitQueued(Forecast{QueuePosition: position, PrefillWait: prefillWait, Predicted: firstToken}, goal) {
					return false
				}
				e.start(best, now, firstToken)
				recordAnswer(waiting[ticket{n, id}], now, firstToken)
				return true
			})
			for _, id := range expired {
				refuse(waiting[ticket{n, id}], now, 0)
			}
		}
	}
	return counts
}

// After an outage of 2.3 s all refused callers make their last retry, two thirds of them too early.
// Without an entry queue some are refused for good although slots are free a second later. Requests
// that can be answered in time must not suffer from the queue.
func TestEntryQueueServesLateCallersAfterOutage(t *testing.T) {
	c := qt.New(t)
	var queues []*EntryQueue
	for range 6 {
		queues = append(queues, NewEntryQueue())
	}
	without, with := simulateOutage(nil), simulateOutage(queues)
	t.Logf("without %+v, with %+v", without, with)
	c.Assert(with.refused <= without.refused*85/100, qt.IsTrue)
	c.Assert(with.inTime >= without.inTime*98/100, qt.IsTrue)
	c.Assert(with.inTime+with.late > without.inTime+without.late, qt.IsTrue)
}
