package gateway

import (
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// recall is whether an attempt has begun or was taken back, whichever came first. It is
// safe for concurrent use.
type recall struct{ state atomic.Int32 }

// States of a recall.
const (
	recallWaits int32 = iota
	recallBegun
	recallDone
)

// Load reports whether the attempt was taken back.
func (r *recall) Load() bool { return r.state.Load() == recallDone }

// take takes the attempt back unless it has begun.
func (r *recall) take() bool { return r.state.CompareAndSwap(recallWaits, recallDone) }

// watchBegin takes the attempt back if it has not begun in time, and returns what
// ends that.
//
// Guard: a request that waits at its server longer than predicted would begin on a
// version that may not answer any more; it would be seen as an answer by old weights
// after their bound. Its channel is closed so long before that the server drops it.
func (a *attempts) watchBegin(cancel func()) func() {
	a.takenBack.state.Store(recallWaits)
	if a.beginBy == 0 {
		return func() {}
	}
	end := func() {
		if a.takenBack.take() {
			cancel()
		}
	}
	left := a.beginBy - boottime.Now()
	if left <= 0 {
		end()
		return a.hasBegun
	}
	a.beginTimer = time.AfterFunc(left, end)
	return a.hasBegun
}

// hasBegun notes that the attempt under way has begun, or ended.
//
// Guard: the timer may run while the first event is read. Whichever comes first holds: an
// answer that has begun is not cut off.
func (a *attempts) hasBegun() {
	a.takenBack.state.CompareAndSwap(recallWaits, recallBegun)
	if a.beginTimer != nil {
		a.beginTimer.Stop()
		a.beginTimer = nil
	}
}

// noteLost notes an attempt that got no answer, or half of one: one that was taken
// back, or whose caller left, is not its server's fault.
func (a *attempts) noteLost(id string, end forward.End, err error) {
	if end == forward.EndLost {
		a.broke(err)
	}
	switch {
	case a.callerLeft(), errors.Is(err, errKept), errors.Is(err, errServerLeft):
	case a.takenBack.Load():
		a.gateway.metrics.takenBack.WithLabelValues(a.service).Inc()
		a.gateway.log.Info("attempt taken back", zap.String("Request", a.call.ID), zap.String("Backend", id),
			zap.Uint64("Holds", a.last.Holds), zap.Duration("Predicted", a.last.Predicted), zap.Duration("Waited", boottime.Now()-a.placedAt))
	case a.remaining() > 0:
		a.blame(id, end, err)
	}
}
