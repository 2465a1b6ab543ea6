package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/lease"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

const ttl = 5 * time.Second

func acquiredLease(c *qt.C) *lease.Lease {
	l := lease.New("life-1", ttl)
	record := l.Next(lease.Record{Holder: "life-0", Fence: 6})
	c.Assert(record, qt.Equals, lease.Record{Holder: "life-1", Fence: 7})
	l.Observe(record, epoch)
	return l
}

// A slow response must not extend the lease: if validity counted from its
// arrival, the agent would consider the lease valid for longer than the platform
// does.
func TestValidityStartsWhenTheRequestIsSent(t *testing.T) {
	c := qt.New(t)
	l := acquiredLease(c)
	c.Assert(l.Valid(epoch.Add(ttl-time.Millisecond)), qt.IsTrue)
	c.Assert(l.Valid(epoch.Add(ttl)), qt.IsFalse)
}

// An agent that was replaced while it was paused must not load an old model
// after it resumes.
func TestHolderIsNotValidAfterAPause(t *testing.T) {
	c := qt.New(t)
	l := acquiredLease(c)
	l.Tick(epoch, time.Second)
	resumed := epoch.Add(time.Hour)
	l.Tick(resumed, time.Second)
	c.Assert(l.Valid(resumed), qt.IsFalse)
	c.Assert(l.MayActUnconfirmed(false), qt.IsFalse)
	c.Assert(l.MayActUnconfirmed(true), qt.IsTrue)
	l.Observe(lease.Record{Holder: "life-2", Fence: 8}, resumed)
	c.Assert(l.Lost(), qt.IsTrue)
	c.Assert(l.MayActUnconfirmed(true), qt.IsFalse)
	l.Observe(lease.Record{Holder: "life-1", Fence: 7}, resumed)
	c.Assert(l.Valid(resumed), qt.IsFalse)
}

// An agent that ran without a pause cannot have been replaced, so it may load an
// accepted model during an outage of the platform.
func TestHolderThatWasNotPausedMayActUnconfirmed(t *testing.T) {
	c := qt.New(t)
	l := acquiredLease(c)
	for i := range 100 {
		l.Tick(epoch.Add(time.Duration(i)*500*time.Millisecond), time.Second)
	}
	c.Assert(l.Valid(epoch.Add(50*time.Second)), qt.IsFalse)
	c.Assert(l.MayActUnconfirmed(false), qt.IsTrue)
}

// An engine must not execute the order of a holder that has been replaced.
func TestStaleFenceIsRejected(t *testing.T) {
	c := qt.New(t)
	var checker lease.FenceChecker
	c.Assert(checker.Admit(7), qt.IsTrue)
	c.Assert(checker.Admit(8), qt.IsTrue)
	c.Assert(checker.Admit(7), qt.IsFalse)
	c.Assert(checker.Admit(8), qt.IsTrue)
}

// An agent that confirmed its lease just before it was replaced may still send
// an order. An engine that ignores fencing numbers would execute it after an
// order of the new holder.
func TestNewHolderWaitsIfTheEngineIgnoresFences(t *testing.T) {
	c := qt.New(t)
	l := acquiredLease(c)
	c.Assert(l.HandoverDelay(epoch.Add(time.Second), false), qt.Equals, ttl-time.Second)
	c.Assert(l.HandoverDelay(epoch.Add(ttl), false), qt.Equals, time.Duration(0))
	c.Assert(l.HandoverDelay(epoch, true), qt.Equals, time.Duration(0))
	first := lease.New("life-1", ttl)
	first.Observe(first.Next(lease.Record{}), epoch)
	c.Assert(first.HandoverDelay(epoch, false), qt.Equals, time.Duration(0))
}
