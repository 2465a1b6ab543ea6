// Package switchover decides when each backend server of a service changes to a
// new version of its weights. Only a part of the servers is unavailable at a
// time, and all have changed before the deadline. A version of the weights that
// operators want served is a target version.
package switchover

import "time"

// Config holds the durations of a switchover.
type Config struct {
	// MaxStaleness is the maximum time after a target is set during which
	// requests may still start on an older version. It ends at the deadline of
	// the target.
	MaxStaleness time.Duration
	// PreparationTime is reserved for every server to stage the weights and to
	// drain for DrainDuration.
	PreparationTime time.Duration
	// DrainDuration is how long before its change a server receives no new
	// requests, so that fewer responses have to be resumed on another server.
	DrainDuration time.Duration
	// LoadTime is the time that one server takes to change.
	LoadTime time.Duration
	// Margin is reserved for delays before the deadline.
	Margin time.Duration
	// MaxQueueDelay is the maximum time for which a request waits in a server's
	// queue before it starts.
	MaxQueueDelay time.Duration
	// MaxPass is the duration of an engine's longest pass. The engine processes
	// cancellations only between two passes.
	MaxPass time.Duration
}

// WithMaxPass returns a copy of c for engines with the given longest pass.
func (c Config) WithMaxPass(pass time.Duration) Config {
	c.MaxPass = pass
	return c
}

// minPreparationShare is the minimum fraction of MaxStaleness that is reserved
// for preparation. Slower origins are used with longer values of MaxStaleness.
const minPreparationShare = 0.45

// maxQueueDelay is the maximum time for which a request waits in a server's
// queue because of other requests that its entry has not yet observed, doubled
// as a safety margin.
const maxQueueDelay = 1500 * time.Millisecond

// stagingTime is the time it takes to stage a set of weights beside its server
// and verify it.
const stagingTime = 200 * time.Millisecond

// DefaultConfig returns the durations for the given maximum staleness.
func DefaultConfig(maxStaleness time.Duration) Config {
	const fetch, drain = 2700 * time.Millisecond, 500 * time.Millisecond
	preparation := max(fetch+stagingTime+drain, time.Duration(minPreparationShare*float64(maxStaleness)))
	return Config{MaxStaleness: maxStaleness, PreparationTime: preparation, DrainDuration: drain, LoadTime: 400 * time.Millisecond, Margin: 200 * time.Millisecond, MaxQueueDelay: maxQueueDelay}
}

// TargetVersion is a version of the weights that operators want served.
type TargetVersion struct {
	Version uint64
	// SetAt is when the target was set, on the clock of all other times.
	SetAt time.Duration
	// Complete is true if all pieces are on the host and verified, which they
	// have been since CompleteAt.
	Complete   bool
	CompleteAt time.Duration
	// MissingPieces is how many of the TotalPieces are missing. Both are valid
	// only if SizeKnown is true.
	MissingPieces int
	TotalPieces   int
	SizeKnown     bool
}

// latestStart returns how long after a target is set a server may start its
// change at the latest.
func (c Config) latestStart() time.Duration { return max(c.MaxStaleness-c.Margin-c.LoadTime, 0) }

// StartOffset returns how long after a target is set the server at an index
// among count servers starts its change. The offsets are spread evenly from the
// end of the preparation to the latest start.
func (c Config) StartOffset(index, count int) time.Duration {
	last := c.latestStart()
	if last <= c.PreparationTime || count <= 1 {
		return min(c.PreparationTime, last)
	}
	return c.PreparationTime + (last-c.PreparationTime)*time.Duration(index)/time.Duration(count-1)
}

// TargetOnlyAfter returns how long after a target is set new requests go only
// to servers that hold it, if there are any, and state the version that must
// answer. Requests sent to another server would wait in its queue until they
// are cancelled.
func (c Config) TargetOnlyAfter() time.Duration {
	return max(c.MaxStaleness-max(c.MaxQueueDelay, propagationDelay+c.MaxPass+closeDelay+startMargin+typicalStartDelay), 0)
}

// typicalStartDelay is the maximum time that a request takes to start at a
// server with a free slot.
const typicalStartDelay = 300 * time.Millisecond

// propagationDelay is the time from the store's acknowledgement of a target
// until an entry observes it while the store is healthy. It includes a margin
// for relays.
const propagationDelay = 150 * time.Millisecond

// Naming is when a target was set, as far as an entry knows.
type Naming struct {
	// At is the time from which the limits of the target count. It was set no earlier than
	// propagationDelay before. 0 means unknown.
	At time.Duration
	// Estimated is true if the target may have been set later.
	Estimated bool
}

// StoreCall is a call with which an entry asks the store for changes.
type StoreCall struct {
	SentAt     time.Duration
	AnsweredAt time.Duration
	// MaxWait is how long the store may wait for a change before it answers.
	MaxWait time.Duration
}

// waited reports whether the store certainly waited for a change before it answered, given that the view was
// confirmed at confirmedAt.
//
// That the answer took long does not show it: the call may have been slow to reach the store, which then
// answered at once with a change that was made long before. So the store must have been allowed to wait, and the
// view must have been current when the call was made.
func (c StoreCall) waited(confirmedAt time.Duration) bool {
	return c.MaxWait > propagationDelay && c.AnsweredAt-c.SentAt > propagationDelay && isCurrent(confirmedAt, c.SentAt)
}

// isCurrent reports whether a view that was confirmed at confirmedAt lacks no change that was made long before.
func isCurrent(confirmedAt, now time.Duration) bool { return now-confirmedAt <= propagationDelay }

// ConfirmFirst reports whether the view is confirmed with a call that does not wait before one that does, because
// the answer to the latter could not tell when a change was made. A view that was confirmed by such a call just now
// is not confirmed again.
func ConfirmFirst(confirmedAt, now time.Duration, justConfirmed bool) bool {
	return !justConfirmed && !isCurrent(confirmedAt, now)
}

// NamingOf returns when a target was set that is in the answer to a call for the first time. The view before
// was confirmed at confirmedAt.
//
// The store answers a call that waits for changes as soon as there is one. A target in any other answer may have
// been set at any time since the view was confirmed, which is long ago if the sources of this entry had failed.
func NamingOf(call StoreCall, confirmedAt time.Duration) Naming {
	earliest := confirmedAt + propagationDelay
	if call.waited(confirmedAt) || earliest >= call.AnsweredAt {
		return Naming{At: call.AnsweredAt}
	}
	return Naming{At: earliest, Estimated: true}
}

// Earlier returns the naming with the earlier time, which is estimated if either is.
func (n Naming) Earlier(other Naming) Naming {
	switch {
	case n.At == 0:
		return other
	case other.At == 0:
		return n
	}
	return Naming{At: min(n.At, other.At), Estimated: n.Estimated || other.Estimated}
}

// startMargin is by how much a request may start later than predicted without
// being cancelled. Most are late by less. Each additional 100 ms leaves callers
// without a response for as long, and each reduction makes more callers
// receive the error that their request may have run.
const startMargin = 100 * time.Millisecond

// closeDelay is the time until a server observes that a connection was closed,
// including by an entry under load.
const closeDelay = 200 * time.Millisecond

// MayStartOnOlder reports whether a request that is sent now to a server with a
// version older than the target set at setAt starts there before it would be
// cancelled. Its first event is expected after the predicted delay.
//
// If the origin is unavailable when a target is set, no server holds the target
// by its deadline. The older version serves requests until then.
func (c Config) MayStartOnOlder(setAt, now, predicted time.Duration) bool {
	return now+predicted+startMargin <= c.CancelAt(setAt)
}

// StartDeadline returns the time by which requests to a version older than the
// target set at setAt must have started.
func (c Config) StartDeadline(setAt time.Duration) time.Duration {
	return setAt + c.MaxStaleness - propagationDelay
}

// CancelAt returns when requests that have not started are cancelled on servers
// with a version older than the target set at setAt.
//
// A request is cancelled by closing its connection, which the engine notices
// between two passes. A request whose prompt is being processed still starts at
// the end of the pass. Requests cancelled at the last moment started on old
// weights 50 to 190 ms after the deadline. The delay of the close and a whole
// pass must therefore end before the deadline.
func (c Config) CancelAt(setAt time.Duration) time.Duration {
	return c.StartDeadline(setAt) - c.MaxPass - closeDelay
}

// OlderUsableUntil returns until when new requests may be sent to a version
// older than the target set at setAt.
func (c Config) OlderUsableUntil(setAt time.Duration) time.Duration {
	return c.CancelAt(setAt) - startMargin
}

// NextChange returns the version that the server at an index among count
// servers should change to, and when it starts the change. Targets must be in
// order of versions. It returns false if no newer version is complete.
//
// The start is that of the oldest target that the server lacks, whose deadline
// comes first. The server then changes to the newest complete target, so that
// one change covers several targets. A server without weights serves no
// requests and changes immediately.
func (c Config) NextChange(held uint64, targets []TargetVersion, index, count int) (version uint64, start time.Duration, ok bool) {
	var oldest *TargetVersion
	completeAt := time.Duration(0)
	for i := range targets {
		t := &targets[i]
		if t.Version <= held {
			continue
		}
		if oldest == nil {
			oldest = t
		}
		if t.Complete {
			if !ok {
				completeAt = t.CompleteAt
			}
			version, ok = t.Version, true
		}
	}
	if held != 0 && oldest != nil {
		start = c.startTime(oldest.SetAt, completeAt, index, count)
	}
	return version, start, ok
}

// startTime returns when a server starts its change to a target that was set at
// setAt and is complete on the hosts since completeAt. All hosts have the
// weights at about the same time, so the starts are spread over the remaining
// time.
//
// If the weights arrive late, for example after an outage of the origin, start
// times counted from setAt have already passed. All servers would change at
// once, and none would be left for the responses in flight.
func (c Config) startTime(setAt, completeAt time.Duration, index, count int) time.Duration {
	if completeAt == 0 {
		return setAt + c.StartOffset(index, count)
	}
	first, last := completeAt+stagingTime+c.DrainDuration, setAt+c.latestStart()
	if first >= last || count <= 1 {
		return min(first, max(completeAt, last))
	}
	return first + (last-first)*time.Duration(index)/time.Duration(count-1)
}

// Idle reports whether a server receives no new requests, because it holds no
// version or because a newer target is the only version that may serve by now.
// Such a server needs no draining before its change.
func (c Config) Idle(held uint64, targets []TargetVersion, now time.Duration) bool {
	if held == 0 {
		return true
	}
	for _, t := range targets {
		if t.Version > held && c.MaxStaleness > 0 && !c.MayStartOnOlder(t.SetAt, now, 0) {
			return true
		}
	}
	return false
}

// maxReportDelay is how much older a server's report may be than the time at
// which it was requested: some hundred milliseconds, plus the delay of a
// request that was sent before.
const maxReportDelay = 500 * time.Millisecond

// IsDrained reports whether no requests wait or run on an idle server. This
// holds if the server has no weights, if all requests to cancel have been
// cancelled, or if a recent report of the server shows no requests. The last
// report without requests was requested at emptyReportAt, or emptyReportAt is 0
// if the last report shows some.
//
// A server receives no new requests for a while before the connections of its
// queued requests are closed. When the transfer of weights filled its link
// during that time, the closes waited for half a second behind sixteen pieces,
// and cancelled requests started on old weights.
func (c Config) IsDrained(held uint64, targets []TargetVersion, now, emptyReportAt time.Duration) bool {
	if held == 0 {
		return true
	}
	for _, t := range targets {
		if t.Version <= held || c.MaxStaleness <= 0 {
			continue
		}
		if now >= c.StartDeadline(t.SetAt) || emptyReportAt >= c.OlderUsableUntil(t.SetAt)+maxReportDelay {
			return true
		}
	}
	return false
}
