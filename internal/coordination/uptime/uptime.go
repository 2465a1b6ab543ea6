// Package uptime tracks how long the platform's store has answered without an outage, as one
// process can observe it: from its own calls and from the reports of other processes.
package uptime

import "time"

// MinOutage is how long the store must answer no process for that to count as an outage. It
// is shorter than the shortest outage in which the row of a live server expires, and longer
// than a host that watches the store waits for an answer.
const MinOutage = 2 * time.Second

// Span is a period in which the store answered, with no outage between two answers. Times
// are read from one monotonic clock.
type Span struct {
	// First and Last are the times of the first and the last answer. First <= Last.
	First, Last time.Duration
}

// adjoins reports whether there is no outage between the two spans.
func (s Span) adjoins(other Span) bool {
	return s.First-other.Last < MinOutage && other.First-s.Last < MinOutage
}

// union returns the span from the first to the last answer of both spans.
func (s Span) union(other Span) Span {
	return Span{First: min(s.First, other.First), Last: max(s.Last, other.Last)}
}

// Uptime is the uptime of the store as one process observes it. It is not safe for
// concurrent use. The zero value has no answers.
type Uptime struct {
	// spans holds the latest span, preceded by the one before the last outage if there was
	// one.
	spans []Span
}

// maxSpans is how many spans are kept. Two are enough because reports are at most seconds
// old.
const maxSpans = 2

// RecordAnswer records that the store answered this process at the given time.
func (u *Uptime) RecordAnswer(at time.Duration) { u.Merge(Span{First: at, Last: at}) }

// Merge adds a span that another process reported. Reports may arrive late and in any order.
func (u *Uptime) Merge(span Span) {
	var separate []Span
	for _, known := range u.spans {
		if known.adjoins(span) {
			span = span.union(known)
			continue
		}
		separate = append(separate, known)
	}
	at := 0
	for at < len(separate) && separate[at].Last < span.First {
		at++
	}
	u.spans = append(separate[:at:at], append([]Span{span}, separate[at:]...)...)
	u.spans = u.spans[max(len(u.spans)-maxSpans, 0):]
}

// Latest returns the latest span. It returns false if there have been no answers.
func (u *Uptime) Latest() (Span, bool) {
	if len(u.spans) == 0 {
		return Span{}, false
	}
	return u.spans[len(u.spans)-1], true
}

// OutageEnd returns when the last outage ended. It returns false if no outage is known.
func (u *Uptime) OutageEnd() (time.Duration, bool) {
	if len(u.spans) < maxSpans {
		return 0, false
	}
	return u.spans[len(u.spans)-1].First, true
}
