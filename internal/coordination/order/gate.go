package order

import (
	"time"

	"github.com/filbertlever/filbertlever"
)

// Key identifies an order within an organisation.
type Key struct {
	Organisation filbertlever.OrganisationID
	Key          string
}

// Gate is the only place where an order starts. It exists as long as its agent
// process. The incarnation in each claim identifies the process whose gate holds
// the state of the order. Gate is not safe for concurrent use.
type Gate struct {
	incarnation filbertlever.Incarnation
	entries     map[Key]*gateEntry
	// retention is the time for which an order is kept after the platform
	// recorded its outcome.
	retention time.Duration
}

type gateState int

const (
	gateFenced gateState = iota + 1
	gateRunning
	gateDone
	gateUnknown
)

type gateEntry struct {
	state  gateState
	fence  uint64
	answer []byte
	// recordedAt is when the gate was notified that the platform holds the
	// outcome of the order. It is zero until then.
	recordedAt time.Time
}

// NewGate returns the gate of one incarnation of an agent.
func NewGate(incarnation filbertlever.Incarnation, retention time.Duration) *Gate {
	return &Gate{incarnation: incarnation, entries: map[Key]*gateEntry{}, retention: retention}
}

// Begin reports whether the caller must start an order under the claim with
// this fence.
//
// The same order may arrive from several entries, late, or after its claim was
// released. The first request whose fence is still valid gets GateStart. Every
// other request gets the state of the order.
func (g *Gate) Begin(key Key, incarnation filbertlever.Incarnation, fence uint64) GateReply {
	if incarnation != g.incarnation {
		return GateReply{Gate: GateOtherIncarnation, Reason: "agent was restarted"}
	}
	entry, ok := g.entries[key]
	if !ok {
		g.entries[key] = &gateEntry{state: gateRunning, fence: fence}
		return GateReply{Gate: GateStart}
	}
	if entry.state == gateFenced && fence > entry.fence {
		*entry = gateEntry{state: gateRunning, fence: fence}
		return GateReply{Gate: GateStart}
	}
	return entry.reply()
}

// Finish records that the order ran and returned answer.
func (g *Gate) Finish(key Key, answer []byte) {
	if entry, ok := g.entries[key]; ok && entry.state == gateRunning {
		entry.state = gateDone
		entry.answer = answer
	}
}

// Fail records that the outcome of a start is unknown: the service may or may
// not have run the order.
func (g *Gate) Fail(key Key) {
	if entry, ok := g.entries[key]; ok && entry.state == gateRunning {
		entry.state = gateUnknown
	}
}

// Revoke records that the order never reached the service. It did not run and
// cannot start under this fence any more.
func (g *Gate) Revoke(key Key) {
	if entry, ok := g.entries[key]; ok && entry.state == gateRunning {
		entry.state = gateFenced
	}
}

// Resolve returns the state of an order claimed with this fence. If the order
// has not started, Resolve fences it off.
//
// A claimant that was paused or disconnected may dispatch the order after
// another caller got the result that it did not run. The gate refuses such a
// dispatch because its fence is no longer valid.
func (g *Gate) Resolve(key Key, incarnation filbertlever.Incarnation, fence uint64) GateReply {
	if incarnation != g.incarnation {
		return GateReply{Gate: GateOtherIncarnation, Reason: "agent was restarted"}
	}
	entry, ok := g.entries[key]
	if !ok {
		entry = &gateEntry{state: gateFenced, fence: fence}
		g.entries[key] = entry
	}
	if entry.state == gateFenced {
		entry.fence = max(entry.fence, fence)
	}
	return entry.reply()
}

// MarkRecorded records that the platform holds the outcome of the order, so
// that the gate is no longer needed to resolve it.
func (g *Gate) MarkRecorded(key Key, now time.Time) {
	if entry, ok := g.entries[key]; ok && entry.state != gateRunning {
		entry.recordedAt = now
	}
}

// Expire removes orders whose outcome was recorded longer than the retention
// time ago. An order without a recorded outcome is never removed, because it
// could then start again.
func (g *Gate) Expire(now time.Time) {
	for key, entry := range g.entries {
		if !entry.recordedAt.IsZero() && now.Sub(entry.recordedAt) > g.retention {
			delete(g.entries, key)
		}
	}
}

// Len returns the number of orders that the gate holds.
func (g *Gate) Len() int { return len(g.entries) }

// Running returns the number of orders that have started and not ended.
func (g *Gate) Running() int {
	running := 0
	for _, entry := range g.entries {
		if entry.state == gateRunning {
			running++
		}
	}
	return running
}

func (e *gateEntry) reply() GateReply {
	switch e.state {
	case gateFenced:
		return GateReply{Gate: GateFenced, Reason: "the claim was given up"}
	case gateRunning:
		return GateReply{Gate: GateRunning}
	case gateDone:
		return GateReply{Gate: GateDone, Answer: e.answer}
	default:
		return GateReply{Gate: GateUnknown, Reason: ReasonServiceFailed}
	}
}
