package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/coordination/stream"
	peerv1 "github.com/filbertlever/filbertlever/internal/protocol/peer/v1"
	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
)

// Ask streams the answer of a model to the caller.
func (e *Entry) Ask(ctx context.Context, request *connect.Request[filbertleverv1.AskRequest], out *connect.ServerStream[filbertleverv1.AskResponse]) error {
	admitted, final, err := e.admit(request.Header())
	if err != nil {
		return err
	}
	if final == nil {
		defer admitted.release()
		final, err = e.ask(ctx, admitted, request.Msg, &streamSink{out: out})
		if err != nil {
			return err
		}
	}
	return out.Send(&filbertleverv1.AskResponse{Event: &filbertleverv1.AskResponse_Final{Final: final}})
}

// Answer returns the complete answer of a model in one message.
func (e *Entry) Answer(ctx context.Context, request *connect.Request[filbertleverv1.AskRequest]) (*connect.Response[filbertleverv1.AnswerResponse], error) {
	admitted, final, err := e.admit(request.Header())
	if err != nil {
		return nil, err
	}
	response := &filbertleverv1.AnswerResponse{Final: final}
	if final == nil {
		defer admitted.release()
		buffer := &bufferSink{}
		response.Final, err = e.ask(ctx, admitted, request.Msg, buffer)
		if err != nil {
			return nil, err
		}
		response.Text = buffer.text.String()
		response.ModelVersion = buffer.version.Name
		response.VersionDigest = string(buffer.version.Model)
	}
	return connect.NewResponse(response), nil
}

// modelRequest is a model request in flight at this entry.
type modelRequest struct {
	entry     *Entry
	message   *filbertleverv1.AskRequest
	admission *admittedRequest
	sink      sink
	deadline  time.Time
	versions  []version
	// version is the version of the current attempt. It is fixed once tokens have
	// been delivered.
	version version
	answer  *stream.Assembler
	// attempts counts the attempts that were not withdrawn.
	attempts int
	// running are the attempts that have not ended, and events what they receive. Each continues what has
	// been delivered.
	running []*attempt
	events  chan attemptEvent
	// excluded holds the hosts that refused an attempt or failed during one.
	excluded []filbertlever.HostID
	// withdrawn holds the hosts of attempts that ended because another one went on.
	withdrawn []filbertlever.HostID
	// startSent is true once the version has been sent to the sink.
	startSent  bool
	lastResult attemptResult
	// mayHaveRun is true once an attempt has failed that was not refused before
	// it started.
	mayHaveRun bool
}

type attemptResult struct {
	answered bool
	end      retry.End
	// reason says why the attempt failed. retryAfter is the retry delay given by a
	// refusal.
	reason     string
	retryAfter time.Duration
	// callerErr is set if the caller has disconnected.
	callerErr error
}

// ask validates the request and runs it until its final outcome.
func (e *Entry) ask(ctx context.Context, admitted *admittedRequest, message *filbertleverv1.AskRequest, out sink) (*filbertleverv1.Final, error) {
	if message.RequestId == "" || len(message.RequestId) > maxIDBytes {
		return nil, badRequest(fmt.Sprintf("RequestId: expected 1 to %d bytes", maxIDBytes))
	}
	if message.MaxTokens == 0 || message.MaxTokens > maxTokens {
		return nil, badRequest(fmt.Sprintf("MaxTokens: expected 1 to %d", maxTokens))
	}
	versions, ok := e.versions(admitted.bundle, message.Model, message.Adapter)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("model %q with adapter %q is not in the bundle in force", message.Model, message.Adapter))
	}
	q := &modelRequest{entry: e, message: message, admission: admitted, sink: out, deadline: e.deadline(message.Timeout), versions: versions, events: make(chan attemptEvent)}
	if err := q.resume(); err != nil {
		return nil, err
	}
	e.budget.recordRequest()
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	final, err := q.run(ctx)
	if err != nil {
		e.logOutcome("Ask", message.RequestId, admitted.organisation.Name, outcomeCallerLeft, err.Error())
		return nil, err
	}
	e.logOutcome("Ask", message.RequestId, admitted.organisation.Name, outcomeOf(final.Outcome).String(), final.Reason)
	return final, nil
}

// resume binds a resumed request to the model version that generated the
// delivered part of its answer.
func (q *modelRequest) resume() error {
	if q.message.Resume == nil || len(q.message.Resume.Delivered) == 0 {
		return nil
	}
	for _, v := range q.versions {
		if string(v.Model) == q.message.Resume.VersionDigest {
			q.bind(v, q.message.Resume.Delivered)
			return nil
		}
	}
	return connect.NewError(connect.CodeFailedPrecondition, errors.New("the model version that began the answer is gone"))
}

// bind sets the version that the answer comes from, and the part already
// delivered.
func (q *modelRequest) bind(v version, delivered []string) {
	q.version = v
	q.answer = stream.New(v.Model, delivered)
}

// hasDelivered reports whether the caller has received part of the answer.
func (q *modelRequest) hasDelivered() bool {
	return q.answer != nil && len(q.answer.Delivered()) > 0
}

// run makes attempts until the answer is complete or no further attempt is
// allowed. In the second case it returns the final outcome without delay.
func (q *modelRequest) run(ctx context.Context) (*filbertleverv1.Final, error) {
	timer := time.NewTimer(q.checkIn())
	defer timer.Stop()
	for {
		if len(q.running) == 0 {
			choice, ok := q.choose()
			if !ok {
				return q.finalFailure(reasonNoHost), nil
			}
			q.start(ctx, choice.Host, q.answer.BeginAttempt())
		}
		timer.Reset(q.checkIn())
		var event attemptEvent
		select {
		case <-ctx.Done():
			return q.interrupted(ctx)
		case <-timer.C:
			if q.allSilent() {
				q.startBeside(ctx)
			}
			continue
		case event = <-q.events:
		}
		if ctx.Err() != nil {
			return q.interrupted(ctx)
		}
		if !slices.Contains(q.running, event.attempt) {
			continue
		}
		result, ended := q.handle(event)
		switch {
		case !ended:
			continue
		case result.answered:
			total := uint32(len(q.answer.Delivered()))
			return &filbertleverv1.Final{Outcome: filbertleverv1.Outcome_OUTCOME_ANSWERED, Total: total}, nil
		case result.callerErr != nil:
			return nil, connect.NewError(connect.CodeCanceled, result.callerErr)
		}
		q.lastResult = result
		q.recordFailure(event.attempt)
		if len(q.running) > 0 {
			// An attempt beside it may still complete the answer.
			continue
		}
		failed := retry.Attempt{End: result.end, Number: q.attempts, Delivered: q.hasDelivered(), RetryAfter: result.retryAfter}
		if !q.entry.budget.allow(failed, time.Until(q.deadline)) {
			return q.finalFailure(result.reason), nil
		}
		q.entry.metrics.retries.Inc()
	}
}

// interrupted returns the outcome of a request whose deadline has passed or whose
// caller has disconnected. The hosts of its running attempts have not failed.
func (q *modelRequest) interrupted(ctx context.Context) (*filbertleverv1.Final, error) {
	for _, a := range q.running {
		q.entry.routes.release(a.host)
		q.mayHaveRun = true
	}
	if cause := context.Cause(ctx); !errors.Is(cause, context.DeadlineExceeded) {
		return nil, connect.NewError(connect.CodeCanceled, fmt.Errorf("caller of %s left: %w", q.message.RequestId, cause))
	}
	return q.finalFailure(reasonDeadline), nil
}

// recordFailure updates the request after an attempt that did not complete the
// answer.
func (q *modelRequest) recordFailure(a *attempt) {
	a.cancel()
	q.running = slices.DeleteFunc(q.running, func(other *attempt) bool { return other == a })
	switch q.lastResult.end {
	case retry.EndWrongWeights:
		// The host is not excluded, as it may serve the bundle's version by now.
		if !q.hasDelivered() {
			q.versions, _ = q.entry.versions(q.admission.bundle, q.message.Model, q.message.Adapter)
		}
		return
	case retry.EndFailed, retry.EndLost:
		q.mayHaveRun = true
	}
	q.excluded = append(q.excluded, a.host)
}

// choose selects the host for the next attempt. It prefers the bundle's version.
// If no host has that version live and no token has been delivered, it selects
// another version that is still served.
func (q *modelRequest) choose() (routing.Choice, bool) {
	versions := q.versions
	if q.hasDelivered() {
		versions = []version{q.version}
	}
	for _, v := range versions {
		choice := q.chooseVersion(v)
		q.logRouting(v, choice)
		if choice.Host != "" {
			if !q.hasDelivered() {
				q.bind(v, nil)
			}
			return choice, true
		}
	}
	return routing.Choice{}, false
}

const (
	// bytesPerToken is the estimated average size of a token.
	bytesPerToken = 4
	// prefixBytes is the length of the beginning of the prompt that is hashed.
	prefixBytes = 1024
)

// prefix returns a hash of the beginning of the prompt, or 0 for a prompt that is
// too short to be worth caching.
func (q *modelRequest) prefix() uint64 {
	prompt := q.message.Prompt
	if len(prompt) < prefixBytes/4 {
		return 0
	}
	return routing.PrefixHash(q.admission.organisation.Name, prompt[:min(len(prompt), prefixBytes)])
}

// logRouting logs the candidates and the selected host.
func (q *modelRequest) logRouting(v version, choice routing.Choice) {
	ce := q.entry.log.Check(zap.InfoLevel, "request routed")
	if ce == nil {
		return
	}
	hosts := make([]string, choice.CandidateCount)
	for i := range hosts {
		candidate := choice.Candidates[i]
		hosts[i] = string(candidate.Host) + "=" + candidate.Predicted.String()
	}
	ce.Write(zap.String("RequestID", q.message.RequestId), zap.String("Organisation", string(q.admission.organisation.Name)),
		zap.String("Version", v.Name), zap.Int("Attempt", q.attempts+1), zap.Strings("Candidates", hosts),
		zap.String("Choice", string(choice.Host)), zap.Duration("Predicted", choice.Predicted), zap.String("Reason", string(choice.Reason)))
}

// finalFailure returns the final outcome of a request that is not retried.
func (q *modelRequest) finalFailure(reason string) *filbertleverv1.Final {
	if !time.Now().Before(q.deadline) {
		reason = reasonDeadline
	}
	const minRetryAfter = 100 * time.Millisecond
	final := &filbertleverv1.Final{
		Outcome:    filbertleverv1.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		RetryAfter: durationpb.New(max(q.lastResult.retryAfter, minRetryAfter)),
	}
	// An engine may have run the request without returning a token, so the
	// outcome "not run" would be wrong.
	if q.hasDelivered() || q.mayHaveRun {
		final.Outcome = filbertleverv1.Outcome_OUTCOME_INCOMPLETE
		final.Total = uint32(len(q.answer.Delivered()))
	}
	return final
}

// handle processes an event of a running attempt. It also reports whether the
// attempt has ended.
func (q *modelRequest) handle(event attemptEvent) (attemptResult, bool) {
	e, frame := q.entry, event.frame
	if frame == nil {
		e.node.RecordFailure(event.host)
		e.routes.release(event.host)
		e.log.Warn("attempt failed", zap.String("RequestID", q.message.RequestId), zap.String("Peer", string(event.host)), zap.Error(event.err))
		return attemptResult{end: retry.EndLost, reason: "backend server was lost"}, true
	}
	e.routes.applyLoad(event.host, frame.Load)
	if frame.Refusal != nil {
		e.node.RecordResponse(event.host)
		end := retry.EndRefused
		switch {
		case frame.Refusal.Started:
			end = retry.EndFailed
		case frame.Refusal.NotLive:
			end = retry.EndWrongWeights
			e.routes.setLive(event.host, frame.Refusal.Live)
		}
		return attemptResult{end: end, reason: frame.Refusal.Reason, retryAfter: frame.Refusal.RetryAfter.AsDuration()}, true
	}
	result, ended := q.acceptFrame(event.attempt, frame)
	if result.answered {
		e.node.RecordResponse(event.host)
	}
	event.begun, event.progressAt = true, time.Now()
	return result, ended
}

// acceptFrame processes one frame and forwards the pieces that the caller has not
// received yet. It also reports whether the attempt has ended.
func (q *modelRequest) acceptFrame(a *attempt, frame *peerv1.RunResponse) (attemptResult, bool) {
	offset := uint32(len(q.answer.Delivered()))
	pieces, verdict := q.answer.Accept(stream.Frame{
		Attempt: frame.Attempt,
		Offset:  frame.Offset,
		Pieces:  frame.Pieces,
		Version: filbertlever.Digest(frame.VersionDigest),
		Done:    frame.Done,
	})
	if verdict == stream.VerdictBroken {
		return attemptResult{end: retry.EndLost, reason: "backend server broke its stream"}, true
	}
	if len(pieces) > 0 || verdict == stream.VerdictDone {
		q.endOthers(a)
	}
	if err := q.forward(offset, pieces); err != nil {
		return attemptResult{callerErr: err}, true
	}
	return attemptResult{answered: verdict == stream.VerdictDone}, verdict == stream.VerdictDone
}

// forward sends pieces to the caller, preceded by the version if they are the
// first.
func (q *modelRequest) forward(offset uint32, pieces []string) error {
	if len(pieces) == 0 {
		return nil
	}
	if !q.startSent {
		q.startSent = true
		if err := q.sink.Start(q.version); err != nil {
			return fmt.Errorf("send to caller: %w", err)
		}
	}
	if err := q.sink.Tokens(offset, pieces); err != nil {
		return fmt.Errorf("send to caller: %w", err)
	}
	return nil
}

var outcomes = map[filbertleverv1.Outcome]filbertlever.Outcome{
	filbertleverv1.Outcome_OUTCOME_ANSWERED:   filbertlever.OutcomeAnswered,
	filbertleverv1.Outcome_OUTCOME_NOT_RUN:    filbertlever.OutcomeNotRun,
	filbertleverv1.Outcome_OUTCOME_UNKNOWN:    filbertlever.OutcomeUnknown,
	filbertleverv1.Outcome_OUTCOME_INCOMPLETE: filbertlever.OutcomeIncomplete,
}

func outcomeOf(outcome filbertleverv1.Outcome) filbertlever.Outcome { return outcomes[outcome] }
