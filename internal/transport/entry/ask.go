package entry

import (
	"context"
	"errors"
	"fmt"
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
	version  version
	answer   *stream.Assembler
	attempts int
	// excluded holds the hosts that refused an attempt or failed during one.
	excluded []filbertlever.HostID
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
	q := &modelRequest{entry: e, message: message, admission: admitted, sink: out, deadline: e.deadline(message.Timeout), versions: versions}
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
	for {
		choice, ok := q.choose()
		if !ok {
			return q.finalFailure(reasonNoHost), nil
		}
		q.attempts++
		q.lastResult = q.attempt(ctx, choice)
		if q.lastResult.answered {
			total := uint32(len(q.answer.Delivered()))
			return &filbertleverv1.Final{Outcome: filbertleverv1.Outcome_OUTCOME_ANSWERED, Total: total}, nil
		}
		if q.lastResult.callerErr != nil {
			return nil, connect.NewError(connect.CodeCanceled, q.lastResult.callerErr)
		}
		q.recordFailure(choice.Host)
		attempt := retry.Attempt{End: q.lastResult.end, Number: q.attempts, Delivered: q.hasDelivered(), RetryAfter: q.lastResult.retryAfter}
		if !q.entry.budget.allow(attempt, time.Until(q.deadline)) {
			return q.finalFailure(q.lastResult.reason), nil
		}
		q.entry.metrics.retries.Inc()
	}
}

// recordFailure updates the request after an attempt that did not complete the
// answer.
func (q *modelRequest) recordFailure(host filbertlever.HostID) {
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
	q.excluded = append(q.excluded, host)
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
		request := routing.Request{
			Target:       v.target(),
			Prefix:       q.prefix(),
			PromptTokens: len(q.message.Prompt) / bytesPerToken,
			Avoid:        q.excluded,
		}
		choice := q.entry.routes.choose(&request)
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

// attempt runs the request on one host until the answer is complete or the
// attempt has failed.
func (q *modelRequest) attempt(ctx context.Context, choice routing.Choice) attemptResult {
	e := q.entry
	client, ok := e.agentClient(choice.Host)
	if !ok {
		return attemptResult{end: retry.EndLost, reason: "address unknown"}
	}
	number := q.answer.BeginAttempt()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	tokenTimer := time.AfterFunc(e.config.FirstTokenTimeout, func() { cancel(errTokenTimeout) })
	defer tokenTimer.Stop()
	frames, err := client.Run(ctx, connect.NewRequest(&peerv1.RunRequest{
		RequestId:     q.message.RequestId,
		Attempt:       number,
		Organisation:  string(q.admission.organisation.Name),
		Model:         q.message.Model,
		VersionDigest: string(q.version.Model),
		AdapterDigest: string(q.version.Adapter),
		Prompt:        q.message.Prompt,
		Delivered:     q.answer.Delivered(),
		MaxTokens:     q.message.MaxTokens,
		Priority:      int32(q.message.Priority),
		Timeout:       durationpb.New(time.Until(q.deadline)),
	}))
	if err != nil {
		return q.attemptFailed(ctx, choice.Host, err)
	}
	defer frames.Close()
	for frames.Receive() {
		tokenTimer.Reset(e.config.NextTokenTimeout)
		frame := frames.Msg()
		e.routes.applyLoad(choice.Host, frame.Load)
		if frame.Refusal != nil {
			e.node.RecordResponse(choice.Host)
			end := retry.EndRefused
			switch {
			case frame.Refusal.Started:
				end = retry.EndFailed
			case frame.Refusal.NotLive:
				end = retry.EndWrongWeights
				e.routes.setLive(choice.Host, frame.Refusal.Live)
			}
			return attemptResult{end: end, reason: frame.Refusal.Reason, retryAfter: frame.Refusal.RetryAfter.AsDuration()}
		}
		if result, ended := q.acceptFrame(frame); ended {
			if result.answered {
				e.node.RecordResponse(choice.Host)
			}
			return result
		}
	}
	return q.attemptFailed(ctx, choice.Host, frames.Err())
}

var errTokenTimeout = errors.New("timeout waiting for the next token")

// attemptFailed handles an attempt whose stream ended before the answer was
// complete, either because the caller disconnected or because the host failed.
func (q *modelRequest) attemptFailed(ctx context.Context, host filbertlever.HostID, err error) attemptResult {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errTokenTimeout) && !errors.Is(cause, context.DeadlineExceeded) {
		q.entry.routes.release(host)
		return attemptResult{callerErr: fmt.Errorf("caller of %s left: %w", q.message.RequestId, cause)}
	}
	if err == nil {
		err = errors.New("stream ended before the answer was complete")
	}
	if errors.Is(context.Cause(ctx), errTokenTimeout) {
		err = errTokenTimeout
	}
	q.entry.node.RecordFailure(host)
	q.entry.routes.release(host)
	q.entry.log.Warn("attempt failed", zap.String("RequestID", q.message.RequestId), zap.String("Peer", string(host)), zap.Error(err))
	return attemptResult{end: retry.EndLost, reason: "backend server was lost"}
}

// acceptFrame processes one frame and forwards the pieces that the caller has not
// received yet. It also reports whether the attempt has ended.
func (q *modelRequest) acceptFrame(frame *peerv1.RunResponse) (attemptResult, bool) {
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
