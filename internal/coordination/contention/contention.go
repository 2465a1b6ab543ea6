// Package contention decides which requests of one service give way while its servers have less room
// than callers ask for.
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
	ReasonAdmitted   Reason = "Admitted"
	ReasonNoRoom     Reason = "NoRoom"
	ReasonLessUrgent Reason = "LessUrgent"
	ReasonOverShare  Reason = "OverShare"
)

// Decision is the decision on one request.
type Decision struct {
	Admit bool
	// RetryAfter is when the caller should return; 0 if the request is admitted.
	RetryAfter time.Duration
	// Reserve is the number of free slots that was asked of the request.
	Reserve float64
	Reason  Reason
}

// Demand counts the requests of each level that a process has admitted and refused since it started.
type Demand struct {
	Admitted []uint64 `cbor:"1,keyasint,omitempty"`
	Refused  []uint64 `cbor:"2,keyasint,omitempty"`
}

// Status describes a controller to operators.
type Status struct {
	Contended bool
	// Reserves and ServedShare are by level.
	Reserves    []float64
	ServedShare []float64
}

// Controller decides on the requests of one service. It is not safe for concurrent use.
type Controller struct {
	demand Demand
	rng    *rand.Rand
}

// New returns a controller for a number of urgency levels and of slots of a server.
func New(levels, slots int, rng *rand.Rand) *Controller {
	return &Controller{rng: rng, demand: Demand{Admitted: make([]uint64, levels), Refused: make([]uint64, levels)}}
}

// Decide decides on a request and counts it.
func (c *Controller) Decide(r Request, room Room, now time.Duration) Decision {
	return Decision{Admit: room.Admissible, Reason: ReasonAdmitted}
}

// Demand returns this process's counts.
func (c *Controller) Demand() Demand { return c.demand }

// ApplyPeer applies the counts of another entry.
func (c *Controller) ApplyPeer(host filbertlever.HostID, d Demand, now time.Duration) {}

// RemovePeer drops the counts of an entry that has left.
func (c *Controller) RemovePeer(host filbertlever.HostID) {}

// Contended reports whether requests were refused recently or a reserve is in force.
func (c *Controller) Contended(now time.Duration) bool { return false }

// Status describes the controller.
func (c *Controller) Status(now time.Duration) Status { return Status{} }
