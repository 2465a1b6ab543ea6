package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Servers get more retries than users allow while half of the servers fail. In any order of requests
// and retries, no window of the configured length may hold more retries than the entry's share.
func TestRetriesStayWithinSlidingWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := SharedWindow(10*time.Second, 0.2, 104, 8)
		w := NewWindow(config)
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "fresh") {
				w.RecordRequest(now)
				events = append(events, event{at: now})
				continue
			}
			if w.Allow(Attempt{End: EndLost}, time.Second, now) {
				events = append(events, event{at: now, retry: true})
			}
		}
		for end := range events {
			retries, requests := 0, 0
			for i := end; i >= 0 && events[end].at-events[i].at < config.Length*(windowBuckets-1)/windowBuckets; i-- {
				if events[i].retry {
					retries++
				} else {
					requests++
				}
			}
			// New requests up to one window earlier count too.
			for i := end; i >= 0 && events[end].at-events[i].at < 2*config.Length; i-- {
				if !events[i].retry {
					requests++
				}
			}
			if float64(retries) > config.Ratio*float64(requests)+config.Slack {
				t.Fatalf("%d retries for %d new requests", retries, requests)
			}
		}
	})
}

// Refusals under overload use up all retries, and none are left for interrupted answers. Half of the
// retries must be reserved for them.
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

// Retries from before the window still count against the bound.
func TestWindowBudgetRecovers(t *testing.T) {
	c := qt.New(t)
	w := NewWindow(WindowConfig{Length: 10 * time.Second, Slack: 1})
	c.Assert(w.Allow(Attempt{End: EndLost}, time.Second, time.Second), qt.IsTrue)
	c.Assert(w.Allow(Attempt{End: EndLost}, time.Second, 5*time.Second), qt.IsFalse)
	c.Assert(w.Allow(Attempt{End: EndLost}, time.Second, 12*time.Second), qt.IsTrue)
}

// A request is retried although the deadline leaves no time for the answer.
func TestWindowAllowsNoRetryNearDeadline(t *testing.T) {
	w := NewWindow(WindowConfig{Length: 10 * time.Second, Slack: 10})
	qt.Assert(t, w.Allow(Attempt{End: EndLost}, time.Millisecond, 0), qt.IsFalse)
}
