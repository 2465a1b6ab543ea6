package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// assignInterval is how often free servers are assigned to waiting requests.
const assignInterval = 20 * time.Millisecond

// waitQueue holds requests that wait at this entry for a server. It is guarded by the gateway's mu.
type waitQueue struct {
	*admission.EntryQueue
	// requests are the waiting requests by their ID in the queue.
	requests map[uint64]*queuedRequest
	// running is true while runQueue runs.
	running bool
}

// queuedRequest is one waiting request. Its server is sent on placed, which is closed without a
// value when the waiting time is over.
type queuedRequest struct {
	attempts *attempts
	placed   chan chosenServer
}

func newWaitQueue() *waitQueue {
	return &waitQueue{EntryQueue: admission.NewEntryQueue(), requests: map[uint64]*queuedRequest{}}
}

// pastGoal reports whether the request can no longer be answered within its latency goal, for
// example because its caller has already retried.
func (a *attempts) pastGoal() bool {
	goal := a.route.FirstByteGoal
	return goal > 0 && a.call.HasTimeout && a.route.Timeout-a.remaining() > goal
}

// mayWait reports whether a request that found this placement waits for a better one. The caller
// holds g.mu.
func (a *attempts) mayWait(placement fleet.Placement, now time.Duration) bool {
	switch {
	case a.endedByStop() != nil:
		return false
	case a.gateway.isPlain(a.service), a.gaveWay:
		return false
	case a.begun():
		// Servers that switch their weights at the same time may leave no server for a moment.
		// Without waiting, every stream in progress would be truncated.
		return !placement.Found
	case placement.Found:
		// During a long overload, a late request that waits would take the place of a request that
		// could still be answered in time. Late requests therefore wait only right after an outage.
		return a.pastGoal() && a.gateway.recovering(a.service, now)
	}
	return placement.ReadyIn > 0 && placement.ReadyIn < admission.EntryQueueTimeout
}

// recovering reports whether an outage of a service, or of this process, has just ended. The caller
// holds g.mu.
func (g *Gateway) recovering(service string, now time.Duration) bool {
	outage, ok := g.outages[service]
	return now-g.started < admission.RecoveryPeriod || ok && outage.SinceLastRefusal(now) < admission.RecoveryPeriod
}

// waitForServer waits until a server is free. It returns false if none became free in time.
func (a *attempts) waitForServer() (chosenServer, bool) {
	g := a.gateway
	start := boottime.Now()
	queued := &queuedRequest{attempts: a, placed: make(chan chosenServer, 1)}
	g.mu.Lock()
	id, ok := g.waitQueue.Add(a.service, start+min(admission.EntryQueueTimeout, a.remaining()/2))
	if !ok {
		g.mu.Unlock()
		return chosenServer{}, false
	}
	g.waitQueue.requests[id] = queued
	if !g.waitQueue.running {
		g.waitQueue.running = true
		go g.runQueue()
	}
	g.mu.Unlock()
	var placement chosenServer
	select {
	case placement, ok = <-queued.placed:
	case <-a.ctx.Done():
		placement, ok = g.cancelQueued(id, queued)
	}
	now := boottime.Now()
	fields := []zap.Field{zap.String("Request", a.call.logID()), zap.Bool("Placed", ok),
		zap.Duration("Waited", now-start), zap.String("Backend", placement.Backend.ID)}
	if ok {
		fields = append(fields, placement.startFields(now)...)
	}
	g.log.Info("waited for a place", fields...)
	return placement, ok
}

// cancelQueued removes a request whose caller has disconnected or whose deadline has passed.
func (g *Gateway) cancelQueued(id uint64, queued *queuedRequest) (chosenServer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitQueue.Remove(id)
	delete(g.waitQueue.requests, id)
	select {
	case placement, ok := <-queued.placed:
		return placement, ok
	default:
		return chosenServer{}, false
	}
}

// runQueue assigns servers to waiting requests until the queue is empty.
func (g *Gateway) runQueue() {
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !g.assignServers(boottime.Now()) {
			return
		}
	}
}

// assignServers assigns free servers to waiting requests. It returns false if the queue is empty
// afterwards.
func (g *Gateway) assignServers(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	expired := g.waitQueue.Dispatch(now, func(id uint64) bool {
		queued := g.waitQueue.requests[id]
		placement := queued.attempts.choose(now)
		if !placement.Found {
			return false
		}
		if !queued.attempts.begun() && !g.gate.AdmitQueued(forecast(placement.Placement), queued.attempts.route.FirstByteGoal) {
			g.fleet.Release(placement.Backend.ID)
			return false
		}
		delete(g.waitQueue.requests, id)
		queued.placed <- placement
		return true
	})
	for _, id := range expired {
		close(g.waitQueue.requests[id].placed)
		delete(g.waitQueue.requests, id)
	}
	g.waitQueue.running = !g.waitQueue.Empty()
	return g.waitQueue.running
}

// placeAfterWait waits for a server for a request that found none, if one is likely to become free.
// Otherwise it returns the placement and the error that it was given.
func (a *attempts) placeAfterWait(found chosenServer, refusal *errorResponse) (chosenServer, *errorResponse) {
	g := a.gateway
	g.mu.Lock()
	wait := a.mayWait(found.Placement, boottime.Now())
	g.mu.Unlock()
	if !wait || a.ctx.Err() != nil && a.ctx.Err() != context.DeadlineExceeded {
		return found, refusal
	}
	if placement, ok := a.waitForServer(); ok {
		return placement, nil
	}
	return found, refusal
}
