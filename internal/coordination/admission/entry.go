package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// EntryGate decides at an entry whether a request is sent to the best server found for it or refused
// immediately. It matters while demand exceeds the capacity of all engines: a queue then makes every
// answer late, and requests that wait outside a batch don't make it more efficient.
type EntryGate struct {
	// MaxQueuePosition is how many requests may wait at a server. It is the same for all kinds of
	// requests, so that those with a short goal are not the ones refused.
	MaxQueuePosition int
	// MaxPrefillWait is the longest prefill backlog of a server that gets a request. A longer one
	// delays all requests of the server, including earlier ones.
	MaxPrefillWait time.Duration
	// MaxRemainingShare is the largest fraction of the caller's remaining time that the predicted
	// first token may take.
	MaxRemainingShare float64
}

// DefaultEntryGate returns the bounds used in production. Entries observe each other's requests with
// a delay: a slot that one entry counts as free is often taken, so a request admitted to a queue waits
// behind more requests than were counted.
func DefaultEntryGate() EntryGate {
	return EntryGate{MaxQueuePosition: 0, MaxPrefillWait: 100 * time.Millisecond, MaxRemainingShare: 0.3}
}

// Bounds of the retry delay of requests that an EntryGate refuses.
const (
	// gateMinRetryAfter is the shortest delay. Within it, one of the full engines usually finishes a
	// request, and the answer can still be in time.
	gateMinRetryAfter = 30 * time.Millisecond
	// retryAfterPerSlot is the delay for each request beyond the queue limit. It is short because
	// the servers of a region work in parallel.
	retryAfterPerSlot = 20 * time.Millisecond
	// retryAfterGoalShare bounds the delay for missing slots to a fraction of the caller's goal, so
	// that the answer can still be in time.
	retryAfterGoalShare = 0.25
	// gateMaxRetryAfter keeps the delay within a third of a caller's usual timeout.
	gateMaxRetryAfter = 1500 * time.Millisecond
	// retryAfterJitter is the largest random addition, as a fraction of the delay. It spreads the
	// retries of callers that were refused together.
	retryAfterJitter = 0.5
)

// Forecast is the predicted state of the best server found for a request.
type Forecast struct {
	// QueuePosition is how many requests the server would have above its concurrency, this one
	// included. It is 0 or less if the request need not wait.
	QueuePosition int
	// PrefillWait is how long the server still prefills earlier prompts.
	PrefillWait time.Duration
	// Predicted is the predicted time to first token.
	Predicted time.Duration
}

// Caller holds the time limits of a request's caller.
type Caller struct {
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Goal is the time to first token that the caller expects; 0 if there is none.
	Goal time.Duration
}

// Admit reports whether a request is sent to the server. If not, it returns the delay after which the
// caller should retry, with jitter so that callers don't retry together.
//
// It is unknown when a slot becomes free, so callers retry while they can still be answered in time.
// The end of a prefill backlog is predicted, so callers wait for it.
func (g EntryGate) Admit(f Forecast, c Caller, rng *rand.Rand) (bool, time.Duration) {
	if f.QueuePosition <= g.MaxQueuePosition && f.PrefillWait <= g.MaxPrefillWait && f.Predicted <= time.Duration(g.MaxRemainingShare*float64(c.Remaining)) {
		return true, 0
	}
	slotDelay := time.Duration(f.QueuePosition-g.MaxQueuePosition-1) * retryAfterPerSlot
	if c.Goal > 0 {
		slotDelay = min(slotDelay, time.Duration(retryAfterGoalShare*float64(c.Goal)))
	}
	return false, RetryAfter(max(slotDelay, f.PrefillWait-g.MaxPrefillWait), rng)
}

// RetryAfter returns the retry delay of a caller that was refused because a queue exceeds its bound
// by excess.
func RetryAfter(excess time.Duration, rng *rand.Rand) time.Duration {
	base := min(max(excess, gateMinRetryAfter), gateMaxRetryAfter)
	return base + time.Duration(retryAfterJitter*rng.Float64()*float64(base))
}

// Bounds of the retry delay while no server can take a request.
const (
	// outageMinRetryAfter is the shortest delay if it is unknown when a server will be ready. Agents
	// report within a second.
	outageMinRetryAfter = time.Second
	// outageMinJitter is the shortest period over which retries are spread once servers are ready.
	outageMinJitter = 200 * time.Millisecond
	// outageRemainingShare is the largest fraction of a caller's remaining time that it waits before
	// a retry.
	outageRemainingShare = 1.0 / 3

	// outageUnknownShare is the fraction of that maximum at which the delay starts if it is unknown
	// when a server will be ready.
	outageUnknownShare = 0.75

	// outageMaxRefusalGap is the longest time between two refusals of the same outage.
	outageMaxRefusalGap = time.Second
)

// Outage is a period in which no server of a service can take a request. The zero value records no
// outage.
type Outage struct {
	start, lastRefusal time.Duration
}

// RecordRefusal records that a request was refused because no server can take it, and returns how
// long the outage has lasted.
func (o *Outage) RecordRefusal(now time.Duration) time.Duration {
	if o.lastRefusal == 0 || now-o.lastRefusal > outageMaxRefusalGap {
		o.start = now
	}
	o.lastRefusal = now
	return now - o.start
}

// SinceLastRefusal returns the time since the last refusal, or the longest duration if there was
// none.
func (o *Outage) SinceLastRefusal(now time.Duration) time.Duration {
	if o.lastRefusal == 0 {
		return math.MaxInt64
	}
	return now - o.lastRefusal
}

// RecoveryPeriod is the time after an outage in which refused callers still retry and the servers
// work off their requests.
const RecoveryPeriod = 4 * time.Second

// RetryAfterOutage returns the retry delay of a caller that was refused because no server holds the
// weights that it needs. The time until a server is ready is readyIn, 0 if unknown; remaining is the
// caller's remaining time, and outage is how long servers have been unavailable.
//
// A caller retries once or twice. If it is unknown when a server will be ready, the caller gets nearly
// the longest delay that it can wait, so that its last retry does not come too early. Otherwise the
// retries are spread over as long a period as the outage has lasted.
func RetryAfterOutage(readyIn, remaining, outage time.Duration, rng *rand.Rand) time.Duration {
	latest := time.Duration(outageRemainingShare * float64(remaining))
	spread := min(outage, latest-readyIn)
	if readyIn <= 0 {
		readyIn = max(outageMinRetryAfter, time.Duration(outageUnknownShare*float64(latest)))
		spread = latest - readyIn
	}
	return readyIn + time.Duration(rng.Float64()*float64(max(spread, outageMinJitter)))
}

// Bounds of the retry delay while all servers of a service are silent.
const (
	// maxPause is the longest silence after which a sound server is expected to continue.
	maxPause = 1500 * time.Millisecond
	// Retries are spread over the part of the caller's goal between these two fractions. The rest is
	// left for the answer.
	pauseMinGoalShare = 1.0 / 3
	pauseMaxGoalShare = 2.0 / 3
)

// RetryAfterSilence returns the retry delay of a caller that was refused because all servers have been
// silent for some time and may continue at any moment. The caller has waited for waited of its goal. It
// returns false if the answer would be late anyway or if the servers have been silent for too long: the
// delay is then that of an outage, after which the caller has a better chance with its next retry.
func RetryAfterSilence(silence, waited, goal, remaining time.Duration, rng *rand.Rand) (time.Duration, bool) {
	earliest, latest := time.Duration(pauseMinGoalShare*float64(goal)), time.Duration(pauseMaxGoalShare*float64(goal))
	if silence <= 0 || silence > maxPause || waited+latest >= goal || latest > time.Duration(outageRemainingShare*float64(remaining)) {
		return 0, false
	}
	return earliest + time.Duration(rng.Float64()*float64(latest-earliest)), true
}
