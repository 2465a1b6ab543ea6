// Package forward decides what follows when one attempt to have a request
// answered has ended: another attempt, or which final answer the caller gets.
package forward

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// Budget bounds further attempts.
type Budget interface {
	// Allow takes one attempt out of the budget if there is room for it.
	Allow(attempt retry.Attempt, remaining, now time.Duration) bool
}

// Class is what may be done with a request.
type Class struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Servers is how many servers the request may be sent to.
	Servers int
}

// End is how an attempt ended without a whole answer.
type End int

// The ends.
const (
	// EndUnsent means that no server can have read the request.
	EndUnsent End = iota + 1
	// EndRefused means that the server says that it did not run the request.
	EndRefused
	// EndMoved means that another server, or another version, was met at the
	// address. It says so, and did not run the request.
	EndMoved
	// EndLost means that the server may have run the request.
	EndLost
	// EndFailed means that the server ran the request and failed.
	EndFailed
)

// Step is what to do next.
type Step int

// The steps.
const (
	// StepAgain sends the request to another server.
	StepAgain Step = iota + 1
	// StepNotRun tells the caller, truly, that the request did not run.
	StepNotRun
	// StepUnknown tells the caller that the request may have run.
	StepUnknown
	// StepPass hands the server's failure to the caller.
	StepPass
	// StepTimeout tells the caller that time ran out.
	StepTimeout
)

// maxUnsentAttempts bounds connections tried for one request: after three hosts that
// do not even accept one, the fault is more likely on this side.
const maxUnsentAttempts = 3

// Attempts is the history of one request.
type Attempts struct {
	Class Class
	// unsent and sent count attempts by whether a server can have read them.
	unsent int
	sent   int
	// mayHaveRun is true once a server may have begun to work on the request.
	mayHaveRun bool
}

// Sent returns how many servers the request was sent to.
func (a *Attempts) Sent() int { return a.sent }

// MayHaveRun reports whether a server may have worked on the request.
func (a *Attempts) MayHaveRun() bool { return a.mayHaveRun }

// After decides what follows an attempt that ended so. Remaining is the time
// left of the request, and elsewhere tells whether another server could take it.
//
// Guards: a request that may run once is sent again only if no server can have
// run it, or an order would be doubled. "Not run" is told only while no attempt
// may have run, also of a request that may be repeated.
func (a *Attempts) After(end End, budget Budget, remaining, now time.Duration, elsewhere bool) Step {
	a.record(end)
	if remaining <= 0 {
		if a.mayHaveRun {
			return StepTimeout
		}
		return StepNotRun
	}
	if elsewhere && a.canRetry(end) && a.withinBudget(end, budget, remaining, now) {
		return StepAgain
	}
	switch {
	case end == EndFailed:
		return StepPass
	case a.mayHaveRun:
		return StepUnknown
	}
	return StepNotRun
}

func (a *Attempts) record(end End) {
	switch end {
	case EndUnsent:
		a.unsent++
	case EndLost, EndFailed:
		a.sent++
		a.mayHaveRun = true
	default:
		a.sent++
	}
}

func (a *Attempts) canRetry(end End) bool {
	switch end {
	case EndUnsent:
		return a.unsent < maxUnsentAttempts
	case EndMoved:
		// The server meant was not reached, so it does not count as one.
		return !a.mayHaveRun || a.Class.Repeatable
	}
	return a.sent < a.Class.Servers && (!a.mayHaveRun || a.Class.Repeatable)
}

// retryEnds maps an end to what the budget of retries tells apart.
var retryEnds = map[End]retry.End{
	EndRefused: retry.EndRefused,
	EndMoved:   retry.EndRefused,
	EndLost:    retry.EndLost,
	EndFailed:  retry.EndFailed,
}

func (a *Attempts) withinBudget(end End, budget Budget, remaining, now time.Duration) bool {
	if end == EndUnsent {
		return remaining >= retry.MinRemaining
	}
	return budget.Allow(retry.Attempt{End: retryEnds[end], Number: a.sent}, remaining, now)
}

var endNames = [...]string{"None", "Unsent", "Refused", "Moved", "Lost", "Failed"}

// String returns the end's name.
func (e End) String() string { return endNames[e] }

var stepNames = [...]string{"None", "Again", "NotRun", "Unknown", "Pass", "Timeout"}

// String returns the step's name.
func (s Step) String() string { return stepNames[s] }
