package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/order"
	"github.com/filbertlever/filbertlever/internal/protocol/control"
	peerv1 "github.com/filbertlever/filbertlever/internal/protocol/peer/v1"
	servicev1 "github.com/filbertlever/filbertlever/internal/protocol/service/v1"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
)

// orderTimeout limits a call that runs at most once on a plain service,
// regardless of the caller's own timeout.
const orderTimeout = 30 * time.Second

var gateAnswerMessages = map[order.GateAnswer]peerv1.GateAnswer{
	order.GateDone:             peerv1.GateAnswer_GATE_ANSWER_DONE,
	order.GateFenced:           peerv1.GateAnswer_GATE_ANSWER_NEVER,
	order.GateRunning:          peerv1.GateAnswer_GATE_ANSWER_RUNNING,
	order.GateUnknown:          peerv1.GateAnswer_GATE_ANSWER_UNKNOWN,
	order.GateOtherIncarnation: peerv1.GateAnswer_GATE_ANSWER_OTHER_INCARNATION,
}

// RunOrder runs a call of the plain service, at most once if Once is set.
func (a *Agent) RunOrder(ctx context.Context, request *connect.Request[peerv1.RunOrderRequest]) (*connect.Response[peerv1.RunOrderResponse], error) {
	message := request.Msg
	if a.service == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("no plain service here"))
	}
	if !message.Once {
		return a.runRepeatable(ctx, message)
	}
	key := order.Key{Organisation: filbertlever.OrganisationID(message.Organisation), Key: message.IdempotencyKey}
	reply := a.startAtGate(key, message)
	if reply.Gate == order.GateStart {
		reply = a.runOnce(ctx, key, message)
	}
	a.log.Info("order gate replied", zap.String("Organisation", message.Organisation), zap.String("Call", message.Call),
		zap.Uint64("Fence", message.Fence), zap.Stringer("Gate", gateAnswerMessages[reply.Gate]), zap.String("Reason", reply.Reason))
	return connect.NewResponse(toRunOrderResponse(reply)), nil
}

// startAtGate asks the gate whether to run the order. An agent that is stopping
// starts no orders.
func (a *Agent) startAtGate(key order.Key, message *peerv1.RunOrderRequest) order.GateReply {
	var reply order.GateReply
	incarnation := filbertlever.Incarnation(message.Incarnation)
	accepts := a.node.Accepts()
	a.gates.withGate(key, func(gate *order.Gate) {
		if accepts {
			reply = gate.Begin(key, incarnation, message.Fence)
			return
		}
		reply = gate.Resolve(key, incarnation, message.Fence)
		if reply.Gate == order.GateFenced {
			reply.Reason = reasonStopping
		}
	})
	return reply
}

// runOnce calls the service and records the result at the gate. The call
// continues if the requesting entry disconnects, because another entry may
// request the result later.
func (a *Agent) runOnce(ctx context.Context, key order.Key, message *peerv1.RunOrderRequest) order.GateReply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	answer, err := a.callService(ctx, message)
	var reply order.GateReply
	a.gates.withGate(key, func(gate *order.Gate) {
		switch {
		case err == nil:
			gate.Finish(key, answer)
		case errors.Is(err, errNotSent):
			gate.Revoke(key)
		default:
			gate.Fail(key)
		}
		reply = gate.Resolve(key, a.node.Incarnation(), message.Fence)
	})
	if err != nil {
		reply.Reason = err.Error()
		a.log.Warn("call of plain service failed", zap.String("Organisation", message.Organisation), zap.String("Call", message.Call), zap.Error(err))
	}
	return reply
}

// callService sends the order to the service.
//
// net/http repeats a request on its own if the request has an Idempotency-Key
// header and a reused connection breaks. The order's key is therefore sent in
// the message body.
func (a *Agent) callService(ctx context.Context, message *peerv1.RunOrderRequest) ([]byte, error) {
	response, err := a.service.Call(ctx, connect.NewRequest(&servicev1.CallRequest{
		Organisation: message.Organisation,
		Call:         message.Call,
		OrderKey:     message.IdempotencyKey,
		Body:         message.Body,
	}))
	if err == nil {
		return response.Msg.Answer, nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, fmt.Errorf("call service: %w: %w", errNotSent, err)
	}
	return nil, fmt.Errorf("call service: %w", err)
}

// runRepeatable runs a call that is safe to repeat, without the gate.
func (a *Agent) runRepeatable(ctx context.Context, message *peerv1.RunOrderRequest) (*connect.Response[peerv1.RunOrderResponse], error) {
	if !a.node.Accepts() {
		return connect.NewResponse(toRunOrderResponse(order.GateReply{Gate: order.GateFenced, Reason: reasonStopping})), nil
	}
	ctx, cancel := context.WithTimeout(ctx, message.Timeout.AsDuration())
	defer cancel()
	answer, err := a.callService(ctx, message)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(toRunOrderResponse(order.GateReply{Gate: order.GateDone, Answer: answer})), nil
}

// SettleOrder returns the state of an order. An order that has not started can
// no longer start under this fencing number.
func (a *Agent) SettleOrder(_ context.Context, request *connect.Request[peerv1.SettleOrderRequest]) (*connect.Response[peerv1.RunOrderResponse], error) {
	message := request.Msg
	key := order.Key{Organisation: filbertlever.OrganisationID(message.Organisation), Key: message.IdempotencyKey}
	var reply order.GateReply
	a.gates.withGate(key, func(gate *order.Gate) {
		reply = gate.Resolve(key, filbertlever.Incarnation(message.Incarnation), message.Fence)
	})
	return connect.NewResponse(toRunOrderResponse(reply)), nil
}

// handleRecorded handles the notification that the platform has stored the
// result of an order.
func (a *Agent) handleRecorded(_ context.Context, caller peer.Caller, params []byte) (any, error) {
	var message control.Recorded
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, fmt.Errorf("decode recorded of %s: %w", caller.Host, err)
	}
	if message.Incarnation != a.node.Incarnation() {
		return nil, nil
	}
	key := order.Key{Organisation: message.Organisation, Key: message.Key}
	a.gates.withGate(key, func(gate *order.Gate) { gate.MarkRecorded(key, time.Now()) })
	return nil, nil
}

func toRunOrderResponse(reply order.GateReply) *peerv1.RunOrderResponse {
	return &peerv1.RunOrderResponse{
		Gate:       gateAnswerMessages[reply.Gate],
		Answer:     reply.Answer,
		Reason:     reply.Reason,
		RetryAfter: durationpb.New(reply.RetryAfter),
	}
}
