package stream

import "strconv"

// Events checks the events of one answer across several attempts, so that each event is delivered to
// the caller once and in order. The zero value accepts any first event.
//
// A server that resumes a stream may begin too early, which would duplicate events, too late, which
// would leave an undetected gap, or send events that cannot be placed.
type Events struct {
	// last is the number of the last event that the caller has, if numbered is true.
	last     int64
	numbered bool
	// unnumbered is true once an event without a number was delivered.
	unnumbered bool
	// resumes is true if the current attempt continues what the caller has.
	resumes bool
	// highest is the highest number of the current attempt, if sent is true.
	highest int64
	sent    bool
}

// ResumeAfter sets the ID of the last event that the caller has received. An ID that is no number, or
// is empty, means none.
func (e *Events) ResumeAfter(id string) { e.last, e.numbered = eventNumber(id) }

// BeginAttempt starts the next attempt whose events are delivered.
func (e *Events) BeginAttempt() {
	e.resumes, e.highest, e.sent = e.numbered || e.unnumbered, 0, false
}

// Check returns what to do with an event of the current attempt that has data. The ID may be empty.
func (e *Events) Check(id string) Verdict {
	number, ok := eventNumber(id)
	if !ok {
		if e.resumes {
			return VerdictBroken
		}
		e.unnumbered = true
		return VerdictDeliver
	}
	e.highest, e.sent = max(e.highest, number), true
	switch {
	case e.numbered && number <= e.last:
		return VerdictDrop
	case e.numbered && number > e.last+1:
		return VerdictBroken
	}
	e.last, e.numbered = number, true
	return VerdictDeliver
}

// Completes reports whether the end of the current attempt, which is a complete response, completes the
// answer. A run that ended before what the caller has is another one.
func (e *Events) Completes() bool { return !e.resumes || !e.sent || e.highest >= e.last }

// Resumable reports whether another attempt can continue the answer.
func (e *Events) Resumable() bool { return !e.unnumbered }

// eventNumber returns the number in an event ID, and false if it is none.
func eventNumber(id string) (int64, bool) {
	number, err := strconv.ParseInt(id, 10, 64)
	return number, err == nil && number >= 0
}
