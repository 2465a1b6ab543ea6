package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Servers get more repeats than the users allow while half of them fail. Each
// entry counts within the same sliding time as the users do; whatever comes when,
// no window of that length may hold more than the entry's part.
func TestRetriesStayWithinSlidingWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := SharedWindow(10*time.Second, 0.2, 104, 8)
		w := NewWindow(config)
		type mark struct {
			at    time.Duration
			extra bool
		}
		var marks []mark
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "fresh") {
				w.Fresh(now)
				marks = append(marks, mark{at: now})
				continue
			}
			if w.Allow(Attempt{End: EndLost}, time.Second, now) {
				marks = append(marks, mark{at: now, extra: true})
			}
		}
		for end := range marks {
			extra, fresh := 0, 0
			for i := end; i >= 0 && marks[end].at-marks[i].at < config.Length*(windowBuckets-1)/windowBuckets; i-- {
				if marks[i].extra {
					extra++
				} else {
					fresh++
				}
			}
			// What was fresh up to one window earlier counts too.
			for i := end; i >= 0 && marks[end].at-marks[i].at < 2*config.Length; i-- {
				if !marks[i].extra {
					fresh++
				}
			}
			if float64(extra) > config.Ratio*float64(fresh)+config.Slack {
				t.Fatalf("%d repeats beside %d fresh requests", extra, fresh)
			}
		}
	})
}

// Overload uses up all retries on refusals, and answers that break off have none
// left. Half is kept for them.
func TestRefusalRetriesLeaveBudgetForLostAttempts(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(WindowConfig{Length: 10 * time.Second, Slack: 10})
	refused, lost := 0, 0
	for range 20 {
		if w.Allow(Attempt{End: EndRefused}, time.Second, time.Second) {
			refused++
		}
	}
	for range 20 {
		if w.Allow(Attempt{End: EndLost}, time.Second, time.Second) {
			lost++
		}
	}
	c.Assert(refused, qt.Equals, 5)
	c.Assert(lost, qt.Equals, 5)
}

// After a quiet time the whole part is there again.
func TestWindowBudgetRecovers(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(WindowConfig{Length: 10 * time.Second, Slack: 1})
	c.Assert(w.Allow(Attempt{End: EndLost}, time.Second, time.Second), qt.IsTrue)
	c.Assert(w.Allow(Attempt{End: EndLost}, time.Second, 5*time.Second), qt.IsFalse)
	c.Assert(w.Allow(Attempt{End: EndLost}, time.Second, 12*time.Second), qt.IsTrue)
}

// A try that cannot end before the deadline only costs.
func TestWindowAllowsNoRetryNearDeadline(t *testing.T) {
	w := NewWindow(WindowConfig{Length: 10 * time.Second, Slack: 10})
	qt.Assert(t, w.Allow(Attempt{End: EndLost}, time.Millisecond, 0), qt.IsFalse)
}
