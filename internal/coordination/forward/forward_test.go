package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// countedBudget allows as many further attempts as it holds.
type countedBudget struct{ left int }

func (p *countedBudget) Allow(retry.Attempt, time.Duration, time.Duration) bool {
	p.left--
	return p.left >= 0
}

var (
	runOnce    = Class{Servers: 1}
	repeatable = Class{Repeatable: true, Servers: 2}
)

// What follows each end of a first attempt, for requests that may run once and
// for those that may run again.
func TestStepAfterFirstAttempt(t *testing.T) {
	tests := []struct {
		name      string
		class     Class
		end       End
		remaining time.Duration
		budget    int
		want      Step
	}{
		{"an order that reached no server goes to another", runOnce, EndUnsent, time.Second, 0, StepAgain},
		{"an order that was refused is not run", runOnce, EndRefused, time.Second, 9, StepNotRun},
		{"an order that met another server goes on", runOnce, EndMoved, time.Second, 9, StepAgain},
		{"an order whose answer is lost is never sent again", runOnce, EndLost, time.Second, 9, StepUnknown},
		{"an order that failed is told so", runOnce, EndFailed, time.Second, 9, StepPass},
		{"a lookup whose answer is lost runs again", repeatable, EndLost, time.Second, 9, StepAgain},
		{"a lookup that failed runs again", repeatable, EndFailed, time.Second, 9, StepAgain},
		{"a lookup that was refused goes to another", repeatable, EndRefused, time.Second, 9, StepAgain},
		{"without budget a refusal is final", repeatable, EndRefused, time.Second, 0, StepNotRun},
		{"without budget a loss is final", repeatable, EndLost, time.Second, 0, StepUnknown},
		{"without budget a failure is passed on", repeatable, EndFailed, time.Second, 0, StepPass},
		{"out of time before any server", runOnce, EndUnsent, 0, 9, StepNotRun},
		{"out of time after a server", repeatable, EndLost, 0, 9, StepTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := Attempts{Class: test.class}
			qt.Assert(t, a.After(test.end, &countedBudget{left: test.budget}, test.remaining, 0, true), qt.Equals, test.want)
		})
	}
}

// A caller is told that its lookup did not run, though the first of two servers
// had run it. The second refused, and only that was looked at.
func TestNotRunIsNeverReportedOnceAServerMayHaveRun(t *testing.T) {
	c := qt.New(t)
	a := Attempts{Class: repeatable}
	budget := &countedBudget{left: 9}
	c.Assert(a.After(EndLost, budget, time.Second, 0, true), qt.Equals, StepAgain)
	c.Assert(a.After(EndRefused, budget, time.Second, 0, true), qt.Equals, StepUnknown)
}

// A request goes from server to server. A route says how many it may be sent to.
func TestRequestIsSentToAtMostMaxServers(t *testing.T) {
	c := qt.New(t)
	a := Attempts{Class: repeatable}
	budget := &countedBudget{left: 9}
	c.Assert(a.After(EndRefused, budget, time.Second, 0, true), qt.Equals, StepAgain)
	c.Assert(a.After(EndRefused, budget, time.Second, 0, true), qt.Equals, StepNotRun)
	c.Assert(a.Sent(), qt.Equals, 2)
}

// With this host's network gone every connection fails; a request must not go
// round all servers.
func TestUnsentAttemptsAreBounded(t *testing.T) {
	c := qt.New(t)
	a := Attempts{Class: runOnce}
	budget := &countedBudget{left: 9}
	steps := []Step{}
	for range 3 {
		steps = append(steps, a.After(EndUnsent, budget, time.Second, 0, true))
	}
	c.Assert(steps, qt.DeepEquals, []Step{StepAgain, StepAgain, StepNotRun})
}

// Every order of ends of three attempts, for both classes: a request that may
// run once is never sent again after it may have run, and "not run" is only
// said if no attempt may have run.
func TestNoOrderOfEndsRepeatsRunOnceRequests(t *testing.T) {
	ends := []End{EndUnsent, EndRefused, EndMoved, EndLost, EndFailed}
	for _, class := range []Class{runOnce, repeatable} {
		for code := range len(ends) * len(ends) * len(ends) {
			a := Attempts{Class: class}
			mayHaveRun := false
			for _, end := range []End{ends[code%5], ends[code/5%5], ends[code/25]} {
				mayHaveRun = mayHaveRun || end == EndLost || end == EndFailed
				step := a.After(end, &countedBudget{left: 99}, time.Second, 0, true)
				if mayHaveRun && !class.Repeatable {
					qt.Assert(t, step, qt.Not(qt.Equals), StepAgain)
				}
				if step == StepNotRun {
					qt.Assert(t, mayHaveRun, qt.IsFalse)
				}
				if step != StepAgain {
					break
				}
			}
		}
	}
}
