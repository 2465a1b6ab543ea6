package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/revision"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Entries of two eras follow each other: one that the restored store has answered must not take the
// view of one that it has not, and the other must read the tables again.
func TestReaderOfAnotherEra(t *testing.T) {
	tests := []struct {
		name          string
		reader, after uint64
		// accepted is true if the follower takes the reader's changes, and err is the error of the call.
		accepted bool
		err      error
	}{
		{"same era", revision.New(2, 7), revision.New(2, 7), true, nil},
		{"the reader is behind", revision.New(1, 90), revision.New(2, 7), false, nil},
		{"the reader is behind, same number", revision.New(1, 7), revision.New(2, 7), false, nil},
		{"the follower is behind", revision.New(2, 7), revision.New(1, 90), false, ErrStoreRestored},
		{"the follower is two eras behind", revision.New(3, 7), revision.New(1, 3), false, ErrStoreRestored},
		{"the follower lacks history", revision.New(2, 7), revision.New(2, 3), false, ErrRevisionPruned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			reader := &Gateway{crashes: newCrashes(), feeds: newFeeds()}
			reader.feeds.reset(TableDesired, rows(test.reader, `[{"a":1}]`), boottime.Now())
			server := httptest.NewServer(http.HandlerFunc(reader.serveFeed))
			t.Cleanup(server.Close)
			g := &Gateway{client: server.Client(), log: zap.NewNop()}
			sentAt := boottime.Now()
			response, err := g.fetchFeed(context.Background(), server.Listener.Addr().String(), FeedRequest{Table: TableDesired, After: test.after}, 5*time.Second, nil)
			if test.err != nil {
				c.Assert(err, qt.ErrorIs, test.err)
				c.Assert(err == ErrStoreRestored, qt.Equals, test.err == ErrStoreRestored)
				return
			}
			c.Assert(err, qt.IsNil)
			_, _, ok := g.acceptFeed(TableDesired, "e2", test.after, sentAt, response, nil)
			c.Assert(ok, qt.Equals, test.accepted)
		})
	}
}

// A restored store held an older desired state, and keys that had been revoked since worked again.
func TestRestoredStateReplacesOnlyOlderOnes(t *testing.T) {
	tests := []struct {
		name    string
		version uint64
		era     uint64
		want    bool
	}{
		{"newer", 6, 1, true},
		{"same version", 5, 1, false},
		{"older", 4, 1, false},
		{"newer, restored", 6, 2, true},
		{"same version, restored", 5, 2, true},
		{"older, restored", 4, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := &Gateway{log: zap.NewNop(), stateEra: 1}
			g.state.Store(&catalog.State{Version: 5})
			qt.Assert(t, g.supersedesState(&catalog.State{Version: test.version}, revision.New(test.era, 3)), qt.Equals, test.want)
		})
	}
}

// After the grace period an entry applies the whole table again. Its followers would have to read the
// table too if its view began anew.
func TestTableIsReadAgainWithoutInterruptingFollowers(t *testing.T) {
	c := qt.New(t)
	self := entryAt("e1", "a", "ra")
	current := revision.New(2, 7)
	store := fakeStore{
		follow: func(context.Context, uint64, time.Duration) (Rows, error) { return rows(current, ""), nil },
		read:   func() Rows { return rows(revision.New(2, 9), `[{"b":2}]`) },
	}
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, store: store, peers: newPeers(self, 0), feeds: newFeeds(), log: zap.NewNop(), rng: rand.New(rand.NewPCG(1, 2))}
	g.entriesListed.Store(true)
	g.feeds.reset(TableDesired, rows(current, `[{"a":1}]`), boottime.Now())
	var applied []Rows
	w := &tableWatch{gateway: g, table: TableDesired, wait: time.Millisecond, revision: current, era: 2, rereadAt: 1,
		apply: func(rows Rows, after uint64, whole, initial bool) error {
			if whole {
				c.Check(after, qt.Equals, uint64(0))
				c.Check(initial, qt.IsFalse)
				applied = append(applied, rows)
			}
			return nil
		}}
	for range 3 {
		_, err := w.poll(context.Background())
		c.Assert(err, qt.IsNil)
	}
	c.Assert(applied, qt.HasLen, 1)
	c.Assert(w.revision, qt.Equals, current)
	_, ok := g.feeds.changesSince(context.Background(), FeedRequest{Table: TableDesired, After: current})
	c.Assert(ok, qt.IsTrue)
}

// The entry that is asked for the table lacks it, or is behind. The store is read after some attempts,
// and an older table is not applied.
func TestTableIsReadAgainFromTheStoreInTheEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		// head is the revision of the other entry's table; 0 if it has none.
		head uint64
	}{{"lacks the table", 0}, {"is behind", revision.New(2, 5)}, {"is of an earlier era", revision.New(1, 90)}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			other := &Gateway{crashes: newCrashes(), feeds: newFeeds()}
			if test.head > 0 {
				other.feeds.reset(TableDesired, rows(test.head, `[{"a":1}]`), boottime.Now())
			}
			server := httptest.NewServer(http.HandlerFunc(other.serveFeed))
			t.Cleanup(server.Close)
			now, self, peer := boottime.Now(), entryAt("e1", "a", "ra"), entryAt("e2", "a", "ra")
			peer.Peers = server.Listener.Addr().String()
			reads := 0
			store := fakeStore{read: func() Rows { reads++; return rows(revision.New(2, 9), `[{"b":2}]`) }}
			g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, store: store, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop(), rng: rand.New(rand.NewPCG(1, 2))}
			g.peers.observeHeartbeat(peer, true, false, now)
			applied := 0
			w := &tableWatch{gateway: g, table: TableDesired, revision: revision.New(2, 7), era: 2, apply: func(Rows, uint64, bool, bool) error { applied++; return nil }}
			for range maxRereadsFromEntry {
				g.peers.observeHeartbeat(peer, true, false, boottime.Now())
				c.Assert(w.reread(context.Background()), qt.IsNil)
				c.Assert(w.rereadAt > boottime.Now(), qt.IsTrue)
			}
			c.Assert(reads+applied, qt.Equals, 0)
			c.Assert(w.reread(context.Background()), qt.IsNil)
			c.Assert(reads, qt.Equals, 1)
			c.Assert(applied, qt.Equals, 1)
			c.Assert(w.rereadAt, qt.Equals, time.Duration(0))
		})
	}
}
