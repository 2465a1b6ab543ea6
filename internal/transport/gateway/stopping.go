package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
)

const (
	// endPollInterval is how often requests are ended until none is running.
	endPollInterval = 10 * time.Millisecond
	// cutTimeout limits the wait for the handlers of responses that were cut.
	cutTimeout = 50 * time.Millisecond
)

// endStage is which requests the end of a stop ends.
type endStage int

const (
	endNone endStage = iota
	// endUnanswered ends the requests whose callers have received nothing. Each gets a status.
	endUnanswered
	// endAll also cuts the responses that have begun.
	endAll
)

// EndRequests ends the requests that still run at the end of a stop. Those without a response get a
// status at once. Responses that have begun are cut when ctx ends.
func (g *Gateway) EndRequests(ctx context.Context) {
	if g.endUntilIdle(ctx, endUnanswered) {
		return
	}
	cutCtx, cancel := context.WithTimeout(context.Background(), cutTimeout)
	defer cancel()
	g.endUntilIdle(cutCtx, endAll)
}

// endUntilIdle ends requests until none is running. It returns false if ctx ended before that.
func (g *Gateway) endUntilIdle(ctx context.Context, stage endStage) bool {
	ticker := time.NewTicker(endPollInterval)
	defer ticker.Stop()
	for first := true; ; first = false {
		if n := g.endRunning(stage); first && n > 0 {
			g.log.Info("ending requests", zap.Int("Ended", n), zap.Bool("Cut", stage == endAll))
		}
		if g.inFlight.Load() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// endRunning cancels the running attempts and the waits of a stage and returns their number.
func (g *Gateway) endRunning(stage endStage) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ending = stage
	n := 0
	for a := range g.crashes.inFlight {
		if len(a.running) == 0 || a.endedByStop() == nil {
			continue
		}
		for _, t := range a.running {
			t.phase.tryCancel()
			t.cancel(forward.EndedByShutdown)
		}
		n++
	}
	for id, queued := range g.waitQueue.requests {
		if queued.attempts.endedByStop() == nil {
			continue
		}
		g.waitQueue.Remove(id)
		delete(g.waitQueue.requests, id)
		close(queued.placed)
		n++
	}
	return n
}

// endedByStop returns the refusal of a request that the end of a stop ends; nil if it may go on. The
// caller holds g.mu.
func (a *attempts) endedByStop() *errorResponse {
	g := a.gateway
	if g.ending == endNone || g.ending == endUnanswered && a.answering.Load() {
		return nil
	}
	return &errorResponse{status: http.StatusServiceUnavailable, reason: reasonDraining, retryAfter: retryAfterLocal, closeConnection: true}
}
