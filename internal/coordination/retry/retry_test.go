package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// A partial overload of the engines turns into an outage: every request is tried
// four times, and the retries keep the engines overloaded.
func TestRetriesAreBoundedByShareOfRequests(t *testing.T) {
	c := qt.New(t)
	config := retry.DefaultConfig()
	budget := retry.NewBudget(config)
	const requests = 10_000
	retries := 0
	for range requests {
		budget.RecordRequest()
		for number := 1; budget.Allow(retry.Attempt{End: retry.EndRefused, Number: number}, time.Minute); number++ {
			retries++
		}
	}
	c.Assert(float64(retries) <= requests*config.Ratio+config.Burst, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// A request is retried shortly before its deadline, or too many times.
func TestNoRetryNearDeadlineOrBeyondMaxAttempts(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(retry.DefaultConfig())
	c.Assert(budget.Allow(retry.Attempt{End: retry.EndLost, Number: 1}, time.Millisecond), qt.IsFalse)
	c.Assert(budget.Allow(retry.Attempt{End: retry.EndLost, Number: retry.MaxAttempts}, time.Minute), qt.IsFalse)
	c.Assert(budget.Allow(retry.Attempt{End: retry.EndLost, Number: 1}, time.Minute), qt.IsTrue)
}

// Refusals have exhausted the budget when a host fails that streams a hundred
// answers, and a hundred callers get an incomplete answer.
func TestLostAttemptsHaveSeparateBudget(t *testing.T) {
	c := qt.New(t)
	budget := retry.NewBudget(retry.DefaultConfig())
	for budget.Allow(retry.Attempt{End: retry.EndRefused, Number: 1}, time.Minute) {
		continue
	}
	for range 100 {
		c.Assert(budget.Allow(retry.Attempt{End: retry.EndLost, Number: 1, Delivered: true}, time.Minute), qt.IsTrue)
	}
}
