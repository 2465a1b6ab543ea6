package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/forward"
)

// Every request ends in this file or with its complete answer, in forwardBody or endStream.

// cancelError is the cause of an attempt that this entry cancelled.
type cancelError struct{ by forward.EndedBy }

func (e *cancelError) Error() string { return "cancelled: " + string(e.by) }

// whoEnded returns who ended an attempt that ended with an error.
func (t *attempt) whoEnded(err error) forward.EndedBy {
	var cancelled *cancelError
	switch {
	case errors.As(context.Cause(t.ctx), &cancelled):
		return cancelled.by
	case errors.Is(err, errQuarantined):
		return forward.EndedByQuarantine
	case errors.Is(err, errNotAccepting):
		return forward.EndedByRateLimit
	case t.callerDisconnected():
		return forward.EndedByCaller
	case t.remaining() <= 0, errors.Is(err, errAtDeadline):
		return forward.EndedByDeadline
	case errors.Is(err, errWriteToCaller):
		return forward.EndedByCallerWrite
	}
	return forward.EndedByServer
}

// finish ends the request with the entry's own error response or, if a part of another response has been
// sent, by closing the connection.
func (a *attempts) finish(response *errorResponse) {
	if a.begun() {
		a.abort(http.StatusOK, a.endedBy, append(response.fields, zap.Duration("Silent", a.silent), zap.String("Instead", response.reason), zap.String("LastEvent", a.delivered.snapshot().lastEvent))...)
	}
	a.refuse(response)
}

// refuse sends an error response to the caller.
func (x *exchange) refuse(response *errorResponse) {
	header := x.writer.Header()
	if response.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(response.retryAfter.Seconds(), 'f', 3, 64))
	}
	if response.closeConnection {
		header.Set("Connection", "close")
	}
	x.held.Refuse(response.closeConnection)
	http.Error(x.writer, response.reason, response.status)
	fields := append(response.fields, zap.Duration("RetryAfter", response.retryAfter))
	if response.status == http.StatusServiceUnavailable && x.call != nil && x.call.Body.Len() <= maxHashedBody {
		// The caller retries under another ID. The fingerprint stays the same.
		fields = append(fields, zap.Stringer("Fingerprint", x.fingerprint()))
	}
	x.recordOutcome(response.status, response.reason, fields...)
}

// Stages of requests that were read whole and whose connections this entry closed without a complete
// answer.
const (
	// stageNoStatus: not one byte of an answer had been sent.
	stageNoStatus = "NoStatus"
	// stageCut: a part of the answer had been sent.
	stageCut = "Cut"
)

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

// disconnect ends a request whose caller has disconnected. A caller that has only closed its sending side
// gets a status.
func (a *attempts) disconnect(fields ...zap.Field) {
	a.recordOutcome(0, reasonCallerDisconnected, fields...)
	if a.answering.Load() {
		panic(http.ErrAbortHandler)
	}
	a.writer.Header().Set("Connection", "close")
	http.Error(a.writer, reasonMayHaveRun, http.StatusBadGateway)
}

// recordOutcome logs the final response of a request and updates the metrics.
func (x *exchange) recordOutcome(status int, reason string, more ...zap.Field) {
	g := x.gateway
	g.metrics.outcomes.WithLabelValues(x.service, outcomeName(status, reason)).Inc()
	now := time.Now()
	fields := []zap.Field{
		zap.Int("Status", status), zap.Duration("Took", now.Sub(x.arrived)),
	}
	if x.call != nil {
		fields = append(fields, zap.String("Request", x.call.logID()), zap.String("Model", shortened(x.call.Model)))
	}
	fields = append(fields, x.stateFields...)
	if x.route != nil {
		fields = append(fields, zap.String("Route", x.route.Name), zap.String("Service", x.service),
			zap.String("Organisation", string(x.organisation.ID)))
	}
	if !x.firstByteAt.IsZero() {
		g.metrics.firstByte.WithLabelValues(x.service).Observe(x.firstByteAt.Sub(x.arrived).Seconds())
		fields = append(fields, zap.Duration("First", x.firstByteAt.Sub(x.arrived)))
	}
	if reason != "" {
		fields = append(fields, zap.String("Reason", reason))
	}
	g.log.Info("request ended", append(fields, more...)...)
}

// outcomeName groups final responses for the outcome metric.
func outcomeName(status int, reason string) string {
	switch {
	case reason == reasonCallerDisconnected:
		return "CallerLeft"
	case reason == reasonTruncated:
		return "BrokenOff"
	case reason == reasonQuarantined, reason == reasonPartQuarantined, reason == reasonAlreadyInFlight:
		return "Quarantined"
	case status < http.StatusBadRequest:
		return "Answered"
	case status == http.StatusServiceUnavailable:
		return "NotRun"
	case status == http.StatusBadGateway, status == http.StatusGatewayTimeout:
		return "Unknown"
	case status < http.StatusInternalServerError:
		return "Refused"
	}
	return "ServerFailed"
}
