package switchover

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/freshness"
)

const (
	maxStaleness = 8 * time.Second
	ms, second   = time.Millisecond, time.Second
)

// Callers wait if all servers of a service load at once. The changes must be
// staggered, and the last one must end before the deadline.
func TestChangesAreStaggeredBeforeDeadline(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	const count = 27
	unavailable := 0
	for index := range count {
		offset := config.StartOffset(index, count)
		c.Assert(offset >= config.PreparationTime, qt.IsTrue)
		c.Assert(offset+config.LoadTime+config.Margin <= maxStaleness, qt.IsTrue)
		if offset < config.PreparationTime+config.LoadTime+config.DrainDuration {
			unavailable++
		}
	}
	c.Assert(unavailable <= count/3, qt.IsTrue, qt.Commentf("%d of %d servers are unavailable at once", unavailable, count))
}

// A later target must not postpone the change to an earlier one. Otherwise
// requests start on old weights after the deadline of the earlier target.
func TestLaterTargetDoesNotDelayEarlierOne(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	targets := []TargetVersion{{Version: 2, SetAt: 0, Complete: true}, {Version: 3, SetAt: 3 * time.Second}}
	version, start, ok := config.NextChange(1, targets, 26, 27)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(2))
	c.Assert(start, qt.Equals, config.StartOffset(26, 27))
}

// A server whose change starts when a third version is complete must change to
// that version directly.
func TestOneChangeCoversTwoTargets(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	targets := []TargetVersion{{Version: 2, SetAt: 0, Complete: true}, {Version: 3, SetAt: time.Second, Complete: true}}
	version, start, _ := config.NextChange(1, targets, 26, 27)
	c.Assert(version, qt.Equals, uint64(3))
	c.Assert(start, qt.Equals, config.StartOffset(26, 27))
	_, _, ok := config.NextChange(3, targets, 26, 27)
	c.Assert(ok, qt.IsFalse)
}

// A new server without weights has no requests that a change could disturb, so
// it must not wait for its start time.
func TestEmptyServerChangesAtOnce(t *testing.T) {
	c := qt.New(t)
	version, start, ok := DefaultConfig(maxStaleness).NextChange(0, []TargetVersion{{Version: 2, SetAt: time.Minute, Complete: true}}, 20, 27)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(2))
	c.Assert(start, qt.Equals, time.Duration(0))
}

// With two targets half a second apart, fetching both would take the link twice
// as long, and the newest alone suffices.
func TestSupersededTargetIsNotFetched(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	targets := []TargetVersion{{Version: 2, SetAt: 0}, {Version: 3, SetAt: 500 * time.Millisecond}}
	version, ok := config.NextFetch(1, targets, 500*time.Millisecond, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(3))
}

// A target must be fetched to its end if a newer one would be complete too late
// for its deadline.
func TestTargetNearItsDeadlineIsFetchedFirst(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	targets := []TargetVersion{{Version: 2, SetAt: 0}, {Version: 3, SetAt: 3 * time.Second}}
	version, ok := config.NextFetch(1, targets, 3*time.Second, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(2))
	targets[0].Complete = true
	version, ok = config.NextFetch(1, targets, 3*time.Second, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(3))
}

// After an outage of the origin beyond a target's deadline, fetching that
// target would only delay the newer one.
func TestTargetPastItsDeadlineIsNotFetched(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	targets := []TargetVersion{{Version: 2, SetAt: 0}, {Version: 3, SetAt: 2 * time.Second}}
	version, ok := config.NextFetch(1, targets, maxStaleness, defaultPieceTime)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, uint64(3))
}

// A request was sent to the older version 0.71 s before the deadline, waited
// 0.77 s in the queue and started 46 ms late. New requests must go only to
// servers with the newer version early enough to prevent that.
func TestQueuedRequestDoesNotStartAfterDeadline(t *testing.T) {
	c := qt.New(t)
	for _, maxStaleness := range []time.Duration{maxStaleness, 10300 * time.Millisecond} {
		config := DefaultConfig(maxStaleness)
		c.Assert(config.TargetOnlyAfter()+770*time.Millisecond < maxStaleness, qt.IsTrue)
		c.Assert(config.TargetOnlyAfter() > config.PreparationTime, qt.IsTrue)
	}
}

// The origin recovered around the deadlines of two targets. Servers abandoned a
// target that lacked an eighth of its pieces for a whole newer set, and
// answered nothing for 2.5 s more.
func TestNearlyCompleteTargetIsFetchedFirst(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	now := maxStaleness + 500*time.Millisecond
	tests := []struct {
		name         string
		older, newer TargetVersion
		want         uint64
	}{
		{"an eighth is missing", TargetVersion{MissingPieces: 8, SizeKnown: true}, TargetVersion{SetAt: 4 * time.Second, MissingPieces: 64, SizeKnown: true}, 2},
		{"the size of the newer target is unknown", TargetVersion{MissingPieces: 8, SizeKnown: true}, TargetVersion{SetAt: 4 * time.Second}, 2},
		{"the older target would serve for less time than its fetch takes", TargetVersion{MissingPieces: 28, SizeKnown: true}, TargetVersion{SetAt: 3 * time.Second, MissingPieces: 64, SizeKnown: true}, 3},
		{"most is missing", TargetVersion{MissingPieces: 48, SizeKnown: true}, TargetVersion{SetAt: 4 * time.Second, MissingPieces: 64, SizeKnown: true}, 3},
		{"the newer target is nearer to completion", TargetVersion{MissingPieces: 8, SizeKnown: true}, TargetVersion{SetAt: 4 * time.Second, MissingPieces: 4, SizeKnown: true}, 3},
		{"the newer target is soon the only one that may serve", TargetVersion{MissingPieces: 8, SizeKnown: true}, TargetVersion{SetAt: time.Second, MissingPieces: 64, SizeKnown: true}, 3},
		{"no fetch has started", TargetVersion{}, TargetVersion{SetAt: 4 * time.Second}, 3},
	}
	for _, test := range tests {
		test.older.Version, test.newer.Version = 2, 3
		version, ok := config.NextFetch(1, []TargetVersion{test.older, test.newer}, now, defaultPieceTime)
		c.Check(ok, qt.IsTrue)
		c.Check(version, qt.Equals, test.want, qt.Commentf(test.name))
		// A fetch in flight is abandoned only if the newer target should be fetched first.
		c.Check(config.ShouldAbandon(2, []TargetVersion{test.older, test.newer}, now, defaultPieceTime), qt.Equals, test.want == 3, qt.Commentf(test.name))
		c.Check(config.ShouldAbandon(3, []TargetVersion{test.older, test.newer}, now, defaultPieceTime), qt.IsFalse)
		c.Check(config.ShouldAbandon(2, []TargetVersion{test.older, test.newer}, 0, defaultPieceTime), qt.IsFalse)
	}
}

// When a target was complete only after its deadline, each server was drained
// for half a second before its change, although none could receive requests.
func TestServerWithoutRequestsIsIdle(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	targets := []TargetVersion{{Version: 2, SetAt: 0}}
	c.Assert(config.Idle(0, targets, 0), qt.IsTrue)
	// The server receives requests as long as they would start in time.
	lastSend := config.OlderUsableUntil(0)
	c.Assert(config.Idle(1, targets, lastSend), qt.IsFalse)
	c.Assert(config.Idle(1, targets, lastSend+1), qt.IsTrue)
	c.Assert(config.Idle(2, targets, lastSend+1), qt.IsFalse)
	c.Assert(DefaultConfig(0).Idle(1, targets, time.Hour), qt.IsFalse)
}

// With the origin unavailable, callers were refused for the last 1.5 s although
// requests would have started in time on free servers. Requests that may start
// late, as late as one in a hundred does, must not be sent.
func TestOlderVersionServesUntilDeadline(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	const setAt, startDelay = 3 * time.Second, 160 * time.Millisecond
	formerRefusal := config.MaxQueueDelay
	lastSend := setAt
	for now := setAt; now < setAt+2*maxStaleness; now += 10 * time.Millisecond {
		if config.MayStartOnOlder(setAt, now, startDelay) {
			lastSend = now
		}
	}
	c.Assert(lastSend+startDelay+290*time.Millisecond+propagationDelay <= setAt+maxStaleness, qt.IsTrue)
	c.Assert(setAt+maxStaleness-lastSend < formerRefusal/2, qt.IsTrue, qt.Commentf("refused for %v", setAt+maxStaleness-lastSend))
	c.Assert(config.MayStartOnOlder(setAt, lastSend, 500*time.Millisecond), qt.IsFalse)
}

// Two targets were set 2 s apart. After an outage of 6 s, the first lacked 4 of
// its 96 pieces, at 27 ms each. An assumed 88 ms per piece abandoned its fetch,
// and no server could answer until the second was complete 3 s later.
func TestObservedRateDecidesWhichFetchIsFinished(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	targets := []TargetVersion{{Version: 2, MissingPieces: 4, SizeKnown: true}, {Version: 3, SetAt: 2 * time.Second, MissingPieces: 96, SizeKnown: true}}
	const recovery = 8500 * time.Millisecond
	version, _ := config.NextFetch(1, targets, recovery, defaultPieceTime)
	c.Assert(version, qt.Equals, uint64(3))
	var estimator PieceTimeEstimator
	now := time.Second
	for range 92 {
		now += 27 * time.Millisecond
		estimator.ObservePiece(now)
	}
	estimator.ObservePiece(recovery)
	c.Assert(estimator.Estimate() < 30*time.Millisecond, qt.IsTrue, qt.Commentf("%v", estimator.Estimate()))
	version, _ = config.NextFetch(1, targets, recovery, estimator.Estimate())
	c.Assert(version, qt.Equals, uint64(2))
	c.Assert(config.ShouldAbandon(2, targets, recovery, estimator.Estimate()), qt.IsFalse)
	c.Assert(config.ShouldAbandon(2, targets, recovery+time.Second, estimator.Estimate()), qt.IsTrue)
	c.Assert(WorthFetching(4, estimator.Estimate(), recovery, config.OlderUsableUntil(targets[1].SetAt)), qt.IsTrue)
}

// The weights arrived after most start times had passed. All servers changed at
// once, and no response could be resumed elsewhere. The changes must be
// staggered over the time left until the deadline.
func TestLateChangesAreStaggered(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness)
	const count, completeAt = 19, 5500 * time.Millisecond
	targets := []TargetVersion{{Version: 2, Complete: true, CompleteAt: completeAt}}
	var starts []time.Duration
	for index := range count {
		_, start, _ := config.NextChange(1, targets, index, count)
		c.Assert(start >= completeAt && start <= config.latestStart(), qt.IsTrue)
		starts = append(starts, start)
	}
	unavailable := 0
	for _, start := range starts {
		if start < completeAt+config.LoadTime {
			unavailable++
		}
	}
	c.Assert(unavailable <= count/3, qt.IsTrue, qt.Commentf("%d of %d servers are unavailable at once", unavailable, count))
	// After the deadline a server changes at once, since it may not serve while it waits.
	targets[0].CompleteAt = maxStaleness
	_, start, _ := config.NextChange(1, targets, count-1, count)
	c.Assert(start, qt.Equals, maxStaleness)
}

// Requests started late since their connections were closed behind a transfer
// of weights. A server is drained only once all are cancelled, or once a report
// recent enough to include the last requests shows none.
func TestIdleServerIsNotDrainedImmediately(t *testing.T) {
	c := qt.New(t)
	config := DefaultConfig(maxStaleness).WithMaxPass(550 * time.Millisecond)
	targets := []TargetVersion{{Version: 2, SetAt: time.Minute}}
	usableUntil, deadline := config.OlderUsableUntil(time.Minute), config.StartDeadline(time.Minute)
	tests := []struct {
		held               uint64
		now, emptyReportAt time.Duration
		want               bool
	}{
		{held: 0, now: usableUntil, want: true},
		{held: 1, now: usableUntil + 1},
		{held: 1, now: deadline - 1},
		{held: 1, now: deadline, want: true},
		// This report may not include the last requests sent.
		{held: 1, now: deadline - 1, emptyReportAt: usableUntil + maxReportDelay - 1},
		{held: 1, now: deadline - 1, emptyReportAt: usableUntil + maxReportDelay, want: true},
		{held: 2, now: deadline + time.Hour, emptyReportAt: deadline + time.Hour},
	}
	for _, test := range tests {
		c.Check(config.IsDrained(test.held, targets, test.now, test.emptyReportAt), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
	c.Check(DefaultConfig(0).IsDrained(1, targets, time.Hour, time.Hour), qt.IsFalse)
}

// An entry that learned late of a version counted its deadline from the news: in an answer that came at once, or in
// one that was slow to come.
func TestNamingNeverCountsFromLateNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.IntRange(int(from/time.Millisecond), int(to/time.Millisecond)).Draw(t, name)) * time.Millisecond
		}
		confirmedAt := time.Minute
		setAt := confirmedAt + duration("set", 0, 5*time.Second)
		call := StoreCall{SentAt: confirmedAt + duration("gap", 0, 5*time.Second), MaxWait: rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second}).Draw(t, "wait")}
		outward := duration("outward", 0, 2*time.Second)
		arrivesAt := call.SentAt + outward
		if setAt > arrivesAt+call.MaxWait {
			t.Skip("the target is not in the answer")
		}
		// A call that waits is answered as soon as the target is set.
		call.AnsweredAt = max(arrivesAt, setAt)
		naming := NamingOf(call, confirmedAt)
		// Only what a call that follows a current view and may wait takes to reach a slow store is not known.
		unknown := time.Duration(0)
		if outward > propagationDelay && call.MaxWait > propagationDelay && call.SentAt-confirmedAt <= propagationDelay {
			unknown = outward
		}
		if naming.At > call.AnsweredAt || naming.At-propagationDelay > setAt+unknown {
			t.Fatalf("set at %v, %+v, counts from %v", setAt, call, naming.At)
		}
		if naming.Estimated != (naming.At < call.AnsweredAt) {
			t.Fatalf("estimated: %v, %+v", naming, call)
		}
	})
}

// In a long calm the allowance for the drift of the store's clock makes the view appear older than it is, so that a naming
// was no longer known exactly.
func TestNamingStaysExactInLongCalm(t *testing.T) {
	c := qt.New(t)
	const latency, wait = 2 * ms, second
	var clock freshness.RemoteClock
	confirmedAt, justConfirmed, short := time.Duration(0), false, 0
	for sentAt := second; sentAt < time.Hour; {
		call := StoreCall{SentAt: sentAt, MaxWait: wait}
		if ConfirmFirst(confirmedAt, sentAt, justConfirmed) {
			call.MaxWait, short = ms, short+1
		}
		justConfirmed = call.MaxWait == ms
		givenAt := sentAt + latency + call.MaxWait
		call.AnsweredAt = clock.AnsweredAt(sentAt, givenAt+latency, givenAt)
		if !justConfirmed {
			c.Assert(NamingOf(call, confirmedAt), qt.Equals, Naming{At: call.AnsweredAt}, qt.Commentf("sent at %v", sentAt))
		}
		confirmedAt, sentAt = call.AnsweredAt, givenAt+latency
	}
	c.Check(short < 20, qt.IsTrue, qt.Commentf("%d additional calls", short))
}

// An entry in touch with the store must not lose time of a version's deadline.
func TestNamingIsExactForCallsThatWait(t *testing.T) {
	for _, test := range []struct {
		name        string
		call        StoreCall
		confirmedAt time.Duration
		want        Naming
	}{
		{"it waited", StoreCall{10 * second, 10900 * ms, second}, 9900 * ms, Naming{At: 10900 * ms}},
		{"it followed at once", StoreCall{10 * second, 10005 * ms, second}, 9900 * ms, Naming{At: 10005 * ms}},
		{"after a pause", StoreCall{10 * second, 10005 * ms, second}, 8 * second, Naming{At: 8150 * ms, Estimated: true}},
		{"suspended while it waited", StoreCall{10 * second, 10900 * ms, second}, 9900 * ms, Naming{At: 10900 * ms}},
		{"slow after a pause", StoreCall{10 * second, 10300 * ms, second}, 8 * second, Naming{At: 8150 * ms, Estimated: true}},
		{"slow without a wait", StoreCall{10 * second, 10300 * ms, ms}, 9900 * ms, Naming{At: 10050 * ms, Estimated: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, NamingOf(test.call, test.confirmedAt), qt.Equals, test.want)
		})
	}
	c := qt.New(t)
	late, exact := Naming{At: 3 * second, Estimated: true}, Naming{At: 4 * second}
	c.Check(exact.Earlier(late), qt.Equals, late)
	c.Check(late.Earlier(Naming{At: second}), qt.Equals, Naming{At: second, Estimated: true})
	c.Check(Naming{}.Earlier(exact), qt.Equals, exact)
	c.Check(exact.Earlier(Naming{}), qt.Equals, exact)
}

// A deadline must not count from later than the naming of its version, with any kind of clock that the store may state,
// nor if the next version replaces it before it is seen.
func TestNamingIsInTimeWhateverTheStoresClock(t *testing.T) {
	const lead = time.Hour
	type remoteTime func(at time.Duration) time.Duration
	drifting := func(ppm int) remoteTime {
		return func(at time.Duration) time.Duration {
			return (lead + at + at*time.Duration(ppm)/1e6).Truncate(ms)
		}
	}
	stepping := func(at, by time.Duration) remoteTime {
		return func(now time.Duration) time.Duration {
			if now < at {
				by = 0
			}
			return (lead + now + by).Truncate(ms)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.IntRange(int(from/ms), int(to/ms)).Draw(t, name)) * ms
		}
		stepAt := duration("step", second, 40*second)
		// forward is by how much a clock is set forward that should be steady.
		forward := duration("forward", 0, 5*second)
		kinds := map[string]remoteTime{"absent": nil, "steady": drifting(0), "fast": drifting(500), "slow": drifting(-500),
			"restarted": func(at time.Duration) time.Duration {
				if at < stepAt {
					return lead + at
				}
				return at - stepAt + ms
			}, "set back": stepping(stepAt, -5*second), "set forward": stepping(stepAt, forward), "constant": func(time.Duration) time.Duration { return lead }}
		kind := rapid.SampledFrom([]string{"absent", "steady", "fast", "slow", "restarted", "set back", "set forward", "constant"}).Draw(t, "clock")
		setAt := []time.Duration{duration("second", 5*second, 40*second)}
		setAt = append(setAt, setAt[0]+duration("third", 0, 3*second))
		var clock freshness.RemoteClock
		confirmedAt, justConfirmed, seen := second, false, 0
		for sentAt := second; seen < len(setAt); {
			call := StoreCall{SentAt: sentAt, MaxWait: second}
			if ConfirmFirst(confirmedAt, sentAt, justConfirmed) {
				call.MaxWait = ms
			}
			justConfirmed = call.MaxWait == ms
			arrivesAt := sentAt + duration("outward", 0, propagationDelay)
			givenAt := arrivesAt + call.MaxWait
			if setAt[seen] <= givenAt {
				givenAt = max(arrivesAt, setAt[seen])
			}
			now := seen
			for now < len(setAt) && setAt[now] <= givenAt {
				now++
			}
			back := duration("back", 0, 100*ms)
			if rapid.IntRange(0, 9).Draw(t, "suspended") == 0 {
				back += duration("suspension", 0, 4*second)
			}
			call.AnsweredAt = sentAt
			if remote := kinds[kind]; remote != nil {
				call.AnsweredAt = clock.AnsweredAt(sentAt, givenAt+back, remote(givenAt))
			}
			if now > seen {
				// The deadlines of all versions that are seen here count at least from the oldest one.
				naming := NamingOf(call, confirmedAt)
				late := naming.At - propagationDelay - setAt[seen]
				if late > 0 && (kind != "set forward" || late > forward) {
					t.Fatalf("%s clock: set at %v, %+v, view of %v, counts from %v", kind, setAt[seen], call, confirmedAt, naming.At)
				}
			}
			seen = now
			confirmedAt = max(confirmedAt, call.AnsweredAt)
			sentAt = givenAt + back + duration("pause", 0, 90*ms)
			if rapid.IntRange(0, 9).Draw(t, "failed") == 0 {
				sentAt += duration("gap", 0, 2*second)
			}
		}
	})
}
