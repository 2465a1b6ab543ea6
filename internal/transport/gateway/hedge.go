package gateway

import (
	"cmp"
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
	// A second attempt that can go on waits while the pauses of the first are shorter than the longest
	// that callers accept, but at least minStandbyPause. It is ended once the first has gone on for
	// standbyDuration.
	minStandbyPause = 300 * time.Millisecond
	standbyDuration = 600 * time.Millisecond
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
	// hedgeReady: it can go on, but the current attempt has gone on too.
	hedgeReady
	// hedgePromoted: the current attempt has ended, and this one took its place before it went on.
	hedgePromoted
	// hedgeWon: it takes the place of the current attempt, which is silent or has ended.
	hedgeWon
	// hedgeLost: another attempt went on, or the request ended.
	hedgeLost
	// hedgeFailed: it ended without going on.
	hedgeFailed
)

var hedgeResults = [...]string{"Pending", "Ready", "Promoted", "Won", "Lost", "Failed"}

// set changes the state. The caller holds g.mu.
func (h *hedge) set(state hedgeState) {
	h.state = state
	if state != hedgeReady {
		h.gateway.metrics.hedges.WithLabelValues(h.service, string(h.reason), hedgeResults[state]).Inc()
	}
}

// lose ends a hedge that may still go on. A ready one must be released afterwards. The caller holds g.mu.
func (h *hedge) lose() {
	if h.state == hedgeReady {
		h.recordHedge(forward.EndLost)
	}
	h.set(hedgeLost)
	h.cancel(forward.EndedByHedge)
}

// release releases a hedge whose answer is not forwarded.
func (h *hedge) release() {
	<-h.done
	h.reply.Finish(false)
	h.attempt.end()
}

// patience returns the times of silence after which the request is sent to a second server.
func (a *attempts) patience() forward.Patience {
	goal := a.route.FirstByteGoal
	return forward.Patience{
		Stall: max(time.Duration(stallTimeoutFactor*float64(goal)), minHeadTimeout),
		Head:  max(headTimeoutFactor*goal, minHeadTimeout),
		Gap:   max(maxSilentPauses*a.route.MaxEventGap, minSilenceTimeout),
	}
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
	if !a.Class.Repeatable || a.Class.MaxServers < 2 || a.route.FirstByteGoal <= 0 {
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
		w.takeReady()
		status := w.status(w.current)
		if action, reason := patience.Decide(status); action == forward.ActionHedge && w.allSilent(patience) {
			w.startHedge(status, reason)
		}
		next := checkInterval
		if !w.hedged.Load() {
			next = patience.CheckIn(status, checkInterval)
		}
		timer.Reset(next)
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

// allSilent reports whether all running attempts call for another one.
func (a *attempts) allSilent(patience forward.Patience) bool {
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range a.running {
		if action, _ := patience.Decide(a.statusLocked(t)); action != forward.ActionHedge {
			return false
		}
	}
	return true
}

// startHedge starts an attempt at another server if a server, a place there and the retry budget are
// available.
func (w *attemptWatch) startHedge(status forward.Running, reason forward.EndedBy) {
	a, g := w.attempts, w.gateway
	if a.callerDisconnected() || a.checkQuarantine() != nil || a.oneCrashFromHold() {
		return
	}
	server, ok := a.reserveSecond()
	if !ok {
		return
	}
	h := &hedge{attempt: a.newAttempt(server), reason: reason, done: make(chan struct{})}
	g.mu.Lock()
	a.hedges = append(a.hedges, h)
	a.hedged.Store(true)
	a.unrecorded++
	g.mu.Unlock()
	g.log.Info("second attempt started", zap.String("Request", a.call.ID), zap.String("Backend", w.current.Backend.ID), zap.String("Second", server.Backend.ID),
		zap.String("Why", string(reason)), zap.Duration("Silent", status.Silent), zap.Bool("Begun", status.Begun), zap.Bool("Stalled", status.Stalled),
		zap.Bool("Replaced", status.Replaced), zap.Int("Ahead", server.QueuePosition), zap.Duration("Left", a.remaining()))
	go h.run()
}

// reserveSecond chooses another server and takes the attempt from the retry budget. A request that has
// not begun is sent only to a server with a free slot.
func (a *attempts) reserveSecond() (chosenServer, bool) {
	g, now := a.gateway, boottime.Now()
	begun := a.begun()
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.settled || len(a.tried) >= a.Class.MaxServers {
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

// run performs the attempt until it goes on or ends. If it goes on while the current one is silent, it ends
// that.
func (h *hedge) run() {
	defer close(h.done)
	received, end := h.receive()
	if h.decide(received, end) {
		return
	}
	if received.reply != nil {
		received.reply.Finish(false)
	}
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
	case h.state == hedgeLost, end == 0 && h.settled:
		if h.state == hedgePending {
			h.set(hedgeLost)
		}
		h.recordHedge(cmp.Or(end, forward.EndLost))
		return false
	case end != 0, received.empty:
		// A stream that ends without a further event shows nothing while the first attempt may go on.
		h.set(hedgeFailed)
		h.recordHedge(cmp.Or(end, forward.EndLost))
		return false
	case h.currentSilent():
		h.win()
	default:
		h.set(hedgeReady)
	}
	return true
}

// win makes the attempt the successor of the current one. The caller holds g.mu.
func (h *hedge) win() {
	h.set(hedgeWon)
	h.current.cancel(forward.EndedByHedge)
}

// recordHedge records how a hedge ended. The caller holds g.mu.
func (a *attempts) recordHedge(end forward.End) {
	a.unrecorded--
	a.Record(end)
}

// standbyPause returns the pause of the current attempt during which a hedge that is ready does not take
// its place.
func (a *attempts) standbyPause() time.Duration { return max(a.route.MaxEventGap, minStandbyPause) }

// currentSilent reports whether the current attempt has not sent anything for longer than standbyPause. The
// caller holds g.mu.
func (a *attempts) currentSilent() bool { return a.statusLocked(a.current).Silent > a.standbyPause() }

// takeReady lets a hedge that is ready take the place of a silent current attempt.
func (a *attempts) takeReady() {
	if !a.hedged.Load() {
		return
	}
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.settled || !a.currentSilent() || slices.ContainsFunc(a.hedges, func(h *hedge) bool { return h.state == hedgeWon }) {
		return
	}
	for _, h := range a.hedges {
		if h.state == hedgeReady {
			h.win()
			return
		}
	}
}

// goesOn reports whether the current attempt, which has received a part of its answer, still is the one
// that goes on. Attempts beside it are ended once it has gone on for standbyDuration, or if last is set.
func (a *attempts) goesOn(last bool) bool {
	if !last && !a.hedged.Load() {
		return true
	}
	g, now := a.gateway, boottime.Now()
	g.mu.Lock()
	if slices.ContainsFunc(a.hedges, func(h *hedge) bool { return h.state == hedgeWon }) {
		g.mu.Unlock()
		return false
	}
	if now-a.wentOnAt > a.standbyPause() {
		a.resumedAt = now
	}
	a.wentOnAt = now
	a.settled = last
	var ready []*hedge
	if last || now-a.resumedAt >= standbyDuration {
		ready = a.dropHedges()
	}
	g.mu.Unlock()
	for _, h := range ready {
		h.release()
	}
	return true
}

// dropHedges ends all attempts beside the current one, and returns those that must be released. The caller
// holds g.mu.
func (a *attempts) dropHedges() []*hedge {
	var unused []*hedge
	for _, h := range a.hedges {
		switch h.state {
		case hedgeWon:
			a.recordHedge(forward.EndLost)
			unused = append(unused, h)
		case hedgeReady:
			unused = append(unused, h)
			h.lose()
		case hedgePending:
			h.lose()
		}
	}
	a.hedges = nil
	a.hedged.Store(false)
	return unused
}

// takeSuccessor returns the attempt that takes the place of the current one, which has ended: one that
// has gone on, or else one that may still go on. It returns nil if there is none.
func (a *attempts) takeSuccessor() *hedge {
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range []hedgeState{hedgeWon, hedgeReady, hedgePending} {
		for i, h := range a.hedges {
			if h.state != state {
				continue
			}
			switch state {
			case hedgeReady:
				h.set(hedgeWon)
			case hedgePending:
				h.set(hedgePromoted)
			}
			a.hedges = slices.Delete(a.hedges, i, i+1)
			a.unrecorded--
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
	unused := a.dropHedges()
	g.mu.Unlock()
	for _, h := range unused {
		h.release()
	}
}
