package stream

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An answer that resumes on another server repeats an event, or lacks one without an error. The other
// server may begin before or after the requested event.
func TestEventsAreDeliveredOnceAndInOrder(t *testing.T) {
	c := qt.New(t)
	var e Events
	e.ResumeAfter(-1)
	c.Assert(e.Check(4), qt.Equals, VerdictDeliver)
	c.Assert(e.Check(5), qt.Equals, VerdictDeliver)
	c.Assert(e.Check(4), qt.Equals, VerdictDrop)
	c.Assert(e.Check(5), qt.Equals, VerdictDrop)
	c.Assert(e.Check(7), qt.Equals, VerdictBroken)
	c.Assert(e.Check(6), qt.Equals, VerdictDeliver)
}

// The same if the caller itself resumes the answer, after event 12.
func TestEventsResumeAfterCallersLastEvent(t *testing.T) {
	c := qt.New(t)
	var e Events
	e.ResumeAfter(12)
	c.Assert(e.Check(12), qt.Equals, VerdictDrop)
	c.Assert(e.Check(14), qt.Equals, VerdictBroken)
	c.Assert(e.Check(13), qt.Equals, VerdictDeliver)
}
