package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// EntryGate decides at an entry whether a request is sent to the best server
// found for it, or refused at once. It answers the minutes in which more is
// asked than all engines can do: a queue then makes every answer late, and a
// batch gains nothing from requests that wait outside it.
type EntryGate struct {
	// Waiting is how many requests may wait at a server, all kinds alike, so that
	// those with a short goal are not the ones refused.
	Waiting int
	// Reading is how long a server may still read other prompts. Where it reads much,
	// all that it has is late, also what came first.
	Reading time.Duration
	// LateShare is the part of the time left that the predicted first token may
	// take.
	LateShare float64
}

// DefaultEntryGate returns the bounds used in production. Entries count each other's requests late: a
// place that one counts as free is often taken, so a request admitted to a queue waits behind more than
// was counted.
func DefaultEntryGate() EntryGate {
	return EntryGate{Waiting: 0, Reading: 100 * time.Millisecond, LateShare: 0.3}
}

// Bounds of the time to come back.
const (
	// earliestReturn is the least time after which a caller comes back. Some full engine mostly
	// ends a request within it, and the answer can still be in time.
	earliestReturn = 30 * time.Millisecond
	// placeTime is how long one more waiting request puts off the next, as the servers of a
	// region work in parallel.
	placeTime = 20 * time.Millisecond
	// returnGoal is the part of its goal after which a caller comes back at the latest where
	// places are taken, so that its answer can still be in time.
	returnGoal = 0.25
	// latestReturn keeps a refused caller within a third of its usual time.
	latestReturn = 1500 * time.Millisecond
	// returnSpread spreads callers that were refused together.
	returnSpread = 0.5
)

// Forecast is what a request would meet at the best server found for it.
type Forecast struct {
	// Ahead is how many requests the server would have beyond those it runs at once, this one
	// included; 0 or less if none has to wait.
	Ahead int
	// Reading is how long the server still reads the prompts that came before.
	Reading time.Duration
	// Predicted is when the first token comes.
	Predicted time.Duration
}

// Caller is what the caller of a request still has.
type Caller struct {
	// Left is the time until its deadline.
	Left time.Duration
	// Goal is the time to the first token that the caller expects; 0 if it expects none.
	Goal time.Duration
}

// Admit reports whether a request is sent on. If not, it returns when the caller should come back,
// spread so that callers do not return together.
//
// When a place comes free is not known, so callers ask again while they can still be answered in
// time. When prompts will have been read is known.
func (g EntryGate) Admit(f Forecast, c Caller, rng *rand.Rand) (bool, time.Duration) {
	if f.Ahead <= g.Waiting && f.Reading <= g.Reading && f.Predicted <= time.Duration(g.LateShare*float64(c.Left)) {
		return true, 0
	}
	places := time.Duration(f.Ahead-g.Waiting-1) * placeTime
	if c.Goal > 0 {
		places = min(places, time.Duration(returnGoal*float64(c.Goal)))
	}
	return false, ReturnTime(max(places, f.Reading-g.Reading), rng)
}

// ReturnTime returns when a caller should come back that was refused because a
// queue is this much too long.
func ReturnTime(over time.Duration, rng *rand.Rand) time.Duration {
	base := min(max(over, earliestReturn), latestReturn)
	return base + time.Duration(returnSpread*rng.Float64()*float64(base))
}

// Times to come back when no server can take a request.
const (
	// readyUnknown is the least of them when it is not known when one will: agents report
	// within a second.
	readyUnknown = time.Second
	// readySpread is the least time over which callers return once servers are ready.
	readySpread = 200 * time.Millisecond
	// honoured is the part of the time that a caller has left which it waits at most
	// before it comes back, and unknownShare the part of that from which on it is told
	// to if nothing tells when a server will be ready.
	honoured     = 1.0 / 3
	unknownShare = 0.75
	// outageGap is the time without such a refusal after which the next one belongs to
	// another outage.
	outageGap = time.Second
)

// Outage is a time in which no server of a service can take a request. The zero value
// is none.
type Outage struct {
	began, last time.Duration
}

// Refused notes that a request was refused for want of a server, and returns how long
// that has gone on.
func (o *Outage) Refused(now time.Duration) time.Duration {
	if o.last == 0 || now-o.last > outageGap {
		o.began = now
	}
	o.last = now
	return now - o.began
}

// Ended returns how long ago the last request was refused; the time since ever if none was.
func (o *Outage) Ended(now time.Duration) time.Duration {
	if o.last == 0 {
		return math.MaxInt64
	}
	return now - o.last
}

// Recovery is how long after an outage those who were refused in it still come back, and until what
// they ask for has been worked off.
const Recovery = 4 * time.Second

// ReturnWhenReady returns when a caller should come back that was refused because no
// server holds what it needs. Ready is when one will, 0 if unknown; left is what is left
// of the caller's time, and away how long servers have been away.
//
// A caller comes back once or twice. Where it is not known when a server will be ready, it gets the
// latest time that it waits for, so that it does not come back too early for good. Where it is
// known, those who were refused while servers were away return over as long a time.
func ReturnWhenReady(ready, left, away time.Duration, rng *rand.Rand) time.Duration {
	latest := time.Duration(honoured * float64(left))
	spread := min(away, latest-ready)
	if ready <= 0 {
		ready = max(readyUnknown, time.Duration(unknownShare*float64(latest)))
		spread = latest - ready
	}
	return ready + time.Duration(rng.Float64()*float64(max(spread, readySpread)))
}
