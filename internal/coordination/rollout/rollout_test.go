package rollout_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/rollout"
	"github.com/filbertlever/filbertlever/internal/state"
)

var errPlatform = errors.New("platform: connection lost")

// table is the platform's head and history rows.
type table struct {
	head     state.Head
	revision uint64
	history  map[uint64]state.Head
	down     bool
	loseAcks int
	// delayed is a swap whose acknowledgement was lost and that takes effect later.
	delayed *delayedSwap
}

type delayedSwap struct {
	head     state.Head
	expected uint64
}

func (t *table) swap(head state.Head, expected uint64) bool {
	if t.revision != expected {
		return false
	}
	t.head, t.revision = head, t.revision+1
	t.history[head.Version] = head
	return true
}

func (t *table) applyDelayed() {
	if t.delayed != nil {
		t.swap(t.delayed.head, t.delayed.expected)
		t.delayed = nil
	}
}

type operator struct {
	head   state.Head
	roll   *rollout.Roll
	next   rollout.Action
	result *rollout.Result
	put    bool
}

func newOperator(head state.Head) *operator {
	o := &operator{head: head, roll: rollout.New(head)}
	o.next = o.roll.Start()
	return o
}

func (o *operator) step(t *table) {
	switch o.next.Kind {
	case rollout.ActionRead:
		if t.down {
			o.next = o.roll.Read(rollout.HeadRead{}, errPlatform)
			return
		}
		o.next = o.roll.Read(rollout.HeadRead{Head: t.head, Revision: t.revision, Recorded: t.history[o.head.Version]}, nil)
	case rollout.ActionPut:
		if t.down {
			o.next = o.roll.Put(errPlatform)
			return
		}
		o.put = true
		o.next = o.roll.Put(nil)
	case rollout.ActionSwap:
		o.swap(t)
	case rollout.ActionFinish:
		o.result = &o.next.Result
	}
}

func (o *operator) swap(t *table) {
	if t.down {
		o.next = o.roll.Swapped(false, errPlatform)
		return
	}
	if t.loseAcks == 2 {
		t.loseAcks = 0
		t.delayed = &delayedSwap{head: o.head, expected: o.next.Revision}
		o.next = o.roll.Swapped(false, errPlatform)
		return
	}
	applied := t.swap(o.head, o.next.Revision)
	if t.loseAcks == 1 {
		t.loseAcks = 0
		o.next = o.roll.Swapped(false, errPlatform)
		return
	}
	o.next = o.roll.Swapped(applied, nil)
}

func (o *operator) finish(t *table) rollout.Result {
	for o.result == nil {
		o.step(t)
	}
	return *o.result
}

func newTable() *table { return &table{history: map[uint64]state.Head{}} }

func head(version uint64, name, parent string) state.Head {
	return state.Head{Version: version, Digest: filbertlever.Digest(name), Parent: filbertlever.Digest(parent), Object: name}
}

// Two operators roll at the same time. Only one bundle may be accepted, and the
// other operator must get a conflict.
func TestConcurrentRollsAcceptOneBundle(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	a, b := newOperator(head(1, "a", "")), newOperator(head(1, "b", ""))
	for a.result == nil || b.result == nil {
		for _, o := range []*operator{a, b} {
			if o.result == nil {
				o.step(table)
			}
		}
	}
	c.Assert(a.result.Outcome, qt.Equals, rollout.OutcomeAccepted)
	c.Assert(b.result.Outcome, qt.Equals, rollout.OutcomeConflict)
	c.Assert(b.result.Head.Digest, qt.Equals, filbertlever.Digest("a"))
	c.Assert(table.head.Digest, qt.Equals, filbertlever.Digest("a"))
}

// The swap took effect but its acknowledgement was lost. The operator must not
// get a conflict with the bundle of the same roll.
func TestLostSwapAckIsAccepted(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.loseAcks = 1
	c.Assert(newOperator(head(1, "a", "")).finish(table).Outcome, qt.Equals, rollout.OutcomeAccepted)
	c.Assert(table.head.Digest, qt.Equals, filbertlever.Digest("a"))
}

// The acknowledgement of the swap was lost, the rows still hold the old head,
// and the swap takes effect after the next read.
func TestDelayedSwapIsAccepted(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	table.loseAcks = 2
	o := newOperator(head(1, "a", ""))
	for table.delayed == nil {
		o.step(table)
	}
	o.step(table)
	table.applyDelayed()
	c.Assert(o.finish(table).Outcome, qt.Equals, rollout.OutcomeAccepted)
	c.Assert(table.revision, qt.Equals, uint64(1))
}

// The operator's process was killed after the swap and another bundle was accepted
// since. Running the command again must not report a conflict.
func TestRerunOfSupersededRollIsAccepted(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	newOperator(head(1, "a", "")).finish(table)
	newOperator(head(2, "b", "a")).finish(table)
	c.Assert(newOperator(head(1, "a", "")).finish(table).Outcome, qt.Equals, rollout.OutcomeAccepted)
	c.Assert(table.head.Digest, qt.Equals, filbertlever.Digest("b"))
}

// The platform goes down at one step of a roll. Before the swap nothing has
// changed and the result must say so. After it the outcome is unknown.
func TestPlatformDownAtEachStep(t *testing.T) {
	for _, test := range []struct {
		step rollout.ActionKind
		want rollout.Outcome
	}{
		{rollout.ActionRead, rollout.OutcomeNotAccepted},
		{rollout.ActionPut, rollout.OutcomeNotAccepted},
		{rollout.ActionSwap, rollout.OutcomeUnknown},
	} {
		c := qt.New(t)
		table := newTable()
		o := newOperator(head(1, "a", ""))
		for o.next.Kind != test.step {
			o.step(table)
		}
		table.down = true
		result := o.finish(table)
		c.Assert(result.Outcome, qt.Equals, test.want)
		c.Assert(result.Err, qt.ErrorIs, errPlatform)
		table.down = false
		c.Assert(newOperator(head(1, "a", "")).finish(table).Outcome, qt.Equals, rollout.OutcomeAccepted)
	}
}

// Random sequences of rolls, lost acknowledgements and outages: a bundle is
// reported as accepted only if it is in the history, a conflict only if it is
// not, and each accepted bundle has its object stored.
func TestRandomRollSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable()
		var operators []*operator
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				name := fmt.Sprint("bundle-", len(operators))
				operators = append(operators, newOperator(head(table.head.Version+1, name, string(table.head.Digest))))
			case 1:
				table.loseAcks = rapid.IntRange(0, 2).Draw(t, "loseAcks")
			case 2:
				table.down = !table.down
			case 3:
				table.applyDelayed()
			default:
				if len(operators) > 0 {
					operators[rapid.IntRange(0, len(operators)-1).Draw(t, "operator")].step(table)
				}
			}
		}
		table.down, table.loseAcks = false, 0
		for _, o := range operators {
			result := o.finish(table)
			table.applyDelayed()
			accepted := table.history[o.head.Version].Digest == o.head.Digest
			if result.Outcome == rollout.OutcomeAccepted && !accepted {
				t.Fatalf("%s reported as accepted, history has %s", o.head.Digest, table.history[o.head.Version].Digest)
			}
			if result.Outcome == rollout.OutcomeConflict && accepted {
				t.Fatalf("%s is accepted, but the roll reported a conflict", o.head.Digest)
			}
			if accepted && !o.put {
				t.Fatalf("%s is accepted and its object was never stored", o.head.Digest)
			}
		}
	})
}

// A message with an older head arrives late, or the fetch of an older bundle ends
// last. Neither may make an earlier bundle active again.
func TestTrackerNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker rollout.Tracker
		highest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := head(uint64(rapid.IntRange(1, 9).Draw(t, "version")), "", "")
			h.Digest = filbertlever.Digest(fmt.Sprint("bundle-", h.Version))
			before := tracker.Active().Version
			if rapid.Bool().Draw(t, "learn") {
				if _, err := tracker.Observe(h); err != nil {
					t.Fatal(err)
				}
				highest = max(highest, h.Version)
			} else {
				tracker.Activate(h)
			}
			if tracker.Active().Version < before {
				t.Fatalf("active bundle went from %d to %d", before, tracker.Active().Version)
			}
			if tracker.Active().Version > highest {
				t.Fatalf("bundle %d is active but was never observed as accepted", tracker.Active().Version)
			}
		}
	})
}

// A host fetched a bundle that conflicted with the accepted one. It must not
// make that bundle active.
func TestTrackerActivatesOnlyTheAcceptedBundle(t *testing.T) {
	c := qt.New(t)
	var tracker rollout.Tracker
	_, err := tracker.Observe(head(1, "winner", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(tracker.Activate(head(1, "loser", "")), qt.IsFalse)
	c.Assert(tracker.Ready(), qt.IsFalse)
	c.Assert(tracker.Activate(head(1, "winner", "")), qt.IsTrue)
	c.Assert(tracker.Ready(), qt.IsTrue)
	_, err = tracker.Observe(head(1, "loser", ""))
	c.Assert(err, qt.ErrorIs, rollout.ErrFork)
}

func names(prefix string, n int) []filbertlever.HostID {
	ids := make([]filbertlever.HostID, n)
	for i := range ids {
		ids[i] = filbertlever.HostID(fmt.Sprintf("%s-%d", prefix, i))
	}
	return ids
}

// A head forwarded along the tree must reach every process, with a bounded number
// of children per process.
func TestTreeReachesEveryProcess(t *testing.T) {
	c := qt.New(t)
	entries, agents := names("entry", 60), names("agent", 300)
	reached := map[filbertlever.HostID]bool{entries[7]: true}
	queue := []filbertlever.HostID{entries[7]}
	for fromPlatform := true; len(queue) > 0; fromPlatform = false {
		self := queue[0]
		queue = queue[1:]
		children := rollout.Children(self, fromPlatform, "5", entries, agents)
		c.Assert(len(children) <= rollout.Fanout+1, qt.IsTrue)
		for _, child := range children {
			if !reached[child] {
				reached[child] = true
				queue = append(queue, child)
			}
		}
	}
	c.Assert(reached, qt.HasLen, len(entries)+len(agents))
}

// If every entry polled the platform, they would exhaust its read capacity. If
// none did because of a stale list, no bundle would arrive.
func TestConstantNumberOfWatchers(t *testing.T) {
	c := qt.New(t)
	entries := names("entry", 460)
	watchers := 0
	for _, self := range entries {
		if rollout.IsWatcher(self, entries) {
			watchers++
		}
	}
	c.Assert(watchers, qt.Equals, rollout.Watchers)
	c.Assert(rollout.IsWatcher("entry-new", nil), qt.IsTrue)
}
