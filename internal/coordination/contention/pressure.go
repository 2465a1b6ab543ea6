package contention

import (
	"math"
	"slices"
	"time"
)

const (
	// noRoomTarget is the fraction of the urgent requests that may find no free slot. Callers need at
	// least 95 of 100 urgent requests served at the first attempt.
	noRoomTarget = 0.03
	// The pressure rises from 0 to 1 within riseTime if the excess over the target is riseExcess, and
	// falls from 1 to 0 within fallTime. It rises fast, since each moment without a free slot costs urgent
	// callers, and falls over several times the duration of an answer.
	riseTime   = 300 * time.Millisecond
	riseExcess = 0.1
	fallTime   = 4 * time.Second
	// maxReservedShare is the part of a server's slots that a request of rank 1 leaves free at a pressure
	// of 1.
	maxReservedShare = 0.25
	// urgentRank: levels that begin below this rank are urgent.
	urgentRank = 0.5
	// minAsked is the number of recent urgent requests without which the pressure does not rise.
	minAsked = 8
)

// noRoomShare returns the fraction of the recent urgent requests that found no free slot, less one standard
// error, so that chance refusals of few requests raise no pressure.
func (c *Controller) noRoomShare() float64 {
	var n counts
	for level, recent := range c.recent.sums {
		if from, _ := c.ranks(level); level == 0 || from < urgentRank {
			n.add(recent, 1)
		}
	}
	asked := n.admitted + n.refused
	if asked < minAsked {
		return 0
	}
	return max(n.noRoom-math.Sqrt(n.noRoom), 0) / asked
}

// updatePressure moves the pressure by one step of bucketLength.
func (c *Controller) updatePressure() {
	if excess := c.noRoomShare() - noRoomTarget; excess > 0 {
		c.pressure += min(excess/riseExcess, 1) * float64(bucketLength) / float64(riseTime)
	} else {
		c.pressure -= float64(bucketLength) / float64(fallTime)
	}
	c.pressure = min(max(c.pressure, 0), 1)
}

// ranks returns the rank at which a level begins and the part of the ranks that it has, which is its part
// of the requests served recently. Refused attempts do not count: callers that return at once and often
// would lower the rank of their level.
func (c *Controller) ranks(level int) (from, width float64) {
	total := 0.0
	for i, n := range c.served {
		total += n
		switch {
		case i < level:
			from += n
		case i == level:
			width = n
		}
	}
	if total == 0 {
		return 0, 1
	}
	return from / total, width / total
}

// Callers who return often find the moments at which more slots are free than the reserve of their level. A level
// therefore gives way, with up to the whole reserve, as soon as its callers are served nearly as often as those of
// a more urgent level, whatever the number of their attempts.
const (
	// orderTolerance is by how much more often the callers of a level may be served than those of a more urgent
	// one. orderMargin is kept to it, as a part of what the more urgent level leaves unserved beyond the
	// tolerance: callers who return are also served after an overload, which this cannot prevent.
	orderTolerance = 0.05
	orderMargin    = 0.4
	// At an excess of yieldExcess a level gives way wholly within yieldTime.
	yieldExcess = 0.1
	yieldTime   = 200 * time.Millisecond
)

// updateYields moves the yield of each level by one step of bucketLength.
func (c *Controller) updateYields() {
	const step = float64(bucketLength) / float64(yieldTime)
	least := 1.0
	for level, callers := range c.callers {
		excess := -yieldExcess
		if callers >= minAsked {
			served := min(c.served[level]/callers, 1)
			excess = served - least - orderTolerance + orderMargin*max(1-orderTolerance-least, 0)
			least = min(least, served)
		}
		c.yields[level] += step * min(max(excess/yieldExcess, -1), 1)
		c.yields[level] = min(max(c.yields[level], 0), 1)
	}
}

// adjustment is by how many slots the reserve of a returning or over-share request differs at most from that
// of its level, at a pressure of 1.
const adjustment = 0.5

// fullyUnserved is the unserved fraction of a level from which on its organisations are held to their shares
// with the whole adjustment. A level that is served need not be divided.
const fullyUnserved = 0.2

// reserve returns the reserve of a request, without and with the addition for an organisation over its
// share. A level has the rank at which it begins, so that the requests of one level do not give way to each
// other. A late request has the reserve of the next level; no addition exceeds it.
func (c *Controller) reserve(r Request, level int) (withinShare, reserve float64) {
	from, width := c.ranks(level)
	from += (1 - from) * slices.Max(c.yields[:level+1])
	unit := c.pressure * c.maxReserve
	reserve, next := unit*from, unit*min(from+width, 1)
	switch {
	case r.Late:
		reserve = next
	case r.Returning:
		reserve = max(reserve-adjustment*c.pressure, 0)
	}
	if !(r.OverShare > 0) {
		return reserve, reserve
	}
	unserved := min((1-servedShare(c.floor[level]))/fullyUnserved, 1)
	return reserve, max(reserve, min(reserve+adjustment*c.pressure*unserved*min(r.OverShare, 1), next))
}

// A request needs no reserve while its level is served much less often than all levels together.
const (
	// floorShare is the bound, as a part of how often all levels together are served. Callers are
	// promised a quarter.
	floorShare = 1.0 / 3
	// All requests of a level are exempt below fullExemption times the bound, and none above noExemption
	// times the bound. In a narrower range the level is admitted in bursts, which refuse more urgent
	// requests.
	fullExemption = 0.6
	noExemption   = 1.1
)

// exempt reports whether a request needs no reserve because its level would starve. Callers that return
// often make their level look starved, so a level that has half of an equal part of all that is served is not
// exempt.
func (c *Controller) exempt(level int) bool {
	var all counts
	for _, n := range c.floor {
		all.add(n, 1)
	}
	if c.floor[level].admitted*float64(2*len(c.floor)) > all.admitted {
		return false
	}
	bound := floorShare * callersServed(all)
	excess := callersServed(c.floor[level]) - fullExemption*bound
	band := (noExemption - fullExemption) * bound
	return excess <= 0 || excess < band && excess < band*c.rng.Float64()
}
