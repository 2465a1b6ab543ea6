package gateway

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Timeouts for the head of an answer.
const (
	// headTimeoutFactor times the route's goal is the time in which a server must begin its
	// answer. After that a repeatable request is sent to another server.
	headTimeoutFactor = 4
	// firstCheckFactor times the goal is the time of the first check for a stalled server,
	// and checkInterval the interval between later checks.
	firstCheckFactor = 1.5
	checkInterval    = 100 * time.Millisecond
	// minHeadTimeout is the lower bound of both times, so that with a short goal a request
	// is not sent again while it is only queued.
	minHeadTimeout = 400 * time.Millisecond
)

// headWatch cancels an attempt whose server does not begin its answer in time.
type headWatch struct {
	gateway *Gateway
	// goal is the route's goal for the time to the first byte.
	goal    time.Duration
	backend catalog.Backend
	// request is the request as another server would have to accept it.
	request fleet.Request
	cancel  func(by forward.EndedBy)
	done    chan struct{}
}

// watchHead cancels the attempt if its server does not begin its answer in time. It returns
// nil if no other server may run the request.
func (a *attempts) watchHead(backend catalog.Backend, cancel func(by forward.EndedBy)) *headWatch {
	if !a.Class.Repeatable || a.Sent()+1 >= a.Class.MaxServers || a.route.FirstByteGoal <= 0 {
		return nil
	}
	a.gateway.mu.Lock()
	request := a.placementRequest(boottime.Now())
	a.gateway.mu.Unlock()
	request.Avoid = slices.Clone(request.Avoid)
	w := &headWatch{gateway: a.gateway, goal: a.route.FirstByteGoal, backend: backend, request: request, cancel: cancel, done: make(chan struct{})}
	go w.run()
	return w
}

// run checks first after the time in which most answers begin, then at short intervals, as a
// stalled server is abandoned earlier than a busy one.
func (w *headWatch) run() {
	start := time.Now()
	timer := time.NewTimer(max(time.Duration(firstCheckFactor*float64(w.goal)), minHeadTimeout))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-timer.C:
		}
		if by, ok := w.shouldReroute(time.Since(start)); ok {
			w.cancel(by)
			return
		}
		timer.Reset(checkInterval)
	}
}

// shouldReroute reports whether the request should be sent to another server.
//
// A process that has been replaced sends nothing more, although a network partition may hide
// its end. A stalled server sends nothing to any caller. Both are abandoned before the
// head timeout.
//
// If no other server has a free place the attempt continues, since the server may only be
// slow and the request would fail.
func (w *headWatch) shouldReroute(waited time.Duration) (forward.EndedBy, bool) {
	g, now := w.gateway, boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	by := forward.EndedByHeadTimeout
	switch {
	case g.fleet.Superseded(w.backend):
		by = forward.EndedByReplacement
	case g.fleet.Stalled(w.backend.ID, now):
		by = forward.EndedByStall
	case waited < max(headTimeoutFactor*w.goal, minHeadTimeout):
		return "", false
	}
	return by, g.fleet.HasAlternative(w.request, g.gate.MaxQueuePosition, now)
}

// end stops the watch. The receiver may be nil.
func (w *headWatch) end() {
	if w != nil {
		close(w.done)
	}
}
