// Package rollout accepts a bundle by one compare-and-swap of the head row and
// determines how the accepted head is distributed to all processes.
package rollout

import (
	"fmt"
	"time"

	"github.com/filbertlever/filbertlever/internal/state"
)

// Outcome is the outcome of a roll.
type Outcome int

// The outcomes.
const (
	// OutcomeAccepted means that the candidate is or was the head.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeConflict means that another bundle was accepted instead. The
	// candidate was never active in any process and cannot become active.
	OutcomeConflict
	// OutcomeNotAccepted means that no swap was sent, so nothing changed.
	OutcomeNotAccepted
	// OutcomeUnknown means that a swap was sent and its effect could not be read
	// back. Running the same roll again determines the outcome.
	OutcomeUnknown
)

// ActionKind is the kind of an action that the caller of a Roll carries out.
type ActionKind int

// The actions.
const (
	// ActionRead reads the head row and the history row of the candidate's version.
	ActionRead ActionKind = iota + 1
	// ActionPut creates the signed object. It succeeds if the object exists already.
	ActionPut
	// ActionSwap commits the head and history rows if the head row is at
	// Action.Revision.
	ActionSwap
	// ActionFinish ends the roll with Action.Result.
	ActionFinish
)

// Action is the next step of a Roll.
type Action struct {
	Kind ActionKind
	// Wait is the delay before the action.
	Wait time.Duration
	// Revision is the revision that the head row must have for a swap.
	Revision uint64
	Result   Result
}

// Result is the result of a roll.
type Result struct {
	Outcome Outcome
	// Head is the head after an accepted roll or a conflict.
	Head state.Head
	// Err is the last error of the platform.
	Err error
}

// HeadRead is the result of a read of the platform's rows.
type HeadRead struct {
	Head     state.Head
	Revision uint64
	// Recorded is the head accepted at the candidate's version, if any.
	Recorded state.Head
}

// Retry limit and backoff for failures of the platform.
const (
	maxRollAttempts = 6
	baseBackoff     = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// Roll is the state machine that tries to get one candidate accepted. It has
// one caller, which calls Start and then, after each action, the method that
// reports the action's outcome.
type Roll struct {
	candidate state.Head
	revision  uint64
	failures  int
	// swapSent is true once a swap may have taken effect.
	swapSent bool
	// objectPut is true once the signed object is stored. No swap is sent before,
	// so that a head never refers to an object that does not exist.
	objectPut bool
}

// New returns the roll of candidate, whose Parent must be set.
func New(candidate state.Head) *Roll {
	return &Roll{candidate: candidate}
}

// Start returns the first action.
func (r *Roll) Start() Action {
	return Action{Kind: ActionRead}
}

// Read reports the outcome of ActionRead.
func (r *Roll) Read(read HeadRead, err error) Action {
	if err != nil {
		return r.retryOrFinish(Action{Kind: ActionRead}, err)
	}
	if read.Recorded.Digest == r.candidate.Digest && read.Recorded.Version == r.candidate.Version {
		return finish(Result{Outcome: OutcomeAccepted, Head: read.Head})
	}
	// The head may be newer than the candidate. The history row is written in the
	// same commit as the head and does not hold the candidate, so another bundle
	// was accepted.
	if read.Head.Digest != r.candidate.Parent || read.Head.Version+1 != r.candidate.Version {
		return finish(Result{Outcome: OutcomeConflict, Head: read.Head})
	}
	r.revision = read.Revision
	if !r.objectPut {
		return Action{Kind: ActionPut}
	}
	return r.swap()
}

// Put reports the outcome of ActionPut.
func (r *Roll) Put(err error) Action {
	if err != nil {
		return r.retryOrFinish(Action{Kind: ActionPut}, err)
	}
	r.objectPut = true
	return r.swap()
}

// Swapped reports the outcome of ActionSwap. After an error the swap may have
// taken effect or may still do so.
func (r *Roll) Swapped(applied bool, err error) Action {
	if err != nil {
		return r.retryOrFinish(Action{Kind: ActionRead}, err)
	}
	if applied {
		return finish(Result{Outcome: OutcomeAccepted, Head: r.candidate})
	}
	// The conflict may be with an earlier swap of this roll whose acknowledgement
	// was lost. Read the rows to find out.
	return Action{Kind: ActionRead}
}

func (r *Roll) swap() Action {
	r.swapSent = true
	return Action{Kind: ActionSwap, Revision: r.revision}
}

func (r *Roll) retryOrFinish(retry Action, err error) Action {
	r.failures++
	if r.failures < maxRollAttempts {
		retry.Wait = min(baseBackoff<<(r.failures-1), maxBackoff)
		return retry
	}
	err = fmt.Errorf("roll bundle %d: %d attempts failed: %w", r.candidate.Version, r.failures, err)
	if r.swapSent {
		return finish(Result{Outcome: OutcomeUnknown, Err: err})
	}
	return finish(Result{Outcome: OutcomeNotAccepted, Err: err})
}

func finish(result Result) Action {
	return Action{Kind: ActionFinish, Result: result}
}
