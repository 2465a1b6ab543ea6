package switchover

import "time"

// NextFetch returns the version to fetch next. If targets are set in quick
// succession, only the newest is fetched, as long as it can be complete in time
// for the deadline of the oldest, or if that deadline cannot be met any more.
// Otherwise the oldest is fetched first. The time to fetch one piece at the
// current rate is pieceTime.
func (c Config) NextFetch(held uint64, targets []TargetVersion, now, pieceTime time.Duration) (version uint64, ok bool) {
	var oldest, newest *TargetVersion
	for i := range targets {
		if targets[i].Version <= held {
			continue
		}
		if oldest == nil {
			oldest = &targets[i]
		}
		newest = &targets[i]
	}
	if newest == nil || newest.Complete {
		return 0, false
	}
	newestInTime := c.isNewestInTime(oldest, newest, now, pieceTime)
	tooLate := c.missesDeadline(oldest, now, pieceTime)
	if tooLate && c.oldestReducesDowntime(oldest, newest, now, pieceTime) {
		return oldest.Version, true
	}
	if held == 0 || oldest.Complete || newestInTime || tooLate {
		return newest.Version, true
	}
	return oldest.Version, true
}

// isNewestInTime reports whether fetching only the newest target leaves servers
// half of the period in which they start their changes before the deadline of
// the oldest target.
func (c Config) isNewestInTime(oldest, newest *TargetVersion, now, pieceTime time.Duration) bool {
	return now+c.timeToServe(newest, pieceTime) <= oldest.SetAt+(c.PreparationTime+c.latestStart())/2
}

// finishShare is the fraction of a set from which its fetch is finished
// although a newer target suffices. If the source fails later, the servers have
// at least one of the two before the deadline.
const finishShare = 0.25

// shouldFinish reports whether so much of a target has been fetched that its
// fetch is finished.
func (t *TargetVersion) shouldFinish() bool {
	return t.Complete || t.SizeKnown && float64(t.TotalPieces-t.MissingPieces) >= finishShare*float64(t.TotalPieces)
}

// IsSuperseded reports whether a version is skipped since the newest target
// alone suffices.
func (c Config) IsSuperseded(version uint64, targets []TargetVersion, now, pieceTime time.Duration) bool {
	if c.MaxStaleness <= 0 || len(targets) == 0 {
		return false
	}
	newest := &targets[len(targets)-1]
	for i := range targets {
		t := &targets[i]
		if t.Version != version || t == newest {
			continue
		}
		return now >= newest.SetAt && !t.shouldFinish() && c.isNewestInTime(t, newest, now, pieceTime)
	}
	return false
}

// switchTime is the time that a server without requests takes to stage and load
// a version.
const switchTime = 500 * time.Millisecond

// timeToServe returns the time until a server serves a target that is fetched
// from now on.
func (c Config) timeToServe(t *TargetVersion, pieceTime time.Duration) time.Duration {
	switch {
	case t.Complete:
		return switchTime
	case t.SizeKnown:
		return time.Duration(t.MissingPieces)*pieceTime + switchTime
	}
	return c.PreparationTime
}

// oldestReducesDowntime reports whether fetching the oldest target first leaves
// the server without responses for less time, until the newest one is served,
// than fetching the newest one immediately. The oldest one may serve until the
// deadline of the newest.
func (c Config) oldestReducesDowntime(oldest, newest *TargetVersion, now, pieceTime time.Duration) bool {
	if !oldest.SizeKnown || oldest.Complete || oldest == newest {
		return false
	}
	servedAt := now + c.timeToServe(oldest, pieceTime)
	until := c.OlderUsableUntil(newest.SetAt)
	if servedAt >= until {
		return false
	}
	newestOnly := c.timeToServe(newest, pieceTime)
	oldestFirst := servedAt - now + max(now+time.Duration(oldest.MissingPieces)*pieceTime+newestOnly-until, 0)
	return oldestFirst < newestOnly
}

// WorthFetching reports whether a version with the given number of missing
// pieces serves for longer than its fetch delays that of a newer target, which
// alone may serve after the time until.
func WorthFetching(missing int, pieceTime, now, until time.Duration) bool {
	fetchTime := time.Duration(missing) * pieceTime
	return until-(now+fetchTime+switchTime) > fetchTime
}

// ShouldAbandon reports whether the fetch of a version is abandoned in favour
// of the newest target. This is so if that one alone suffices, or if the
// version misses its deadline and would hardly serve before the newest becomes
// the only one that may.
func (c Config) ShouldAbandon(version uint64, targets []TargetVersion, now, pieceTime time.Duration) bool {
	if len(targets) == 0 {
		return false
	}
	newest := &targets[len(targets)-1]
	for i := range targets {
		t := &targets[i]
		if t.Version == version && t != newest {
			return c.IsSuperseded(version, targets, now, pieceTime) || c.missesDeadline(t, now, pieceTime) && !c.oldestReducesDowntime(t, newest, now, pieceTime)
		}
	}
	return false
}

// missesDeadline reports whether a target that is fetched from now on misses
// its deadline.
func (c Config) missesDeadline(t *TargetVersion, now, pieceTime time.Duration) bool {
	return now+c.timeToServe(t, pieceTime) > t.SetAt+c.MaxStaleness
}
