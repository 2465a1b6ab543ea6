package forward

import "time"

// Running is what an entry knows of a running attempt whose answer is not complete.
type Running struct {
	// Begun is true once a part of the answer has arrived.
	Begun bool
	// Silent is the time since the server last sent a part of the answer or, before the first one,
	// since the attempt began.
	Silent time.Duration
	// Stalled is true if the server makes no progress on any of its requests, and Replaced if another
	// process runs in its place.
	Stalled, Replaced bool
	// Quarantined is true if the request must not run on any server, and Late if the answer would begin
	// on a version of the weights that may not begin answers any more.
	Quarantined, Late bool
	// Overtaken is true if another attempt has sent a part of the answer that this one had not.
	Overtaken bool
}

// Patience holds the times of silence after which a second attempt is started.
type Patience struct {
	// Stall applies before the answer has begun if the server is stalled, and Head if it is not.
	Stall, Head time.Duration
	// Gap applies after the answer has begun.
	Gap time.Duration
}

// Action is what to do with a running attempt.
type Action int

// The actions.
const (
	// ActionWait leaves the attempt as it is.
	ActionWait Action = iota
	// ActionHedge starts a second attempt at another server and keeps the first one. Whichever goes on
	// first completes the answer.
	ActionHedge
	// ActionCancel ends the attempt.
	ActionCancel
)

// Decide returns what to do with a running attempt, and why.
//
// A silent server may be about to go on, and the second server may fail. An attempt is therefore cancelled
// only if its answer may not begin any more, or if another attempt has already gone on in its place.
func (p Patience) Decide(r Running) (Action, EndedBy) {
	switch {
	case r.Overtaken:
		return ActionCancel, EndedByHedge
	case r.Quarantined && !r.Begun:
		return ActionCancel, EndedByQuarantine
	case r.Late && !r.Begun:
		return ActionCancel, EndedByStartDeadline
	case r.Replaced:
		return ActionHedge, EndedByReplacement
	case r.Begun && r.Silent >= p.Gap:
		return ActionHedge, EndedBySilence
	case !r.Begun && r.Stalled && r.Silent >= p.Stall:
		return ActionHedge, EndedByStall
	case !r.Begun && r.Silent >= p.Head:
		return ActionHedge, EndedByHeadTimeout
	}
	return ActionWait, ""
}

// CheckIn returns the time until Decide may next return another action as the silence goes on, and at
// least atLeast.
func (p Patience) CheckIn(r Running, atLeast time.Duration) time.Duration {
	due := p.Gap
	if !r.Begun {
		due = p.Stall
	}
	return max(due-r.Silent, atLeast)
}
