package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
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
		final, err := c.attempt(ctx, address, question, answer, onPieces)
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
// already delivered.
func (c *Client) attempt(ctx context.Context, address string, question Question, answer *Answer, onPieces func([]string) error) (*filbertleverv1.Final, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(c.config.Silence, func() { cancel(errors.New("entry sent nothing within the idle timeout")) })
	defer idleTimer.Stop()
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
	events, err := c.service(address).Ask(ctx, withToken(message, c.config.Token))
	if err != nil {
		return nil, err
	}
	defer events.Close()
	for events.Receive() {
		idleTimer.Reset(c.config.Silence)
		event := events.Msg()
		if final := event.GetFinal(); final != nil {
			return final, nil
		}
		if err := answer.addEvent(event, onPieces); err != nil {
			return nil, err
		}
	}
	if err := events.Err(); err != nil {
		return nil, err
	}
	return nil, errors.New("entry closed the stream before the final event")
}

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
