package stream

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An answer that goes on at another server holds an event twice, or misses one
// and looks whole. The other server may begin before or after what was asked.
func TestEventsAreDeliveredOnceAndInOrder(t *testing.T) {
	c := qt.New(t)
	var e Events
	e.From(-1)
	c.Assert(e.Next(4), qt.Equals, VerdictDeliver)
	c.Assert(e.Next(5), qt.Equals, VerdictDeliver)
	c.Assert(e.Next(4), qt.Equals, VerdictDrop)
	c.Assert(e.Next(5), qt.Equals, VerdictDrop)
	c.Assert(e.Next(7), qt.Equals, VerdictBroken)
	c.Assert(e.Next(6), qt.Equals, VerdictDeliver)
}

// The same where the caller itself resumes after event 12.
func TestEventsResumeAfterCallersLastEvent(t *testing.T) {
	c := qt.New(t)
	var e Events
	e.From(12)
	c.Assert(e.Next(12), qt.Equals, VerdictDrop)
	c.Assert(e.Next(14), qt.Equals, VerdictBroken)
	c.Assert(e.Next(13), qt.Equals, VerdictDeliver)
}
