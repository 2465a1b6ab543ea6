// Package retry decides whether a model request is retried after an attempt that
// did not finish the answer. Only entries retry. Agents and engines never do, so
// that retries don't multiply.
package retry

import "time"

// Config holds the parameters of a Budget.
type Config struct {
	// Ratio is how many retries each new request adds to the budget.
	Ratio float64
	// Burst is the largest number of retries that the budget holds.
	Burst float64
	// LossRatio and LossBurst are the same for lost attempts. When a host fails,
	// all its streams are lost together, which is no sign of overload.
	LossRatio float64
	LossBurst float64
}

// DefaultConfig returns the parameters used in production.
func DefaultConfig() Config {
	return Config{Ratio: 0.05, Burst: 2, LossRatio: 0.1, LossBurst: 200}
}

// Budget bounds retries to a fraction of new requests with token buckets. It is
// not safe for concurrent use.
type Budget struct {
	config     Config
	tokens     float64
	lossTokens float64
}

// NewBudget returns a full budget.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, tokens: config.Burst, lossTokens: config.LossBurst}
}

// RecordRequest records a new request.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
	b.lossTokens = min(b.lossTokens+b.config.LossRatio, b.config.LossBurst)
}

// End is how an attempt ended that did not finish the answer.
type End int

// The ends of attempts.
const (
	// EndRefused means that the agent refused the request before it started.
	EndRefused End = iota + 1
	// EndFailed means that the engine failed before the first token.
	EndFailed
	// EndWrongWeights means that the host serves other weights than expected and
	// reported which. It is no sign of overload, so the retry costs no budget.
	EndWrongWeights
	// EndLost means that the host failed, stopped responding or broke its stream.
	EndLost
)

// Attempt describes an attempt that did not finish the answer.
type Attempt struct {
	End End
	// Number is the number of the attempt, starting at 1.
	Number int
	// Delivered is true if the caller has received a part of the answer.
	Delivered bool
	// RetryAfter is the retry delay that the refusing agent requested.
	RetryAfter time.Duration
}

// MaxAttempts bounds the attempts of one request at one entry.
const MaxAttempts = 4

// MinRemaining is the shortest time before the deadline in which a retry is
// allowed.
const MinRemaining = 20 * time.Millisecond

// Allow reports whether the request may be retried on another server now, and
// takes the retry from the budget. The time until the request's deadline is
// remaining.
func (b *Budget) Allow(attempt Attempt, remaining time.Duration) bool {
	if attempt.Number >= MaxAttempts || remaining < MinRemaining {
		return false
	}
	if attempt.End == EndWrongWeights {
		return true
	}
	if attempt.End == EndLost {
		return takeToken(&b.lossTokens) || takeToken(&b.tokens)
	}
	return takeToken(&b.tokens)
}

// takeToken takes one token if there is one.
func takeToken(tokens *float64) bool {
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
