package order_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/order"
)

// Without failures an order runs once, and its answer is returned and recorded.
func TestOrderIsAnsweredAndRecorded(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	result := s.finish(s.start("claim-1", a, false))
	c.Assert(result.Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(string(result.Answer), qt.Equals, "confirmed")
	c.Assert(s.runs(), qt.Equals, 1)
	c.Assert(s.table.row.State, qt.Equals, order.StateDone)
}

// A caller sends the same order to eight entries at once. If each entry claims
// and dispatches it, the order runs more than once.
func TestSameKeyAtEightEntriesRunsOnce(t *testing.T) {
	c := qt.New(t)
	agents := []*agent{newAgent("billing-1"), newAgent("billing-2"), newAgent("billing-3")}
	s := newSimulation(agents...)
	var requests []*request
	for i := range 8 {
		requests = append(requests, s.start(fmt.Sprint("claim-", i), agents[i%3], false))
	}
	for range 64 {
		for _, a := range requests {
			if a.result == nil {
				s.step(a)
			}
		}
	}
	for _, a := range requests {
		c.Assert(a.result, qt.IsNotNil)
		c.Assert(a.result.Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	}
	c.Assert(s.runs(), qt.Equals, 1)
}

// The platform stores the claim but its acknowledgement is lost. If the entry
// claims again and dispatches under both claims, the order runs twice.
func TestLostClaimAckDispatchesOnce(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	s.table.loseAcks = 1
	result := s.finish(s.start("claim-1", a, false))
	c.Assert(result.Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.runs(), qt.Equals, 1)
}

// The order ran and its outcome was recorded, but the acknowledgement of the
// write was lost. The caller must get the answer, not an unknown outcome.
func TestLostResultAckStillAnswers(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	one := s.start("claim-1", a, false)
	s.runUntil(one, order.ActionDispatch)
	s.table.loseAcks = 1
	c.Assert(s.finish(one).Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.table.row.State, qt.Equals, order.StateDone)
	c.Assert(s.runs(), qt.Equals, 1)
}

// An entry is paused between claim and dispatch while a retry at another entry
// runs the order. If the first entry still dispatches when it resumes, the order
// runs twice.
func TestPausedClaimantResumesAfterRetryRanTheOrder(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	paused := s.start("claim-1", a, false)
	s.runUntil(paused, order.ActionDispatch)
	other := s.start("claim-2", a, true)
	c.Assert(s.finish(other).Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.finish(paused).Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.runs(), qt.Equals, 1)
}

// As above, but the retry targets another agent. The gate of the first agent
// holds no state of the order and could start it a second time.
func TestPausedClaimantResumesAfterAnotherAgentRanTheOrder(t *testing.T) {
	c := qt.New(t)
	one, two := newAgent("billing-1"), newAgent("billing-2")
	s := newSimulation(one, two)
	paused := s.start("claim-1", one, false)
	s.runUntil(paused, order.ActionDispatch)
	c.Assert(s.finish(s.start("claim-2", two, true)).Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.finish(paused).Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.runs(), qt.Equals, 1)
}

// An entry is paused after its claim and resumes an hour after the caller's
// deadline. It must not dispatch the order any more.
func TestPausedClaimantDoesNotDispatchAfterTheDeadline(t *testing.T) {
	c := qt.New(t)
	a := newAgent("orders-1")
	s := newSimulation(a)
	paused := s.startWith(order.Request{ClaimID: "claim-1", Body: body, Target: a.target(), Deadline: epoch.Add(time.Second)})
	s.now = epoch.Add(time.Hour)
	result := s.finish(paused)
	c.Assert(result.Outcome, qt.Equals, filbertlever.OutcomeNotRun)
	c.Assert(result.Reason, qt.Equals, order.ReasonDeadlinePassed)
	c.Assert(s.runs(), qt.Equals, 0)
	c.Assert(s.table.row.State, qt.Equals, order.StateReleased)
}

// The agent runs the order and crashes before it replies. The restarted agent
// has no state of the order and must not start it again.
func TestAgentCrashAfterTheOrderRan(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	one := s.start("claim-1", a, false)
	s.runUntil(one, order.ActionDispatch)
	a.loseReplies = 1
	s.step(one)
	a.restart("2")
	c.Assert(s.finish(one).Outcome, qt.Equals, filbertlever.OutcomeUnknown)
	c.Assert(s.table.row.State, qt.Equals, order.StateUnknown)
	again := s.start("claim-2", a, true)
	c.Assert(s.finish(again).Outcome, qt.Equals, filbertlever.OutcomeUnknown)
	c.Assert(s.runs(), qt.Equals, 1)
}

// The agent restarts before the dispatch, so its new incarnation refuses the
// order. The outcome must be "not run", not unknown.
func TestAgentRestartBeforeTheDispatch(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	one := s.start("claim-1", a, false)
	s.runUntil(one, order.ActionDispatch)
	a.restart("2")
	c.Assert(s.finish(one).Outcome, qt.Equals, filbertlever.OutcomeNotRun)
	c.Assert(s.finish(s.start("claim-2", a, false)).Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.runs(), qt.Equals, 1)
}

// The order ran but the reply to the dispatch was lost. The entry must resolve
// the outcome at the gate.
func TestLostReplyIsResolvedAtTheGate(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	a.loseReplies = 1
	c.Assert(s.finish(s.start("claim-1", a, false)).Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.runs(), qt.Equals, 1)
}

// The first entry crashes after its claim. The retry at another entry must not
// end as unknown, because the gate can confirm that the order has not started.
func TestClaimantCrashBeforeTheDispatch(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	crashed := s.start("claim-1", a, false)
	s.runUntil(crashed, order.ActionDispatch)
	result := s.finish(s.start("claim-2", a, true))
	c.Assert(result.Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(s.runs(), qt.Equals, 1)
}

// Two requests use one key with different bodies. The second caller must not
// get the answer to the first request.
func TestReusedKeyWithDifferentBody(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	s.finish(s.start("claim-1", a, false))
	mismatched := order.Request{ClaimID: "claim-2", Body: order.BodyDigest("billing", "OrderPickup", []byte("skip 8")), Target: a.target(), Deadline: epoch.Add(time.Minute)}
	result := s.finish(s.startWith(mismatched))
	c.Assert(result.Outcome, qt.Equals, filbertlever.OutcomeNotRun)
	c.Assert(result.Reason, qt.Equals, order.ReasonBodyMismatch)
	c.Assert(result.Answer, qt.IsNil)
	c.Assert(s.runs(), qt.Equals, 1)
}

// While the platform is down nothing can be claimed. The order must end as "not
// run" at once, neither as unknown nor only at its deadline.
func TestPlatformDownDuringTheClaim(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	s.table.down = true
	result := s.finish(s.start("claim-1", a, false))
	c.Assert(result.Outcome, qt.Equals, filbertlever.OutcomeNotRun)
	c.Assert(result.RetryAfter > 0, qt.IsTrue)
	c.Assert(s.now.Sub(epoch) < time.Second, qt.IsTrue)
	c.Assert(s.runs(), qt.Equals, 0)
}

// The first entry runs the order but loses the connection to the caller. The
// second entry cannot read the platform: if it returned "not run", the caller
// would submit the order again under another key.
func TestPlatformDownForARepeatedOrder(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	s.finish(s.start("claim-1", a, false))
	s.table.down = true
	c.Assert(s.finish(s.start("claim-2", a, true)).Outcome, qt.Equals, filbertlever.OutcomeUnknown)
}

// The order ran and the platform went down before the outcome was recorded. The
// caller must still get the answer, not an unknown outcome.
func TestPlatformDownDuringTheResultWrite(t *testing.T) {
	c := qt.New(t)
	a := newAgent("billing-1")
	s := newSimulation(a)
	one := s.start("claim-1", a, false)
	s.runUntil(one, order.ActionDispatch)
	s.table.down = true
	result := s.finish(one)
	c.Assert(result.Outcome, qt.Equals, filbertlever.OutcomeAnswered)
	c.Assert(result.PendingRow.State, qt.Equals, order.StateDone)
	c.Assert(result.Revision, qt.Equals, s.table.revision)
}

// A gate that removes an order before its outcome is recorded starts the order
// again when it arrives a second time.
func TestGateKeepsUnrecordedOrders(t *testing.T) {
	c := qt.New(t)
	gate := order.NewGate("life", time.Minute)
	c.Assert(gate.Begin(key, "life", 1).Gate, qt.Equals, order.GateStart)
	gate.Finish(key, []byte("confirmed"))
	gate.Expire(epoch.Add(24 * time.Hour))
	c.Assert(gate.Begin(key, "life", 2).Gate, qt.Equals, order.GateDone)
	gate.MarkRecorded(key, epoch)
	gate.Expire(epoch.Add(30 * time.Second))
	c.Assert(gate.Len(), qt.Equals, 1)
	gate.Expire(epoch.Add(2 * time.Minute))
	c.Assert(gate.Len(), qt.Equals, 0)
}

// The service failed after it may have run the order. The order must not start
// again under a higher fence.
func TestGateDoesNotRestartAFailedOrder(t *testing.T) {
	c := qt.New(t)
	gate := order.NewGate("life", time.Minute)
	gate.Begin(key, "life", 1)
	gate.Fail(key)
	c.Assert(gate.Begin(key, "life", 2).Gate, qt.Equals, order.GateUnknown)
}

// The service was unreachable, so nothing was sent. The order must not end as
// unknown and may start under a higher fence.
func TestRevokedStartRunsUnderAHigherFence(t *testing.T) {
	c := qt.New(t)
	gate := order.NewGate("life", time.Minute)
	gate.Begin(key, "life", 1)
	gate.Revoke(key)
	c.Assert(gate.Resolve(key, "life", 1).Gate, qt.Equals, order.GateFenced)
	c.Assert(gate.Begin(key, "life", 1).Gate, qt.Equals, order.GateFenced)
	c.Assert(gate.Begin(key, "life", 2).Gate, qt.Equals, order.GateStart)
}

// Over ten seconds one entry of eight must get its share of the orders, and no more
// than its initial tokens beyond it.
func TestBudgetLimitsPlatformWrites(t *testing.T) {
	c := qt.New(t)
	budget := order.NewBudget(320, 8)
	now, taken := epoch, 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if ok, after := budget.Take(now); ok {
			taken++
		} else {
			c.Assert(after > 0, qt.IsTrue)
		}
	}
	// 320 writes per second allow 160 orders, 20 for each of eight entries.
	c.Assert(taken <= 20*10+20, qt.IsTrue, qt.Commentf("taken %d", taken))
	c.Assert(taken >= 20*10, qt.IsTrue, qt.Commentf("taken %d", taken))
}

// Random sequences of requests, lost replies, outages, pauses and restarts: the
// order runs at most once, it has not run if all requests end as "not run", and
// it has run if any request gets the answer.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, checkAnyOrderOfEvents)
}

func FuzzAnyOrderOfEvents(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(checkAnyOrderOfEvents))
}

func checkAnyOrderOfEvents(t *rapid.T) {
	agents := []*agent{newAgent("billing-1"), newAgent("billing-2")}
	s := newSimulation(agents...)
	var requests []*request
	incarnations, steps := 1, rapid.IntRange(5, 80).Draw(t, "steps")
	for range steps {
		a := agents[rapid.IntRange(0, 1).Draw(t, "agent")]
		switch rapid.IntRange(0, 12).Draw(t, "event") {
		case 0:
			claim := fmt.Sprint("claim-", len(requests))
			requests = append(requests, s.start(claim, a, len(requests) > 0))
		case 1:
			s.table.loseAcks = rapid.IntRange(0, 2).Draw(t, "loseAcks")
		case 2:
			s.table.down = !s.table.down
		case 3:
			a.loseReplies = 1
		case 4:
			a.down = !a.down
		case 5:
			incarnations++
			a.restart(fmt.Sprint(incarnations))
		case 6:
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "pause")) * time.Second)
		default:
			if len(requests) > 0 {
				s.step(requests[rapid.IntRange(0, len(requests)-1).Draw(t, "arrival")])
			}
		}
	}
	s.table.down, s.table.loseAcks = false, 0
	answered, notRun := 0, 0
	for _, a := range requests {
		switch s.finish(a).Outcome {
		case filbertlever.OutcomeAnswered:
			answered++
		case filbertlever.OutcomeNotRun:
			notRun++
		}
	}
	if s.runs() > 1 {
		t.Fatalf("order ran %d times", s.runs())
	}
	if answered > 0 && s.runs() != 1 {
		t.Fatalf("%d requests got an answer, but the order did not run", answered)
	}
	if len(requests) > 0 && notRun == len(requests) && s.runs() > 0 {
		t.Fatalf("all %d requests ended as not run, but the order ran", notRun)
	}
}
