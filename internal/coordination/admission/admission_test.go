package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func item(id uint64, organisation filbertlever.OrganisationID) admission.Item {
	return admission.Item{ID: id, Organisation: organisation, Priority: filbertlever.PriorityNormal, Cost: 1, Deadline: epoch.Add(time.Hour)}
}

// The queue runs more items than the server can run at once.
func TestQueueStartsItemsUpToConcurrency(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(2, 1)
	c.Assert(q.Offer(item(1, "a"), epoch)[0].Verdict, qt.Equals, admission.VerdictStart)
	c.Assert(q.Offer(item(2, "a"), epoch)[0].Verdict, qt.Equals, admission.VerdictStart)
	c.Assert(q.Offer(item(3, "a"), epoch)[0].Verdict, qt.Equals, admission.VerdictWait)
	refused := q.Offer(item(4, "a"), epoch)[0]
	c.Assert(refused.Verdict, qt.Equals, admission.VerdictRefuse)
	c.Assert(refused.RetryAfter > 0, qt.IsTrue)
	next := q.Done(1, epoch.Add(time.Second))
	c.Assert(next, qt.DeepEquals, []admission.Decision{{ID: 3, Verdict: admission.VerdictStart}})
}

// A request of a small organisation waits behind a burst of a large one.
func TestBurstDoesNotStarveOtherOrganisations(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(1, 100)
	for id := range uint64(101) {
		q.Offer(item(id, "large"), epoch)
	}
	decisions := q.Offer(item(500, "small"), epoch)
	c.Assert(decisions, qt.HasLen, 2)
	c.Assert(decisions[0].Verdict, qt.Equals, admission.VerdictWait)
	c.Assert(decisions[1].Reason, qt.Equals, admission.ReasonOverShare)
	started := q.Done(0, epoch.Add(time.Millisecond))
	c.Assert(started[0].ID, qt.Equals, uint64(500))
}

// A request of an idle organisation waits until an answer of another one ends,
// although the engine could batch one more.
func TestIdleOrganisationStartsInHeadroom(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(4, 100)
	for id := range uint64(50) {
		q.Offer(item(id, "large"), epoch)
	}
	c.Assert(q.Running(), qt.Equals, 4)
	c.Assert(q.Offer(item(500, "small"), epoch)[0].Verdict, qt.Equals, admission.VerdictStart)
	c.Assert(q.Offer(item(501, "small"), epoch)[0].Verdict, qt.Equals, admission.VerdictWait)
	c.Assert(q.Done(0, epoch), qt.HasLen, 0)
}

// Organisations don't get work done in proportion to their weights.
func TestOrganisationsShareByWeight(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(1, 1000)
	heavy, light := item(0, "heavy"), item(0, "light")
	heavy.Weight, light.Weight = 3, 1
	for id := range uint64(400) {
		heavy.ID, light.ID = 2*id, 2*id+1
		q.Offer(heavy, epoch)
		q.Offer(light, epoch)
	}
	started := map[bool]int{}
	running := uint64(0)
	for range 200 {
		next := q.Done(running, epoch.Add(time.Millisecond))
		running = next[0].ID
		started[running%2 == 0]++
	}
	c.Assert(started[true] >= 148 && started[true] <= 152, qt.IsTrue, qt.Commentf("%v", started))
}

// A request waits in the queue although the prediction already shows that its
// deadline cannot be met.
func TestQueueRefusesIfDeadlineCannotBeMet(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(1, 1000)
	now := epoch
	q.Offer(item(1, "a"), now)
	now = now.Add(time.Second)
	q.Done(1, now)
	for id := uint64(2); id < 52; id++ {
		q.Offer(item(id, "a"), now)
	}
	late := item(99, "a")
	late.Deadline = now.Add(time.Second)
	decision := q.Offer(late, now)[0]
	c.Assert(decision.Verdict, qt.Equals, admission.VerdictRefuse)
	c.Assert(decision.Reason, qt.Equals, admission.ReasonDeadline)
}

// A request runs although its deadline passed in the queue.
func TestWaitingItemExpires(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(1, 10)
	q.Offer(item(1, "a"), epoch)
	short := item(2, "a")
	short.Deadline = epoch.Add(time.Second)
	c.Assert(q.Offer(short, epoch)[0].Verdict, qt.Equals, admission.VerdictWait)
	c.Assert(q.Expire(epoch.Add(2 * time.Second))[0].Reason, qt.Equals, admission.ReasonDeadline)
	c.Assert(q.Waiting(), qt.Equals, 0)
}

// An organisation that marks all its requests urgent delays the requests of
// others.
func TestPriorityAppliesWithinOneOrganisation(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(1, 10)
	q.Offer(item(1, "a"), epoch)
	urgent := item(4, "a")
	urgent.Priority = filbertlever.PriorityUrgent
	q.Offer(item(2, "a"), epoch)
	q.Offer(item(3, "b"), epoch)
	q.Offer(urgent, epoch)
	var order []uint64
	for running, n := uint64(1), 0; n < 3; n++ {
		running = q.Done(running, epoch)[0].ID
		order = append(order, running)
	}
	c.Assert(order, qt.DeepEquals, []uint64{3, 4, 2})
}

// A caller disconnects while its request waits, and the request keeps its place
// in the queue.
func TestCancelWaitingItem(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(1, 10)
	q.Offer(item(1, "a"), epoch)
	q.Offer(item(2, "a"), epoch)
	c.Assert(q.Cancel(2), qt.IsTrue)
	c.Assert(q.Cancel(2), qt.IsFalse)
	c.Assert(q.Done(1, epoch), qt.HasLen, 0)
	c.Assert(q.Running()+q.Waiting(), qt.Equals, 0)
}

// At ten times the load no answer is in time any more, because the server only
// works on requests whose deadlines pass before they end.
func TestGoodputStaysFlatUnderOverload(t *testing.T) {
	c := qt.New(t)
	one, ten := goodput(1), goodput(10)
	c.Assert(float64(ten) >= 0.95*float64(one), qt.IsTrue, qt.Commentf("%d at 1x, %d at 10x", one, ten))
}

// goodput returns how many requests are answered in time within a minute by a
// server with 8 slots and 100 ms per request, at a multiple of its capacity.
func goodput(times int) int {
	const slots, service = 8, 100 * time.Millisecond
	q := admission.NewQueue(slots, 64)
	ends := map[uint64]time.Time{}
	deadlines := map[uint64]time.Time{}
	good, id := 0, uint64(0)
	start := func(decisions []admission.Decision, now time.Time) {
		for _, d := range decisions {
			if d.Verdict == admission.VerdictStart {
				ends[d.ID] = now.Add(service)
			}
		}
	}
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(time.Millisecond) {
		for done, end := range ends {
			if now.Before(end) {
				continue
			}
			delete(ends, done)
			if !now.After(deadlines[done]) {
				good++
			}
			start(q.Done(done, now), now)
		}
		if now.Sub(epoch).Milliseconds()%25 == 0 {
			for range 2 * times {
				id++
				i := item(id, "a")
				i.Deadline = now.Add(500 * time.Millisecond)
				deadlines[id] = i.Deadline
				start(q.Offer(i, now), now)
			}
		}
	}
	return good
}

// The limit does not fall to its minimum under overload, or does not recover.
func TestLimitDecreasesUnderOverloadAndRecovers(t *testing.T) {
	c := qt.New(t)
	l := admission.NewLimit(20, time.Second)
	now := epoch
	for range 100 {
		now = now.Add(2 * time.Second)
		l.RecordFirstToken(3*time.Second, now)
	}
	c.Assert(l.Value(), qt.Equals, 5)
	for range 1000 {
		l.RecordFirstToken(time.Millisecond, now)
	}
	c.Assert(l.Value(), qt.Equals, 20)
}
