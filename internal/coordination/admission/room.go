package admission

import (
	"slices"
	"time"
)

// Room keeps requests at an entry that no server can take right now, but one will
// soon. It answers the seconds after an outage, in which hundreds of callers come back
// who are late already: each time that they were refused they lost a try, most had only
// one, and two seconds later places were free again.
//
// Fresh requests do not wait here: in a long overload whoever waits is late, and takes
// a place from one who would not be. The room is only let into places that are free
// then, and it shrinks when that hardly happens. It is not safe for concurrent use.
type Room struct {
	// limit is how many may wait.
	limit   float64
	waiting []waiter
	next    uint64
}

// waiter is one request that waits.
type waiter struct {
	id      uint64
	service string
	until   time.Duration
}

// Bounds of a Room.
const (
	// roomFirst, roomLeast and roomMost bound how many wait at one entry. Each that is served
	// makes room for half of another one, and each that waited in vain leaves room for seven
	// tenths.
	roomFirst  = 32
	roomLeast  = 4
	roomMost   = 64
	roomGrowth = 0.5
	roomShrink = 0.7
	// roomReading is what a server that takes a request out of the room may still have
	// to read: half of what one that takes a fresh request may.
	roomReading = 60 * time.Millisecond
	// roomFree is how many places are left free for fresh requests.
	roomFree = 3
	// roomGoal is the part of its goal that a fresh request's first event may take at a
	// server that takes one out of the room.
	roomGoal = 0.5
)

// RoomWait is how long a request waits in a Room: its prompt still has to be read before its caller
// leaves.
const RoomWait = 1200 * time.Millisecond

// NewRoom returns an empty room.
func NewRoom() *Room { return &Room{limit: roomFirst} }

// Enter lets a request of a service wait until a time; false if the room is full.
func (r *Room) Enter(service string, until time.Duration) (id uint64, ok bool) {
	if len(r.waiting) >= int(r.limit) {
		return 0, false
	}
	r.next++
	r.waiting = append(r.waiting, waiter{id: r.next, service: service, until: until})
	return r.next, true
}

// Leave takes a request out whose caller has left.
func (r *Room) Leave(id uint64) {
	r.waiting = slices.DeleteFunc(r.waiting, func(w waiter) bool { return w.id == id })
}

// Empty reports whether nobody waits.
func (r *Room) Empty() bool { return len(r.waiting) == 0 }

// Scan offers places to those who wait, the first to come first, until take refuses one
// of each service, and returns those whose time is over.
func (r *Room) Scan(now time.Duration, take func(id uint64) bool) (over []uint64) {
	full := map[string]bool{}
	r.waiting = slices.DeleteFunc(r.waiting, func(w waiter) bool {
		if !full[w.service] && take(w.id) {
			r.limit = min(r.limit+roomGrowth, roomMost)
			return true
		}
		full[w.service] = true
		if now < w.until {
			return false
		}
		r.limit = max(r.limit*roomShrink, roomLeast)
		over = append(over, w.id)
		return true
	})
	return over
}

// AdmitWaiting reports whether a request that waits in a Room is sent on: only to a
// place that is free, at a server that reads little.
func (g EntryGate) AdmitWaiting(f Forecast, goal time.Duration) bool {
	return f.Ahead <= -roomFree && f.Reading <= roomReading && f.Predicted <= time.Duration(roomGoal*float64(goal))
}
