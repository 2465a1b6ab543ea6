// Package contention decides which requests of one service give way while its servers have less room
// than callers ask for.
//
// Requests are ranked from 0 to 1: by urgency level first, within a level by whether the caller can
// still be answered in time, then by whether its organisation is over its share. While requests find no
// free slot, only those ranked below a cutoff are served. The cutoff falls while too many of the requests
// below it find no free slot, and rises otherwise. Each entry computes it from its own counts and those
// of the other entries of its region.
package contention

import (
	"math/rand/v2"
	"time"

	"github.com/filbertlever/filbertlever"
)

// Request describes a request to decide on.
type Request struct {
	// Level is the urgency level; 0 is the most urgent.
	Level int
	// Returning is true if the caller was refused before, came back, and can still be answered within
	// its goal. Late is true if it can no longer be.
	Returning bool
	Late      bool
	// OverShare is how far the organisation exceeds its share; 0 if it does not.
	OverShare float64
	// Goal is the time to first token that the caller expects; 0 if there is none.
	Goal time.Duration
}

// Room is what is free at the server that was chosen for a request.
type Room struct {
	// Free is the number of slots that stay free with the request; negative if it would queue.
	Free int
	// Admissible is false if the request must be refused whatever its urgency.
	Admissible bool
}

// Reason says why a request was admitted or refused.
type Reason string

// The reasons.
const (
	ReasonAdmitted Reason = "Admitted"
	// ReasonNoRoom refuses a request for which no slot is free.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonLessUrgent refuses a request because more urgent ones need the free slots.
	ReasonLessUrgent Reason = "LessUrgent"
	// ReasonOverShare refuses a request that would have been admitted if its organisation were not
	// over its share.
	ReasonOverShare Reason = "OverShare"
)

// Decision is the decision on one request.
type Decision struct {
	Admit bool
	// RetryAfter is when the caller should return; 0 if the request is admitted.
	RetryAfter time.Duration
	// Rank is the rank of the request, and Cutoff the rank from which requests are refused.
	Rank, Cutoff float64
	Reason       Reason
}

// Demand counts the requests of each level that a process has decided on since it started.
type Demand struct {
	Admitted []uint64 `cbor:"1,keyasint,omitempty"`
	Refused  []uint64 `cbor:"2,keyasint,omitempty"`
	// NoRoom counts those of Refused that were ranked below the cutoff and found no free slot.
	NoRoom []uint64 `cbor:"3,keyasint,omitempty"`
}

// Status describes a controller to operators.
type Status struct {
	// Contended is true while a cutoff is in force.
	Contended bool
	Cutoff    float64
	// NoRoom is the fraction of the requests below the cutoff that recently found no free slot.
	NoRoom float64
	// Served is the fraction of the requests of each level that was admitted in the last seconds, and
	// Passing the fraction of each level that is ranked below the cutoff.
	Served, Passing []float64
	// Peers is the number of entries whose counts are used, and OldestPeer the age of the oldest.
	Peers      int
	OldestPeer time.Duration
}

// maxCallGap is the longest time between two calls. A longer one means that the process was frozen, and
// that its counts are out of date.
const maxCallGap = time.Second

// Controller decides on the requests of one service. It is not safe for concurrent use.
type Controller struct {
	rng    *rand.Rand
	demand Demand
	peers  map[filbertlever.HostID]peer
	// recent holds the counts of this entry and its peers in the last 0.5 s. asked holds them with a
	// decay that is short enough to follow a burst of one level, and floor with a longer one.
	recent       *window
	asked, floor []counts
	// cutoff is the rank from which requests are refused, from minCutoff to 1.
	cutoff float64
	// ampleRoom is the number of free slots with which a request is admitted whatever its rank.
	ampleRoom int
	// calledAt is the time of the last call, and updatedAt that of the last update of the cutoff.
	calledAt, updatedAt time.Duration
}

// New returns a controller for a number of urgency levels and of slots of a server.
func New(levels, slots int, rng *rand.Rand) *Controller {
	levels = max(levels, 1)
	return &Controller{
		rng:       rng,
		demand:    newDemand(levels),
		peers:     map[filbertlever.HostID]peer{},
		recent:    newWindow(recentBuckets, levels),
		asked:     make([]counts, levels),
		floor:     make([]counts, levels),
		cutoff:    1,
		ampleRoom: max(slots/ampleRoomDivisor, 1),
	}
}

// advance updates the counts and the cutoff to the current time.
func (c *Controller) advance(now time.Duration) {
	if now-c.calledAt > maxCallGap {
		c.recent.clear()
		clear(c.asked)
		clear(c.floor)
		clear(c.peers)
		c.cutoff, c.updatedAt = 1, now
	}
	c.calledAt = max(c.calledAt, now)
	for ; c.updatedAt+bucketLength <= now; c.updatedAt += bucketLength {
		c.updateCutoff()
		c.recent.advance()
		for level := range c.asked {
			c.asked[level].scale(askedDecay)
			c.floor[level].scale(floorDecay)
		}
	}
}

// Decide decides on a request and counts it.
func (c *Controller) Decide(r Request, room Room, now time.Duration) Decision {
	c.advance(now)
	level := min(max(r.Level, 0), len(c.floor)-1)
	d := c.decide(r, level, room)
	var n counts
	switch {
	case d.Admit:
		n.admitted = 1
		c.demand.Admitted[level]++
	case d.Reason == ReasonNoRoom:
		n.refused, n.noRoom = 1, 1
		c.demand.Refused[level]++
		c.demand.NoRoom[level]++
	default:
		n.refused = 1
		c.demand.Refused[level]++
	}
	c.record(level, n)
	if !d.Admit {
		d.RetryAfter = c.retryAfter(r, d)
	}
	return d
}

func (c *Controller) decide(r Request, level int, room Room) Decision {
	d := Decision{Cutoff: c.cutoff, Reason: ReasonAdmitted}
	hasRoom := room.Admissible && room.Free >= 0
	if c.cutoff < 1 && !(hasRoom && room.Free >= c.ampleRoom) {
		var withinShare float64
		withinShare, d.Rank = c.rank(r, level)
		if d.Rank >= c.cutoff && !c.exempt(level) {
			d.Reason = ReasonLessUrgent
			if withinShare < c.cutoff {
				d.Reason = ReasonOverShare
			}
			return d
		}
	}
	if d.Admit = room.Admissible && room.Free >= c.reserve(level); !d.Admit {
		d.Reason = ReasonNoRoom
	}
	return d
}

// Bounds of the retry delay. Within minRetryAfter one of the full servers usually ends a request. The
// longest delay leaves time for an answer within the goal.
const (
	minRetryAfter       = 30 * time.Millisecond
	maxRetryAfter       = 400 * time.Millisecond
	retryAfterGoalShare = 0.4
	// retryAfterJitter is the largest random addition, as a fraction of the delay. It spreads the
	// retries of callers that were refused together.
	retryAfterJitter = 0.5
)

// retryAfter returns the retry delay of a request that was refused. The further its rank is from the
// cutoff, the longer it takes until the cutoff has risen to it.
func (c *Controller) retryAfter(r Request, d Decision) time.Duration {
	longest := maxRetryAfter
	if r.Goal > 0 {
		longest = max(minRetryAfter, time.Duration(retryAfterGoalShare*float64(r.Goal)))
	}
	base := float64(minRetryAfter)
	if d.Rank > d.Cutoff {
		base += max(0, float64(longest)/(1+retryAfterJitter)-base) * (d.Rank - d.Cutoff)
	}
	return min(longest, time.Duration(base*(1+retryAfterJitter*c.rng.Float64())))
}

func (c *Controller) record(level int, n counts) {
	c.recent.add(level, n)
	c.asked[level].add(n, 1)
	c.floor[level].add(n, 1)
}

// Demand returns this process's counts.
func (c *Controller) Demand() Demand { return c.demand.clone() }

// Contended reports whether a cutoff is in force.
func (c *Controller) Contended(now time.Duration) bool {
	c.advance(now)
	return c.cutoff < 1
}

// Status describes the controller.
func (c *Controller) Status(now time.Duration) Status {
	c.advance(now)
	s := Status{Contended: c.cutoff < 1, Cutoff: c.cutoff, NoRoom: c.noRoomShare()}
	for level := range c.floor {
		from, width := c.ranks(level)
		passing := 1.0
		if c.cutoff < 1 {
			passing = min(max((c.cutoff-from)/max(width, minWidth), 0), 1)
		}
		s.Served = append(s.Served, servedShare(c.floor[level]))
		s.Passing = append(s.Passing, passing)
	}
	for _, p := range c.peers {
		if age := now - p.heardAt; age <= peerTTL {
			s.Peers++
			s.OldestPeer = max(s.OldestPeer, age)
		}
	}
	return s
}
