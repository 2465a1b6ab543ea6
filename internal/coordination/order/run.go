package order

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// ActionKind is the kind of an action that the caller of a Run carries out.
type ActionKind int

// The actions.
const (
	// ActionRead reads the order's row.
	ActionRead ActionKind = iota + 1
	// ActionWrite commits Action.Row if the row is at Action.Revision.
	ActionWrite
	// ActionDispatch sends the order to the agent named in Action.Row, once.
	ActionDispatch
	// ActionResolve asks the agent named in Action.Row for the state of the order.
	ActionResolve
	// ActionFinish returns Action.Result to the caller of the order.
	ActionFinish
)

// Action is the next step of a Run.
type Action struct {
	Kind ActionKind
	// Wait is the delay before the action.
	Wait     time.Duration
	Row      Row
	Revision uint64
	Result   Result
}

// Result is the result that the caller of the order receives.
type Result struct {
	Outcome filbertlever.Outcome
	Reason  string
	Answer  []byte
	// RetryAfter is the delay before a retry after OutcomeNotRun.
	RetryAfter time.Duration
	// PendingRow is set if the platform does not hold this result yet. It is to
	// be written later, if the row is still at Revision.
	PendingRow *Row
	Revision   uint64
}

// Target is the agent process in which an order may start.
type Target struct {
	Agent       filbertlever.HostID
	Incarnation filbertlever.Incarnation
}

// GateAnswer is the state of an order at an agent's gate.
type GateAnswer int

// The answers of a gate.
const (
	// GateStart means that the receiver must now start the order. After it, no
	// other request gets GateStart unless the start is revoked.
	GateStart GateAnswer = iota + 1
	// GateDone means that the order ran and the reply holds its answer.
	GateDone
	// GateFenced means that the order did not start under this fence and cannot
	// start under it any more.
	GateFenced
	// GateRunning means that the order started and has not ended.
	GateRunning
	// GateUnknown means that the order started and its outcome is unknown.
	GateUnknown
	// GateOtherIncarnation means that the agent runs as another incarnation.
	GateOtherIncarnation
)

// GateReply is the reply to a dispatch or a resolve request.
type GateReply struct {
	Gate       GateAnswer
	Answer     []byte
	Reason     string
	RetryAfter time.Duration
}

// Limits and delays of a run.
const (
	maxPlatformAttempts = 3
	baseBackoff         = 50 * time.Millisecond
	maxBackoff          = time.Second
	maxClaims           = 3
	defaultRetryAfter   = time.Second
)

// Reasons that are returned to callers.
const (
	ReasonBodyMismatch        = "key was used with another body"
	ReasonPlatformUnavailable = "platform unavailable"
	ReasonNoAgent             = "no backend server for the service"
	ReasonPending             = "order may still be running; look it up later"
	ReasonHostFailed          = "host died after the order may have started"
	ReasonMayHaveRun          = "an earlier request with this key may have run"
	ReasonDeadlinePassed      = "deadline passed before the order could start"
	ReasonServiceFailed       = "service failed after the order may have started"
	reasonRefused             = "refused by the backend servers"
)

// Run is the state machine that processes one request for an order. Several
// runs of the same order may be in flight at different entries. A Run has one
// caller, which calls Start and then, after each action, the method that
// reports the action's outcome.
type Run struct {
	claimID  string
	body     filbertlever.Digest
	target   Target
	deadline time.Time
	// repeated is true if an earlier request may have submitted the same order.
	repeated bool
	// row and revision are the row as last read or written.
	row      Row
	revision uint64
	// pendingRow is the row of the write in flight.
	pendingRow Row
	// dispatched is true once this run has sent the order. It sends it only once.
	dispatched bool
	// ownClaim is true if the row last read is this run's own claim.
	ownClaim         bool
	claims           int
	platformFailures int
	resolveAttempts  int
	// refusal is the last refusal to start the order, by a gate or because the
	// deadline had passed.
	refusal GateReply
}

// Request is one request for an order.
type Request struct {
	// ClaimID identifies the claims of this run. It is unique to the run.
	ClaimID string
	Body    filbertlever.Digest
	Target  Target
	// Deadline is the time after which the run neither dispatches nor retries.
	Deadline time.Time
	// Repeated is true if the caller may have submitted the same order before.
	Repeated bool
}

// NewRun returns the run of a request.
func NewRun(request Request) *Run {
	return &Run{
		claimID:  request.ClaimID,
		body:     request.Body,
		target:   request.Target,
		deadline: request.Deadline,
		repeated: request.Repeated,
	}
}

// Refuse returns the result of a request that is refused before its row was read.
//
// An earlier request with the same key may be running at another entry. After
// OutcomeNotRun the caller would submit the order again under a new key, so a
// repeated request gets OutcomeUnknown.
func Refuse(repeated bool, reason string, retryAfter time.Duration) Result {
	if repeated {
		return Result{Outcome: filbertlever.OutcomeUnknown, Reason: reason + "; " + ReasonMayHaveRun, RetryAfter: retryAfter}
	}
	return Result{Outcome: filbertlever.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Start returns the first action. It claims the order as if it had no row yet.
func (r *Run) Start(now time.Time) Action {
	if r.target.Agent == "" {
		return finish(Refuse(r.repeated, ReasonNoAgent, defaultRetryAfter))
	}
	return r.claim(0, 1)
}

// Wrote reports the outcome of ActionWrite. If applied is false, row and
// revision are the row that the write conflicted with. After an error the write
// may have taken effect or may still do so.
func (r *Run) Wrote(applied bool, row Row, revision uint64, err error, now time.Time) Action {
	if err != nil {
		return r.handlePlatformError(now)
	}
	r.platformFailures = 0
	if !applied {
		return r.handleRow(row, revision, now)
	}
	r.row, r.revision = r.pendingRow, revision
	switch r.pendingRow.State {
	case StateClaimed:
		return r.dispatch(now)
	case StateReleased:
		return r.handleReleased(now)
	default:
		return r.finishEnded(nil)
	}
}

// Read reports the outcome of ActionRead. A revision of 0 means that there is no row.
func (r *Run) Read(row Row, revision uint64, err error, now time.Time) Action {
	if err != nil {
		return r.handlePlatformError(now)
	}
	r.platformFailures = 0
	if revision == 0 {
		return r.handleMissingRow()
	}
	return r.handleRow(row, revision, now)
}

// Dispatched reports the outcome of ActionDispatch. After an error the order
// may have started.
func (r *Run) Dispatched(reply GateReply, err error, now time.Time) Action {
	if err != nil {
		return r.resolve(now)
	}
	switch reply.Gate {
	case GateFenced, GateOtherIncarnation:
		// This was the only dispatch under the claim and it was refused, so the
		// claim can be released whichever incarnation refused it.
		r.refusal = reply
		return r.write(r.rowWith(StateReleased, nil), r.revision)
	default:
		return r.handleReply(reply, now)
	}
}

// Resolved reports the outcome of ActionResolve.
func (r *Run) Resolved(reply GateReply, err error, now time.Time) Action {
	if err != nil {
		return r.resolve(now)
	}
	switch reply.Gate {
	case GateFenced:
		r.refusal = reply
		return r.write(r.rowWith(StateReleased, nil), r.revision)
	case GateOtherIncarnation:
		// The incarnation in the claim no longer runs. Only its gate held whether
		// the order started.
		return r.write(r.rowWith(StateUnknown, nil), r.revision)
	default:
		return r.handleReply(reply, now)
	}
}

func (r *Run) handleReply(reply GateReply, now time.Time) Action {
	switch reply.Gate {
	case GateDone:
		return r.write(r.rowWith(StateDone, reply.Answer), r.revision)
	case GateUnknown:
		return r.write(r.rowWith(StateUnknown, nil), r.revision)
	default:
		return r.resolve(now)
	}
}

// handleRow continues from a row that this or another run wrote.
func (r *Run) handleRow(row Row, revision uint64, now time.Time) Action {
	r.row, r.revision = row, revision
	r.ownClaim = row.ClaimID == r.claimID
	if !row.sameBody(r.body) {
		return r.notRun(ReasonBodyMismatch, 0)
	}
	switch row.State {
	case StateDone, StateUnknown:
		if r.pendingRow.State == StateDone {
			// This run has the answer although another run recorded the outcome
			// as unknown.
			r.row = r.pendingRow
		}
		return r.finishEnded(nil)
	case StateReleased:
		return r.handleReleased(now)
	}
	// The row may be this run's claim whose acknowledgement was lost. The order
	// may be dispatched only if this run has not dispatched it yet.
	if r.ownClaim && !r.dispatched {
		return r.dispatch(now)
	}
	return r.resolve(now)
}

// handleMissingRow writes the claim again if the row does not exist. The earlier
// write may still be in flight, but the condition on the revision lets only one
// of the two take effect.
func (r *Run) handleMissingRow() Action {
	return r.claim(0, 1)
}

// handleReleased continues from a row in StateReleased: the order has not started.
func (r *Run) handleReleased(now time.Time) Action {
	refused := r.dispatched && r.row.ClaimID == r.claimID
	if refused || r.claims >= maxClaims || !now.Before(r.deadline) {
		reason := r.refusal.Reason
		if reason == "" {
			reason = reasonRefused
		}
		return r.notRun(reason, max(r.refusal.RetryAfter, defaultRetryAfter))
	}
	return r.claim(r.revision, r.row.Fence+1)
}

func (r *Run) claim(revision, fence uint64) Action {
	r.claims++
	return r.write(Row{
		State:       StateClaimed,
		Body:        r.body,
		ClaimID:     r.claimID,
		Agent:       r.target.Agent,
		Incarnation: r.target.Incarnation,
		Fence:       fence,
	}, revision)
}

func (r *Run) write(row Row, revision uint64) Action {
	r.pendingRow = row
	return Action{Kind: ActionWrite, Row: row, Revision: revision}
}

// dispatch sends the order under this run's claim.
//
// A claimant that was paused between claim and dispatch would start an order
// whose caller no longer waits. After the deadline it releases the claim instead.
func (r *Run) dispatch(now time.Time) Action {
	r.ownClaim = true
	r.dispatched = true
	if !now.Before(r.deadline) {
		r.refusal = GateReply{Reason: ReasonDeadlinePassed}
		return r.write(r.rowWith(StateReleased, nil), r.revision)
	}
	return Action{Kind: ActionDispatch, Row: r.row}
}

// resolve asks the gate for the state of the order, with backoff, until the deadline.
func (r *Run) resolve(now time.Time) Action {
	if !now.Before(r.deadline) {
		return finish(Result{Outcome: filbertlever.OutcomeUnknown, Reason: ReasonPending})
	}
	wait := time.Duration(0)
	if r.resolveAttempts > 0 {
		wait = min(baseBackoff<<min(r.resolveAttempts-1, 8), maxBackoff)
	}
	r.resolveAttempts++
	return Action{Kind: ActionResolve, Wait: wait, Row: r.row}
}

// handlePlatformError continues after a failed write or read.
func (r *Run) handlePlatformError(now time.Time) Action {
	r.platformFailures++
	if r.platformFailures < maxPlatformAttempts && now.Before(r.deadline) {
		return Action{Kind: ActionRead, Wait: baseBackoff << r.platformFailures}
	}
	switch r.pendingRow.State {
	case StateDone, StateUnknown:
		// The outcome is known although it is not recorded in the platform.
		return r.finishEnded(&r.pendingRow)
	}
	if r.dispatched || !r.notStarted() {
		return r.finishUnrecorded()
	}
	return finish(Refuse(r.repeated && r.revision == 0, ReasonPlatformUnavailable, defaultRetryAfter))
}

// notStarted reports whether the order has not started according to the row
// last read, if there is one.
func (r *Run) notStarted() bool {
	return r.revision == 0 || r.row.State == StateReleased
}

// finishUnrecorded ends a run whose last row could not be written. If the gate
// refused the dispatch, nothing ran under this claim. The run cannot read
// whether another entry has claimed the order since.
func (r *Run) finishUnrecorded() Action {
	if r.pendingRow.State == StateReleased && r.ownClaim {
		return finish(Result{
			Outcome:    filbertlever.OutcomeNotRun,
			Reason:     r.refusal.Reason,
			RetryAfter: max(r.refusal.RetryAfter, defaultRetryAfter),
			PendingRow: &r.pendingRow,
			Revision:   r.revision,
		})
	}
	return finish(Result{Outcome: filbertlever.OutcomeUnknown, Reason: ReasonPending})
}

// finishEnded ends a run whose order has ended. pendingRow is the row that is
// still to be written, or nil.
func (r *Run) finishEnded(pendingRow *Row) Action {
	row := r.row
	if pendingRow != nil {
		row = *pendingRow
	}
	result := Result{Outcome: filbertlever.OutcomeUnknown, Reason: ReasonHostFailed, PendingRow: pendingRow, Revision: r.revision}
	if row.State == StateDone {
		result.Outcome = filbertlever.OutcomeAnswered
		result.Reason = ""
		result.Answer = row.Answer
	}
	return finish(result)
}

func (r *Run) notRun(reason string, retryAfter time.Duration) Action {
	return finish(Result{Outcome: filbertlever.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter})
}

func (r *Run) rowWith(state State, answer []byte) Row {
	row := r.row
	row.State = state
	row.Answer = answer
	return row
}

func finish(result Result) Action {
	return Action{Kind: ActionFinish, Result: result}
}
