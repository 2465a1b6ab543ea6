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
	// Ready is the time kept for every server to have the weights laid beside it
	// and to have been quiet for Quiet.
	Ready time.Duration
	// Quiet is how long before its change a server gets no new requests, so that
	// fewer answers have to go on elsewhere.
	Quiet time.Duration
	// Load is how long one server takes to change.
	Load time.Duration
	// Reserve is kept for delays before the bound.
	Reserve time.Duration
	// Queue is how long a request may wait in a server's queue before it begins.
	Queue time.Duration
	// Pass is the longest that an engine works without a look at what was taken back.
	Pass time.Duration
}

// WithPass returns the times for engines whose longest pass is known.
func (c Config) WithPass(pass time.Duration) Config {
	c.Pass = pass
	return c
}

// readyShare is the least part of a bound that is kept for fetching: thinner origins go with longer
// bounds.
const readyShare = 0.45

// queueMost is what a request waits in a server's queue at most, beside others that the entries
// have not yet heard of, and as much again for safety.
const queueMost = 1500 * time.Millisecond

// layTime is what it takes to lay a set beside its server and check it.
const layTime = 200 * time.Millisecond

// DefaultConfig returns the times for a bound.
func DefaultConfig(bound time.Duration) Config {
	const fetch, quiet = 2700 * time.Millisecond, 500 * time.Millisecond
	ready := max(fetch+layTime+quiet, time.Duration(readyShare*float64(bound)))
	return Config{Bound: bound, Ready: ready, Quiet: quiet, Load: 400 * time.Millisecond, Reserve: 200 * time.Millisecond, Queue: queueMost}
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

// last is how long after the naming a server may begin its change at the latest.
func (c Config) last() time.Duration { return max(c.Bound-c.Reserve-c.Load, 0) }

// Turn returns how long after the naming of a version the server at a place
// among count servers begins its change. Turns are spread evenly over the time
// between being ready and the latest begin.
func (c Config) Turn(place, count int) time.Duration {
	last := c.last()
	if last <= c.Ready || count <= 1 {
		return min(c.Ready, last)
	}
	return c.Ready + (last-c.Ready)*time.Duration(place)/time.Duration(count-1)
}

// Strict returns how long after the naming of a version requests are sent to servers
// that hold it if there are any, and say so: the queue of another one would hold them
// until they are taken back.
func (c Config) Strict() time.Duration {
	return max(c.Bound-max(c.Queue, hearing+c.Pass+closeWay+startLate+usualStart), 0)
}

// usualStart is what a request takes to begin at a server with a free place, 0.1 to
// 0.3 s.
const usualStart = 300 * time.Millisecond

// hearing is what an entry hears of a named version later than the store
// acknowledged it while the store is sound: 30 ms at 45 entries, and as much again
// for each of four relays that it might pass.
const hearing = 150 * time.Millisecond

// startLate is how much later than predicted a request may begin without being taken
// back: most are late by less. Each tenth of a second more leaves callers without an
// answer for so much longer, each less has some more told that they may have run.
const startLate = 100 * time.Millisecond

// closeWay is how long it takes until a server knows that a connection was closed. An
// entry under load was 30 to 160 ms late to close it.
const closeWay = 200 * time.Millisecond

// MayBegin reports whether a request that is sent now to a server with a version
// older than one named at since begins there before it would be taken back, if its
// first event is predicted so.
//
// Gain: with the origin away while a version is named, no server holds it at its
// bound. Until then the older one answers.
func (c Config) MayBegin(since, now, predicted time.Duration) bool {
	return now+predicted+startLate <= c.TakeBackAt(since)
}

// BeginBy returns when every request must have begun that is answered by a version
// older than one named at since.
func (c Config) BeginBy(since time.Duration) time.Duration { return since + c.Bound - hearing }

// TakeBackAt returns when requests that have not begun by then are taken back from
// servers with a version older than one named at since.
//
// Guard: a request is taken back by closing its connection, which the engine notices
// between two passes. One whose prompt is being read begins at the pass's end all the
// same: requests that were taken back at the last moment began on old weights 50 to 190
// ms after their bound. The close is on its way, and a whole pass is over, before it.
func (c Config) TakeBackAt(since time.Duration) time.Duration {
	return c.BeginBy(since) - c.Pass - closeWay
}

// AnswersUntil returns until when a version older than one named at since may be the
// one to answer new requests.
func (c Config) AnswersUntil(since time.Duration) time.Duration {
	return c.TakeBackAt(since) - startLate
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
		begin = c.begin(oldest.Since, wholeAt, place, count)
	}
	return version, begin, ok
}

// begin returns when a server begins its change to a version named at since that
// has been whole on the hosts since wholeAt: its turn in the time that is left, as all
// hosts have the weights at about the same time.
//
// Guard: where the weights came late, as after an outage of the origin, turns that
// counted from the naming had passed, and all servers changed in the same moment: 19
// within 60 ms, with every answer broken off and none to go on at.
func (c Config) begin(since, wholeAt time.Duration, place, count int) time.Duration {
	if wholeAt == 0 {
		return since + c.Turn(place, count)
	}
	first, last := wholeAt+layTime+c.Quiet, since+c.last()
	if first >= last || count <= 1 {
		return min(first, max(wholeAt, last))
	}
	return first + (last-first)*time.Duration(place)/time.Duration(count-1)
}

// Fetches returns the version to fetch next. If versions follow each other
// quickly, the newest alone will do as long as it can be there in time for the
// bound of the oldest, or if that bound cannot be met any more; else the oldest
// comes first. Each is what one piece takes at the present rate.
func (c Config) Fetches(held uint64, named []Named, now, each time.Duration) (version uint64, ok bool) {
	var oldest, newest *Named
	for i := range named {
		if named[i].Version <= held {
			continue
		}
		if oldest == nil {
			oldest = &named[i]
		}
		newest = &named[i]
	}
	if newest == nil || newest.Whole {
		return 0, false
	}
	inTime := c.suffices(oldest, newest, now, each)
	missed := c.missed(oldest, now, each)
	if missed && c.sooner(oldest, newest, now, each) {
		return oldest.Version, true
	}
	if held == 0 || oldest.Whole || inTime || missed {
		return newest.Version, true
	}
	return oldest.Version, true
}

// suffices reports whether fetching the newest version alone leaves servers half of the turns that
// they have before the bound of the oldest one.
func (c Config) suffices(oldest, newest *Named, now, each time.Duration) bool {
	return now+c.needs(newest, each) <= oldest.Since+(c.Ready+c.last())/2
}

// begunShare is the part of a set from which on it is finished although a newer version suffices:
// should the source fail meanwhile, the servers have at least one of them before the bound.
const begunShare = 0.25

// begun reports whether so much of a version has come that it is finished.
func (n *Named) begun() bool {
	return n.Whole || n.Known && float64(n.Pieces-n.Left) >= begunShare*float64(n.Pieces)
}

// Skips reports whether a version is left out since the newest one alone suffices.
func (c Config) Skips(version uint64, named []Named, now, each time.Duration) bool {
	if c.Bound <= 0 || len(named) == 0 {
		return false
	}
	newest := &named[len(named)-1]
	for i := range named {
		n := &named[i]
		if n.Version != version || n == newest {
			continue
		}
		return now >= newest.Since && !n.begun() && c.suffices(n, newest, now, each)
	}
	return false
}

// changeTime is what a server without requests takes to lay and load a version.
const changeTime = 500 * time.Millisecond

// needs is how long it takes until a server serves a version that is fetched from
// now on, if each piece takes so long.
func (c Config) needs(n *Named, each time.Duration) time.Duration {
	switch {
	case n.Whole:
		return changeTime
	case n.Known:
		return time.Duration(n.Left)*each + changeTime
	}
	return c.Ready
}

// sooner reports whether fetching the older of two versions first leaves the server
// without an answer for less time, until the newer one is served, than fetching the
// newer one at once. Until the newer one's bound the older one may answer.
func (c Config) sooner(oldest, newest *Named, now, each time.Duration) bool {
	if !oldest.Known || oldest.Whole || oldest == newest {
		return false
	}
	served := now + c.needs(oldest, each)
	until := c.AnswersUntil(newest.Since)
	if served >= until {
		return false
	}
	direct := c.needs(newest, each)
	first := served - now + max(now+time.Duration(oldest.Left)*each+direct-until, 0)
	return first < direct
}

// Worth reports whether a version of which so many pieces are missing serves for
// longer than fetching them puts off another one, which alone may answer from a time on.
func Worth(left int, each, now, until time.Duration) bool {
	takes := time.Duration(left) * each
	return until-(now+takes+changeTime) > takes
}

// Abandons reports whether the fetching of a version is to be given up for the
// newest one: that one alone suffices, or the bound is missed, and the version could hardly
// serve before only the newest may answer.
func (c Config) Abandons(version uint64, named []Named, now, each time.Duration) bool {
	if len(named) == 0 {
		return false
	}
	newest := &named[len(named)-1]
	for i := range named {
		n := &named[i]
		if n.Version == version && n != newest {
			return c.Skips(version, named, now, each) || c.missed(n, now, each) && !c.sooner(n, newest, now, each)
		}
	}
	return false
}

// missed reports whether a version that is fetched from now on misses its bound.
func (c Config) missed(n *Named, now, each time.Duration) bool {
	return now+c.needs(n, each) > n.Since+c.Bound
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

// reportAge is how much older than its asking a server's own report may be: some hundred
// milliseconds, and the way of a request that was sent before.
const reportAge = 500 * time.Millisecond

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
		if now >= c.BeginBy(n.Since) || emptyAt >= c.AnswersUntil(n.Since)+reportAge {
			return true
		}
	}
	return false
}
