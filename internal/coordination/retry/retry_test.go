package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// A brown-out of the model engines turns into an outage: every request is
// tried four times, and the retries keep the engines overloaded.
func TestRetriesAreBoundedByShareOfRequests(t *testing.T) {
	c := qt.New(t)
	config := retry.DefaultConfig()
	budget := retry.NewBudget(config)
	const fresh = 10_000
	retries := 0
	for range fresh {
		budget.Fresh()
		for number := 1; budget.Again(retry.Attempt{End: retry.EndRefused, Number: number}, time.Minute); number++ {
			retries++
		}
	}
	c.Assert(float64(retries) <= fresh*config.Ratio+config.Burst, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// A request is tried again when its deadline has all but passed.
func TestNoRetryNearDeadlineOrBeyondMaxAttempts(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(retry.DefaultConfig())
	c.Assert(budget.Again(retry.Attempt{End: retry.EndLost, Number: 1}, time.Millisecond), qt.IsFalse)
	c.Assert(budget.Again(retry.Attempt{End: retry.EndLost, Number: retry.MaxAttempts}, time.Minute), qt.IsFalse)
	c.Assert(budget.Again(retry.Attempt{End: retry.EndLost, Number: 1}, time.Minute), qt.IsTrue)
}

// A host dies with a hundred answers half written while refusals have used the
// budget up, and a hundred callers get half an answer.
func TestLostAttemptsHaveSeparateBudget(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(retry.DefaultConfig())
	for budget.Again(retry.Attempt{End: retry.EndRefused, Number: 1}, time.Minute) {
		continue
	}
	for range 100 {
		c.Assert(budget.Again(retry.Attempt{End: retry.EndLost, Number: 1, Delivered: true}, time.Minute), qt.IsTrue)
	}
}
