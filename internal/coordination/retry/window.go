package retry

import "time"

// windowParts is in how many parts a Window's time is counted.
const windowParts = 20

// refusalPart is the part of a Window that retries of refused requests may
// take, so that under overload enough is left for answers that broke off.
const refusalPart = 0.5

// WindowConfig is one process's part of a bound that several share: within any
// Length, all together make at most Ratio of the fresh requests and Slack more
// attempts beyond the first.
type WindowConfig struct {
	Length time.Duration
	Ratio  float64
	Slack  float64
}

// windowMargin is what is used of the bound: views of how many processes there
// are differ for a moment when one comes or goes.
const windowMargin = 0.85

// SharedWindow returns the part of one of several processes.
func SharedWindow(length time.Duration, ratio, slack float64, processes int) WindowConfig {
	return WindowConfig{Length: length, Ratio: windowMargin * ratio, Slack: windowMargin * slack / float64(max(processes, 1))}
}

// Window bounds retries over a sliding time. It is not safe for concurrent use.
type Window struct {
	config WindowConfig
	// part is the number of the newest part since the clock's start.
	part  int64
	fresh [windowParts]int
	extra [windowParts]int
	// refused are those of extra that followed a refusal.
	refused [windowParts]int
}

// NewWindow returns a window in which nothing has happened.
func NewWindow(config WindowConfig) *Window { return &Window{config: config} }

// Resize changes the bound; what was counted stays.
func (w *Window) Resize(config WindowConfig) { w.config = config }

// Fresh notes a fresh request.
func (w *Window) Fresh(now time.Duration) {
	w.advance(now)
	w.fresh[w.part%windowParts]++
}

// Again reports whether to try elsewhere now, and counts the try.
func (w *Window) Again(attempt Attempt, remaining, now time.Duration) bool {
	if remaining < MinRemaining {
		return false
	}
	w.advance(now)
	allowed := w.config.Ratio*float64(sum(w.fresh)) + w.config.Slack
	if float64(sum(w.extra)+1) > allowed {
		return false
	}
	if attempt.End != EndLost {
		if float64(sum(w.refused)+1) > refusalPart*allowed {
			return false
		}
		w.refused[w.part%windowParts]++
	}
	w.extra[w.part%windowParts]++
	return true
}

// advance clears the parts that have passed out of the window.
func (w *Window) advance(now time.Duration) {
	part := int64(now / max(w.config.Length/windowParts, 1))
	for steps := 0; w.part < part && steps < windowParts; steps++ {
		w.part++
		at := w.part % windowParts
		w.fresh[at], w.extra[at], w.refused[at] = 0, 0, 0
	}
	w.part = max(w.part, part)
}

func sum(parts [windowParts]int) int {
	total := 0
	for _, n := range parts {
		total += n
	}
	return total
}
