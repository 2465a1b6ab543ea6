package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/channel"
)

const (
	// maxBufferedResponse is how much of a response is read before any of it is forwarded. A response
	// that is truncated before that can still be requested from another server.
	maxBufferedResponse = 256 << 10
)

// attempts sends one request to backend servers, one after the other, until it has a final
// response.
type attempts struct {
	*exchange
	forward.Attempts
	tried []catalog.Backend
	// stream is the state of a streamed response; nil before its head has been received.
	stream *eventStream
	// gaps are those between the events of the current attempt that were not recorded yet.
	gaps gapCollector
	// gaveWay is true if the request was refused in favour of more urgent ones. It must then not wait for
	// a server here, where it would be served without another decision.
	gaveWay bool
	// placement is the server chosen for the current attempt, at placedAt.
	placement fleet.Placement
	placedAt  time.Duration
	// sentAt is when the request of the current attempt was written; 0 before that.
	sentAt time.Duration
	// startDeadline is when the current attempt is cancelled if its response has not started,
	// because its server holds a version that soon may not response any more; 0 if there is no
	// deadline.
	startDeadline time.Duration
	startTimer    *time.Timer
	// phase records whether the response of the current attempt has started, or whether the attempt
	// was cancelled because of startDeadline or a quarantine decision.
	phase attemptPhase
	// cancelAttempt cancels the current attempt; nil if there is none. It is guarded by the
	// gateway's mu.
	cancelAttempt func(by forward.EndedBy)
	// attemptCtx is the context of the current attempt.
	attemptCtx context.Context
	// lastProgressAt is when the server of the current attempt last sent a part of its answer, or when
	// the attempt began.
	lastProgressAt time.Duration
	// lastEndedBy is who ended the last failed attempt, and silence how long its server had sent nothing by
	// then.
	lastEndedBy forward.EndedBy
	silence     time.Duration
}

// run sends the request until it has a final response.
func (x *exchange) run() {
	a := &attempts{exchange: x, Attempts: forward.Attempts{
		Class: forward.Class{Repeatable: x.route.Retryable(), MaxServers: x.route.MaxAttempts}}}
	x.gateway.track(a)
	defer x.gateway.untrack(a)
	for first := true; ; first = false {
		if response := a.checkQuarantine(); response != nil {
			a.fail(response)
			return
		}
		placement, response := a.place(first)
		if response != nil {
			placement, response = a.placeAfterWait(placement, response)
		}
		if response != nil {
			a.fail(response)
			return
		}
		a.placement, a.placedAt, a.sentAt = placement, boottime.Now(), 0
		a.tried = append(a.tried, placement.Backend)
		a.lastProgressAt, a.lastEndedBy, a.silence = a.placedAt, forward.EndedByServer, 0
		end, reply := a.try(placement)
		if end == 0 {
			return
		}
		if !a.decideNext(end, reply) {
			return
		}
	}
}

// try sends the request to one server. It returns 0 if the caller has its final response, otherwise
// how the attempt ended and, if the server answered with a failure, that response.
func (a *attempts) try(placement fleet.Placement) (forward.End, *Reply) {
	g := a.gateway
	id := placement.Backend.ID
	defer func() {
		g.mu.Lock()
		g.fleet.ReleaseIfCurrent(placement.Backend)
		a.cancelAttempt = nil
		g.mu.Unlock()
	}()
	ctx, cancelCause := context.WithCancelCause(a.ctx)
	defer cancelCause(nil)
	cancel := func(by forward.EndedBy) { cancelCause(&cancelError{by}) }
	a.attemptCtx = ctx
	watch := a.watchHead(placement.Backend, cancel)
	defer a.watchStart(cancel)()
	g.mu.Lock()
	a.cancelAttempt = cancel
	g.mu.Unlock()
	reply, err := g.sender.Send(ctx, a.dispatch(placement))
	watch.end()
	if err != nil {
		return a.handleSendError(id, err), nil
	}
	g.mu.Lock()
	g.crashes.RecordAlive(processOf(placement.Backend), boottime.Now())
	g.mu.Unlock()
	a.recordAnnouncements(placement.Backend, reply)
	if end := a.classifyReply(id, reply); end != 0 {
		if end != forward.EndFailed {
			reply.Finish(a.discardSmallBody(reply))
			return end, nil
		}
		return end, reply
	}
	if reply.Stream {
		return a.relayStream(id, reply, cancel), nil
	}
	return a.relayResponse(id, reply), nil
}

// dispatch builds what is sent to the chosen server.
func (a *attempts) dispatch(placement fleet.Placement) *Dispatch {
	d := &Dispatch{
		Call: a.call, Backend: placement.Backend, Organisation: a.organisation.ID,
		Priority: min(max(a.priority, 0), lowestPriority), TimeLeft: max(a.remaining(), 0), Version: placement.Version,
		BeforeSend: a.checkBeforeSend,
	}
	if a.stream != nil {
		// The caller is waiting in the middle of its response.
		d.LastEvent, d.Priority = a.stream.lastEvent, 0
	}
	return d
}

// lowestPriority is the lowest priority that engines support.
const lowestPriority = 9

// handleSendError classifies an attempt that got no response.
func (a *attempts) handleSendError(id string, err error) forward.End {
	var failed *channel.SendError
	end := forward.EndLost
	if errors.As(err, &failed) && !failed.Sent {
		end = forward.EndUnsent
	}
	a.handleFailedAttempt(id, end, err)
	return end
}

// reportServerFailure logs an attempt that failed because of its server, and makes other requests
// avoid that server.
//
// A request that was in flight when its server restarted may break off after the new process is
// already known. The new process must not be avoided for a request that it never received.
func (a *attempts) reportServerFailure(id string, end forward.End, err error) {
	g := a.gateway
	g.log.Warn("attempt failed", zap.String("Request", a.call.ID), zap.Stringer("Fingerprint", a.fingerprint()),
		zap.String("Backend", id), zap.Int64("Boot", int64(a.placement.Backend.Boot)), zap.Stringer("End", end),
		zap.Bool("Begun", a.phase.hasStarted()), zap.String("EndedBy", string(a.lastEndedBy)), zap.Duration("Silent", a.silence),
		zap.Strings("Parts", loggedParts(a.call.PromptParts)), zap.Error(err))
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.fleet.Superseded(a.placement.Backend):
	case end == forward.EndUnsent:
		g.fleet.RecordUnreachable(id, boottime.Now())
	default:
		g.fleet.RecordFailure(id, boottime.Now())
	}
}

// classifyReply classifies the head of a response; 0 means that the response can be forwarded.
func (a *attempts) classifyReply(id string, reply *Reply) forward.End {
	switch {
	case reply.NotRun && reply.Misdirected:
		a.handleMisdirected(id, reply)
		return forward.EndWrongServer
	case reply.NotRun:
		return forward.EndRefused
	case !reply.Verified:
		a.reportServerFailure(id, forward.EndLost, errNoReceipt)
		return forward.EndLost
	case reply.Status >= http.StatusInternalServerError:
		a.noteAnswered()
		return forward.EndFailed
	}
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := boottime.Now(); !g.fleet.Superseded(a.placement.Backend) {
		g.fleet.RecordSuccess(id, now)
		g.fleet.RecordProgress(id, now)
	}
	return 0
}

// handleMisdirected updates the fleet after a response from a different server at the address, or
// from the server without the requested model.
func (a *attempts) handleMisdirected(id string, reply *Reply) {
	g := a.gateway
	g.log.Info("a different server answered at the address", zap.String("Request", a.call.ID), zap.String("Backend", id), zap.String("Found", reply.ActualServer))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.Superseded(a.placement.Backend) {
		return
	}
	if reply.ActualServer != "" {
		g.fleet.RecordReplaced(id, boottime.Now())
		return
	}
	g.fleet.RecordModelMissing(id, boottime.Now())
}

// errNoReceipt means that a response lacks the server's receipt, or was altered in transit.
var errNoReceipt = errors.New("the response has no valid server receipt")

// discardSmallBody reads the short body of a refusal so that the connection can be reused.
func (a *attempts) discardSmallBody(reply *Reply) bool {
	if reply.Length < 0 || reply.Length > 4<<10 {
		return false
	}
	_, err := io.Copy(io.Discard, reply.Body)
	return err == nil
}

// decideNext decides what follows a failed attempt. It returns true to try another server.
func (a *attempts) decideNext(end forward.End, failure *Reply) bool {
	g := a.gateway
	if a.callerDisconnected() {
		a.discardFailure(failure)
		a.recordOutcome(0, reasonCallerDisconnected, zap.String("Backend", a.placement.Backend.ID))
		return false
	}
	g.mu.Lock()
	step := a.NextStep(end, g.retryBudget(a.service), a.remaining(), boottime.Now(), true)
	g.mu.Unlock()
	g.log.Info("attempt ended", zap.String("Request", a.call.ID), zap.String("Backend", a.placement.Backend.ID),
		zap.Stringer("End", end), zap.Stringer("Step", step), zap.Int("Sent", a.Sent()),
		zap.String("EndedBy", string(a.lastEndedBy)), zap.Duration("Silent", a.silence), zap.Duration("Left", a.remaining()))
	if step == forward.StepRetry {
		a.discardFailure(failure)
		if end == forward.EndLost {
			a.awaitDecision()
		}
		g.metrics.retries.WithLabelValues(a.service, end.String()).Inc()
		return true
	}
	if step == forward.StepForwardFailure && failure != nil && a.stream == nil {
		a.passFailure(failure)
		return false
	}
	a.discardFailure(failure)
	response := a.errorFor(step)
	if step == forward.StepNotRun && end == forward.EndWrongServer {
		response.retryAfter = a.retryDelayUntilReady()
	}
	a.fail(response)
	return false
}

// discardFailure releases the connection of a failure that is not forwarded; nil is ignored.
func (a *attempts) discardFailure(failure *Reply) {
	if failure != nil {
		failure.Finish(a.discardSmallBody(failure))
	}
}

// passFailure forwards a server's own failure to the caller.
func (a *attempts) passFailure(failure *Reply) {
	if end := a.relayResponse(a.placement.Backend.ID, failure); end != 0 {
		a.fail(a.errorFor(forward.StepUnknown))
	}
}

// errorFor returns the entry's own error response for a step.
func (a *attempts) errorFor(step forward.Step) *errorResponse {
	switch step {
	case forward.StepNotRun:
		return unavailable(reasonRefused, a.gateway.retryDelay())
	case forward.StepTimeout:
		return &errorResponse{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	}
	return &errorResponse{status: http.StatusBadGateway, reason: reasonMayHaveRun}
}

// fail ends the request with the entry's own error response.
//
// A response that has already started cannot be retracted, so the connection is aborted and the
// caller sees that the response is truncated. Once a server may have run the request, the error
// must not claim that it did not run.
func (a *attempts) fail(response *errorResponse) {
	if a.stream != nil {
		a.abort(http.StatusOK, a.lastEndedBy, zap.String("Instead", response.reason), zap.Duration("Silent", a.silence), zap.String("LastEvent", a.stream.lastEvent))
	}
	if a.MayHaveRun() && response.retryAfter > 0 {
		response = a.errorFor(forward.StepUnknown)
	}
	if len(a.tried) > 0 {
		a.endFields = []zap.Field{zap.String("EndedBy", string(a.lastEndedBy)), zap.Duration("Silent", a.silence)}
	}
	a.refuse(response)
}

// relayResponse forwards a response that is not a stream. A response that fits into the buffer is
// read completely first, so that a truncated one is never started.
func (a *attempts) relayResponse(id string, reply *Reply) forward.End {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedResponse+1))
	if err == nil && reply.UntilClose && a.serverCrashed() {
		err = errCrashed
	}
	if err != nil {
		reply.Finish(false)
		a.noteEnd(err)
		a.noteIncomplete(err)
		if !a.callerDisconnected() && a.remaining() > 0 {
			a.reportServerFailure(id, forward.EndLost, err)
		}
		return forward.EndLost
	}
	a.firstByteAt = time.Now()
	copyHeader(a.writer.Header(), reply.Header)
	if len(body) <= maxBufferedResponse {
		reply.Finish(true)
		a.noteAnswered()
		if len(a.call.PromptParts) > 0 && reply.Status < http.StatusInternalServerError {
			a.noteBegun()
		}
		a.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		a.writer.WriteHeader(reply.Status)
		// The HTTP server notices a caller that does not read its response.
		_, _ = a.writer.Write(body)
		a.recordOutcome(reply.Status, "", zap.String("Backend", id))
		return 0
	}
	if reply.Length >= 0 {
		a.writer.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	a.writer.WriteHeader(reply.Status)
	_, err = a.writer.Write(body)
	if err == nil {
		_, err = io.Copy(a.writer, reply.Body)
	}
	if err == nil && reply.UntilClose && a.serverCrashed() {
		err = errCrashed
	}
	reply.Finish(err == nil)
	if err != nil {
		a.abort(reply.Status, a.endedBy(a.attemptCtx, err), zap.String("Backend", id), zap.Error(err))
	}
	a.recordOutcome(reply.Status, "", zap.String("Backend", id))
	return 0
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
