// Package contention decides which requests of one service give way while its servers have less room
// than callers ask for.
//
// Levels are ranked from 0 to 1 by the part of the requests that is more urgent. Under pressure, a request
// must leave slots of its server free, the more the higher the rank of its level, so that less urgent
// requests give way before the slots are taken. Within a level, callers that can still be answered in time
// go before others, then organisations within their share. The pressure rises while urgent requests find no
// free slot, and falls otherwise. Each entry computes it from its own counts and those of the entries that
// use the same servers.
package contention

import (
	"math"
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
	// Admissible is false if the request must be refused whatever its urgency. It lacks room only if Free
	// is negative too; otherwise, for instance, its caller has too little time left.
	Admissible bool
}

// Reason says why a request was admitted or refused.
type Reason string

// The reasons.
const (
	ReasonAdmitted Reason = "Admitted"
	// ReasonNoRoom refuses a request for which no slot is free, and ReasonInadmissible one that is refused
	// for another reason than room.
	ReasonNoRoom       Reason = "NoRoom"
	ReasonInadmissible Reason = "Inadmissible"
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
	// Reserve is the number of slots that the request had to leave free; its fraction is the probability
	// of one slot more.
	Reserve float64
	Reason  Reason
}

// Demand counts the requests of each level that a process has decided on since it started.
type Demand struct {
	Admitted []uint64 `cbor:"1,keyasint,omitempty"`
	Refused  []uint64 `cbor:"2,keyasint,omitempty"`
	// NoRoom counts those of Refused for which no slot was free at all.
	NoRoom []uint64 `cbor:"3,keyasint,omitempty"`
	// Returned counts the requests whose callers were seen to return. It is empty if this is not known.
	Returned []uint64 `cbor:"4,keyasint,omitempty"`
}

// Status describes a controller to operators.
type Status struct {
	// Contended is true while there is pressure or a request recently found no free slot.
	Contended bool
	// Pressure is from 0 to 1.
	Pressure float64
	// NoRoom is the fraction of the urgent requests that recently found no free slot.
	NoRoom float64
	// Reserves is the reserve of each level, and Served the fraction of its requests that was
	// admitted in the last seconds.
	Reserves, Served []float64
	// Peers is the number of entries whose counts are used, and OldestPeer the age of the oldest.
	Peers      int
	OldestPeer time.Duration
}

const (
	// maxCallGap is the longest time between two calls. A longer one means that the process was frozen,
	// and that its counts are out of date.
	maxCallGap = time.Second
	// resumeMargin is how long it takes a resumed process to receive the datagrams that waited.
	resumeMargin = 250 * time.Millisecond
)

// Controller decides on the requests of one service. It is not safe for concurrent use.
type Controller struct {
	rng    *rand.Rand
	demand Demand
	peers  map[filbertlever.HostID]peer
	// recent holds the counts of this entry and its peers in the last 0.5 s. served holds those of
	// admitted requests with a decay that is short enough to follow a burst of one level, callers those of
	// callers who were not seen to return with the same decay, and floor all with a longer one.
	recent  *window
	served  []float64
	callers []float64
	floor   []counts
	// yields is how far each level gives way to those above it, from 0 to 1.
	yields []float64
	// pressure is from 0 to 1, and maxReserve the reserve of a request of rank 1 at a pressure of 1.
	pressure, maxReserve float64
	// calledAt is the time of the last call, and updatedAt that of the last update of the pressure. Counts
	// of peers that arrive before validFrom may have waited while the process was frozen.
	calledAt, updatedAt, validFrom time.Duration
}

// New returns a controller for a number of urgency levels and of slots of a server.
func New(levels, slots int, rng *rand.Rand) *Controller {
	levels = max(levels, 1)
	return &Controller{
		rng:        rng,
		demand:     newDemand(levels),
		peers:      map[filbertlever.HostID]peer{},
		recent:     newWindow(recentBuckets, levels),
		served:     make([]float64, levels),
		callers:    make([]float64, levels),
		floor:      make([]counts, levels),
		yields:     make([]float64, levels),
		maxReserve: maxReservedShare * float64(max(slots, 0)),
	}
}

// advance updates the counts and the pressure to the current time.
func (c *Controller) advance(now time.Duration) {
	if now-c.calledAt > maxCallGap {
		c.recent.clear()
		clear(c.served)
		clear(c.callers)
		clear(c.floor)
		clear(c.yields)
		clear(c.peers)
		c.pressure, c.updatedAt, c.validFrom = 0, now, now+resumeMargin
	}
	c.calledAt = max(c.calledAt, now)
	for ; c.updatedAt+bucketLength <= now; c.updatedAt += bucketLength {
		c.updatePressure()
		c.updateYields()
		c.recent.advance()
		for level := range c.served {
			c.served[level] *= servedDecay
			c.callers[level] *= servedDecay
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
	if r.Returning || r.Late {
		n.returned = 1
		c.demand.Returned[level]++
	}
	c.record(level, n)
	if !d.Admit {
		d.RetryAfter = c.retryAfter(r, d)
	}
	return d
}

func (c *Controller) decide(r Request, level int, room Room) Decision {
	d := Decision{Admit: room.Admissible, Reason: ReasonAdmitted}
	switch {
	case room.Admissible:
	case room.Free < 0:
		d.Reason = ReasonNoRoom
	default:
		d.Reason = ReasonInadmissible
	}
	if c.pressure == 0 || !room.Admissible {
		return d
	}
	withinShare, reserve := c.reserve(r, level)
	d.Reserve = reserve
	free, u := float64(room.Free), c.rng.Float64()
	switch {
	case free >= math.Floor(d.Reserve+u) || free >= 0 && c.exempt(level):
		return d
	case free >= math.Floor(withinShare+u):
		d.Reason = ReasonOverShare
	default:
		d.Reason = ReasonLessUrgent
	}
	d.Admit = false
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

// retryAfter returns the retry delay of a request that was refused. The larger its reserve, the longer it
// takes until enough slots are free.
func (c *Controller) retryAfter(r Request, d Decision) time.Duration {
	longest := maxRetryAfter
	if r.Goal > 0 {
		longest = max(minRetryAfter, time.Duration(retryAfterGoalShare*float64(r.Goal)))
	}
	base := float64(minRetryAfter)
	if d.Reserve > 0 {
		base += max(0, float64(longest)/(1+retryAfterJitter)-base) * d.Reserve / c.maxReserve
	}
	return min(longest, time.Duration(base*(1+retryAfterJitter*c.rng.Float64())))
}

func (c *Controller) record(level int, n counts) {
	c.recent.add(level, n)
	c.served[level] += n.admitted
	c.callers[level] += n.callers()
	c.floor[level].add(n, 1)
}

// Demand returns this process's counts.
func (c *Controller) Demand() Demand { return c.demand.clone() }

// Contended reports whether there is pressure or a request recently found no free slot.
func (c *Controller) Contended(now time.Duration) bool {
	c.advance(now)
	return c.contended()
}

func (c *Controller) contended() bool { return c.pressure > 0 || c.recent.total().noRoom > 0 }

// Status describes the controller.
func (c *Controller) Status(now time.Duration) Status {
	c.advance(now)
	s := Status{Contended: c.contended(), Pressure: c.pressure, NoRoom: c.noRoomShare()}
	for level := range c.floor {
		reserve, _ := c.reserve(Request{}, level)
		s.Reserves = append(s.Reserves, reserve)
		s.Served = append(s.Served, servedShare(c.floor[level]))
	}
	for _, p := range c.peers {
		if age := now - p.heardAt; age <= peerTTL {
			s.Peers++
			s.OldestPeer = max(s.OldestPeer, age)
		}
	}
	return s
}
