// Package uptime keeps for how long the platform's store has answered without an outage, as
// far as one process can know: from its own calls and from what other processes report.
package uptime

import "time"

// OutageLeast is the time without an answer to anybody that counts as an outage: less than
// the shortest one in which the row of a live server lapses, and more than a host that follows
// the store waits for an answer.
const OutageLeast = 2 * time.Second

// Span is a stretch of time in which the store answered, with no outage between two answers.
// Times are of one steady clock.
type Span struct {
	// First and Last are the times of the first and the last answer; First <= Last.
	First, Last time.Duration
}

// joins reports whether no outage lies between two spans.
func (s Span) joins(other Span) bool {
	return s.First-other.Last < OutageLeast && other.First-s.Last < OutageLeast
}

// join returns the span from the first answer of both to the last.
func (s Span) join(other Span) Span {
	return Span{First: min(s.First, other.First), Last: max(s.Last, other.Last)}
}

// Uptime is what one process knows. It is not safe for concurrent use. The zero value knows
// of no answer.
type Uptime struct {
	// spans are the latest one, and the one before it if an outage lies between them; the
	// earlier one first.
	spans []Span
}

// spansMost is how many spans are kept: reports are at most seconds old.
const spansMost = 2

// Answered notes that the store answered this process at a time.
func (u *Uptime) Answered(at time.Duration) { u.Report(Span{First: at, Last: at}) }

// Report takes a span that another process knows of. Reports may come late and in any order.
func (u *Uptime) Report(span Span) {
	var apart []Span
	for _, known := range u.spans {
		if known.joins(span) {
			span = span.join(known)
			continue
		}
		apart = append(apart, known)
	}
	at := 0
	for at < len(apart) && apart[at].Last < span.First {
		at++
	}
	u.spans = append(apart[:at:at], append([]Span{span}, apart[at:]...)...)
	u.spans = u.spans[max(len(u.spans)-spansMost, 0):]
}

// Latest returns the latest span; false if no answer is known.
func (u *Uptime) Latest() (Span, bool) {
	if len(u.spans) == 0 {
		return Span{}, false
	}
	return u.spans[len(u.spans)-1], true
}

// OutageEnd returns when the last outage ended; false if none is known.
func (u *Uptime) OutageEnd() (time.Duration, bool) {
	if len(u.spans) < spansMost {
		return 0, false
	}
	return u.spans[len(u.spans)-1].First, true
}
