package admission

import "time"

// Limit adapts how many requests a backend server runs at once, by additive increase and
// multiplicative decrease. It grows by one for each round of requests whose first token came in time,
// and shrinks by a tenth when a first token was late or a request failed. It is not safe for
// concurrent use.
type Limit struct {
	value   float64
	minimum float64
	maximum float64
	// target is the time to first token above which the server counts as overloaded.
	target time.Duration
	// decreasedAt is when the limit last decreased. It decreases at most once per target, since
	// requests that started together are late together.
	decreasedAt time.Time
}

const (
	decreaseFactor = 0.9
	// minimumShare is the fraction of the maximum below which the limit does not fall.
	minimumShare = 0.25
)

// NewLimit returns a limit that starts at maximum and never falls below a quarter of it.
func NewLimit(maximum int, target time.Duration) *Limit {
	return &Limit{value: float64(maximum), minimum: max(1, float64(maximum)*minimumShare), maximum: float64(maximum), target: target}
}

// Value returns the current limit.
func (l *Limit) Value() int { return int(l.value) }

// RecordFirstToken records the time to first token of a request.
func (l *Limit) RecordFirstToken(took time.Duration, now time.Time) {
	if took <= l.target {
		l.value = min(l.value+1/l.value, l.maximum)
		return
	}
	l.decrease(now)
}

// RecordFailure records that the server failed a request.
func (l *Limit) RecordFailure(now time.Time) { l.decrease(now) }

func (l *Limit) decrease(now time.Time) {
	if !l.decreasedAt.IsZero() && now.Sub(l.decreasedAt) < l.target {
		return
	}
	l.decreasedAt = now
	l.value = max(l.value*decreaseFactor, l.minimum)
}
