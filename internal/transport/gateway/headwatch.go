package gateway

import (
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times that a server may take to begin its answer.
const (
	// headTimeoutFactor is how many goals a server may take to begin its answer before
	// a request that may run again is sent elsewhere.
	headTimeoutFactor = 4
	// firstCheckFactor and stalledEvery are when it is first looked, and how often
	// then, whether the server sends nothing to anybody.
	firstCheckFactor = 1.5
	checkInterval    = 100 * time.Millisecond
	// minHeadTimeout is the least of these times, so that a short goal does not
	// send again what is merely queued.
	minHeadTimeout = 400 * time.Millisecond
)

// headWatch waits for the head of an answer.
type headWatch struct {
	gateway *Gateway
	goal    time.Duration
	backend catalog.Backend
	// wanted is what another server would have to take.
	wanted fleet.Request
	cancel func()
	done   chan struct{}
}

// watchHead ends the attempt if its server does not begin to answer in time,
// for requests that another server may still run.
func (a *attempts) watchHead(backend catalog.Backend, cancel func()) *headWatch {
	if !a.Class.Repeatable || a.Sent()+1 >= a.Class.Servers || a.route.Goal <= 0 {
		return nil
	}
	a.gateway.mu.Lock()
	wanted := a.wanted(boottime.Now())
	a.gateway.mu.Unlock()
	wanted.Avoid = slices.Clone(wanted.Avoid)
	w := &headWatch{gateway: a.gateway, goal: a.route.Goal, backend: backend, wanted: wanted, cancel: cancel, done: make(chan struct{})}
	go w.run()
	return w
}

// run looks first after the time in which most answers begin, then often: a
// server that sends nothing to anybody is given up sooner than one that is busy.
func (w *headWatch) run() {
	began := time.Now()
	timer := time.NewTimer(max(time.Duration(firstCheckFactor*float64(w.goal)), minHeadTimeout))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-timer.C:
		}
		if w.late(time.Since(began)) {
			w.cancel()
			return
		}
		timer.Reset(checkInterval)
	}
}

// late reports whether the attempt is better made elsewhere.
//
// A server whose process is gone sends nothing any more, though a cut may hide its end.
//
// Guard: a request that is given up where no other server has a place is lost,
// though its own may only be slow; it waits on.
func (w *headWatch) late(waited time.Duration) bool {
	g, now := w.gateway, boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := g.fleet.Followed(w.backend) || g.fleet.Stalled(w.backend.ID, now)
	if waited < max(headTimeoutFactor*w.goal, minHeadTimeout) && !silent {
		return false
	}
	return g.fleet.Elsewhere(w.wanted, g.gate.Waiting, now)
}

// end stops the watch; nil watches nothing.
func (w *headWatch) end() {
	if w != nil {
		close(w.done)
	}
}
