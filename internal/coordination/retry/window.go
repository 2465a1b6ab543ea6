package retry

import "time"

// windowBuckets is in how many parts a Window's time is counted.
const windowBuckets = 20

// maxRefusalShare is the part of a Window that retries of refused requests may
// take, so that under overload enough is left for answers that broke off.
const maxRefusalShare = 0.5

// WindowConfig is one process's part of a bound that several share: within any
// Length, all together make at most Ratio of the fresh requests and Slack more
// attempts beyond the first.
type WindowConfig struct {
	Length time.Duration
	Ratio  float64
	Slack  float64
}

// windowBoundShare is what is used of the bound: views of how many processes there
// are differ for a moment when one comes or goes.
const windowBoundShare = 0.85

// SharedWindow returns the part of one of several processes.
func SharedWindow(length time.Duration, ratio, slack float64, processes int) WindowConfig {
	return WindowConfig{Length: length, Ratio: windowBoundShare * ratio, Slack: windowBoundShare * slack / float64(max(processes, 1))}
}

// Window bounds retries over a sliding time. It is not safe for concurrent use.
type Window struct {
	config WindowConfig
	// bucket is the number of the newest part since the clock's start.
	bucket   int64
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// refusalRetries are those of extra that followed a refusal.
	refusalRetries [windowBuckets]int
}

// NewWindow returns a window in which nothing has happened.
func NewWindow(config WindowConfig) *Window { return &Window{config: config} }

// Resize changes the bound; what was counted stays.
func (w *Window) Resize(config WindowConfig) { w.config = config }

// Fresh notes a fresh request.
func (w *Window) Fresh(now time.Duration) {
	w.advance(now)
	w.requests[w.bucket%windowBuckets]++
}

// Allow reports whether to try elsewhere now, and counts the try.
func (w *Window) Allow(attempt Attempt, remaining, now time.Duration) bool {
	if remaining < MinRemaining {
		return false
	}
	w.advance(now)
	allowed := w.config.Ratio*float64(sum(w.requests)) + w.config.Slack
	if float64(sum(w.retries)+1) > allowed {
		return false
	}
	if attempt.End != EndLost {
		if float64(sum(w.refusalRetries)+1) > maxRefusalShare*allowed {
			return false
		}
		w.refusalRetries[w.bucket%windowBuckets]++
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// advance clears the parts that have passed out of the window.
func (w *Window) advance(now time.Duration) {
	part := int64(now / max(w.config.Length/windowBuckets, 1))
	for steps := 0; w.bucket < part && steps < windowBuckets; steps++ {
		w.bucket++
		at := w.bucket % windowBuckets
		w.requests[at], w.retries[at], w.refusalRetries[at] = 0, 0, 0
	}
	w.bucket = max(w.bucket, part)
}

func sum(parts [windowBuckets]int) int {
	total := 0
	for _, n := range parts {
		total += n
	}
	return total
}
