package gateway

import (
	"sync/atomic"
	"time"

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

// watchStart cancels the attempt if its response has not started by startDeadline.
//
// A request that waits at its server longer than predicted would start on a version that may not
// answer any more, and its caller would get a response from old weights after the switchover
// timeout. The connection is closed early enough for the server to drop the request before that.
func (t *attempt) watchStart() {
	if t.startDeadline == 0 {
		return
	}
	left := t.startDeadline - boottime.Now()
	if left <= 0 {
		t.expire()
		return
	}
	t.startTimer = time.AfterFunc(left, t.expire)
}

// expire cancels the attempt unless its response has started.
func (t *attempt) expire() {
	t.cancelIf(forward.Running{Late: true})
}

// markStarted records that the response of the attempt has started, or that the attempt has ended.
//
// The timer may fire while the first event is being read. Whichever comes first wins, so a response
// that has started is not cut off.
func (t *attempt) markStarted() {
	t.phase.state.CompareAndSwap(attemptPending, attemptStarted)
	if t.startTimer != nil {
		t.startTimer.Stop()
	}
}
