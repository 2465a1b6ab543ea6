package retry

import (
	"math/rand/v2"
	"time"
)

// Spread plans a call that many processes make when they start together, to a service that performs
// such calls one after the other.
//
// With a backoff that does not depend on the number of processes, their calls exceed the rate of the
// service from some number on. Each call then waits longer than its timeout and is repeated, and no
// process succeeds.
type Spread struct {
	// Interval is the time that each process adds to the period over which calls are spread.
	Interval time.Duration
	// Initial is the shortest period after a failed call. It doubles with each further one, up to Max.
	Initial time.Duration
	Max     time.Duration
}

// Delay returns the pause before a call, after some failed ones, while processes are known.
func (s Spread) Delay(failures, processes int, rng *rand.Rand) time.Duration {
	period := time.Duration(processes) * s.Interval
	if failures > 0 {
		period = max(period, min(s.Initial<<min(failures-1, maxSpreadDoublings), s.Max))
	}
	if period <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(period)))
}

// maxSpreadDoublings keeps the period from overflowing.
const maxSpreadDoublings = 16
