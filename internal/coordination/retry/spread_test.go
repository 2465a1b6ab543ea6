package retry_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/retry"
)

// Hundreds of entries that start together registered in the store faster than it writes. Calls waited
// longer than their timeout and were repeated, and some entries never registered.
func TestCallsOfStartingProcessesDoNotPileUp(t *testing.T) {
	const (
		writeTime = 5 * time.Millisecond
		// The service refuses calls that would wait longer than maxWait. A caller gives up after timeout.
		maxWait = time.Second
		timeout = 1500 * time.Millisecond
	)
	type call struct {
		at       time.Duration
		failures int
	}
	for _, processes := range []int{8, 98, 484, 968} {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(1, 2))
		spread := retry.Spread{Interval: 2 * writeTime, Initial: 100 * time.Millisecond, Max: 8 * time.Second}
		var pending []call
		for range processes {
			// At first each process knows none of the others.
			pending = append(pending, call{at: spread.Delay(0, 1, rng)})
		}
		var freeAt, last time.Duration
		calls := 0
		for len(pending) > 0 {
			slices.SortFunc(pending, func(a, b call) int { return cmp.Compare(a.at, b.at) })
			next := pending[0]
			pending = pending[1:]
			calls++
			start := max(freeAt, next.at)
			if start-next.at <= maxWait {
				freeAt = start + writeTime
				if freeAt-next.at <= timeout {
					last = freeAt
					continue
				}
			}
			next.failures++
			next.at = max(next.at, min(freeAt, next.at+timeout)) + spread.Delay(next.failures, processes, rng)
			pending = append(pending, next)
		}
		c.Check(last <= max(time.Second, 2*time.Duration(processes)*2*writeTime), qt.IsTrue, qt.Commentf("%d processes: %v", processes, last))
		c.Check(calls <= 3*processes, qt.IsTrue, qt.Commentf("%d processes: %d calls", processes, calls))
	}
}
