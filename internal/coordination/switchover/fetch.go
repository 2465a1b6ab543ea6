package switchover

import "time"

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
	inTime := c.isNewestInTime(oldest, newest, now, each)
	missed := c.missesDeadline(oldest, now, each)
	if missed && c.oldestReducesDowntime(oldest, newest, now, each) {
		return oldest.Version, true
	}
	if held == 0 || oldest.Whole || inTime || missed {
		return newest.Version, true
	}
	return oldest.Version, true
}

// isNewestInTime reports whether fetching the newest version alone leaves servers half of the turns that
// they have before the bound of the oldest one.
func (c Config) isNewestInTime(oldest, newest *Named, now, each time.Duration) bool {
	return now+c.timeToServe(newest, each) <= oldest.Since+(c.PreparationTime+c.latestStart())/2
}

// keepFetchingShare is the part of a set from which on it is finished although a newer version suffices:
// should the source fail meanwhile, the servers have at least one of them before the bound.
const keepFetchingShare = 0.25

// isWellUnderway reports whether so much of a version has come that it is finished.
func (n *Named) isWellUnderway() bool {
	return n.Whole || n.Known && float64(n.Pieces-n.Left) >= keepFetchingShare*float64(n.Pieces)
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
		return now >= newest.Since && !n.isWellUnderway() && c.isNewestInTime(n, newest, now, each)
	}
	return false
}

// switchTime is what a server without requests takes to lay and load a version.
const switchTime = 500 * time.Millisecond

// timeToServe is how long it takes until a server serves a version that is fetched from
// now on, if each piece takes so long.
func (c Config) timeToServe(n *Named, each time.Duration) time.Duration {
	switch {
	case n.Whole:
		return switchTime
	case n.Known:
		return time.Duration(n.Left)*each + switchTime
	}
	return c.PreparationTime
}

// oldestReducesDowntime reports whether fetching the older of two versions first leaves the server
// without an answer for less time, until the newer one is served, than fetching the
// newer one at once. Until the newer one's bound the older one may answer.
func (c Config) oldestReducesDowntime(oldest, newest *Named, now, each time.Duration) bool {
	if !oldest.Known || oldest.Whole || oldest == newest {
		return false
	}
	served := now + c.timeToServe(oldest, each)
	until := c.AnswersUntil(newest.Since)
	if served >= until {
		return false
	}
	direct := c.timeToServe(newest, each)
	first := served - now + max(now+time.Duration(oldest.Left)*each+direct-until, 0)
	return first < direct
}

// Worth reports whether a version of which so many pieces are missing serves for
// longer than fetching them puts off another one, which alone may answer from a time on.
func Worth(left int, each, now, until time.Duration) bool {
	takes := time.Duration(left) * each
	return until-(now+takes+switchTime) > takes
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
			return c.Skips(version, named, now, each) || c.missesDeadline(n, now, each) && !c.oldestReducesDowntime(n, newest, now, each)
		}
	}
	return false
}

// missesDeadline reports whether a version that is fetched from now on misses its bound.
func (c Config) missesDeadline(n *Named, now, each time.Duration) bool {
	return now+c.timeToServe(n, each) > n.Since+c.Bound
}
