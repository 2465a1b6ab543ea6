package gateway

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/channel"
)

const (
	// maxBufferedResponse is how much of a response is read before any of it is forwarded. A response
	// that is truncated before that can still be requested from another server.
	maxBufferedResponse = 256 << 10
	// freeResponse is the part of it that needs no reservation of memory, and bufferedResponseCost what
	// the whole buffer costs as it grows.
	freeResponse         = 32 << 10
	bufferedResponseCost = 2 * maxBufferedResponse
)

// attempt is one request to one backend server.
type attempt struct {
	*attempts
	chosenServer
	placedAt time.Duration
	// sentAt is when the request was written; 0 before that.
	sentAt time.Duration
	// progressAt is when the server last sent a part of its answer, or when the attempt began.
	progressAt atomic.Int64
	// writing is true while a part of the answer is written to the caller.
	writing    atomic.Bool
	startTimer *time.Timer
	// sentAfter is the part of a stream that had been delivered when the request was built.
	sentAfter deliveredPart
	// phase records whether the response has started, or whether the attempt was cancelled because of
	// startDeadline or a quarantine decision.
	phase  attemptPhase
	ctx    context.Context
	cancel func(by forward.EndedBy)
	// gaps are those between the events that were not recorded yet.
	gaps gapCollector
	// fillerBytes is the number of bytes since the last event with an ID or data.
	fillerBytes int
	// endedBy is who ended the attempt without a complete answer, and silent how long its server had
	// sent nothing by then.
	endedBy forward.EndedBy
	silent  time.Duration
}

// beginning is what an attempt has received when its answer goes on: the first event of a stream, or
// the buffered part of another response.
type beginning struct {
	reply  *Reply
	reader *bufio.Reader
	// event is the first event of a stream; empty is true if the stream ended without any.
	event event
	empty bool
	body  []byte
	// whole is true if body is the whole body.
	whole bool
}

// newAttempt registers an attempt at a chosen server. The attempt must be ended with end.
func (a *attempts) newAttempt(server chosenServer) *attempt {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	return a.newAttemptLocked(server)
}

// newAttemptLocked is newAttempt for callers that hold g.mu.
func (a *attempts) newAttemptLocked(server chosenServer) *attempt {
	ctx, cancel := context.WithCancelCause(a.ctx)
	t := &attempt{attempts: a, chosenServer: server, placedAt: boottime.Now(), ctx: ctx, endedBy: forward.EndedByServer}
	t.cancel = func(by forward.EndedBy) { cancel(&cancelError{by}) }
	t.progressAt.Store(int64(t.placedAt))
	a.tried = append(a.tried, server.Backend)
	a.withdrawn = slices.DeleteFunc(a.withdrawn, func(b catalog.Backend) bool { return b.ID == server.Backend.ID })
	a.running = append(a.running, t)
	return t
}

// end releases the attempt's place at its server.
func (t *attempt) end() {
	g := t.gateway
	g.mu.Lock()
	action, _ := t.patience().Decide(t.statusLocked(t))
	g.mu.Unlock()
	// An attempt that was ended in time says nothing about its server.
	givenUp := t.sentAt != 0 && (t.endedBy != forward.EndedByHedge || action == forward.ActionHedge)
	t.markStarted()
	t.cancel(forward.EndedByServer)
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, running := range t.running {
		if running == t {
			t.running = append(t.running[:i:i], t.running[i+1:]...)
			if givenUp {
				g.fleet.EndAttempt(t.Backend, boottime.Now())
			} else {
				g.fleet.ReleaseIfCurrent(t.Backend)
			}
			return
		}
	}
}

// cancelIf cancels the attempt if that is what follows from its status. One that has not begun is
// cancelled at most once.
func (t *attempt) cancelIf(status forward.Running) bool {
	status.Begun = t.phase.hasStarted()
	action, by := t.patience().Decide(status)
	if action != forward.ActionCancel || !status.Overtaken && !t.phase.tryCancel() {
		return false
	}
	t.cancel(by)
	return true
}

// receive sends the request and waits until the answer goes on. If it does not, receive returns how the
// attempt ended and, if the server answered with a failure, the beginning of that response.
func (t *attempt) receive() (beginning, forward.End) {
	g := t.gateway
	t.watchStart()
	reply, err := g.sender.Send(t.ctx, t.dispatch())
	if err != nil {
		return beginning{}, t.handleSendError(err)
	}
	t.recordAlive(reply)
	t.recordAnnouncements(reply)
	switch end := t.classifyReply(reply); end {
	case 0:
	case forward.EndFailed:
		received, lost := t.receiveBody(reply)
		return received, cmp.Or(lost, end)
	default:
		reply.Finish(discardSmallBody(reply))
		return beginning{}, end
	}
	if reply.Stream {
		return t.receiveStream(reply)
	}
	return t.receiveBody(reply)
}

// recordAlive records the head of a response, which shows that the server's process runs. Refusals count
// too: a server that only refuses after a silence makes progress. Other heads may come from another process.
func (t *attempt) recordAlive(reply *Reply) {
	g, now := t.gateway, boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply.Misdirected || !reply.Verified && !reply.NotRun {
		return
	}
	g.crashes.RecordAlive(processOf(t.Backend), now)
	if (reply.Verified || reply.NotRun && !reply.Misdirected) && !g.fleet.Superseded(t.Backend) {
		g.fleet.RecordProgress(t.Backend.ID, now)
	}
}

// dispatch builds what is sent to the chosen server.
func (t *attempt) dispatch() *Dispatch {
	d := &Dispatch{
		Call: t.call, Backend: t.Backend, Organisation: t.organisation.ID,
		Priority: min(max(t.priority, 0), lowestPriority), TimeLeft: func() time.Duration { return max(t.remaining(), 0) }, Version: t.Version,
		BeforeSend: t.checkBeforeSend,
	}
	t.sentAfter = t.delivered.snapshot()
	if t.sentAfter.begun {
		// The caller is waiting in the middle of its response.
		d.LastEvent, d.Priority = t.sentAfter.lastEvent, 0
	}
	return d
}

// lowestPriority is the lowest priority that engines support.
const lowestPriority = 9

// receiveBody reads a response that is not a stream, up to maxBufferedResponse. If memory is short, it
// reads less, and the rest is forwarded as it arrives.
func (t *attempt) receiveBody(reply *Reply) (beginning, forward.End) {
	body, whole, err := t.bufferBody(reply.Body)
	if err == nil && whole {
		err = t.confirmEnd(reply)
	}
	if err != nil {
		reply.Finish(false)
		return beginning{}, t.handleFailure(forward.EndLost, err)
	}
	if whole {
		reply.Finish(true)
		reply.Finish = func(bool) {}
	}
	return beginning{reply: reply, body: body, whole: whole}, 0
}

// bufferBody reads the beginning of a body, and reports whether it is the whole one.
func (t *attempt) bufferBody(from io.Reader) ([]byte, bool, error) {
	body, err := io.ReadAll(io.LimitReader(from, freeResponse+1))
	if err != nil || len(body) <= freeResponse {
		return body, err == nil, err
	}
	if !t.held.Reserve(bufferedResponseCost) {
		return body, false, nil
	}
	rest, err := io.ReadAll(io.LimitReader(from, int64(maxBufferedResponse+1-len(body))))
	body = append(body, rest...)
	return body, err == nil && len(body) <= maxBufferedResponse, err
}

// handleSendError classifies an attempt that got no response.
func (t *attempt) handleSendError(err error) forward.End {
	var failed *channel.SendError
	end := forward.EndLost
	if errors.As(err, &failed) && !failed.Sent {
		end = forward.EndUnsent
	}
	return t.handleFailure(end, err)
}

// handleFailure handles an attempt that got no response, or an incomplete one, and returns its end. If the
// attempt was cancelled or its caller disconnected, the server is not at fault.
func (t *attempt) handleFailure(end forward.End, err error) forward.End {
	t.endedBy, t.silent = t.whoEnded(err), t.silence()
	if end == forward.EndLost {
		t.noteIncomplete(err)
	}
	g := t.gateway
	switch t.endedBy {
	case forward.EndedByServer:
		t.reportServerFailure(end, err)
	case forward.EndedByHedge:
		g.log.Info("attempt withdrawn", zap.String("Request", t.call.logID()), zap.String("Backend", t.Backend.ID), zap.Duration("Silent", t.silent))
	case forward.EndedByQuarantine:
		g.log.Info("attempt taken back", zap.String("Request", t.call.logID()), zap.String("Backend", t.Backend.ID), zap.String("EndedBy", string(t.endedBy)))
	case forward.EndedByStartDeadline:
		g.metrics.cancelledAttempts.WithLabelValues(t.service).Inc()
		g.log.Info("attempt taken back", zap.String("Request", t.call.logID()), zap.String("Backend", t.Backend.ID),
			zap.Uint64("Holds", t.HeldVersion), zap.Duration("Predicted", t.PredictedLatency), zap.Duration("Waited", boottime.Now()-t.placedAt), zap.String("EndedBy", string(t.endedBy)))
	}
	return end
}

// silence returns how long the server has sent nothing.
func (t *attempt) silence() time.Duration { return boottime.Now() - time.Duration(t.progressAt.Load()) }

// reportServerFailure logs an attempt that failed because of its server, and makes other requests
// avoid that server.
//
// A request that was in flight when its server restarted may break off after the new process is
// already known. The new process must not be avoided for a request that it never received.
func (t *attempt) reportServerFailure(end forward.End, err error) {
	g, id := t.gateway, t.Backend.ID
	g.log.Warn("attempt failed", zap.String("Request", t.call.logID()), zap.Stringer("Fingerprint", t.fingerprint()),
		zap.String("Backend", id), zap.Int64("Boot", int64(t.Backend.Boot)), zap.Stringer("End", end),
		zap.Bool("Begun", t.phase.hasStarted()), zap.String("EndedBy", string(t.endedBy)), zap.Duration("Silent", t.silent),
		zap.Strings("Parts", loggedParts(t.call.PromptParts)), zap.Error(err))
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.fleet.Superseded(t.Backend), errors.Is(err, errWriteToCaller):
	case end == forward.EndUnsent:
		g.fleet.RecordUnreachable(id, boottime.Now())
	default:
		g.fleet.RecordFailure(id, boottime.Now())
	}
}

// classifyReply classifies the head of a response; 0 means that the response can be forwarded.
func (t *attempt) classifyReply(reply *Reply) forward.End {
	switch {
	case reply.NotRun && reply.Misdirected:
		t.handleMisdirected(reply)
		return forward.EndWrongServer
	case reply.NotRun:
		return forward.EndRefused
	case !reply.Verified:
		t.reportServerFailure(forward.EndLost, errNoReceipt)
		return forward.EndLost
	case reply.Status >= http.StatusInternalServerError:
		t.noteAnswered()
		return forward.EndFailed
	}
	g, id := t.gateway, t.Backend.ID
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := boottime.Now(); !g.fleet.Superseded(t.Backend) {
		g.fleet.RecordSuccess(id, now)
	}
	return 0
}

// handleMisdirected updates the fleet after a response from a different server at the address, or
// from the server without the requested model.
func (t *attempt) handleMisdirected(reply *Reply) {
	g, id := t.gateway, t.Backend.ID
	g.log.Info("a different server answered at the address", zap.String("Request", t.call.logID()), zap.String("Backend", id), zap.String("Found", reply.ActualServer))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.Superseded(t.Backend) {
		return
	}
	if reply.ActualServer != "" {
		g.fleet.RecordReplaced(id, reply.ActualServer, boottime.Now())
		return
	}
	g.fleet.RecordModelMissing(id, boottime.Now())
}

// errNoReceipt means that a response lacks the server's receipt, or was altered in transit.
var errNoReceipt = errors.New("the response has no valid server receipt")

// discardSmallBody reads the short body of a refusal so that the connection can be reused.
func discardSmallBody(reply *Reply) bool {
	if reply.Length < 0 || reply.Length > 4<<10 {
		return false
	}
	_, err := io.Copy(io.Discard, reply.Body)
	return err == nil
}
