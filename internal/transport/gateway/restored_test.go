package gateway

import (
	"context"
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
			response, err := g.fetchFeed(context.Background(), server.Listener.Addr().String(), TableDesired, test.after, 5*time.Second)
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
