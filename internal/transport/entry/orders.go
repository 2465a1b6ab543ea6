package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/knowledge"
	"github.com/filbertlever/filbertlever/internal/coordination/order"
	peerv1 "github.com/filbertlever/filbertlever/internal/protocol/peer/v1"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	filbertleverv1 "github.com/filbertlever/filbertlever/pkg/api/filbertlever/v1"
)

var outcomeMessages = map[filbertlever.Outcome]filbertleverv1.Outcome{
	filbertlever.OutcomeAnswered: filbertleverv1.Outcome_OUTCOME_ANSWERED,
	filbertlever.OutcomeNotRun:   filbertleverv1.Outcome_OUTCOME_NOT_RUN,
	filbertlever.OutcomeUnknown:  filbertleverv1.Outcome_OUTCOME_UNKNOWN,
}

// Order runs a call of a plain service. It runs the call at most once for each
// organisation and key, unless the bundle marks the call as repeatable.
func (e *Entry) Order(ctx context.Context, request *connect.Request[filbertleverv1.OrderRequest]) (*connect.Response[filbertleverv1.OrderResponse], error) {
	message := request.Msg
	admitted, final, err := e.admit(request.Header())
	if err != nil {
		return nil, err
	}
	if final != nil {
		refused := order.Refuse(message.Repeated, final.Reason, final.RetryAfter.AsDuration())
		response := toOrderResponse(refused)
		response.Elsewhere = final.Elsewhere
		return connect.NewResponse(response), nil
	}
	defer admitted.release()
	service, call, ok := admitted.bundle.Call(message.Service, message.Call)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("call %q of service %q is not in the bundle in force", message.Call, message.Service))
	}
	p := &orderRequest{entry: e, message: message, organisation: admitted.organisation.Name, pool: service.Pool, deadline: e.deadline(message.Timeout)}
	var result order.Result
	if call.Repeatable {
		result = p.runRepeatable(ctx)
	} else {
		if message.IdempotencyKey == "" || len(message.IdempotencyKey) > maxIDBytes {
			return nil, badRequest(fmt.Sprintf("IdempotencyKey: expected 1 to %d bytes", maxIDBytes))
		}
		result = p.runOnce(ctx)
	}
	e.logOutcome("Order", "", p.organisation, result.Outcome.String(), result.Reason)
	return connect.NewResponse(toOrderResponse(result)), nil
}

// LookupOrder returns the recorded state of an order without running it.
func (e *Entry) LookupOrder(ctx context.Context, request *connect.Request[filbertleverv1.LookupOrderRequest]) (*connect.Response[filbertleverv1.OrderResponse], error) {
	admitted, final, err := e.admit(request.Header())
	if err != nil {
		return nil, err
	}
	if final != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New(final.Reason))
	}
	defer admitted.release()
	rows, err := e.platform.Get(ctx, platform.KeyOrder(admitted.organisation.Name, request.Msg.IdempotencyKey))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if rows[0].Revision == 0 {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no order with this key"))
	}
	var row order.Row
	if err := rows[0].Decode(&row); err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(lookupResponse(row)), nil
}

// lookupResponse returns the response for the stored row of an order.
func lookupResponse(row order.Row) *filbertleverv1.OrderResponse {
	switch row.State {
	case order.StateDone:
		return &filbertleverv1.OrderResponse{Outcome: filbertleverv1.Outcome_OUTCOME_ANSWERED, Answer: row.Answer}
	case order.StateUnknown:
		return &filbertleverv1.OrderResponse{Outcome: filbertleverv1.Outcome_OUTCOME_UNKNOWN, Reason: order.ReasonHostFailed}
	case order.StateReleased:
		return &filbertleverv1.OrderResponse{Outcome: filbertleverv1.Outcome_OUTCOME_NOT_RUN}
	default:
		return &filbertleverv1.OrderResponse{Pending: true, Reason: order.ReasonPending}
	}
}

func toOrderResponse(result order.Result) *filbertleverv1.OrderResponse {
	return &filbertleverv1.OrderResponse{
		Outcome:    outcomeMessages[result.Outcome],
		Reason:     result.Reason,
		Answer:     result.Answer,
		RetryAfter: durationpb.New(result.RetryAfter),
	}
}

// orderRequest is one request for an order at this entry. The same order may be
// requested several times.
type orderRequest struct {
	entry        *Entry
	message      *filbertleverv1.OrderRequest
	organisation filbertlever.OrganisationID
	pool         string
	deadline     time.Time
}

// chooseTarget selects a usable agent of the service's pool. The choice depends on
// the clock, so that orders spread over the agents.
func (p *orderRequest) chooseTarget() order.Target {
	var targets []order.Target
	p.entry.node.Read(func(base *knowledge.Base) {
		for _, host := range base.UsableHosts(filbertlever.RoleAgent, time.Now()) {
			incarnation := base.Members.Incarnation(host.ID)
			if host.Pool == p.pool && incarnation != "" {
				targets = append(targets, order.Target{Agent: host.ID, Incarnation: incarnation})
			}
		}
	})
	if len(targets) == 0 {
		return order.Target{}
	}
	return targets[time.Now().UnixNano()%int64(len(targets))]
}

// runOnce runs the state machine of the order and performs its actions. It
// continues after the caller has disconnected, until the order has ended.
func (p *orderRequest) runOnce(ctx context.Context) order.Result {
	e := p.entry
	if ok, retryAfter := e.orders.take(); !ok {
		return order.Refuse(p.message.Repeated, "orders exceed the platform's writes", retryAfter)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(p.deadline)+2*time.Second)
	defer cancel()
	run := order.NewRun(order.Request{
		ClaimID:  newClaimID(e.config.Host.ID),
		Body:     order.BodyDigest(p.message.Service, p.message.Call, p.message.Body),
		Target:   p.chooseTarget(),
		Deadline: p.deadline,
		Repeated: p.message.Repeated,
	})
	key := platform.KeyOrder(p.organisation, p.message.IdempotencyKey)
	action := run.Start(time.Now())
	for action.Kind != order.ActionFinish {
		p.logDispatch(action)
		time.Sleep(action.Wait)
		action = p.perform(ctx, run, key, action)
	}
	p.enqueueRecord(key, action.Result)
	return action.Result
}

// logDispatch logs an action that dispatches the order to an agent.
func (p *orderRequest) logDispatch(action order.Action) {
	if action.Kind == order.ActionDispatch {
		p.entry.log.Info("order placed", zap.String("Organisation", string(p.organisation)), zap.String("Call", p.message.Call),
			zap.String("Choice", string(action.Row.Agent)), zap.Uint64("Fence", action.Row.Fence))
	}
}

// perform performs an action of the state machine and returns the next one.
func (p *orderRequest) perform(ctx context.Context, run *order.Run, key string, action order.Action) order.Action {
	switch action.Kind {
	case order.ActionRead:
		rows, err := p.entry.platform.Get(ctx, key)
		if err != nil {
			return run.Read(order.Row{}, 0, err, time.Now())
		}
		var row order.Row
		err = rows[0].Decode(&row)
		return run.Read(row, rows[0].Revision, err, time.Now())
	case order.ActionWrite:
		return p.write(ctx, run, key, action)
	case order.ActionDispatch:
		reply, err := p.dispatch(ctx, action.Row)
		return run.Dispatched(reply, err, time.Now())
	default:
		reply, err := p.resolve(ctx, action.Row)
		return run.Resolved(reply, err, time.Now())
	}
}

// write stores the row if it has not changed, and notifies the gate of a result.
func (p *orderRequest) write(ctx context.Context, run *order.Run, key string, action order.Action) order.Action {
	applied, revisions, conflicts, err := p.entry.platform.Commit(ctx, platform.Write{Key: key, Value: action.Row, ExpectedRevision: action.Revision})
	if err != nil {
		return run.Wrote(false, order.Row{}, 0, err, time.Now())
	}
	if applied {
		p.notifyRecorded(action.Row)
		return run.Wrote(true, order.Row{}, revisions[0], nil, time.Now())
	}
	var row order.Row
	err = conflicts[0].Decode(&row)
	return run.Wrote(false, row, conflicts[0].Revision, err, time.Now())
}

// dispatch requests the agent that the row names to run the order.
func (p *orderRequest) dispatch(ctx context.Context, row order.Row) (order.GateReply, error) {
	client, ok := p.entry.agentClient(row.Agent)
	if !ok {
		return order.GateReply{}, fmt.Errorf("dispatch to %s: address unknown", row.Agent)
	}
	response, err := client.RunOrder(ctx, connect.NewRequest(&peerv1.RunOrderRequest{
		Organisation:   string(p.organisation),
		IdempotencyKey: p.message.IdempotencyKey,
		Service:        p.message.Service,
		Call:           p.message.Call,
		Body:           p.message.Body,
		Incarnation:    string(row.Incarnation),
		Fence:          row.Fence,
		Timeout:        durationpb.New(time.Until(p.deadline)),
		Once:           true,
	}))
	return p.gateReply(row.Agent, response, err)
}

// resolve requests the state of the order from the agent that the row names, and
// forbids an order that has not started.
func (p *orderRequest) resolve(ctx context.Context, row order.Row) (order.GateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	client, ok := p.entry.agentClient(row.Agent)
	if !ok {
		return order.GateReply{}, fmt.Errorf("settle at %s: address unknown", row.Agent)
	}
	response, err := client.SettleOrder(ctx, connect.NewRequest(&peerv1.SettleOrderRequest{
		Organisation:   string(p.organisation),
		IdempotencyKey: p.message.IdempotencyKey,
		Incarnation:    string(row.Incarnation),
		Fence:          row.Fence,
	}))
	return p.gateReply(row.Agent, response, err)
}

const resolveTimeout = 2 * time.Second

var gateAnswersByMessage = map[peerv1.GateAnswer]order.GateAnswer{
	peerv1.GateAnswer_GATE_ANSWER_DONE:              order.GateDone,
	peerv1.GateAnswer_GATE_ANSWER_NEVER:             order.GateFenced,
	peerv1.GateAnswer_GATE_ANSWER_RUNNING:           order.GateRunning,
	peerv1.GateAnswer_GATE_ANSWER_UNKNOWN:           order.GateUnknown,
	peerv1.GateAnswer_GATE_ANSWER_OTHER_INCARNATION: order.GateOtherIncarnation,
}

// gateReply converts an agent's response, and reports a failed call to the node.
func (p *orderRequest) gateReply(agent filbertlever.HostID, response *connect.Response[peerv1.RunOrderResponse], err error) (order.GateReply, error) {
	if err != nil {
		p.entry.node.RecordFailure(agent)
		return order.GateReply{}, fmt.Errorf("order at %s: %w", agent, err)
	}
	gate, ok := gateAnswersByMessage[response.Msg.Gate]
	if !ok {
		return order.GateReply{}, fmt.Errorf("order at %s: gate answered %s", agent, response.Msg.Gate)
	}
	return order.GateReply{
		Gate:       gate,
		Answer:     response.Msg.Answer,
		Reason:     response.Msg.Reason,
		RetryAfter: response.Msg.RetryAfter.AsDuration(),
	}, nil
}

// runRepeatable runs a call that is safe to repeat, with up to
// maxRepeatableAttempts attempts.
func (p *orderRequest) runRepeatable(ctx context.Context) order.Result {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()
	result := order.Result{Outcome: filbertlever.OutcomeNotRun, Reason: order.ReasonNoAgent, RetryAfter: time.Second}
	for range maxRepeatableAttempts {
		target := p.chooseTarget()
		if target.Agent == "" {
			break
		}
		client, ok := p.entry.agentClient(target.Agent)
		if !ok {
			continue
		}
		response, err := client.RunOrder(ctx, connect.NewRequest(&peerv1.RunOrderRequest{
			Organisation: string(p.organisation),
			Service:      p.message.Service,
			Call:         p.message.Call,
			Body:         p.message.Body,
			Timeout:      durationpb.New(time.Until(p.deadline)),
		}))
		reply, err := p.gateReply(target.Agent, response, err)
		if err == nil && reply.Gate == order.GateDone {
			return order.Result{Outcome: filbertlever.OutcomeAnswered, Answer: reply.Answer}
		}
		result.Reason = reply.Reason
		if err != nil {
			// The call is safe to repeat, but it may have run, so the outcome
			// "not run" would be wrong.
			result.Outcome = filbertlever.OutcomeUnknown
			result.Reason = err.Error()
		}
	}
	return result
}

const maxRepeatableAttempts = 3

// newClaimID returns a unique identifier for a claim of this host.
func newClaimID(host filbertlever.HostID) string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	return string(host) + "-" + hex.EncodeToString(random[:])
}
