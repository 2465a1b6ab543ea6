package contention

import (
	"math"
	"time"
)

const (
	// noRoomTarget is the fraction of the requests below the cutoff that may find no free slot. Callers
	// need at least 95 of 100 urgent requests served at the first attempt.
	noRoomTarget = 0.05
	// fallTime is the time in which the cutoff falls by the excess of noRoom over its target. It is
	// shorter than the window of recent counts, so that a step of the demand is followed within it.
	fallTime = 400 * time.Millisecond
	// riseRate is the rise of the cutoff a second while noRoom is below its target, and idleRiseRate
	// the rise while every request below the cutoff finds a slot.
	riseRate     = 0.1
	idleRiseRate = 0.5
	// minCutoff keeps a part of the most urgent level passing, so that its counts show when there is
	// room again.
	minCutoff = 0.05
	// ampleRoomDivisor: with more than this part of a server's slots free there is room for all levels.
	ampleRoomDivisor = 4
	// fullReserveCutoff is the cutoff from which down all but the most urgent requests leave a slot free.
	fullReserveCutoff = 0.6
	// minAsked is the number of recent requests without which the cutoff does not fall.
	minAsked = 8
)

// noRoomShare returns the fraction of the recent requests below the cutoff that found no free slot, less
// one standard error, so that chance refusals of few requests do not lower the cutoff.
func (c *Controller) noRoomShare() float64 {
	n := c.recent.total()
	passed := n.admitted + n.noRoom
	if passed < minAsked {
		return 0
	}
	return max(n.noRoom-math.Sqrt(n.noRoom), 0) / passed
}

// updateCutoff moves the cutoff by one step of bucketLength.
func (c *Controller) updateCutoff() {
	const step = float64(bucketLength) / float64(time.Second)
	noRoom := c.noRoomShare()
	switch {
	case noRoom > noRoomTarget:
		c.cutoff *= 1 - (noRoom-noRoomTarget)*float64(bucketLength)/float64(fallTime)
	case noRoom > 0:
		c.cutoff += riseRate * step
	default:
		c.cutoff += idleRiseRate * step
	}
	c.cutoff = min(max(c.cutoff, minCutoff), 1)
}

// minWidth bounds the width of a level's ranks from below in divisions.
const minWidth = 1e-9

// ranks returns the rank at which a level begins and the part of the ranks that it has, which is its part
// of the recent requests.
func (c *Controller) ranks(level int) (from, width float64) {
	total := 0.0
	for i, n := range c.asked {
		asked := n.admitted + n.refused
		total += asked
		switch {
		case i < level:
			from += asked
		case i == level:
			width = asked
		}
	}
	if total == 0 {
		return 0, 1
	}
	return from / total, width / total
}

// Positions of requests within the ranks of their level, from 0 to 1. New requests are spread evenly.
const (
	// returningShare is the part of the ranks in which callers are that were refused before.
	returningShare = 0.5
	// overShareStart is the position from which requests of an organisation are that has twice its share
	// or more.
	overShareStart = 0.5
)

// rank returns the rank of a request, without and with the addition for an organisation over its share.
// A late request is behind all others of its level.
func (c *Controller) rank(r Request, level int) (withinShare, rank float64) {
	from, width := c.ranks(level)
	position := c.rng.Float64()
	switch {
	case r.Late:
		position = 1
	case r.Returning:
		position *= returningShare
	}
	withinShare = from + width*position
	if !(r.OverShare > 0) {
		return withinShare, withinShare
	}
	start := overShareStart * min(r.OverShare, 1)
	return withinShare, from + width*(start+(1-start)*position)
}

// A level passes the cutoff while it is served much less often than all levels together.
const (
	// floorShare is the bound, as a part of how often all levels together are served. Callers are
	// promised a quarter.
	floorShare = 1.0 / 3
	// All requests of a level pass below fullExemption times the bound, and none above noExemption
	// times the bound. In a narrower range the level is admitted in bursts, which refuse more urgent
	// requests.
	fullExemption = 0.6
	noExemption   = 1.1
)

// exempt reports whether a request passes the cutoff because its level would starve.
func (c *Controller) exempt(level int) bool {
	bound := floorShare * servedShare(c.floor...)
	excess := servedShare(c.floor[level]) - fullExemption*bound
	band := (noExemption - fullExemption) * bound
	return excess <= 0 || excess < band && excess < band*c.rng.Float64()
}

// reserve returns how many slots a request leaves free. Entries see each other's requests with a delay, so
// that the last free slot is often taken already. While a cutoff is in force, it is therefore kept for the
// most urgent level; the lower the cutoff, the more often.
func (c *Controller) reserve(level int) int {
	if level == 0 || c.cutoff == 1 || c.rng.Float64() >= (1-c.cutoff)/(1-fullReserveCutoff) {
		return math.MinInt
	}
	return 1
}
