package order

import "time"

// WritesPerOrder is the number of platform writes that an order needs if nothing fails.
const WritesPerOrder = 2

// Budget is a token bucket that keeps the orders of one entry within the
// entry's share of the platform's write capacity. An order over the limit is
// refused before it is claimed. Budget is not safe for concurrent use.
type Budget struct {
	// rate is this entry's share in orders per second.
	rate      float64
	tokens    float64
	updatedAt time.Time
}

// NewBudget returns the budget of one entry. All entries together may use
// writesPerSecond platform writes per second.
func NewBudget(writesPerSecond float64, entries int) *Budget {
	share := writesPerSecond / WritesPerOrder / float64(max(entries, 1))
	return &Budget{rate: share, tokens: max(share, 1)}
}

// Take takes the token for one order. If there is none, it returns the time
// until the next one.
func (b *Budget) Take(now time.Time) (ok bool, retryAfter time.Duration) {
	if !b.updatedAt.IsZero() {
		b.tokens += now.Sub(b.updatedAt).Seconds() * b.rate
	}
	b.tokens = min(b.tokens, max(b.rate, 1))
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	missing := (1 - b.tokens) / b.rate
	return false, max(time.Duration(missing*float64(time.Second)), minRetryAfter)
}

// minRetryAfter prevents rounding from producing a retry delay of zero.
const minRetryAfter = time.Millisecond

// SetEntries updates the number of entries that share the platform's writes.
func (b *Budget) SetEntries(writesPerSecond float64, entries int) {
	b.rate = writesPerSecond / WritesPerOrder / float64(max(entries, 1))
}
