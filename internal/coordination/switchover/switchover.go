// Package switchover decides when each backend server of a service changes to
// a new version of its weights, so that only a part is away at a time and all
// have changed within the bound.
package switchover

import "time"

// Config holds the times of a switchover.
type Config struct {
	// Bound is the time from the naming of a version to when no request may
	// begin on an older one.
	Bound time.Duration
	// Fetch is the time kept for every server to have the weights.
	Fetch time.Duration
	// Away is how long one server takes to end its batch and load.
	Away time.Duration
	// Reserve is kept for delays before the bound.
	Reserve time.Duration
}

// DefaultConfig returns the times for a bound. A set of 2 MB takes 2.2 s on a
// server's link of 7.6 Mbit/s; a batch ends in about 1 s and 0.3 s is the load.
func DefaultConfig(bound time.Duration) Config {
	return Config{Bound: bound, Fetch: 2600 * time.Millisecond, Away: 1500 * time.Millisecond, Reserve: 1200 * time.Millisecond}
}

// Turn returns how long after the naming of a version the server at a place
// among count servers begins its change. Turns are spread evenly over the time
// between fetching and the latest begin.
func (c Config) Turn(place, count int) time.Duration {
	last := c.Bound - c.Reserve - c.Away
	if last <= c.Fetch || count <= 1 {
		return min(c.Fetch, max(last, 0))
	}
	return c.Fetch + (last-c.Fetch)*time.Duration(place)/time.Duration(count-1)
}

// Strict returns how long after the naming of a version requests are sent only
// to servers that hold it, and say so. One that has waited in a server's queue
// must not begin on the older version after the bound.
func (c Config) Strict() time.Duration { return max(c.Bound-c.Reserve, 0) }
