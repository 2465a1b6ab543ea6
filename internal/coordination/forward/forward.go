// Package forward decides what follows when an attempt to answer a request has
// ended: another attempt, or which final answer the caller gets.
package forward

import (
	"time"

	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// Budget bounds the retries.
type Budget interface {
	// Allow takes one retry from the budget and reports whether there was one left.
	Allow(attempt retry.Attempt, remaining, now time.Duration) bool
}

// Class limits the attempts of a request.
type Class struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// MaxServers is how many servers the request may be sent to.
	MaxServers int
}

// End is how an attempt ended without a complete answer.
type End int

// The ends.
const (
	// EndUnsent means that no server can have received the request.
	EndUnsent End = iota + 1
	// EndRefused means that the server reported that it did not run the request.
	EndRefused
	// EndWrongServer means that the address belongs to another server or version.
	// That server reported it and did not run the request.
	EndWrongServer
	// EndLost means that the server may have run the request.
	EndLost
	// EndFailed means that the server ran the request and failed.
	EndFailed
	// EndWithdrawn means that the attempt was cancelled because another one went on. Its server may
	// still run the request, and may be sent it again.
	EndWithdrawn
)

// Step is what follows after an attempt.
type Step int

// The steps.
const (
	// StepRetry sends the request to another server.
	StepRetry Step = iota + 1
	// StepNotRun answers that the request did not run. It is used only if that is
	// certain.
	StepNotRun
	// StepUnknown answers that the request may have run.
	StepUnknown
	// StepForwardFailure forwards the server's failure to the caller.
	StepForwardFailure
	// StepTimeout answers that the deadline of the request has passed.
	StepTimeout
)

// maxUnsentAttempts bounds the connection attempts of a request that no server can have run. After
// three hosts that did not accept a connection, the fault is more likely on this host, and the caller
// can send the request to another one. If it may have run, that would cost the caller the answer.
const maxUnsentAttempts = 3

// Attempts is the history of attempts of one request.
type Attempts struct {
	Class Class
	// unsent and sent count the attempts by whether a server can have received them.
	unsent int
	sent   int
	// withdrawn counts those of sent that ended with EndWithdrawn.
	withdrawn int
	// mayHaveRun is true once a server may have started the request.
	mayHaveRun bool
}

// Sent returns how many servers the request was sent to.
func (a *Attempts) Sent() int { return a.sent }

// MayHaveRun reports whether a server may have started the request.
func (a *Attempts) MayHaveRun() bool { return a.mayHaveRun }

// NextStep records how an attempt ended and decides what follows. The time until
// the request's deadline is remaining, and hasAlternative is true if another
// server could take the request.
//
// A request that must not be repeated is retried only if no server can have run
// it, since it would otherwise be executed twice. StepNotRun is returned only if
// no attempt may have run, also for repeatable requests.
func (a *Attempts) NextStep(end End, budget Budget, remaining, now time.Duration, hasAlternative bool) Step {
	a.Record(end)
	if remaining <= 0 {
		if a.mayHaveRun {
			return StepTimeout
		}
		return StepNotRun
	}
	if hasAlternative && a.canRetry(end) && a.withinBudget(end, budget, remaining, now) {
		return StepRetry
	}
	switch {
	case end == EndFailed:
		return StepForwardFailure
	case a.mayHaveRun:
		return StepUnknown
	}
	return StepNotRun
}

// Record counts an attempt that is not followed by a decision.
func (a *Attempts) Record(end End) {
	switch end {
	case EndUnsent:
		a.unsent++
	case EndLost, EndFailed:
		a.sent++
		a.mayHaveRun = true
	case EndWithdrawn:
		a.sent++
		a.withdrawn++
		a.mayHaveRun = true
	default:
		a.sent++
	}
}

// canRetry reports whether the request may be sent to another server, without
// regard to the budget.
func (a *Attempts) canRetry(end End) bool {
	switch end {
	case EndUnsent:
		return a.unsent < maxUnsentAttempts || a.mayHaveRun && a.Class.Repeatable
	case EndWrongServer:
		// The intended server was not reached, so it does not count towards the limit.
		return !a.mayHaveRun || a.Class.Repeatable
	}
	return a.sent-a.withdrawn < a.Class.MaxServers && (!a.mayHaveRun || a.Class.Repeatable)
}

// retryEnds maps an End to the one that the retry budget distinguishes.
var retryEnds = map[End]retry.End{
	EndRefused:     retry.EndRefused,
	EndWrongServer: retry.EndRefused,
	EndLost:        retry.EndLost,
	EndFailed:      retry.EndFailed,
}

// withinBudget reports whether the budget allows a retry, and takes it.
func (a *Attempts) withinBudget(end End, budget Budget, remaining, now time.Duration) bool {
	if end == EndUnsent {
		return remaining >= retry.MinRemaining
	}
	return budget.Allow(retry.Attempt{End: retryEnds[end], Number: a.sent}, remaining, now)
}

var endNames = [...]string{"None", "Unsent", "Refused", "Moved", "Lost", "Failed", "Withdrawn"}

// String returns the name of the end.
func (e End) String() string { return endNames[e] }

var stepNames = [...]string{"None", "Again", "NotRun", "Unknown", "Pass", "Timeout"}

// String returns the name of the step.
func (s Step) String() string { return stepNames[s] }
