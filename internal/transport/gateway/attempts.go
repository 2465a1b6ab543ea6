package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/stream"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// attempts sends one request to backend servers until it has a final response. Attempts follow one
// another, or run beside each other for a while if the server of the first one is silent.
type attempts struct {
	*exchange
	forward.Attempts
	// tried are the servers of all attempts, running the attempts that have not ended, and current the one
	// whose answer is forwarded. They and Attempts are guarded by the gateway's mu.
	tried   []catalog.Backend
	running []*attempt
	current *attempt
	// delivered is what the caller has received of a streamed response, and events the order of its
	// events.
	delivered delivered
	events    stream.Events
	// answering is true once the caller may have received a part of the response.
	answering atomic.Bool
	// hedges are the attempts beside the current one, and settled is true if none may go on any more. Both
	// are guarded by the gateway's mu. hedged is true if there are hedges.
	hedges  []*hedge
	settled bool
	hedged  atomic.Bool
	// withdrawn are the servers of attempts that ended because another one went on. It is guarded by the
	// gateway's mu.
	withdrawn []catalog.Backend
	// failed is the last attempt whose server answered with a failure, and failure that response. It is
	// forwarded if no other server answers; nil if there is none.
	failed  *attempt
	failure beginning
	// unconfirmed is the last end of the stream that may turn out to be complete; nil if there is none.
	unconfirmed *unconfirmedEnd
	// endedBy and silent are those of the last attempt that ended without a complete answer.
	endedBy forward.EndedBy
	silent  time.Duration
	// gaveWay is true if the request was refused in favour of more urgent ones. It must then not wait for
	// a server here, where it would be served without another decision.
	gaveWay bool
}

// chosenServer is the server chosen for an attempt.
type chosenServer struct {
	fleet.Placement
	// startDeadline is when the attempt is cancelled if its response has not started, because its server
	// holds a version that soon may not respond any more; 0 if there is no deadline.
	startDeadline time.Duration
}

// delivered is what the caller has received of a streamed response. It is safe for concurrent use.
type delivered struct {
	mu sync.Mutex
	deliveredPart
}

// deliveredPart describes the delivered part of a stream.
type deliveredPart struct {
	// begun is true once the head and an event were sent.
	begun bool
	// lastEvent is the ID of the last event that was sent, or that the caller had from before.
	lastEvent string
	// version is the version of the weights that started the response.
	version uint64
	// unnumbered is true if an event was delivered after which a stream cannot be resumed, because it
	// has no number.
	unnumbered bool
}

func (d *delivered) snapshot() deliveredPart {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deliveredPart
}

func (d *delivered) set(part deliveredPart) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliveredPart = part
}

// begun reports whether the caller has received a part of a streamed response.
func (a *attempts) begun() bool { return a.delivered.snapshot().begun }

// resumable reports whether another server can continue what the caller has received.
func (a *attempts) resumable() bool {
	return a.route.Resumable && !a.delivered.snapshot().unnumbered
}

// run sends the request until it has a final response.
func (x *exchange) run() {
	a := &attempts{exchange: x, Attempts: forward.Attempts{
		Class: forward.Class{Repeatable: x.route.Retryable(), MaxServers: x.route.MaxAttempts}}}
	a.delivered.lastEvent = x.call.LastEvent
	a.events.ResumeAfter(x.call.LastEvent)
	x.gateway.track(a)
	defer x.gateway.untrack(a)
	for first := true; ; first = false {
		if response := a.checkQuarantine(); response != nil {
			a.fail(response)
			return
		}
		server, response := a.place(first)
		if response != nil {
			server, response = a.placeAfterWait(server, response)
		}
		if response != nil {
			a.fail(response)
			return
		}
		if !a.perform(server) {
			return
		}
	}
}

// perform performs an attempt at a server and decides what follows. It returns true to try another server.
func (a *attempts) perform(server chosenServer) bool {
	t, end, received := a.try(a.newAttempt(server))
	defer t.end()
	return end != 0 && a.decideNext(t, end, received)
}

// try performs an attempt, and those beside it, until the caller has its final response or none of them
// can go on. It returns the last attempt with an end of 0 in the first case, otherwise with how it ended
// and, if its server answered with a failure, the beginning of that response. In that case the attempt has
// not been ended.
func (a *attempts) try(t *attempt) (_ *attempt, _ forward.End, failure beginning) {
	a.start(t)
	stop := a.watch(t)
	defer func() {
		stop()
		a.settle()
		if failure.reply == nil {
			t.end()
		}
	}()
	received, end := t.receive()
	for {
		if end == 0 && a.goesOn(!received.reply.Stream) {
			if end = t.forward(received); end == 0 {
				return t, 0, beginning{}
			}
			received = beginning{}
		}
		h := a.takeSuccessor()
		if h == nil {
			return t, end, received
		}
		stop()
		if end == forward.EndFailed {
			a.keepFailure(t, received)
		}
		received.discard()
		a.recordEnd(t, t.endOr(cmp.Or(end, forward.EndLost)))
		t.end()
		t = h.attempt
		stop = a.watch(t)
		<-h.done
		received, end = h.beginning, h.end
	}
}

// keepFailure keeps the response of a server that answered with a failure. A later one replaces it.
func (a *attempts) keepFailure(t *attempt, failure beginning) {
	if failure.reply != nil && failure.whole {
		a.failed, a.failure = t, failure
	}
}

// start makes an attempt the one whose answer is forwarded.
func (a *attempts) start(t *attempt) {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	a.current, a.settled = t, false
}

// recordEnd records how an attempt ended that is not followed by a decision on the next one.
func (a *attempts) recordEnd(t *attempt, end forward.End) {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	a.recordEndLocked(t, end)
}

// endOr returns EndWithdrawn if the attempt ended because another one went on, otherwise end.
func (t *attempt) endOr(end forward.End) forward.End {
	if t.endedBy == forward.EndedByHedge {
		return forward.EndWithdrawn
	}
	return end
}

// recordEndLocked is recordEnd for callers that hold g.mu.
func (a *attempts) recordEndLocked(t *attempt, end forward.End) {
	a.Record(end)
	if end == forward.EndWithdrawn {
		a.withdrawn = append(a.withdrawn, t.Backend)
	}
}

// decideNext decides what follows a failed attempt. It returns true to try another server.
func (a *attempts) decideNext(t *attempt, end forward.End, failure beginning) bool {
	g := a.gateway
	a.endedBy, a.silent = t.endedBy, t.silent
	if a.callerDisconnected() {
		failure.discard()
		a.disconnect(zap.String("Backend", t.Backend.ID))
		return false
	}
	if a.begun() && !a.resumable() {
		// What another server sends would not continue what the caller has received.
		failure.discard()
		a.fail(a.errorFor(forward.StepUnknown))
		return false
	}
	g.mu.Lock()
	step := a.NextStep(end, g.retryBudget(a.service), a.remaining(), boottime.Now(), true)
	sent := a.Sent()
	g.mu.Unlock()
	g.log.Info("attempt ended", zap.String("Request", a.call.logID()), zap.String("Backend", t.Backend.ID),
		zap.Stringer("End", end), zap.Stringer("Step", step), zap.Int("Sent", sent),
		zap.String("EndedBy", string(t.endedBy)), zap.Duration("Silent", t.silent), zap.Duration("Left", a.remaining()))
	if step == forward.StepRetry {
		a.keepFailure(t, failure)
		failure.discard()
		if end == forward.EndLost {
			a.awaitDecision()
		}
		g.metrics.retries.WithLabelValues(a.service, end.String()).Inc()
		return true
	}
	if step == forward.StepForwardFailure && failure.reply != nil && !a.begun() {
		t.forwardBody(failure)
		return false
	}
	failure.discard()
	response := a.errorFor(step)
	if step == forward.StepNotRun && end == forward.EndWrongServer {
		response.retryAfter = a.retryDelayUntilReady()
	}
	a.fail(response)
	return false
}

// discard releases the connection of a failure that is not forwarded.
func (b *beginning) discard() {
	if b.reply != nil {
		b.reply.Finish(false)
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

// fail ends the request with the entry's own error response, or by closing the connection if a part of
// the response has been sent.
//
// Once a server may have run the request, the error must not claim that it did not run.
func (a *attempts) fail(response *errorResponse) {
	a.gateway.mu.Lock()
	mayHaveRun := a.MayHaveRun()
	a.gateway.mu.Unlock()
	if a.failed != nil && !a.begun() {
		a.failed.forwardBody(a.failure)
		return
	}
	if a.begun() && a.completeLate() {
		return
	}
	if mayHaveRun && response.retryAfter > 0 {
		response = a.errorFor(forward.StepUnknown)
	}
	if a.endedBy != "" && !a.begun() {
		response.fields = append(response.fields, zap.String("EndedBy", string(a.endedBy)), zap.Duration("Silent", a.silent))
	}
	a.finish(response)
}

// errNoStream means that a server that should resume a stream answered with another body.
var errNoStream = errors.New("the response that should resume a stream is not a stream")

// forward forwards the answer of an attempt that went on. It returns 0 if the caller has its final
// response.
func (t *attempt) forward(received beginning) forward.End {
	switch {
	case received.reply.Stream:
		return t.relayStream(received)
	case t.begun():
		received.discard()
		return t.handleFailure(forward.EndLost, errNoStream)
	}
	return t.forwardBody(received)
}

// forwardBody forwards a response that is not a stream. A response that fits into the buffer has been
// read completely, so that a truncated one is never started.
func (t *attempt) forwardBody(received beginning) forward.End {
	id, reply, body := t.Backend.ID, received.reply, received.body
	t.firstByteAt = time.Now()
	copyHeader(t.writer.Header(), reply.Header)
	if received.whole {
		reply.Finish(true)
		t.noteAnswered()
		if len(t.call.PromptParts) > 0 && reply.Status < http.StatusInternalServerError {
			t.noteBegun()
		}
		t.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		t.writer.WriteHeader(reply.Status)
		// The HTTP server notices a caller that does not read its response.
		_, _ = t.held.Write(t.writer, body, t.writeDeadline())
		t.recordOutcome(reply.Status, "", zap.String("Backend", id))
		return 0
	}
	t.answering.Store(true)
	if reply.Length >= 0 {
		t.writer.Header().Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	t.writer.WriteHeader(reply.Status)
	caller := callerWriter{t.exchange}
	_, err := caller.Write(body)
	if err == nil {
		_, err = io.Copy(caller, reply.Body)
	}
	if err == nil {
		err = t.confirmEnd(reply)
	}
	reply.Finish(err == nil)
	if err != nil {
		t.handleFailure(forward.EndLost, err)
		t.abort(reply.Status, t.whoEnded(err), zap.String("Backend", id), zap.Error(err))
	}
	t.recordOutcome(reply.Status, "", zap.String("Backend", id))
	return 0
}

// callerWriter writes to a caller. Its errors are told apart from those of reading from a server.
type callerWriter struct{ *exchange }

func (w callerWriter) Write(data []byte) (int, error) {
	n, err := w.held.Write(w.writer, data, w.writeDeadline())
	if err != nil {
		err = fmt.Errorf("%w: %w", errWriteToCaller, err)
	}
	return n, err
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
