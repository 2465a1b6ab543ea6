// Package retry decides whether a model request that an attempt did not
// finish is tried again. Only entries retry; agents and engines never do, so
// retries do not multiply.
package retry

import "time"

// Config holds the shares of a Budget.
type Config struct {
	// Ratio is how many retries each fresh request earns.
	Ratio float64
	// Burst bounds the retries saved up.
	Burst float64
	// LossRatio and LossBurst are the same for attempts lost to a dead host,
	// which come in bursts of one host's streams and are no sign of overload.
	LossRatio float64
	LossBurst float64
}

// DefaultConfig returns the shares used in production.
func DefaultConfig() Config {
	return Config{Ratio: 0.05, Burst: 2, LossRatio: 0.1, LossBurst: 200}
}

// Budget bounds retries to a share of fresh requests. It is not safe for
// concurrent use.
type Budget struct {
	config     Config
	tokens     float64
	lossTokens float64
}

// NewBudget returns a full budget.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, tokens: config.Burst, lossTokens: config.LossBurst}
}

// Fresh notes a fresh request.
func (b *Budget) Fresh() {
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst)
	b.lossTokens = min(b.lossTokens+b.config.LossRatio, b.config.LossBurst)
}

// End is how an attempt ended without finishing the answer.
type End int

// The ends of attempts.
const (
	// EndRefused means that the agent refused; nothing started.
	EndRefused End = iota + 1
	// EndFailed means that the engine failed before the first token.
	EndFailed
	// EndNotLive means that the host serves other weights than was believed,
	// and said which. It is no sign of overload and costs no budget.
	EndNotLive
	// EndLost means that the host died, went silent or broke its stream.
	EndLost
)

// Attempt is an attempt that ended without finishing the answer.
type Attempt struct {
	End End
	// Number counts attempts of the request from 1.
	Number int
	// Delivered is true if the caller already has a part of the answer.
	Delivered bool
	// RetryAfter is what the agent that refused asked for.
	RetryAfter time.Duration
}

// MaxAttempts bounds the attempts of one request at one entry.
const MaxAttempts = 4

// MinRemaining is the least time before the deadline in which another
// attempt makes sense.
const MinRemaining = 20 * time.Millisecond

// Again reports whether to try elsewhere now, and takes the try out of the
// budget. Remaining is the time to the request's deadline.
func (b *Budget) Again(attempt Attempt, remaining time.Duration) bool {
	if attempt.Number >= MaxAttempts || remaining < MinRemaining {
		return false
	}
	if attempt.End == EndNotLive {
		return true
	}
	if attempt.End == EndLost {
		return takeToken(&b.lossTokens) || takeToken(&b.tokens)
	}
	return takeToken(&b.tokens)
}

func takeToken(saved *float64) bool {
	if *saved < 1 {
		return false
	}
	*saved--
	return true
}
