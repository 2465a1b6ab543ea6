package experiment

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// Bounds on the retries of all entries together.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 104
)

// Times of callers and entries.
const (
	// minCallerGap, callerGoals and callerGaps give the time without an event after which a caller
	// disconnects: the largest of the first, of callerGoals goals and of callerGaps accepted gaps.
	minCallerGap = 2 * time.Second
	callerGoals  = 4
	callerGaps   = 8
	// checkInterval is the time between two checks of a silent attempt.
	checkInterval = 100 * time.Millisecond
)

// newBudget returns one entry's share of the bound on retries.
func (sim *simulation) newBudget() *retry.Window {
	entries := 0
	for _, r := range sim.Regions {
		entries += r.Entries
	}
	return retry.NewWindow(retry.SharedWindow(retryWindow, retryRatio, retrySlack, entries))
}

// callerGap returns the time without an event after which a caller disconnects.
func (k *Kind) callerGap() time.Duration {
	return max(minCallerGap, callerGoals*k.Goal, callerGaps*k.MaxEventGap)
}

// call is one try of a caller at one entry: the entry's attempts and what the caller has received.
type call struct {
	entry   *entry
	request *request
	history forward.Attempts
	// tried are the servers that were chosen, and sent is the number of those that received the request.
	tried []filbertlever.HostID
	sent  int
	// open are the running attempts.
	open []*attempt
	// firstEventAt is when the caller received the first event; 0 before that. lastEventAt is when it
	// received the last one, or sent the request.
	firstEventAt time.Duration
	lastEventAt  time.Duration
	delivered    int
	// interrupted is true once the time between two events was too long.
	interrupted bool
	waitingID   uint64
	// ended is true once the caller has its last event or status or has disconnected, and left is true
	// in the latter case.
	ended, left bool
}

// startCall starts the call of a request that has just arrived.
func (e *entry) startCall(r *request) {
	sim := e.simulation
	c := &call{entry: e, request: r, lastEventAt: sim.now,
		history: forward.Attempts{Class: forward.Class{Repeatable: true, MaxServers: r.spec.MaxServers}}}
	r.call = c
	e.budget.RecordRequest(sim.now)
	sim.callTimes = append(sim.callTimes, sim.now)
	sim.after(r.spec.callerGap(), c.checkCaller)
	sim.after(c.remaining(), func() { c.end(EndExpired, 0) })
}

func (c *call) begun() bool { return c.firstEventAt > 0 }

func (c *call) serversLeft() int { return c.request.spec.MaxServers - c.sent }

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration {
	return c.request.arrivedAt + c.request.spec.Limit - c.entry.simulation.now
}

// checkCaller disconnects the caller if it has received nothing for too long.
func (c *call) checkCaller() {
	sim := c.entry.simulation
	if c.ended {
		return
	}
	if left := c.lastEventAt + c.request.spec.callerGap() - sim.now; left > 0 {
		sim.after(left, c.checkCaller)
		return
	}
	c.left = true
	if c.begun() {
		c.end(EndLeft, 0)
		return
	}
	c.end(EndNoStatus, 0)
}

// place starts an attempt at the chosen server.
func (c *call) place(s *engine, p *fleet.Placement) {
	e, sim := c.entry, c.entry.simulation
	c.tried = append(c.tried, filbertlever.HostID(s.id))
	if s.loadedVersion == 0 {
		e.fleet.Release(s.id)
		if s.loadEnd == 0 {
			e.fleet.RecordUnreachable(s.id, sim.now)
			c.next(forward.EndUnsent)
			return
		}
		e.fleet.RecordModelMissing(s.id, sim.now)
		c.next(forward.EndWrongServer)
		return
	}
	if c.sent++; c.sent > 1 {
		sim.retryTimes = append(sim.retryTimes, sim.now)
	}
	r := c.request
	a := &attempt{entry: e, request: r, call: c, server: s, placedAt: sim.now, lastEventAt: sim.now, predictedDelay: p.PredictedLatency,
		promptTokens: r.promptTokens + c.delivered, remainingTokens: r.answerTokens - c.delivered}
	c.open = append(c.open, a)
	s.enqueue(a)
	if sim.policy.Silence != SilenceIgnore {
		patience := sim.policy.patience(r.spec)
		sim.after(patience.CheckIn(forward.Running{Begun: c.begun()}, checkInterval), func() { c.checkAttempt(a) })
	}
}

// advance processes the end of a pass of the server.
func (a *attempt) advance() {
	sim, first := a.entry.simulation, !a.prefilled
	tokens := min(sim.Engine.Stride, a.remainingTokens)
	work := &sim.outcome.Work
	work.Tokens += tokens
	if first {
		work.Prompts++
	}
	a.prefilled = true
	a.remainingTokens -= tokens
	if a.ended {
		if a.call.left {
			work.AbandonedTokens += tokens
		}
		return
	}
	last := a.remainingTokens == 0
	if sim.now < a.server.linkedAt {
		sim.after(a.server.linkedAt-sim.now, func() { a.call.receive(a, tokens, first, last) })
		return
	}
	a.call.receive(a, tokens, first, last)
}

// receive forwards an event to the caller. It cancels the other attempt, if there is one.
func (c *call) receive(a *attempt, tokens int, first, last bool) {
	e, sim := c.entry, c.entry.simulation
	if a.ended {
		return
	}
	a.lastEventAt = sim.now
	for _, other := range slices.Clone(c.open) {
		if other != a {
			c.cancel(other, other.placedAt < a.placedAt && sim.policy.Suspect)
			c.history.Record(forward.EndLost)
		}
	}
	e.fleet.RecordProgress(a.server.id, sim.now)
	if first {
		e.fleet.RecordLatency(a.server.id, a.predictedDelay, sim.now-a.placedAt, sim.now)
	}
	if !c.begun() {
		c.firstEventAt = sim.now
		sim.outcome.FirstTokens = append(sim.outcome.FirstTokens, sim.now-c.request.arrivedAt)
	} else if sim.now-c.lastEventAt > c.request.spec.MaxEventGap {
		c.interrupted = true
	}
	c.lastEventAt = sim.now
	c.delivered += tokens
	if !last {
		return
	}
	e.fleet.RecordSuccess(a.server.id, sim.now)
	c.end(EndWhole, 0)
}

// cancel ends an attempt. If the server is at fault, other requests avoid it for some time.
func (c *call) cancel(a *attempt, atFault bool) {
	f := c.entry.fleet
	a.ended = true
	c.open = slices.DeleteFunc(c.open, func(o *attempt) bool { return o == a })
	f.ReleaseIfCurrent(catalog.Backend{ID: a.server.id})
	if atFault {
		f.RecordFailure(a.server.id, c.entry.simulation.now)
	}
}

// lose ends an attempt whose server has closed the connection.
func (c *call) lose(a *attempt) {
	if a.ended {
		return
	}
	c.cancel(a, true)
	c.next(forward.EndLost)
}

// next decides what follows an attempt that has ended.
func (c *call) next(end forward.End) {
	if len(c.open) > 0 {
		c.history.Record(end)
		return
	}
	e := c.entry
	if c.history.NextStep(end, e.budget, c.remaining(), e.simulation.now, true) != forward.StepRetry {
		c.refuse(admission.RetryAfter(0, e.rng))
		return
	}
	p := e.chooseBackend(c.request)
	if !p.Found {
		if !c.begun() || !e.enterWaitingRoom(c.request, c.remaining()) {
			c.refuse(admission.RetryAfter(0, e.rng))
		}
		return
	}
	forecast := admission.Forecast{QueuePosition: p.QueuePosition, PrefillWait: p.PrefillWait, Predicted: p.PredictedLatency}
	admitted, retryAfter := e.admissionGate.Admit(forecast, admission.Caller{Remaining: c.remaining(), Goal: c.request.spec.Goal}, e.rng)
	if !admitted && !c.begun() {
		e.fleet.Release(p.Backend.ID)
		c.refuse(retryAfter)
		return
	}
	c.place(e.simulation.byID[p.Backend.ID], &p)
}

// refuse ends the call because no attempt follows.
func (c *call) refuse(retryAfter time.Duration) {
	switch {
	case c.begun():
		c.end(EndCut, 0)
	case c.history.MayHaveRun():
		c.end(EndFailed, 0)
	default:
		c.end(EndRefused, min(retryAfter, c.remaining()/3))
	}
}

// end ends the call unless it has ended. A caller without a whole answer returns if it may.
func (c *call) end(end End, returnIn time.Duration) {
	if c.ended {
		return
	}
	c.ended = true
	sim, r := c.entry.simulation, c.request
	for _, a := range slices.Clone(c.open) {
		c.cancel(a, false)
	}
	delete(c.entry.waiting, c.waitingID)
	sim.outcome.Ends[end]++
	if end == EndWhole {
		sim.outcome.Work.DeliveredTokens += r.answerTokens
		if s := sim.secondOf(r); c.firstEventAt-r.arrivedAt <= r.spec.Goal && !c.interrupted {
			s.InTime++
		} else {
			s.Late++
		}
		return
	}
	if r.attempts <= r.spec.Retries && c.remaining() > 0 {
		sim.after(returnIn, func() { sim.startAttempt(r) })
		return
	}
	sim.secondOf(r).Refused++
}

// checkAttempt periodically decides what to do with a running attempt.
func (c *call) checkAttempt(a *attempt) {
	e, sim := c.entry, c.entry.simulation
	if a.ended {
		return
	}
	patience := sim.policy.patience(c.request.spec)
	state := forward.Running{Begun: c.begun(), Silent: sim.now - a.lastEventAt, Stalled: e.fleet.Stalled(a.server.id, sim.now)}
	action, _ := patience.Decide(state)
	if action == forward.ActionHedge && len(c.open) == 1 && c.serversLeft() > 0 {
		c.replace(a)
	}
	if !a.ended {
		sim.after(patience.CheckIn(state, checkInterval), func() { c.checkAttempt(a) })
	}
}

// replace applies the policy to an attempt whose server is silent.
func (c *call) replace(a *attempt) {
	e, sim := c.entry, c.entry.simulation
	if sim.policy.Silence == SilenceCancel {
		if c.begun() || c.hasAlternative() {
			c.cancel(a, sim.policy.Suspect)
			c.next(forward.EndLost)
		}
		return
	}
	p := e.chooseBackend(c.request)
	if !p.Found {
		return
	}
	lost := retry.Attempt{End: retry.EndLost, Number: c.sent}
	needsSlot := !c.begun() || sim.now-a.lastEventAt < sim.policy.QueueAfter
	if needsSlot && p.QueuePosition > e.admissionGate.MaxQueuePosition || !e.budget.Allow(lost, c.remaining(), sim.now) {
		e.fleet.Withdraw(p.Backend.ID, c.request.promptTokens)
		return
	}
	if sim.policy.Silence == SilenceFailover {
		c.cancel(a, sim.policy.Suspect)
		c.history.Record(forward.EndLost)
	}
	c.place(sim.byID[p.Backend.ID], &p)
}

// hasAlternative reports whether another server could take the request now.
func (c *call) hasAlternative() bool {
	e := c.entry
	p := e.chooseBackend(c.request)
	if !p.Found {
		return false
	}
	e.fleet.Withdraw(p.Backend.ID, c.request.promptTokens)
	return p.QueuePosition <= e.admissionGate.MaxQueuePosition
}

// Production values of the times of silence.
const (
	stallGoals = 1.5
	headGoals  = 4
	minHead    = 400 * time.Millisecond
	silentGaps = 4
	minSilence = 800 * time.Millisecond
)

// patience returns the times of silence of the policy for a kind of request.
func (p *Policy) patience(k *Kind) forward.Patience {
	times := forward.Patience{
		Stall: max(time.Duration(stallGoals*float64(k.Goal)), minHead),
		Head:  max(headGoals*k.Goal, minHead),
		Gap:   max(silentGaps*k.MaxEventGap, minSilence),
	}
	if p.Stall > 0 {
		times.Stall = p.Stall
	}
	if p.Head > 0 {
		times.Head = p.Head
	}
	if p.Gap > 0 {
		times.Gap = p.Gap
	}
	return times
}
