package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// countedBudget allows a fixed number of retries.
type countedBudget struct{ remaining int }

func (b *countedBudget) Allow(retry.Attempt, time.Duration, time.Duration) bool {
	b.remaining--
	return b.remaining >= 0
}

var (
	runOnce    = Class{MaxServers: 1}
	repeatable = Class{Repeatable: true, MaxServers: 2}
)

// The first attempt of a request is followed by the wrong step. Requests that run once and repeatable
// ones differ.
func TestStepAfterFirstAttempt(t *testing.T) {
	tests := []struct {
		name      string
		class     Class
		end       End
		remaining time.Duration
		budget    int
		want      Step
	}{
		{"unsent run-once request is retried", runOnce, EndUnsent, time.Second, 0, StepRetry},
		{"refused run-once request is not retried", runOnce, EndRefused, time.Second, 9, StepNotRun},
		{"run-once request at the wrong server is retried", runOnce, EndWrongServer, time.Second, 9, StepRetry},
		{"run-once request with a lost answer is not retried", runOnce, EndLost, time.Second, 9, StepUnknown},
		{"failed run-once request forwards the failure", runOnce, EndFailed, time.Second, 9, StepForwardFailure},
		{"repeatable request with a lost answer is retried", repeatable, EndLost, time.Second, 9, StepRetry},
		{"failed repeatable request is retried", repeatable, EndFailed, time.Second, 9, StepRetry},
		{"refused repeatable request is retried", repeatable, EndRefused, time.Second, 9, StepRetry},
		{"refused without budget", repeatable, EndRefused, time.Second, 0, StepNotRun},
		{"lost without budget", repeatable, EndLost, time.Second, 0, StepUnknown},
		{"failed without budget", repeatable, EndFailed, time.Second, 0, StepForwardFailure},
		{"deadline passed, request unsent", runOnce, EndUnsent, 0, 9, StepNotRun},
		{"deadline passed, answer lost", repeatable, EndLost, 0, 9, StepTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := Attempts{Class: test.class}
			qt.Assert(t, a.NextStep(test.end, &countedBudget{remaining: test.budget}, test.remaining, 0, true), qt.Equals, test.want)
		})
	}
}

// The caller gets the answer that a request did not run although the first of two servers may have
// run it, because only the refusal of the second one is considered.
func TestNotRunIsNeverReportedOnceAServerMayHaveRun(t *testing.T) {
	c := qt.New(t)
	a := Attempts{Class: repeatable}
	budget := &countedBudget{remaining: 9}
	c.Assert(a.NextStep(EndLost, budget, time.Second, 0, true), qt.Equals, StepRetry)
	c.Assert(a.NextStep(EndRefused, budget, time.Second, 0, true), qt.Equals, StepUnknown)
}

// A request is sent to more servers than its route allows.
func TestRequestIsSentToAtMostMaxServers(t *testing.T) {
	c := qt.New(t)
	a := Attempts{Class: repeatable}
	budget := &countedBudget{remaining: 9}
	c.Assert(a.NextStep(EndRefused, budget, time.Second, 0, true), qt.Equals, StepRetry)
	c.Assert(a.NextStep(EndRefused, budget, time.Second, 0, true), qt.Equals, StepNotRun)
	c.Assert(a.Sent(), qt.Equals, 2)
}

// Without a network every connection fails, and each request tries all servers.
func TestUnsentAttemptsAreBounded(t *testing.T) {
	c := qt.New(t)
	a := Attempts{Class: runOnce}
	budget := &countedBudget{remaining: 9}
	steps := []Step{}
	for range 3 {
		steps = append(steps, a.NextStep(EndUnsent, budget, time.Second, 0, true))
	}
	c.Assert(steps, qt.DeepEquals, []Step{StepRetry, StepRetry, StepNotRun})
}

// A stream is cut off because three servers refuse connections, although another one could continue it.
func TestAttemptsToContinueAreNotBoundedByUnsentOnes(t *testing.T) {
	a := Attempts{Class: repeatable}
	budget := &countedBudget{remaining: 1}
	qt.Assert(t, a.NextStep(EndLost, budget, time.Second, 0, true), qt.Equals, StepRetry)
	for range 5 {
		qt.Assert(t, a.NextStep(EndUnsent, budget, time.Second, 0, true), qt.Equals, StepRetry)
	}
	qt.Assert(t, a.NextStep(EndUnsent, budget, 0, 0, true), qt.Equals, StepTimeout)
}

// Checks all sequences of ends of three attempts, for both classes. A run-once request is never
// retried after it may have run, and StepNotRun is returned only if no attempt may have run.
func TestNoOrderOfEndsRepeatsRunOnceRequests(t *testing.T) {
	ends := []End{EndUnsent, EndRefused, EndWrongServer, EndLost, EndFailed}
	for _, class := range []Class{runOnce, repeatable} {
		for code := range len(ends) * len(ends) * len(ends) {
			a := Attempts{Class: class}
			mayHaveRun := false
			for _, end := range []End{ends[code%5], ends[code/5%5], ends[code/25]} {
				mayHaveRun = mayHaveRun || end == EndLost || end == EndFailed
				step := a.NextStep(end, &countedBudget{remaining: 99}, time.Second, 0, true)
				if mayHaveRun && !class.Repeatable {
					qt.Assert(t, step, qt.Not(qt.Equals), StepRetry)
				}
				if step == StepNotRun {
					qt.Assert(t, mayHaveRun, qt.IsFalse)
				}
				if step != StepRetry {
					break
				}
			}
		}
	}
}
