package stream

// Events follows the numbered events of one answer over several attempts, so
// that each reaches the caller once and in order. The zero value knows nothing
// and takes any first event.
type Events struct {
	last    int64
	started bool
}

// From says that the caller has all events up to last; negative means none.
func (e *Events) From(last int64) {
	e.last, e.started = last, last >= 0
}

// Next tells what to do with the event of a number.
//
// Guard: a server that goes on with a stream may begin too early, which would
// double events, or too late, which would leave a hole that looks whole.
func (e *Events) Next(number int64) Verdict {
	switch {
	case e.started && number <= e.last:
		return VerdictDrop
	case e.started && number > e.last+1:
		return VerdictBroken
	}
	e.last, e.started = number, true
	return VerdictDeliver
}
