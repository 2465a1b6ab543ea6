package gateway

import (
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// attemptPhase records whether an attempt started its response or was cancelled, whichever happened
// first. It is safe for concurrent use.
type attemptPhase struct{ state atomic.Int32 }

// Phases of an attempt.
const (
	attemptPending int32 = iota
	attemptStarted
	attemptCancelled
)

// isCancelled reports whether the attempt was cancelled.
func (p *attemptPhase) isCancelled() bool { return p.state.Load() == attemptCancelled }

// hasStarted reports whether the response of the attempt has started.
func (p *attemptPhase) hasStarted() bool { return p.state.Load() == attemptStarted }

// tryCancel marks the attempt as cancelled unless its response has started.
func (p *attemptPhase) tryCancel() bool {
	return p.state.CompareAndSwap(attemptPending, attemptCancelled)
}

// watchStart cancels the attempt if its response has not started by startDeadline. The returned
// function stops the timer.
//
// A request that waits at its server longer than predicted would start on a version that may not
// answer any more, and its caller would get a response from old weights after the switchover
// timeout. The connection is closed early enough for the server to drop the request before that.
func (a *attempts) watchStart(cancel func(by forward.EndedBy)) func() {
	a.phase.state.Store(attemptPending)
	if a.startDeadline == 0 {
		return func() {}
	}
	expire := func() {
		if a.phase.tryCancel() {
			cancel(forward.EndedByStartDeadline)
		}
	}
	left := a.startDeadline - boottime.Now()
	if left <= 0 {
		expire()
		return a.markStarted
	}
	a.startTimer = time.AfterFunc(left, expire)
	return a.markStarted
}

// markStarted records that the response of the current attempt has started, or that the attempt has
// ended.
//
// The timer may fire while the first event is being read. Whichever comes first wins, so a response
// that has started is not cut off.
func (a *attempts) markStarted() {
	a.phase.state.CompareAndSwap(attemptPending, attemptStarted)
	if a.startTimer != nil {
		a.startTimer.Stop()
		a.startTimer = nil
	}
}

// noteEnd records who ended the current attempt and how long its server had been silent.
func (a *attempts) noteEnd(err error) {
	a.lastEndedBy, a.silence = a.endedBy(a.attemptCtx, err), boottime.Now()-a.lastProgressAt
}

// handleFailedAttempt handles an attempt that got no response, or an incomplete one. If the attempt
// was cancelled or its caller disconnected, the server is not at fault.
func (a *attempts) handleFailedAttempt(id string, end forward.End, err error) {
	a.noteEnd(err)
	if end == forward.EndLost {
		a.noteIncomplete(err)
	}
	switch {
	case a.callerDisconnected(), errors.Is(err, errQuarantined), errors.Is(err, errNotAccepting):
	case a.phase.isCancelled():
		a.gateway.metrics.cancelledAttempts.WithLabelValues(a.service).Inc()
		a.gateway.log.Info("attempt taken back", zap.String("Request", a.call.ID), zap.String("Backend", id),
			zap.Uint64("Holds", a.placement.HeldVersion), zap.Duration("Predicted", a.placement.PredictedLatency), zap.Duration("Waited", boottime.Now()-a.placedAt), zap.String("EndedBy", string(a.lastEndedBy)))
	case a.remaining() > 0:
		a.reportServerFailure(id, end, err)
	}
}
