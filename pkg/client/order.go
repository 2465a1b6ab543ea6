package client

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
)

// Order is a call of a plain service.
type Order struct {
	// Key is the idempotency key. An order with the same key never runs twice.
	// Lookup needs the key.
	Key     string
	Service string
	Call    string
	Body    []byte
}

// Order runs an order and returns its answer. The error is ErrNotRun only if no
// attempt with this key ran, and ErrUnknown if one may have run.
func (c *Client) Order(ctx context.Context, order Order) ([]byte, error) {
	// After a connection broke once the order was sent, a later refusal does not
	// tell whether the earlier attempt ran.
	repeated := false
	var lastErr error
	for {
		if ctx.Err() != nil {
			return nil, markUnknown(repeated, errors.Join(ctx.Err(), lastErr))
		}
		address, err := c.address(ctx)
		if err != nil {
			return nil, markUnknown(repeated, errors.Join(err, lastErr))
		}
		response, err := c.sendOrder(ctx, address, order, repeated)
		if err != nil {
			if isPermanent(err) {
				return nil, markUnknown(repeated, err)
			}
			repeated = true
			lastErr = c.markFailed(address, err)
			_ = sleep(ctx, retryDelay)
			continue
		}
		switch response.Outcome {
		case filbertleverv1.Outcome_OUTCOME_ANSWERED:
			return response.Answer, nil
		case filbertleverv1.Outcome_OUTCOME_UNKNOWN:
			return nil, fmt.Errorf("%w: %s", ErrUnknown, response.Reason)
		}
		done, err := c.handleFinal(ctx, address, &filbertleverv1.Final{
			Outcome: response.Outcome, Reason: response.Reason, RetryAfter: response.RetryAfter, Elsewhere: response.Elsewhere,
		})
		if done {
			return nil, err
		}
		lastErr = err
	}
}

// markUnknown wraps err in ErrUnknown if an earlier attempt may have run.
func markUnknown(repeated bool, err error) error {
	if repeated {
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return err
}

func (c *Client) sendOrder(ctx context.Context, address string, order Order, repeated bool) (*filbertleverv1.OrderResponse, error) {
	message := &filbertleverv1.OrderRequest{
		IdempotencyKey: order.Key,
		Service:        order.Service,
		Call:           order.Call,
		Body:           order.Body,
		Repeated:       repeated,
	}
	if deadline, ok := ctx.Deadline(); ok {
		message.Timeout = durationpb.New(time.Until(deadline))
	}
	response, err := c.service(address).Order(ctx, withToken(message, c.config.Token))
	if refusal := refusalOf(err); refusal != nil {
		return &filbertleverv1.OrderResponse{
			Outcome: filbertleverv1.Outcome_OUTCOME_NOT_RUN, Reason: refusal.Reason, RetryAfter: durationpb.New(refusal.RetryAfter),
		}, nil
	}
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// refusalOf returns the refusal of an entry that did not read the message for lack of memory; nil if an
// error is none.
func refusalOf(err error) *Refusal {
	var refused *connect.Error
	if !errors.As(err, &refused) || refused.Code() != connect.CodeResourceExhausted {
		return nil
	}
	seconds, err := strconv.ParseFloat(refused.Meta().Get("Retry-After"), 64)
	if err != nil {
		return nil
	}
	return &Refusal{Reason: refused.Message(), RetryAfter: time.Duration(seconds * float64(time.Second))}
}

// Lookup returns the answer of an order sent earlier, without running it. The
// error is ErrNotRun if the order did not run, and ErrUnknown if it may have run.
func (c *Client) Lookup(ctx context.Context, key string) ([]byte, error) {
	address, err := c.address(ctx)
	if err != nil {
		return nil, err
	}
	response, err := c.service(address).LookupOrder(ctx, withToken(&filbertleverv1.LookupOrderRequest{IdempotencyKey: key}, c.config.Token))
	if err != nil {
		return nil, c.markFailed(address, err)
	}
	switch response.Msg.Outcome {
	case filbertleverv1.Outcome_OUTCOME_ANSWERED:
		return response.Msg.Answer, nil
	case filbertleverv1.Outcome_OUTCOME_NOT_RUN:
		return nil, ErrNotRun
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknown, response.Msg.Reason)
}
