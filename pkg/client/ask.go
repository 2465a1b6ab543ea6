package client

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
	"github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1/filbertleverv1connect"
)

// Question is a request to a model.
type Question struct {
	// RequestID identifies the request in the system's logs. If it is empty, a
	// new ID is generated.
	RequestID string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Priority  filbertlever.Priority
}

// Answer is the answer to a Question.
type Answer struct {
	Pieces        []string
	ModelVersion  string
	VersionDigest string
	// Attempts is the number of attempts, each at one entry.
	Attempts int
}

// Ask sends a question to a model and calls onPieces with the pieces of the
// answer as they arrive, each token once. It returns when the answer is
// complete. Otherwise the error is ErrIncomplete if pieces were delivered, and
// ErrNotRun if the request was refused before that. The deadline of ctx is the
// deadline of the request.
func (c *Client) Ask(ctx context.Context, question Question, onPieces func(pieces []string) error) (*Answer, error) {
	if question.RequestID == "" {
		question.RequestID = NewKey()
	}
	answer := &Answer{}
	var lastErr error
	for {
		if err := ctx.Err(); err != nil {
			return answer, markIncomplete(answer, errors.Join(err, lastErr))
		}
		address, err := c.address(ctx)
		if err != nil {
			return answer, markIncomplete(answer, errors.Join(err, lastErr))
		}
		answer.Attempts++
		final, address, err := c.attempt(ctx, address, question, answer, onPieces)
		if err != nil {
			if isPermanent(err) || errors.Is(err, errCallback) || ctx.Err() != nil {
				return answer, markIncomplete(answer, err)
			}
			lastErr = c.markFailed(address, err)
			_ = sleep(ctx, retryDelay)
			continue
		}
		done, err := c.handleFinal(ctx, address, final)
		if done {
			return answer, err
		}
		lastErr = err
	}
}

var errCallback = errors.New("callback failed")

// markIncomplete wraps err in ErrIncomplete if pieces were delivered.
func markIncomplete(answer *Answer, err error) error {
	if len(answer.Pieces) > 0 {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return err
}

// handleFinal handles the final event of an entry and reports whether the
// request has ended. If not, it waits for the refusal's RetryAfter, unless the
// entry named other entries to use.
func (c *Client) handleFinal(ctx context.Context, address string, final *filbertleverv1.Final) (bool, error) {
	switch final.Outcome {
	case filbertleverv1.Outcome_OUTCOME_ANSWERED:
		return true, nil
	case filbertleverv1.Outcome_OUTCOME_INCOMPLETE:
		return true, fmt.Errorf("%w: %s", ErrIncomplete, final.Reason)
	}
	refusal := &Refusal{Reason: final.Reason, RetryAfter: final.RetryAfter.AsDuration()}
	if len(final.Elsewhere) > 0 {
		_ = c.markFailed(address, refusal)
		c.setEntries(final.Elsewhere, avoidDuration)
		return false, refusal
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= refusal.RetryAfter {
		return true, refusal
	}
	if err := sleep(ctx, max(refusal.RetryAfter, retryDelay)); err != nil {
		return true, refusal
	}
	return false, refusal
}

// attempt sends the question to one entry. It resumes after the tokens that were
// already delivered. If the entry is silent, the question is also sent to another one,
// and the first of the two to go on completes the answer. The address returned is that
// of the entry that ended the attempt.
func (c *Client) attempt(ctx context.Context, address string, question Question, answer *Answer, onPieces func([]string) error) (*filbertleverv1.Final, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan streamEvent)
	running := []*answerStream{c.start(ctx, address, question, answer, events)}
	timer := time.NewTimer(c.config.Silence)
	defer timer.Stop()
	for {
		var event streamEvent
		select {
		case <-ctx.Done():
			return nil, address, ctx.Err()
		case <-timer.C:
			if other, ok := c.otherAddress(address); ok && len(running) == 1 {
				answer.Attempts++
				running = append(running, c.start(ctx, other, question, answer, events))
			}
			timer.Reset(c.config.Silence)
			continue
		case event = <-events:
		}
		stream := event.answerStream
		if !slices.Contains(running, stream) {
			continue
		}
		final := event.response.GetFinal()
		if len(running) > 1 && (event.err != nil || final != nil && final.Outcome != filbertleverv1.Outcome_OUTCOME_ANSWERED) {
			// The other entry may still complete the answer.
			running = slices.DeleteFunc(running, func(s *answerStream) bool { return s == stream })
			address = running[0].address
			continue
		}
		if event.err != nil || final != nil {
			return final, stream.address, event.err
		}
		timer.Reset(c.config.Silence)
		if start := event.response.GetStart(); start != nil {
			stream.begin = event.response
			continue
		}
		for _, other := range running {
			if other != stream {
				other.cancel()
			}
		}
		running, address = []*answerStream{stream}, stream.address
		for _, response := range []*filbertleverv1.AskResponse{stream.begin, event.response} {
			if err := answer.addEvent(response, onPieces); err != nil {
				return nil, address, err
			}
		}
	}
}

// answerStream is the response of one entry.
type answerStream struct {
	address string
	cancel  context.CancelFunc
	// begin is the Start event, which names the version of the pieces. It counts once the stream goes on.
	begin *filbertleverv1.AskResponse
}

// streamEvent is an event of a response or, if err is set, its end.
type streamEvent struct {
	*answerStream
	response *filbertleverv1.AskResponse
	err      error
}

// start sends the question to an entry.
func (c *Client) start(ctx context.Context, address string, question Question, answer *Answer, events chan<- streamEvent) *answerStream {
	message := &filbertleverv1.AskRequest{
		RequestId: question.RequestID,
		Model:     question.Model,
		Adapter:   question.Adapter,
		Prompt:    question.Prompt,
		MaxTokens: uint32(question.MaxTokens),
		Priority:  filbertleverv1.Priority(question.Priority),
	}
	if deadline, ok := ctx.Deadline(); ok {
		message.Timeout = durationpb.New(time.Until(deadline))
	}
	if len(answer.Pieces) > 0 {
		message.Resume = &filbertleverv1.Resume{VersionDigest: answer.VersionDigest, Delivered: answer.Pieces}
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &answerStream{address: address, cancel: cancel}
	go s.run(ctx, c.service(address), withToken(message, c.config.Token), events)
	return s
}

// run sends the events of the response and its end.
func (s *answerStream) run(ctx context.Context, service filbertleverv1connect.CallerServiceClient, request *connect.Request[filbertleverv1.AskRequest], events chan<- streamEvent) {
	send := func(event streamEvent) {
		select {
		case events <- event:
		case <-ctx.Done():
		}
	}
	responses, err := service.Ask(ctx, request)
	if err != nil {
		send(streamEvent{answerStream: s, err: err})
		return
	}
	defer responses.Close()
	for responses.Receive() {
		send(streamEvent{answerStream: s, response: responses.Msg()})
	}
	send(streamEvent{answerStream: s, err: cmp.Or(responses.Err(), errStreamClosed)})
}

var errStreamClosed = errors.New("entry closed the stream before the final event")

// addEvent appends the new tokens of an event to the answer.
func (a *Answer) addEvent(event *filbertleverv1.AskResponse, onPieces func([]string) error) error {
	if start := event.GetStart(); start != nil {
		if len(a.Pieces) > 0 && start.VersionDigest != a.VersionDigest {
			return errors.New("entry resumed the answer with another model version")
		}
		a.ModelVersion = start.ModelVersion
		a.VersionDigest = start.VersionDigest
	}
	tokens := event.GetTokens()
	if tokens == nil {
		return nil
	}
	if int(tokens.Offset) > len(a.Pieces) {
		return fmt.Errorf("entry skipped tokens %d to %d", len(a.Pieces), tokens.Offset)
	}
	delivered := min(len(a.Pieces)-int(tokens.Offset), len(tokens.Pieces))
	newPieces := tokens.Pieces[delivered:]
	a.Pieces = append(a.Pieces, newPieces...)
	if onPieces != nil && len(newPieces) > 0 {
		if err := onPieces(newPieces); err != nil {
			return fmt.Errorf("%w: %w", errCallback, err)
		}
	}
	return nil
}
