package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
	"github.com/filbertlever/filbertlever/internal/coordination/retry"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	peerv1 "github.com/filbertlever/filbertlever/internal/protocol/peer/v1"
)

// attempt is one run of a model request on a host.
type attempt struct {
	request *modelRequest
	host    filbertlever.HostID
	cancel  context.CancelFunc
	// begun is true once the host has sent a frame. progressAt is when its last frame had been forwarded
	// or, before the first one, when the attempt began. Only the request's goroutine uses them.
	begun      bool
	progressAt time.Time
}

// attemptEvent is a frame of an attempt or, if frame is nil, its end.
type attemptEvent struct {
	*attempt
	frame *peerv1.RunResponse
	err   error
}

// Errors of attempts.
var (
	errAddressUnknown = errors.New("address unknown")
	errStreamEnded    = errors.New("stream ended before the answer was complete")
)

// start starts an attempt with a number of the assembler.
func (q *modelRequest) start(ctx context.Context, host filbertlever.HostID, number uint32) {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{request: q, host: host, cancel: cancel, progressAt: time.Now()}
	q.attempts++
	q.running = append(q.running, a)
	go a.run(ctx, &peerv1.RunRequest{
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
	})
}

// run sends the frames of the attempt and its end to the request.
func (a *attempt) run(ctx context.Context, message *peerv1.RunRequest) {
	err := a.receive(ctx, message)
	a.send(ctx, attemptEvent{attempt: a, err: err})
}

// receive sends the frames of the attempt to the request until the stream ends.
func (a *attempt) receive(ctx context.Context, message *peerv1.RunRequest) error {
	client, ok := a.request.entry.agentClient(a.host)
	if !ok {
		return errAddressUnknown
	}
	frames, err := client.Run(ctx, connect.NewRequest(message))
	if err != nil {
		return err
	}
	defer frames.Close()
	for frames.Receive() {
		a.send(ctx, attemptEvent{attempt: a, frame: frames.Msg()})
	}
	if err := frames.Err(); err != nil {
		return err
	}
	return errStreamEnded
}

// send sends an event to the request unless the attempt has been cancelled.
func (a *attempt) send(ctx context.Context, event attemptEvent) {
	select {
	case a.request.events <- event:
	case <-ctx.Done():
	}
}

// status returns what is known of a running attempt.
func (a *attempt) status() forward.Running {
	return forward.Running{Begun: a.begun, Silent: time.Since(a.progressAt)}
}

// checkInterval is the interval between checks once a second attempt is wanted.
const checkInterval = 100 * time.Millisecond

// patience returns the times of silence after which a second attempt is started.
func (e *Entry) patience() forward.Patience {
	return forward.Patience{Stall: e.config.FirstTokenTimeout, Head: e.config.FirstTokenTimeout, Gap: e.config.NextTokenTimeout}
}

// checkIn returns the time until all running attempts may call for another one.
func (q *modelRequest) checkIn() time.Duration {
	patience := q.entry.patience()
	wait := checkInterval
	for _, a := range q.running {
		wait = max(wait, patience.CheckIn(a.status(), checkInterval))
	}
	return wait
}

// allSilent reports whether all running attempts call for another one.
func (q *modelRequest) allSilent() bool {
	patience := q.entry.patience()
	return !slices.ContainsFunc(q.running, func(a *attempt) bool {
		action, _ := patience.Decide(a.status())
		return action != forward.ActionHedge
	})
}

// startBeside starts an attempt beside the running ones if a host and the retry
// budget are available. Before the answer has begun, the host must also have a free
// slot. The running attempts are kept, as each of them may go on first.
func (q *modelRequest) startBeside(ctx context.Context) {
	choice := q.chooseVersion(q.version)
	if choice.Host == "" {
		return
	}
	noSlot := !q.hasDelivered() && choice.QueuePosition > 0
	lost := retry.Attempt{End: retry.EndLost, Number: q.attempts, Delivered: q.hasDelivered()}
	if noSlot || !q.entry.budget.allow(lost, time.Until(q.deadline)) {
		q.entry.routes.cancel(choice.Host)
		return
	}
	q.logRouting(q.version, choice)
	q.entry.log.Info("second attempt started", zap.String("RequestID", q.message.RequestId), zap.String("Peer", string(choice.Host)))
	q.entry.metrics.retries.Inc()
	q.start(ctx, choice.Host, q.answer.BeginBeside())
}

// endOthers ends all attempts but the one that has gone on, as they do not continue
// what has been delivered now. Their hosts have not failed, so they may be used again.
func (q *modelRequest) endOthers(kept *attempt) {
	for _, a := range q.running {
		if a != kept {
			a.cancel()
			q.attempts--
			q.withdrawn = append(q.withdrawn, a.host)
			q.entry.routes.release(a.host)
			q.entry.log.Info("attempt withdrawn", zap.String("RequestID", q.message.RequestId), zap.String("Peer", string(a.host)))
		}
	}
	q.running = append(q.running[:0], kept)
}

// chooseVersion selects a host for an attempt with a version. It prefers hosts from
// which no attempt was withdrawn. Choice.Host is empty if there is none.
func (q *modelRequest) chooseVersion(v version) routing.Choice {
	avoid := slices.Clone(q.excluded)
	for _, a := range q.running {
		avoid = append(avoid, a.host)
	}
	request := routing.Request{
		Target:       v.target(),
		Prefix:       q.prefix(),
		PromptTokens: len(q.message.Prompt) / bytesPerToken,
		Avoid:        append(slices.Clone(q.withdrawn), avoid...),
	}
	choice := q.entry.routes.choose(&request)
	if choice.Host == "" && len(q.withdrawn) > 0 {
		request.Avoid = avoid
		choice = q.entry.routes.choose(&request)
	}
	return choice
}
