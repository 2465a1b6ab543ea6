package stream

// Events checks the event numbers of one answer across several attempts, so that
// each event is delivered to the caller once and in order. The zero value accepts
// any first event.
type Events struct {
	// last is the number of the last event delivered, if started is true.
	last    int64
	started bool
}

// ResumeAfter sets the number of the last event that the caller has received. A
// negative number means none.
func (e *Events) ResumeAfter(last int64) {
	e.last, e.started = last, last >= 0
}

// Check returns what to do with the event of a number. A server that resumes a
// stream may begin too early, which would duplicate events, or too late, which
// would leave an undetected gap.
func (e *Events) Check(number int64) Verdict {
	switch {
	case e.started && number <= e.last:
		return VerdictDrop
	case e.started && number > e.last+1:
		return VerdictBroken
	}
	e.last, e.started = number, true
	return VerdictDeliver
}
