package gateway

import (
	"slices"
	"sync/atomic"
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
	state  atomic.Int32
	// done is closed when the attempt has gone on or ended. The beginning is set before.
	done chan struct{}
	beginning
}

// States of a hedge.
const (
	hedgePending int32 = iota
	// hedgeWon: it went on first and takes the place of the current attempt.
	hedgeWon
	// hedgeLost: the current attempt went on first, or the request ended.
	hedgeLost
	// hedgeFailed: it ended without going on.
	hedgeFailed
)

// patience returns the times of silence after which the request is sent to a second server.
func (a *attempts) patience() forward.Patience {
	goal := a.route.FirstByteGoal
	return forward.Patience{
		Stall: max(time.Duration(stallTimeoutFactor*float64(goal)), minHeadTimeout),
		Head:  max(headTimeoutFactor*goal, minHeadTimeout),
		Gap:   max(maxSilentPauses*a.route.MaxEventGap, minSilenceTimeout),
	}
}

// attemptWatch watches the current attempt of a request for a silent server.
type attemptWatch struct {
	*attempts
	watched *attempt
	done    chan struct{}
}

// watch watches an attempt and returns a function that stops the watch. Requests that may run on one
// server only are not watched.
func (a *attempts) watch(t *attempt) func() {
	if !a.Class.Repeatable || a.Class.MaxServers < 2 || a.route.FirstByteGoal <= 0 {
		return func() {}
	}
	w := &attemptWatch{attempts: a, watched: t, done: make(chan struct{})}
	go w.run()
	return func() {
		select {
		case <-w.done:
		default:
			close(w.done)
		}
	}
}

func (w *attemptWatch) run() {
	patience := w.patience()
	timer := time.NewTimer(patience.CheckIn(w.status(), checkInterval))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-w.ctx.Done():
			return
		case <-timer.C:
		}
		status := w.status()
		if action, reason := patience.Decide(status); action == forward.ActionHedge {
			w.startHedge(status, reason)
		}
		timer.Reset(patience.CheckIn(status, checkInterval))
	}
}

// status returns what is known of the current attempt.
func (w *attemptWatch) status() forward.Running {
	g, t := w.gateway, w.watched
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	return forward.Running{
		Begun: t.phase.hasStarted(), Silent: g.fleet.TimeSince(time.Duration(t.progressAt.Load()), now),
		Stalled: g.fleet.Stalled(t.Backend.ID, now), Replaced: g.fleet.Superseded(t.Backend),
	}
}

// startHedge starts an attempt at a second server if a server, a place there and the retry budget are
// available.
func (w *attemptWatch) startHedge(status forward.Running, reason forward.EndedBy) {
	a, g := w.attempts, w.gateway
	if h := a.hedge.Load(); h != nil && h.state.Load() == hedgePending || a.callerDisconnected() || a.checkQuarantine() != nil || a.oneCrashFromHold() {
		return
	}
	server, ok := a.reserveSecond()
	if !ok {
		return
	}
	h := &hedge{attempt: a.newAttempt(server), reason: reason, done: make(chan struct{})}
	g.log.Info("second attempt started", zap.String("Request", a.call.ID), zap.String("Backend", w.watched.Backend.ID), zap.String("Second", server.Backend.ID),
		zap.String("Why", string(reason)), zap.Duration("Silent", status.Silent), zap.Bool("Begun", status.Begun), zap.Bool("Stalled", status.Stalled),
		zap.Bool("Replaced", status.Replaced), zap.Int("Ahead", server.QueuePosition), zap.Duration("Left", a.remaining()))
	a.hedge.Store(h)
	go h.run()
}

// reserveSecond chooses a second server and takes the attempt from the retry budget. A request that has
// not begun is sent only to a server with a free slot.
func (a *attempts) reserveSecond() (chosenServer, bool) {
	g, now := a.gateway, boottime.Now()
	begun := a.begun()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(a.tried) >= a.Class.MaxServers {
		return chosenServer{}, false
	}
	wanted := a.placementRequest(now)
	wanted.Responsive = true
	server := a.chooseFor(wanted, now)
	if !server.Found {
		return chosenServer{}, false
	}
	visited := slices.ContainsFunc(a.running, func(t *attempt) bool { return processOf(t.Backend) == processOf(server.Backend) })
	if visited || !begun && server.QueuePosition > g.gate.MaxQueuePosition ||
		!g.retryBudget(a.service).Allow(retry.Attempt{End: retry.EndLost}, a.remaining(), now) {
		g.fleet.Release(server.Backend.ID)
		return chosenServer{}, false
	}
	return server, true
}

// run performs the attempt until it goes on, and then ends the current one unless that went on first.
func (h *hedge) run() {
	defer close(h.done)
	received, end := h.receive()
	result := "Lost"
	switch {
	case end != 0 && h.state.CompareAndSwap(hedgePending, hedgeFailed):
		result = "Failed"
	case end == 0 && h.win(received):
		result = "Won"
	}
	h.gateway.metrics.hedges.WithLabelValues(h.service, string(h.reason), result).Inc()
	if result == "Won" {
		return
	}
	if received.reply != nil {
		received.reply.Finish(false)
	}
	if end == 0 {
		end = forward.EndLost
	}
	h.recordEnd(end)
	h.attempt.end()
}

// win makes the attempt the one that goes on, unless the current one went on first.
func (h *hedge) win(received beginning) bool {
	h.beginning = received
	if !h.state.CompareAndSwap(hedgePending, hedgeWon) {
		return false
	}
	g := h.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	h.current.cancel(forward.EndedByHedge)
	return true
}

// goesOn reports whether the current attempt, which has received a part of its answer, still is the one
// that goes on. If so, an attempt beside it is ended.
func (a *attempts) goesOn() bool {
	h := a.hedge.Load()
	if h == nil {
		return true
	}
	if h.state.CompareAndSwap(hedgePending, hedgeLost) {
		h.cancel(forward.EndedByHedge)
	}
	if h.state.Load() == hedgeWon {
		return false
	}
	a.hedge.CompareAndSwap(h, nil)
	return true
}

// successor waits for the attempt beside the current one, which has ended, and returns it if it goes on,
// otherwise nil.
func (a *attempts) successor() *hedge {
	h := a.hedge.Load()
	if h == nil {
		return nil
	}
	<-h.done
	a.hedge.CompareAndSwap(h, nil)
	if h.state.Load() != hedgeWon {
		return nil
	}
	return h
}
