package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func rows(revision uint64, raw string) Rows { return Rows{Revision: revision, Raw: []byte(raw)} }

// An entry starts while desired states follow each other. What it is told must be
// the whole table and all changes since, or nothing: with a gap it would serve by a
// state that never was.
func TestAWholeTableIsToldWithAllItsChanges(t *testing.T) {
	c := qt.New(t)
	f := newFeeds()
	f.restart(TableDesired, rows(5, `[{"a":1}]`), time.Second)
	f.publish(TableDesired, 5, rows(7, `[{"b":2}]`), 2*time.Second)
	answer, ok := f.since(context.Background(), TableDesired, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(7))
	c.Assert(string(joinRows(answer.Raw)), qt.Equals, `[{"a":1},{"b":2}]`)
	for n := range uint64(feedKept) {
		f.publish(TableDesired, 7+n, rows(8+n, `[{"c":3}]`), 3*time.Second)
	}
	_, ok = f.since(context.Background(), TableDesired, 0)
	c.Assert(ok, qt.IsFalse)
	_, ok = f.since(context.Background(), TableDesired, 20)
	c.Assert(ok, qt.IsTrue)
}

// Desired states of hundreds of routes come in a storm; kept whole for the others,
// they would fill the memory of a small host.
func TestWhatIsKeptForOthersIsBounded(t *testing.T) {
	c := qt.New(t)
	f := newFeeds()
	f.restart(TableDesired, rows(1, `[]`), time.Second)
	large := `[{"x":"` + strings.Repeat("x", 200<<10) + `"}]`
	for n := range uint64(50) {
		f.publish(TableDesired, 1+n, rows(2+n, large), time.Second)
	}
	kept := 0
	for _, chunk := range f.tables[TableDesired].chunks {
		kept += len(chunk.rows.Raw)
	}
	c.Assert(kept <= feedBytes, qt.IsTrue)
	c.Assert(kept, qt.Equals, f.tables[TableDesired].bytes)
}

// An entry asks before the reader has read anything: it waits for that, and not
// for a change.
func TestAWholeTableIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	f := newFeeds()
	go func() {
		time.Sleep(20 * time.Millisecond)
		f.restart(TableBackends, rows(3, `[{"a":1}]`), time.Second)
	}()
	answer, ok := f.since(context.Background(), TableBackends, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(3))
}

// A route was added, and an entry that restarted 20 s later still answered 404: it
// was told the tables by one that had read them before, had let another one read
// for a while, and now read again. With a gap there is no whole table to tell.
func TestATableWithAGapIsNotTold(t *testing.T) {
	c := qt.New(t)
	f := newFeeds()
	f.restart(TableDesired, rows(5, `[{"a":1}]`), time.Second)
	f.publish(TableDesired, 9, rows(12, `[{"c":3}]`), 2*time.Second)
	_, ok := f.since(context.Background(), TableDesired, 0)
	c.Assert(ok, qt.IsFalse)
	_, ok = f.since(context.Background(), TableDesired, 7)
	c.Assert(ok, qt.IsFalse)
	answer, ok := f.since(context.Background(), TableDesired, 9)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(12))
}

// An entry waits for a change at its region's reader, which the store turns away. It is
// told so at once, until the reader hears from the store again.
func TestThoseWhoFollowAreToldThatTheStoreIsLost(t *testing.T) {
	c := qt.New(t)
	f := newFeeds()
	f.restart(TableBackends, rows(3, `[{"a":1}]`), time.Second)
	began := time.Now()
	time.AfterFunc(20*time.Millisecond, func() { f.lose(TableBackends) })
	_, ok := f.since(context.Background(), TableBackends, 3)
	c.Assert(ok, qt.IsFalse)
	c.Assert(time.Since(began) < readerWait/2, qt.IsTrue)
	f.publish(TableBackends, 3, rows(4, `[{"b":1}]`), 2*time.Second)
	answer, ok := f.since(context.Background(), TableBackends, 3)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(4))
}
