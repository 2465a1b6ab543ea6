package contention

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// ordered reports whether the most urgent level is served, no level less often than a less urgent one
// by over a tolerance, and none less often than the floor, a share of how often all are served.
func ordered(shares [4]float64, urgent, tolerance, floor float64) bool {
	return shares[0] > urgent && shares[1] < shares[0]+tolerance && shares[2] < shares[1]+tolerance && min(shares[1], shares[2]) > floor*shares[3]
}

// Urgent callers are refused as often as others, a level starves, or over a tenth of those who were
// served without a cutoff is refused.
func TestOverloadIsServedByUrgency(t *testing.T) {
	for _, m := range []model{{}, {retries: [3]int{3, 3, 3}}} {
		for _, load := range []float64{0.9, 1.05, 1.3, 1.6, 2.5} {
			urgent := 0.95
			if load > 2 {
				urgent = 0.7
			}
			m.load, m.uncontrolled = load, true
			before, _ := m.run(10*time.Second, 70*time.Second)
			m.uncontrolled = false
			after, _ := m.run(10*time.Second, 70*time.Second)
			t.Logf("retries %v, load %.2f: before %.3f, after %.3f", m.retries, load, before, after)
			qt.Check(t, ordered(after, urgent, 0.05, 0.9/3) && after[3] > 0.9*before[3], qt.IsTrue)
			qt.Check(t, load > 1 || after[2] > before[2]-0.03, qt.IsTrue)
		}
	}
}
