package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// fakeStore is a Store whose answers a test defines.
type fakeStore struct {
	Store
	follow func(ctx context.Context, after uint64, wait time.Duration) (Rows, error)
	read   func() Rows
}

func (s fakeStore) Follow(ctx context.Context, _ Table, after uint64, wait time.Duration, _ func()) (Rows, error) {
	return s.follow(ctx, after, wait)
}

func (s fakeStore) Read(context.Context, Table) (Rows, error) { return s.read(), nil }

// After the store dropped its history, the reader fetched the whole table from one of its own
// followers, at the same dropped revision, and again for 1.9 s. A desired state took effect
// 2.9 s after it was written. The reader must read the store itself.
func TestReaderWithoutHistoryReadsTheStore(t *testing.T) {
	c := qt.New(t)
	now := boottime.Now()
	follower := &Gateway{crashes: newCrashes(), feeds: newFeeds()}
	follower.feeds.reset(TableDesired, rows(5, `[{"a":1}]`), now)
	server := httptest.NewServer(http.HandlerFunc(follower.serveFeed))
	t.Cleanup(server.Close)
	store := fakeStore{
		follow: func(ctx context.Context, after uint64, _ time.Duration) (Rows, error) {
			if after < 6 {
				return Rows{}, ErrRevisionPruned
			}
			<-ctx.Done()
			return Rows{}, ctx.Err()
		},
		read: func() Rows { return rows(6, `[{"b":2}]`) },
	}
	self := entryAt("e1", "a", "ra")
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, store: store, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop(),
		rng: rand.New(rand.NewPCG(1, 2))}
	g.entriesListed.Store(true)
	// The other entry cannot reach the store, so that this one is the reader.
	other := entryAt("e2", "a", "ra")
	other.Peers = server.Listener.Addr().String()
	g.peers.observeHeartbeat(other, true, true, now)
	g.feeds.reset(TableDesired, rows(5, `[{"a":1}]`), now)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	start := time.Now()
	w := &tableWatch{gateway: g, table: TableDesired, wait: followWait, revision: 5, apply: func(rows Rows, _ uint64, _, _ bool) error {
		if rows.Revision >= 6 {
			cancel()
		}
		return nil
	}}
	w.run(ctx)
	c.Assert(w.revision, qt.Equals, uint64(6))
	c.Assert(time.Since(start) < time.Second/2, qt.IsTrue)
}

// When the store did not answer a region's reader, its followers repeated calls of 0.7 s to it
// and then each fetched the desired state over the link between regions. It took effect 2.3 s
// later than elsewhere; 2 s are allowed.
func TestFollowersAreNotifiedOfUnresponsiveStore(t *testing.T) {
	c := qt.New(t)
	now := boottime.Now()
	self := entryAt("e1", "a", "ra")
	store := fakeStore{follow: func(ctx context.Context, _ uint64, _ time.Duration) (Rows, error) {
		<-ctx.Done()
		return Rows{}, ctx.Err()
	}}
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, store: store, peers: newPeers(self, now), feeds: newFeeds(), log: zap.NewNop()}
	g.feeds.reset(TableDesired, rows(5, `[{"a":1}]`), now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &tableWatch{gateway: g, table: TableDesired, wait: 10 * time.Millisecond, revision: 5}
	go func() { _, _ = w.poll(ctx) }()
	start := time.Now()
	_, ok := g.feeds.changesSince(ctx, FeedRequest{Table: TableDesired, After: 5})
	c.Assert(ok, qt.IsFalse)
	c.Assert(g.feeds.isUnreachable(TableDesired), qt.IsTrue)
	c.Assert(time.Since(start) < feedPollWait, qt.IsTrue)
}

// When the store refused the connections of a region's reader, its followers were not notified.
// Their views became 2.8 s old, then all fetched a desired state at the same time, which took
// effect 2.1 s later than elsewhere.
func TestFollowersAreNotifiedOfFailedCall(t *testing.T) {
	c := qt.New(t)
	now := boottime.Now()
	failed := errors.New("connection refused")
	store := fakeStore{follow: func(context.Context, uint64, time.Duration) (Rows, error) { return Rows{}, failed }}
	self := entryAt("e1", "a", "ra")
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, store: store, peers: newPeers(self, now), feeds: newFeeds(), log: zap.NewNop()}
	w := &tableWatch{gateway: g, table: TableDesired, wait: followWait, revision: 5}
	g.feeds.reset(TableDesired, rows(5, `[{"a":1}]`), now)
	_, err := w.poll(context.Background())
	c.Assert(err, qt.ErrorIs, failed)
	c.Assert(g.feeds.isUnreachable(TableDesired), qt.IsTrue)
	// A dropped history does not mean that the store is unreachable.
	g.feeds.reset(TableDesired, rows(5, `[{"a":1}]`), now)
	failed = ErrRevisionPruned
	_, err = w.poll(context.Background())
	c.Assert(err, qt.ErrorIs, failed)
	c.Assert(g.feeds.isUnreachable(TableDesired), qt.IsFalse)
}

// While the store was unreachable for 4 s, each entry queried three others and then the store
// itself: 2,400 calls instead of 1,850, without an earlier recovery. Only one entry may retry.
func TestOneEntryPollsAnUnreachableStore(t *testing.T) {
	c := qt.New(t)
	now := boottime.Now()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(server.Close)
	names := []string{"e1", "e2", "e3", "e4", "e5"}
	calls := 0
	store := fakeStore{follow: func(context.Context, uint64, time.Duration) (Rows, error) {
		calls++
		return Rows{}, ErrStoreRejected
	}}
	for _, name := range names {
		self := entryAt(name, "a", "ra")
		g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, store: store, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop()}
		g.readerSuspendedUntil.Store(int64(now + time.Minute))
		for _, host := range names {
			if host != name {
				other := entryAt(host, "a", "ra")
				other.Peers = server.Listener.Addr().String()
				g.peers.observeHeartbeat(other, true, true, now)
			}
		}
		w := &tableWatch{gateway: g, table: TableDesired, wait: followWait, revision: 5}
		_, err := w.poll(context.Background())
		c.Check(err, qt.IsNotNil)
	}
	c.Assert(calls, qt.Equals, 1)
}

// An entry replaces a reader that the store does not answer. Its view is as old as that of the
// previous reader. Its followers would reject it as well if its first call waited for a change.
func TestNewReaderConfirmsItsViewImmediately(t *testing.T) {
	c := qt.New(t)
	now := boottime.Now()
	self := entryAt("e1", "a", "ra")
	var waits []time.Duration
	store := fakeStore{follow: func(_ context.Context, after uint64, wait time.Duration) (Rows, error) {
		waits = append(waits, wait)
		return rows(after, ""), nil
	}}
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, store: store, peers: newPeers(self, now), feeds: newFeeds(), log: zap.NewNop()}
	g.feeds.reset(TableDesired, rows(5, `[{"a":1}]`), now-maxFeedAge)
	w := &tableWatch{gateway: g, table: TableDesired, wait: followWait, revision: 5, apply: func(Rows, uint64, bool, bool) error { return nil }}
	for range 2 {
		_, err := w.poll(context.Background())
		c.Assert(err, qt.IsNil)
	}
	c.Assert(waits, qt.HasLen, 2)
	c.Assert(waits[0] < followWait/10, qt.IsTrue)
	c.Assert(waits[1], qt.Equals, followWait)
}

// A call that waits and is made long after the view was confirmed cannot tell when a version in its answer was named.
func TestOldViewIsConfirmedBeforeACallWaits(t *testing.T) {
	c := qt.New(t)
	var waits []time.Duration
	store := fakeStore{follow: func(_ context.Context, _ uint64, wait time.Duration) (Rows, error) {
		waits = append(waits, wait)
		return Rows{AnsweredAt: boottime.Now()}, nil
	}}
	g := &Gateway{crashes: newCrashes(), store: store, feeds: newFeeds(), log: zap.NewNop()}
	now := boottime.Now()
	g.feeds.reset(TableDesired, rows(5, `[]`), now)
	w := &tableWatch{gateway: g, table: TableDesired, wait: followWait, revision: 5, confirmedAt: now - 300*time.Millisecond}
	for range 3 {
		_, at, err := w.follow(context.Background())
		c.Assert(err, qt.IsNil)
		w.confirmedAt = at
	}
	c.Check(waits, qt.DeepEquals, []time.Duration{confirmWait, followWait, followWait})
}
