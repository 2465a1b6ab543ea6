package gateway

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times that a server may take to begin its answer.
const (
	// headGoals is how many goals a server may take to begin its answer before
	// a request that may run again is sent elsewhere.
	headGoals = 4
	// stalledGoals and stalledEvery are when it is first looked, and how often
	// then, whether the server sends nothing to anybody.
	stalledGoals = 1.5
	stalledEvery = 100 * time.Millisecond
	// headLeast is the least of these times, so that a short goal does not
	// send again what is merely queued.
	headLeast = 400 * time.Millisecond
)

// headWatch waits for the head of an answer.
type headWatch struct {
	attempts *attempts
	backend  string
	cancel   func()
	done     chan struct{}
}

// watchHead ends the attempt if its server does not begin to answer in time,
// for requests that another server may still run.
func (a *attempts) watchHead(backend string, cancel func()) *headWatch {
	if !a.Class.Repeatable || a.Sent()+1 >= a.Class.Servers || a.route.Goal <= 0 {
		return nil
	}
	w := &headWatch{attempts: a, backend: backend, cancel: cancel, done: make(chan struct{})}
	go w.run()
	return w
}

// run looks first after the time in which most answers begin, then often: a
// server that sends nothing to anybody is given up sooner than one that is busy.
func (w *headWatch) run() {
	a := w.attempts
	began := time.Now()
	timer := time.NewTimer(max(time.Duration(stalledGoals*float64(a.route.Goal)), headLeast))
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-timer.C:
		}
		g := a.gateway
		g.mu.Lock()
		stalled := g.fleet.Stalled(w.backend, boottime.Now())
		g.mu.Unlock()
		if stalled || time.Since(began) >= max(headGoals*a.route.Goal, headLeast) {
			w.cancel()
			return
		}
		timer.Reset(stalledEvery)
	}
}

// end stops the watch; nil watches nothing.
func (w *headWatch) end() {
	if w != nil {
		close(w.done)
	}
}
