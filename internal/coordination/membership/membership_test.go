package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/membership"
)

var (
	epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	one   = filbertlever.Host{ID: "model-1", Role: filbertlever.RoleAgent}
	two   = filbertlever.Host{ID: "model-2", Role: filbertlever.RoleAgent}
)

func newTable() *membership.Table { return membership.New(membership.DefaultConfig()) }

// A host that fails must not get requests while the host list, which is updated
// with a delay, still contains it.
func TestFailedHostOnTheListIsNotUsable(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.ApplyList(1, []filbertlever.Host{one, two}, epoch)
	table.RecordFailure("model-1", epoch)
	c.Assert(table.Usable("model-1", epoch), qt.IsFalse)
	c.Assert(table.UsableHosts(filbertlever.RoleAgent, epoch), qt.DeepEquals, []filbertlever.Host{two})
}

// A host must become usable again after a failure. A failure after that doubles
// the time until then.
func TestSuspicionExpiresAndDoubles(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.ApplyList(1, []filbertlever.Host{one}, epoch)
	now, out := epoch, 500*time.Millisecond
	for range 3 {
		table.RecordFailure("model-1", now)
		c.Assert(table.Usable("model-1", now.Add(out-time.Millisecond)), qt.IsFalse)
		now, out = now.Add(out), 2*out
		c.Assert(table.Usable("model-1", now), qt.IsTrue)
	}
	table.RecordFailure("model-1", now)
	table.RecordAnswer("model-1", now)
	c.Assert(table.Usable("model-1", now), qt.IsTrue)
}

// The connections to a sound host were reset together, and it got no requests for
// 10 s, as each request in flight had doubled the time.
func TestSimultaneousFailuresCountOnce(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.ApplyList(1, []filbertlever.Host{one}, epoch)
	last := epoch
	for n := range 16 {
		last = epoch.Add(time.Duration(n) * 10 * time.Millisecond)
		table.RecordFailure("model-1", last)
	}
	c.Assert(table.Usable("model-1", last.Add(499*time.Millisecond)), qt.IsFalse)
	c.Assert(table.Usable("model-1", last.Add(500*time.Millisecond)), qt.IsTrue)
}

// A new host must get requests before the host list, which is updated with a
// delay, contains it.
func TestUnlistedHostIsUsableAfterContact(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.ApplyList(1, []filbertlever.Host{one}, epoch)
	table.RecordContact(two, "life-1", epoch)
	c.Assert(table.Usable("model-2", epoch), qt.IsTrue)
	table.ApplyList(2, []filbertlever.Host{one}, epoch.Add(time.Second))
	c.Assert(table.Usable("model-2", epoch.Add(time.Second)), qt.IsTrue)
	c.Assert(table.Usable("model-2", epoch.Add(2*time.Minute)), qt.IsFalse)
}

// An older host list that arrives late must not restore a replaced host.
func TestOlderListIsIgnored(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.ApplyList(5, []filbertlever.Host{two}, epoch.Add(time.Hour))
	c.Assert(table.ApplyList(4, []filbertlever.Host{one}, epoch.Add(time.Hour)), qt.IsFalse)
	c.Assert(table.Usable("model-1", epoch.Add(time.Hour)), qt.IsFalse)
}

// A late message of a host that announced its stop must not make it usable
// again. Its next incarnation is usable.
func TestAnnouncedStopIsFinalForTheIncarnation(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.ApplyList(1, []filbertlever.Host{one}, epoch)
	table.RecordContact(one, "life-1", epoch)
	table.RecordStop("model-1", "life-1")
	table.RecordContact(one, "life-1", epoch)
	table.ApplyList(2, []filbertlever.Host{one}, epoch)
	c.Assert(table.Usable("model-1", epoch), qt.IsFalse)
	table.RecordContact(one, "life-2", epoch)
	c.Assert(table.Usable("model-1", epoch), qt.IsTrue)
}
