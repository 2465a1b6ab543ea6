package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times of silence after which a request is sent to a second server.
const (
	// headTimeoutFactor times the route's goal is the time in which a server must begin its answer.
	headTimeoutFactor = 4
	// stallTimeoutFactor times the goal is that time for a server that makes no progress on any request,
	// as a stalled server is recognised earlier than a busy one.
	stallTimeoutFactor = 1.5
	// minHeadTimeout is the lower limit of both, so that with a short goal a request is not sent again
	// while it is only queued.
	minHeadTimeout = 400 * time.Millisecond
	// maxSilentPauses is how many times the longest pause that callers accept a server may be silent in
	// the middle of a stream. Callers themselves disconnect after eight. minSilenceTimeout is the lower
	// limit of that time.
	maxSilentPauses   = 4
	minSilenceTimeout = 800 * time.Millisecond
	// checkInterval is the interval between checks once a second server is wanted.
	checkInterval = 100 * time.Millisecond
)

// hedge is an attempt beside the current one of a request.
type hedge struct {
	*attempt
	// reason is why it was started.
	reason forward.EndedBy
	// state is guarded by the gateway's mu.
	state hedgeState
	// done is closed when the attempt has gone on or ended. Unless it was lost or failed, beginning and
	// end are set before.
	done chan struct{}
	beginning
	end forward.End
}

// hedgeState is what became of a hedge.
type hedgeState int

const (
	hedgePending hedgeState = iota
	// hedgePromoted: the current attempt has ended, and this one took its place before it went on.
	hedgePromoted
	// hedgeWon: it went on first and takes the place of the current attempt.
	hedgeWon
	// hedgeLost: another attempt went on first, or the request ended.
	hedgeLost
	// hedgeFailed: it ended without going on.
	hedgeFailed
)

var hedgeResults = [...]string{"Pending", "Promoted", "Won", "Lost", "Failed"}

// set changes the state. The caller holds g.mu.
func (h *hedge) set(state hedgeState) {
	h.state = state
	h.gateway.metrics.hedges.WithLabelValues(h.service, string(h.reason), hedgeResults[state]).Inc()
	h.gateway.log.Info("second attempt ended", zap.String("Request", h.call.logID()), zap.String("Second", h.Backend.ID), zap.String("Backend", h.current.Backend.ID),
		zap.String("Result", hedgeResults[state]), zap.Duration("Took", boottime.Now()-h.placedAt))
}

// patience returns the times of silence after which the request is sent to a second server. A route
// without a goal or a longest pause sets none.
func (a *attempts) patience() forward.Patience {
	patience := forward.Patience{Stall: math.MaxInt64, Head: math.MaxInt64, Gap: math.MaxInt64}
	if goal := a.route.FirstByteGoal; goal > 0 {
		patience.Stall = max(time.Duration(stallTimeoutFactor*float64(goal)), minHeadTimeout)
		patience.Head = max(headTimeoutFactor*goal, minHeadTimeout)
	}
	if gap := a.route.MaxEventGap; gap > 0 {
		patience.Gap = max(maxSilentPauses*gap, minSilenceTimeout)
	}
	return patience
}

// attemptWatch watches the running attempts of a request for silent servers.
type attemptWatch struct {
	*attempts
	current *attempt
	done    chan struct{}
}

// watch watches the running attempts, of which t is the current one, and returns a function that stops
// the watch. Requests that may run on one server only are not watched.
func (a *attempts) watch(t *attempt) func() {
	if !a.Class.Repeatable || a.Class.MaxServers < 2 {
		return func() {}
	}
	w := &attemptWatch{attempts: a, current: t, done: make(chan struct{})}
	go w.run()
	return sync.OnceFunc(func() { close(w.done) })
}

func (w *attemptWatch) run() {
	patience := w.patience()
	timer := time.NewTimer(patience.CheckIn(w.status(w.current), checkInterval))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-w.ctx.Done():
			return
		case <-timer.C:
		}
		status := w.status(w.current)
		if action, reason := patience.Decide(status); action == forward.ActionHedge {
			w.startHedge(status, reason)
		}
		timer.Reset(patience.CheckIn(status, checkInterval))
	}
}

// status returns what is known of a running attempt.
func (a *attempts) status(t *attempt) forward.Running {
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.statusLocked(t)
}

// statusLocked is status for callers that hold g.mu.
func (a *attempts) statusLocked(t *attempt) forward.Running {
	g, now := a.gateway, boottime.Now()
	running := forward.Running{Begun: t.phase.hasStarted(), Stalled: g.fleet.Stalled(t.Backend.ID, now), Replaced: g.fleet.Superseded(t.Backend)}
	if !t.writing.Load() {
		running.Silent = g.fleet.TimeSince(time.Duration(t.progressAt.Load()), now)
	}
	return running
}

// allSilent reports whether all running attempts call for another one. The caller holds g.mu.
func (a *attempts) allSilent() bool {
	patience := a.patience()
	return !slices.ContainsFunc(a.running, func(t *attempt) bool {
		action, _ := patience.Decide(a.statusLocked(t))
		return action != forward.ActionHedge
	})
}

// startHedge starts an attempt at another server if a server, a place there and the retry budget are
// available.
func (w *attemptWatch) startHedge(status forward.Running, reason forward.EndedBy) {
	a, g := w.attempts, w.gateway
	if a.begun() && !a.resumable() || a.callerDisconnected() || a.checkQuarantine() != nil || a.oneCrashFromHold() {
		return
	}
	h := w.reserveSecond(reason)
	if h == nil {
		return
	}
	server := h.chosenServer
	g.log.Info("second attempt started", zap.String("Request", a.call.logID()), zap.String("Backend", w.current.Backend.ID), zap.String("Second", server.Backend.ID),
		zap.String("Why", string(reason)), zap.Duration("Silent", status.Silent), zap.Bool("Begun", status.Begun), zap.Bool("Stalled", status.Stalled),
		zap.Bool("Replaced", status.Replaced), zap.Int("Ahead", server.QueuePosition), zap.Duration("Left", a.remaining()))
	go h.run()
}

// reserveSecond chooses another server, takes the attempt from the retry budget and registers it. It returns
// nil if there is none, or if an attempt has gone on meanwhile. A request that has not begun is sent only to a
// server with a free slot.
func (w *attemptWatch) reserveSecond(reason forward.EndedBy) *hedge {
	a, g, now := w.attempts, w.gateway, boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.settled || a.current != w.current || !a.allSilent() || a.serversLeft() <= 0 {
		return nil
	}
	wanted := a.placementRequest(now)
	wanted.Responsive = true
	server := a.chooseFor(wanted, now)
	if !server.Found {
		return nil
	}
	visited := slices.ContainsFunc(a.running, func(t *attempt) bool { return processOf(t.Backend) == processOf(server.Backend) })
	if visited || !a.begun() && server.QueuePosition > g.gate.MaxQueuePosition ||
		!g.retryBudget(a.service).Allow(retry.Attempt{End: retry.EndLost}, a.remaining(), now) {
		g.fleet.Release(server.Backend.ID)
		return nil
	}
	h := &hedge{attempt: a.newAttemptLocked(server), reason: reason, done: make(chan struct{})}
	a.hedges = append(a.hedges, h)
	a.hedged.Store(true)
	return h
}

// serversLeft returns how many more servers the request may be sent to, those counted that it was withdrawn
// from. Servers that did not accept its connection do not count. The caller holds g.mu.
func (a *attempts) serversLeft() int {
	return a.Class.MaxServers - a.Sent() - len(a.running) + len(a.withdrawn)
}

// run performs the attempt until it goes on or ends. If it goes on before the current one, it ends that.
func (h *hedge) run() {
	defer close(h.done)
	received, end := h.receive()
	if h.decide(received, end) {
		return
	}
	received.discard()
	h.attempt.end()
}

// decide decides what becomes of the attempt, which has gone on if end is 0. It returns false if its answer
// is of no use.
func (h *hedge) decide(received beginning, end forward.End) bool {
	g := h.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	h.beginning, h.end = received, end
	switch {
	case h.state == hedgePromoted:
		return true
	case h.state == hedgeLost:
	case end == 0 && (h.settled || h.delivered.snapshot() != h.sentAfter):
		// Its answer does not continue what has been delivered.
		h.set(hedgeLost)
		h.recordEndLocked(h.attempt, forward.EndWithdrawn)
	case end != 0, received.empty:
		// A stream that ends without a further event shows nothing while the first attempt may go on.
		h.set(hedgeFailed)
		h.recordEndLocked(h.attempt, h.endOr(cmp.Or(end, forward.EndLost)))
	default:
		h.set(hedgeWon)
		h.current.cancelIf(forward.Running{Overtaken: true})
		h.endOthers(h)
		return true
	}
	return false
}

// endOthers ends all pending hedges but one. The caller holds g.mu.
func (a *attempts) endOthers(kept *hedge) {
	for _, h := range a.hedges {
		if h != kept && h.state == hedgePending {
			h.set(hedgeLost)
			h.recordEndLocked(h.attempt, forward.EndWithdrawn)
			h.cancelIf(forward.Running{Overtaken: true})
		}
	}
}

// goesOn reports whether the current attempt, which has received a part of its answer, still is the one
// that goes on. If so, the attempts beside it are ended, as they do not continue what is delivered now. With
// last set none are started any more.
func (a *attempts) goesOn(last bool) bool {
	if !last && !a.hedged.Load() {
		return true
	}
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.ContainsFunc(a.hedges, func(h *hedge) bool { return h.state == hedgeWon }) {
		return false
	}
	a.settled = last
	a.endOthers(nil)
	a.hedges = nil
	a.hedged.Store(false)
	return true
}

// takeSuccessor returns the attempt that takes the place of the current one, which has ended: one that
// has gone on, or else one that may still go on. It returns nil if there is none.
func (a *attempts) takeSuccessor() *hedge {
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range []hedgeState{hedgeWon, hedgePending} {
		for i, h := range a.hedges {
			if h.state != state {
				continue
			}
			if state == hedgePending {
				h.set(hedgePromoted)
			}
			a.hedges = slices.Delete(a.hedges, i, i+1)
			a.current = h.attempt
			return h
		}
	}
	return nil
}

// settle ends all attempts beside the current one, because the request ends or is tried anew.
func (a *attempts) settle() {
	g := a.gateway
	g.mu.Lock()
	a.settled = true
	a.endOthers(nil)
	var unused []*hedge
	for _, h := range a.hedges {
		if h.state == hedgeWon {
			h.recordEndLocked(h.attempt, forward.EndWithdrawn)
			unused = append(unused, h)
		}
	}
	a.hedges = nil
	a.hedged.Store(false)
	g.mu.Unlock()
	for _, h := range unused {
		<-h.done
		h.reply.Finish(false)
		h.attempt.end()
	}
}
