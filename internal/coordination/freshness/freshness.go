// Package freshness limits how old a check may be when something that cannot be undone relies
// on it.
package freshness

import (
	"fmt"
	"time"
)

// Check is a successful check and how long it may be relied on.
type Check struct {
	// BegunAt is when the check began. What it covers may have changed since then. The clock
	// must advance while the host is suspended.
	BegunAt time.Duration
	// MaxAge is the highest age at which the check may be relied on; 0 means that it must not
	// be relied on.
	MaxAge time.Duration
}

// Age returns the time since the check began.
func (c Check) Age(now time.Duration) time.Duration { return now - c.BegunAt }

// Confirm returns an *ExpiredError if the check is too old to be relied on. It must be called
// right before the act.
func (c Check) Confirm(now time.Duration) error {
	if age := c.Age(now); age >= c.MaxAge {
		return &ExpiredError{Age: age, MaxAge: c.MaxAge}
	}
	return nil
}

// ExpiredError means that an act was not performed because the check that it relies on was too
// old.
type ExpiredError struct {
	Age    time.Duration
	MaxAge time.Duration
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("check expired: %v old, limit %v", e.Age, e.MaxAge)
}
