package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
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
	lists, err := unpack(answer.Packed)
	c.Assert(err, qt.IsNil)
	c.Assert(string(joinRows(lists)), qt.Equals, `[{"a":1},{"b":2}]`)
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
		lists, err := unpack(chunk.packed)
		c.Assert(err, qt.IsNil)
		kept += len(joinRows(lists))
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

// stateRows are rows as the store sends them: one desired state of many routes.
func stateRows(routes int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var list []map[string]any
	for range routes {
		list = append(list, map[string]any{
			"Name": fmt.Sprintf("r-%07x", rng.Uint32()), "Host": fmt.Sprintf("h%03x.example", rng.IntN(64)), "Prefix": fmt.Sprintf("/%05x/%04x/", rng.Uint32(), rng.IntN(1<<16)),
			"Kind": "Streaming", "Timeout": 6000, "Objective": 500, "Priority": 1, "Service": "models", "Attempts": 2,
			"WithoutKey": false, "StaysWithServer": true, "CanBeResumed": true, "LongestPause": 400,
		})
	}
	state, _ := json.Marshal(map[string]any{"Version": 7, "Routes": list})
	raw, _ := json.Marshal([]map[string]any{{"Key": "state", "Value": state, "Revision": 6}})
	return raw
}

// A desired state of 1,400 routes was written. The reader of a region told it to 14
// others over its link of 40 Mbit/s, which took 1.3 s; they gave up and drew it each over
// the border: they knew the new routes 2.2 s after the reader did, and callers got 404.
func TestALargeStateIsToldToARegionInTime(t *testing.T) {
	c := qt.New(t)
	const link, others = 40e6, 14
	large := stateRows(1400)
	reader := &Gateway{crashes: newCrashes(), feeds: newFeeds()}
	reader.feeds.restart(TableDesired, rows(5, `[{"a":1}]`), boottime.Now())
	reader.feeds.publish(TableDesired, 5, Rows{Revision: 6, Raw: large}, boottime.Now())
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reader.serveFeed(counter{w, &sent}, r)
	}))
	t.Cleanup(server.Close)
	g := &Gateway{crashes: newCrashes(), client: server.Client()}
	answer, err := g.fetchFeed(context.Background(), server.Listener.Addr().String(), TableDesired, 5, feedTimeout)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Revision, qt.Equals, uint64(6))
	c.Assert(string(joinRows(answer.Raw)), qt.Equals, string(large))
	took := time.Duration(float64(sent.Load()) * 8 * others / link * float64(time.Second))
	c.Assert(took < readerTimeout, qt.IsTrue, qt.Commentf("%d bytes to each of %d others take %v", sent.Load(), others, took))
}

// counter counts the bytes of an answer.
type counter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (c counter) Write(data []byte) (int, error) {
	c.sent.Add(int64(len(data)))
	return c.ResponseWriter.Write(data)
}

// Entries disagree for a while on which one reads the store. Some ask one that follows
// another itself, and which knew of nothing since it last read: its view was 41 s old, and
// each of them drew the whole desired state from the store.
func TestAnEntryThatFollowsTellsWhatItHears(t *testing.T) {
	c := qt.New(t)
	now := boottime.Now()
	reader := &Gateway{crashes: newCrashes(), feeds: newFeeds()}
	reader.feeds.restart(TableDesired, rows(5, `[{"a":1}]`), now)
	reader.feeds.publish(TableDesired, 5, rows(6, `[{"b":2}]`), now)
	server := httptest.NewServer(http.HandlerFunc(reader.serveFeed))
	t.Cleanup(server.Close)

	self := entryAt("e1", "a", "ra")
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop()}
	g.lostUntil.Store(int64(now + time.Minute))
	other := entryAt("e2", "a", "ra")
	other.Peers = server.Listener.Addr().String()
	g.peers.hear(other, true, false, now)
	g.feeds.restart(TableDesired, rows(5, `[{"a":1}]`), now-time.Minute)
	w := &watch{gateway: g, table: TableDesired, revision: 5, apply: func(Rows, uint64, bool, bool) error { return nil }}
	changed, err := w.turn(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	answer, ok := g.feeds.since(context.Background(), TableDesired, 5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(6))
	c.Assert(answer.Age < readerAge, qt.IsTrue, qt.Commentf("age %v", answer.Age))
	whole, ok := g.feeds.since(context.Background(), TableDesired, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(whole.Revision, qt.Equals, uint64(6))
}

// A process that is damaged, or another one at an address that is used again, answers in
// place of the reader. What it sends unpacks to more than the memory of a small host,
// which ended; all requests on it were lost.
func TestAnAnswerThatUnpacksToTooMuchIsRefused(t *testing.T) {
	c := qt.New(t)
	large := pack([]byte("[" + strings.Repeat(" ", 4*unpackedMost) + "]"))
	c.Assert(len(large) < unpackedMost/10, qt.IsTrue)
	_, err := unpack(large)
	c.Assert(err, qt.ErrorIs, errTooLarge)
	half := pack([]byte("[" + strings.Repeat(" ", unpackedMost/2) + "]"))
	_, err = unpack(half)
	c.Assert(err, qt.IsNil)
	_, err = unpack(append(bytes.Clone(half), half...))
	c.Assert(err, qt.ErrorIs, errTooLarge)
}

// An answer that was cut or changed on its way is never taken for what the store said.
func TestADamagedAnswerIsNotTaken(t *testing.T) {
	c := qt.New(t)
	packed := pack([]byte(`[{"a":1},{"b":2}]`))
	for n := range len(packed) - 1 {
		_, err := unpack(packed[:n+1])
		c.Check(err, qt.IsNotNil, qt.Commentf("cut after %d", n+1))
	}
	_, err := unpack(pack([]byte(`{"a":1}`)))
	c.Assert(err, qt.IsNotNil)
}

// What a reader does once for a desired state of 1,400 routes.
func BenchmarkPackALargeState(b *testing.B) {
	large := stateRows(1400)
	b.SetBytes(int64(len(large)))
	b.ReportAllocs()
	for b.Loop() {
		pack(large)
	}
}

// What each entry that follows does with it.
func BenchmarkUnpackALargeState(b *testing.B) {
	packed := pack(stateRows(1400))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := unpack(packed); err != nil {
			b.Fatal(err)
		}
	}
}

// An entry that started while the store did not answer its region's reader knew of no
// desired state, though the reader did. It is told what that one knows, with its age; of
// changes a reader that has lost the store tells nothing.
func TestAReaderThatLostTheStoreTellsWhatItKnows(t *testing.T) {
	c := qt.New(t)
	f := newFeeds()
	f.restart(TableDesired, rows(5, `[{"a":1}]`), boottime.Now()-time.Second)
	f.lose(TableDesired)
	answer, ok := f.since(context.Background(), TableDesired, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(5))
	c.Assert(answer.Age >= time.Second, qt.IsTrue)
	_, ok = f.since(context.Background(), TableDesired, 5)
	c.Assert(ok, qt.IsFalse)
}

// Each entry of an installation that starts waits 0.6 s for the list of servers, and then
// asks the store for it: no server is listed yet, the reader knows so, and waited for the
// first before it said anything.
func TestAnEmptyTableIsToldAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newFeeds()
	f.restart(TableBackends, rows(5, ""), boottime.Now())
	began := time.Now()
	answer, ok := f.since(context.Background(), TableBackends, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(answer.Revision, qt.Equals, uint64(5))
	c.Assert(time.Since(began) < readerWait/2, qt.IsTrue, qt.Commentf("told after %v", time.Since(began)))
	// Changes are still waited for.
	began = time.Now()
	_, ok = f.since(context.Background(), TableBackends, 5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(time.Since(began) >= readerWait, qt.IsTrue)
}
