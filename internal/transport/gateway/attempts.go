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
	// wholeBytes is how much of an answer is read before any of it is sent on,
	// so that one that breaks off can be had elsewhere.
	wholeBytes = 256 << 10
)

// attempts is the sending of one request until it has its final answer.
type attempts struct {
	*exchange
	forward.Attempts
	tried []catalog.Backend
	// stream is the state of an answer made of events; nil before its head.
	stream *eventStream
	// last is the placement of the attempt under way, made at placedAt.
	last     fleet.Placement
	placedAt time.Duration
	// beginBy is when the attempt under way is taken back if it has not begun, as it is
	// made by a version that soon may not answer any more; 0 if there is no such time.
	beginBy    time.Duration
	beginTimer *time.Timer
	// takenBack says whether the attempt under way was ended for that, or for a verdict on
	// the request.
	takenBack recall
	// withdraw ends the attempt under way; nil if there is none. The gateway's lock guards it.
	withdraw func()
}

// run sends the request until it has a final answer.
func (x *exchange) run() {
	a := &attempts{exchange: x, Attempts: forward.Attempts{
		Class: forward.Class{Repeatable: x.route.Repeatable(), Servers: x.route.Attempts}}}
	x.gateway.track(a)
	defer x.gateway.untrack(a)
	for first := true; ; first = false {
		if p := a.kept(); p != nil {
			a.giveUp(p)
			return
		}
		placement, p := a.place(first)
		if p != nil {
			placement, p = a.placeLater(placement, p)
		}
		if p != nil {
			a.giveUp(p)
			return
		}
		a.last, a.placedAt = placement, boottime.Now()
		a.tried = append(a.tried, placement.Backend)
		end, reply := a.try(placement)
		if end == 0 {
			return
		}
		if !a.next(end, reply) {
			return
		}
	}
}

// try sends the request to one server. It returns 0 if the caller has its final
// answer, else how the attempt ended, and the server's failure if it gave one.
func (a *attempts) try(placement fleet.Placement) (forward.End, *Reply) {
	g := a.gateway
	id := placement.Backend.ID
	defer func() {
		g.mu.Lock()
		g.fleet.EndedAt(placement.Backend)
		a.withdraw = nil
		g.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	watch := a.watchHead(placement.Backend, cancel)
	defer a.watchBegin(cancel)()
	g.mu.Lock()
	a.withdraw = cancel
	g.mu.Unlock()
	reply, err := g.sender.Send(ctx, a.dispatch(placement))
	watch.end()
	if err != nil {
		return a.sendFailed(id, err), nil
	}
	a.takeAnnouncements(placement.Backend, reply)
	if end := a.judge(id, reply); end != 0 {
		if end != forward.EndFailed {
			reply.Finish(a.drainSmall(reply))
			return end, nil
		}
		return end, reply
	}
	if reply.Stream {
		return a.relayStream(id, reply, cancel), nil
	}
	return a.relayWhole(id, reply), nil
}

func (a *attempts) dispatch(placement fleet.Placement) *Dispatch {
	d := &Dispatch{
		Call: a.call, Backend: placement.Backend, Organisation: a.organisation.ID,
		Urgency: min(max(a.urgency, 0), lowestUrgency), Left: max(a.remaining(), 0), Version: placement.Version,
		Still: a.still,
	}
	if a.stream != nil {
		// The caller is waiting in the middle of its answer.
		d.LastEvent, d.Urgency = a.stream.last, 0
	}
	return d
}

// lowestUrgency is the least urgent rank that engines know.
const lowestUrgency = 9

// sendFailed notes an attempt that got no answer.
func (a *attempts) sendFailed(id string, err error) forward.End {
	var failed *channel.SendError
	end := forward.EndLost
	if errors.As(err, &failed) && !failed.Sent {
		end = forward.EndUnsent
	}
	a.noteLost(id, end, err)
	return end
}

// blame logs an attempt that its server spoilt, and keeps others from it.
//
// Guard: a request that was under way as its server started again breaks off when the
// new process is known already. That one would get no request, for what it never had.
func (a *attempts) blame(id string, end forward.End, err error) {
	g := a.gateway
	g.log.Warn("attempt failed", zap.String("Request", a.call.ID), zap.Stringer("Fingerprint", a.fingerprint()),
		zap.String("Backend", id), zap.Int64("Boot", int64(a.last.Backend.Boot)), zap.Stringer("End", end), zap.Error(err))
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.fleet.Followed(a.last.Backend):
	case end == forward.EndUnsent:
		g.fleet.Unreachable(id, boottime.Now())
	default:
		g.fleet.Failed(id, boottime.Now())
	}
}

// judge sorts the head of an answer; 0 means that it can be sent on.
func (a *attempts) judge(id string, reply *Reply) forward.End {
	switch {
	case reply.NotRun && reply.Moved:
		a.moved(id, reply)
		return forward.EndMoved
	case reply.NotRun:
		return forward.EndRefused
	case !reply.Sound:
		a.blame(id, forward.EndLost, errUnsound)
		return forward.EndLost
	case reply.Status >= http.StatusInternalServerError:
		a.survived()
		return forward.EndFailed
	}
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := boottime.Now(); !g.fleet.Followed(a.last.Backend) {
		g.fleet.Answered(id, now)
		g.fleet.Progress(id, now)
	}
	return 0
}

// moved takes note of what a server that was not the one meant has told.
func (a *attempts) moved(id string, reply *Reply) {
	g := a.gateway
	g.log.Info("server moved", zap.String("Request", a.call.ID), zap.String("Backend", id), zap.String("Found", reply.Life))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet.Followed(a.last.Backend) {
		return
	}
	if reply.Life != "" {
		g.fleet.Replaced(id, boottime.Now())
		return
	}
	g.fleet.NoteModelMissing(id, boottime.Now())
}

var errUnsound = errors.New("answer without the server's receipt")

// drainSmall reads the short body of a refusal so that its channel can be kept.
func (a *attempts) drainSmall(reply *Reply) bool {
	if reply.Length < 0 || reply.Length > 4<<10 {
		return false
	}
	_, err := io.Copy(io.Discard, reply.Body)
	return err == nil
}

// next decides what follows an attempt; it returns true to try again.
func (a *attempts) next(end forward.End, failure *Reply) bool {
	g := a.gateway
	if a.callerLeft() {
		a.finishFailure(failure)
		a.ended(0, reasonCallerEnd, zap.String("Backend", a.last.Backend.ID))
		return false
	}
	g.mu.Lock()
	step := a.After(end, g.budget(a.service), a.remaining(), boottime.Now(), true)
	g.mu.Unlock()
	g.log.Info("attempt ended", zap.String("Request", a.call.ID), zap.String("Backend", a.last.Backend.ID),
		zap.Stringer("End", end), zap.Stringer("Step", step), zap.Int("Sent", a.Sent()), zap.Duration("Left", a.remaining()))
	if step == forward.StepAgain {
		a.finishFailure(failure)
		if end == forward.EndLost {
			a.awaitVerdict()
		}
		g.metrics.retries.WithLabelValues(a.service, end.String()).Inc()
		return true
	}
	if step == forward.StepPass && failure != nil && a.stream == nil {
		a.pass(failure)
		return false
	}
	a.finishFailure(failure)
	p := a.problem(step)
	if step == forward.StepNotRun && end == forward.EndMoved {
		p.retry = a.returnWhenReady()
	}
	a.giveUp(p)
	return false
}

func (a *attempts) finishFailure(failure *Reply) {
	if failure != nil {
		failure.Finish(a.drainSmall(failure))
	}
}

// pass hands a server's own failure on.
func (a *attempts) pass(failure *Reply) {
	if end := a.relayWhole(a.last.Backend.ID, failure); end != 0 {
		a.giveUp(a.problem(forward.StepUnknown))
	}
}

// problem is the entry's own final answer for a step.
func (a *attempts) problem(step forward.Step) *problem {
	switch step {
	case forward.StepNotRun:
		return busy(reasonRefused, a.gateway.returnTime())
	case forward.StepTimeout:
		return &problem{status: http.StatusGatewayTimeout, reason: reasonTime}
	}
	return &problem{status: http.StatusBadGateway, reason: reasonUnknown}
}

// giveUp ends the request without an answer of a server.
//
// Guards: an answer that has begun cannot be taken back, so its channel is
// broken and the caller sees that it is not whole; and once a server may have
// run the request, the caller is not told that it did not.
func (a *attempts) giveUp(p *problem) {
	if a.stream != nil {
		a.ended(http.StatusOK, reasonBroken, zap.String("LastEvent", a.stream.last))
		panic(http.ErrAbortHandler)
	}
	if a.MayHaveRun() && p.retry > 0 {
		p = a.problem(forward.StepUnknown)
	}
	a.refuse(p)
}

// relayWhole sends on an answer that is not a stream. What fits into memory is
// read whole first, so that an answer that breaks off is never begun.
func (a *attempts) relayWhole(id string, reply *Reply) forward.End {
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeBytes+1))
	if err != nil {
		reply.Finish(false)
		a.broke(err)
		if !a.callerLeft() && a.remaining() > 0 {
			a.blame(id, forward.EndLost, err)
		}
		return forward.EndLost
	}
	a.begun = time.Now()
	copyHeader(a.writer.Header(), reply.Header)
	if len(body) <= wholeBytes {
		reply.Finish(true)
		a.survived()
		a.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		a.writer.WriteHeader(reply.Status)
		// A caller that does not take its answer is noticed by the server loop.
		_, _ = a.writer.Write(body)
		a.ended(reply.Status, "", zap.String("Backend", id))
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
	reply.Finish(err == nil)
	if err != nil {
		a.ended(reply.Status, reasonBroken, zap.String("Backend", id), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	a.ended(reply.Status, "", zap.String("Backend", id))
	return 0
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
}
