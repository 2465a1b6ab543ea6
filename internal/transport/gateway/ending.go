package gateway

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
)

// cancelError is the cause of an attempt that this entry cancelled.
type cancelError struct{ by forward.EndedBy }

func (e *cancelError) Error() string { return "cancelled: " + string(e.by) }

// endedBy returns who ended an attempt, given its context and the error with which it ended.
func (a *attempts) endedBy(ctx context.Context, err error) forward.EndedBy {
	var cancelled *cancelError
	switch {
	case errors.As(context.Cause(ctx), &cancelled):
		return cancelled.by
	case errors.Is(err, errQuarantined):
		return forward.EndedByQuarantine
	case errors.Is(err, errNotAccepting):
		return forward.EndedByRateLimit
	case a.callerDisconnected():
		return forward.EndedByCaller
	case a.remaining() <= 0:
		return forward.EndedByDeadline
	case errors.Is(err, errWriteToCaller):
		return forward.EndedByCallerWrite
	}
	return forward.EndedByServer
}

// abort closes the caller's connection, because the response has started and cannot be completed. The
// caller sees that it is truncated.
func (x *exchange) abort(status int, by forward.EndedBy, fields ...zap.Field) {
	stage := stageCut
	if x.firstByteAt.IsZero() {
		stage = stageNoStatus
	}
	x.gateway.metrics.unanswered.WithLabelValues(x.service, stage, string(by)).Inc()
	x.recordOutcome(status, reasonTruncated, append(fields, zap.String("EndedBy", string(by)), zap.String("Stage", stage))...)
	panic(http.ErrAbortHandler)
}

// Stages of requests that were read whole and whose connections this entry closed without a complete
// answer.
const (
	// stageNoStatus: not one byte of an answer had been sent.
	stageNoStatus = "NoStatus"
	// stageCut: a part of the answer had been sent.
	stageCut = "Cut"
)
