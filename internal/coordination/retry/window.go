package retry

import "time"

// windowBuckets is the number of time buckets of a Window.
const windowBuckets = 20

// maxRefusalShare is the fraction of the allowed retries that refused requests may
// use, so that enough are left for interrupted answers under overload.
const maxRefusalShare = 0.5

// WindowConfig is one process's share of a bound on retries. Within any period of
// Length, the retries of all processes together are at most Ratio times the new
// requests, plus Slack.
type WindowConfig struct {
	Length time.Duration
	Ratio  float64
	Slack  float64
}

// windowBoundShare is the fraction of the bound that is used, because views of the
// number of processes differ for a moment when a process starts or stops.
const windowBoundShare = 0.85

// SharedWindow returns the share of one of several processes in a common bound.
func SharedWindow(length time.Duration, ratio, slack float64, processes int) WindowConfig {
	return WindowConfig{Length: length, Ratio: windowBoundShare * ratio, Slack: windowBoundShare * slack / float64(max(processes, 1))}
}

// Window bounds retries in a sliding time window. It is not safe for concurrent
// use.
type Window struct {
	config WindowConfig
	// bucket is the number of the newest bucket since the start of the clock.
	bucket         int64
	requests       [windowBuckets]int
	retries        [windowBuckets]int
	refusalRetries [windowBuckets]int
}

// NewWindow returns an empty window.
func NewWindow(config WindowConfig) *Window { return &Window{config: config} }

// Resize changes the bound and keeps the counts.
func (w *Window) Resize(config WindowConfig) { w.config = config }

// RecordRequest records a new request.
func (w *Window) RecordRequest(now time.Duration) {
	w.advance(now)
	w.requests[w.bucket%windowBuckets]++
}

// Allow reports whether the request may be retried on another server now, and
// counts the retry.
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

// advance clears the buckets that are no longer in the window.
func (w *Window) advance(now time.Duration) {
	bucket := int64(now / max(w.config.Length/windowBuckets, 1))
	for steps := 0; w.bucket < bucket && steps < windowBuckets; steps++ {
		w.bucket++
		i := w.bucket % windowBuckets
		w.requests[i], w.retries[i], w.refusalRetries[i] = 0, 0, 0
	}
	w.bucket = max(w.bucket, bucket)
}

func sum(buckets [windowBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
