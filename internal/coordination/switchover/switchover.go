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
	// PreparationTime is the time kept for every server to have the weights laid beside it
	// and to have been quiet for Quiet.
	PreparationTime time.Duration
	// Quiet is how long before its change a server gets no new requests, so that
	// fewer answers have to go on elsewhere.
	Quiet time.Duration
	// LoadTime is how long one server takes to change.
	LoadTime time.Duration
	// Margin is kept for delays before the bound.
	Margin time.Duration
	// MaxQueueDelay is how long a request may wait in a server's queue before it begins.
	MaxQueueDelay time.Duration
	// Pass is the longest that an engine works without a look at what was taken back.
	Pass time.Duration
}

// WithPass returns the times for engines whose longest pass is known.
func (c Config) WithPass(pass time.Duration) Config {
	c.Pass = pass
	return c
}

// minPreparationShare is the least part of a bound that is kept for fetching: thinner origins go with longer
// bounds.
const minPreparationShare = 0.45

// maxQueueDelay is what a request waits in a server's queue at most, beside others that the entries
// have not yet heard of, and as much again for safety.
const maxQueueDelay = 1500 * time.Millisecond

// stagingTime is what it takes to lay a set beside its server and check it.
const stagingTime = 200 * time.Millisecond

// DefaultConfig returns the times for a bound.
func DefaultConfig(bound time.Duration) Config {
	const fetch, quiet = 2700 * time.Millisecond, 500 * time.Millisecond
	ready := max(fetch+stagingTime+quiet, time.Duration(minPreparationShare*float64(bound)))
	return Config{Bound: bound, PreparationTime: ready, Quiet: quiet, LoadTime: 400 * time.Millisecond, Margin: 200 * time.Millisecond, MaxQueueDelay: maxQueueDelay}
}

// Named is a version that operators have named.
type Named struct {
	Version uint64
	// Since is when it was named, on the clock of the other times.
	Since time.Duration
	// Whole is true if all its pieces are on the host and verified, since WholeAt.
	Whole   bool
	WholeAt time.Duration
	// Left is how many of its Pieces are missing, if Known; Pieces is at least Left.
	Left   int
	Pieces int
	Known  bool
}

// latestStart is how long after the naming a server may begin its change at the latest.
func (c Config) latestStart() time.Duration { return max(c.Bound-c.Margin-c.LoadTime, 0) }

// StartOffset returns how long after the naming of a version the server at a place
// among count servers begins its change. Turns are spread evenly over the time
// between being ready and the latest begin.
func (c Config) StartOffset(place, count int) time.Duration {
	last := c.latestStart()
	if last <= c.PreparationTime || count <= 1 {
		return min(c.PreparationTime, last)
	}
	return c.PreparationTime + (last-c.PreparationTime)*time.Duration(place)/time.Duration(count-1)
}

// Strict returns how long after the naming of a version requests are sent to servers
// that hold it if there are any, and say so: the queue of another one would hold them
// until they are taken back.
func (c Config) Strict() time.Duration {
	return max(c.Bound-max(c.MaxQueueDelay, propagationDelay+c.Pass+closeDelay+startMargin+typicalStartDelay), 0)
}

// typicalStartDelay is what a request takes at most to begin at a server with a free place.
const typicalStartDelay = 300 * time.Millisecond

// propagationDelay is what an entry hears of a named version later than the store
// acknowledged it while the store is sound, with room for relays on its way.
const propagationDelay = 150 * time.Millisecond

// startMargin is how much later than predicted a request may begin without being taken
// back: most are late by less. Each tenth of a second more leaves callers without an
// answer for so much longer, each less has some more told that they may have run.
const startMargin = 100 * time.Millisecond

// closeDelay is how long it takes until a server knows that a connection was closed, also by an entry
// under load.
const closeDelay = 200 * time.Millisecond

// MayBegin reports whether a request that is sent now to a server with a version
// older than one named at since begins there before it would be taken back, if its
// first event is predicted so.
//
// Gain: with the origin away while a version is named, no server holds it at its
// bound. Until then the older one answers.
func (c Config) MayBegin(since, now, predicted time.Duration) bool {
	return now+predicted+startMargin <= c.TakeBackAt(since)
}

// BeginBy returns when every request must have begun that is answered by a version
// older than one named at since.
func (c Config) BeginBy(since time.Duration) time.Duration { return since + c.Bound - propagationDelay }

// TakeBackAt returns when requests that have not begun by then are taken back from
// servers with a version older than one named at since.
//
// Guard: a request is taken back by closing its connection, which the engine notices
// between two passes. One whose prompt is being read begins at the pass's end all the
// same: requests that were taken back at the last moment began on old weights 50 to 190
// ms after their bound. The close is on its way, and a whole pass is over, before it.
func (c Config) TakeBackAt(since time.Duration) time.Duration {
	return c.BeginBy(since) - c.Pass - closeDelay
}

// AnswersUntil returns until when a version older than one named at since may be the
// one to answer new requests.
func (c Config) AnswersUntil(since time.Duration) time.Duration {
	return c.TakeBackAt(since) - startMargin
}

// Next returns the version that a server at a place should change to, and when
// it begins. Named is in order of versions; ok is false if there is nothing to
// change to yet. A server's turn is that of the oldest version that it lacks,
// whose bound comes first; it then takes the newest that is there, so that one
// change serves several versions. An empty server serves nothing that could
// suffer and changes at once.
func (c Config) Next(held uint64, named []Named, place, count int) (version uint64, begin time.Duration, ok bool) {
	var oldest *Named
	wholeAt := time.Duration(0)
	for i := range named {
		n := &named[i]
		if n.Version <= held {
			continue
		}
		if oldest == nil {
			oldest = n
		}
		if n.Whole {
			if !ok {
				wholeAt = n.WholeAt
			}
			version, ok = n.Version, true
		}
	}
	if held != 0 && oldest != nil {
		begin = c.startTime(oldest.Since, wholeAt, place, count)
	}
	return version, begin, ok
}

// startTime returns when a server begins its change to a version named at since that
// has been whole on the hosts since wholeAt: its turn in the time that is left, as all
// hosts have the weights at about the same time.
//
// Guard: where the weights come late, as after an outage of the origin, turns that count from the
// naming have passed; all servers would change at once and leave none for the answers under way.
func (c Config) startTime(since, wholeAt time.Duration, place, count int) time.Duration {
	if wholeAt == 0 {
		return since + c.StartOffset(place, count)
	}
	first, last := wholeAt+stagingTime+c.Quiet, since+c.latestStart()
	if first >= last || count <= 1 {
		return min(first, max(wholeAt, last))
	}
	return first + (last-first)*time.Duration(place)/time.Duration(count-1)
}

// Idle reports whether a server gets no requests: it holds nothing, or a version
// that it lacks is the only one to answer by now. Nothing has to be kept from it
// before its change.
func (c Config) Idle(held uint64, named []Named, now time.Duration) bool {
	if held == 0 {
		return true
	}
	for _, n := range named {
		if n.Version > held && c.Bound > 0 && !c.MayBegin(n.Since, now, 0) {
			return true
		}
	}
	return false
}

// maxReportDelay is how much older than its asking a server's own report may be: some hundred
// milliseconds, and the way of a request that was sent before.
const maxReportDelay = 500 * time.Millisecond

// Still reports whether nothing waits or runs at a server that is idle: it holds nothing,
// what was to be taken back has been, or its own report, the last of which without a
// request was asked for at emptyAt (0 if it shows some), shows none since no more are sent.
//
// Guard: a server gets no new requests from a while before the connections of those that
// wait there are closed. Its link was filled from then on, the closes lay for half a
// second behind sixteen pieces, and requests that were taken back began on old weights.
func (c Config) Still(held uint64, named []Named, now, emptyAt time.Duration) bool {
	if held == 0 {
		return true
	}
	for _, n := range named {
		if n.Version <= held || c.Bound <= 0 {
			continue
		}
		if now >= c.BeginBy(n.Since) || emptyAt >= c.AnswersUntil(n.Since)+maxReportDelay {
			return true
		}
	}
	return false
}
