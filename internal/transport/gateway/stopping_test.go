package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
)

// newWaitingAttempt returns a request in flight that waits for a server.
func newWaitingAttempt(g *Gateway) (*attempts, <-chan bool) {
	a := newSwitchoverAttempt(g, 900, false)
	a.deadline = time.Now().Add(time.Minute)
	a.ctx, a.cancel = context.WithDeadline(context.Background(), a.deadline)
	g.track(a)
	placed := make(chan bool, 1)
	go func() {
		_, ok := a.waitForServer()
		placed <- ok
	}()
	for {
		g.mu.Lock()
		waits := len(g.waitQueue.requests)
		g.mu.Unlock()
		if waits > 0 {
			return a, placed
		}
		time.Sleep(time.Millisecond)
	}
}

// At the end of a stop a request that waits for a server is refused as not run, at once and not when
// the process is killed.
func TestWaitingRequestIsRefusedAtTheEndOfAStop(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	g.waitQueue = newWaitQueue()
	g.fleet.Apply(nil, []string{switchoverBackend}, true, 0)
	a, placed := newWaitingAttempt(g)
	defer a.cancel()
	start := time.Now()
	c.Assert(g.endRunning(endUnanswered), qt.Equals, 1)
	c.Assert(<-placed, qt.IsFalse)
	c.Check(time.Since(start) < 500*time.Millisecond, qt.IsTrue)
	_, response := a.place(false)
	c.Assert(response, qt.IsNotNil)
	c.Check(response.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(response.reason, qt.Equals, reasonDraining)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.Check(a.mayWait(fleet.Placement{ReadyIn: time.Second}, 0), qt.IsFalse)
}

// A response that has begun is cut only by the last stage.
func TestResponseInProgressIsCutOnlyByLastStage(t *testing.T) {
	c := qt.New(t)
	g := newEntryWithServer(t, 1)
	g.waitQueue = newWaitQueue()
	var ended []forward.EndedBy
	a := newSwitchoverAttempt(g, 900, true)
	a.running = []*attempt{{cancel: func(by forward.EndedBy) { ended = append(ended, by) }}}
	a.answering.Store(true)
	g.track(a)
	c.Assert(g.endRunning(endUnanswered), qt.Equals, 0)
	c.Assert(ended, qt.HasLen, 0)
	c.Assert(g.endRunning(endAll), qt.Equals, 1)
	c.Assert(ended, qt.DeepEquals, []forward.EndedBy{forward.EndedByShutdown})
}
