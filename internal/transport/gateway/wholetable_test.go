package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// newEntryWithRank returns the entry that has a rank in the order in which entries read whole tables
// from the store when all of them start. The first in order is server. ready is true if that one
// started earlier.
func newEntryWithRank(rank int, server *httptest.Server, ready bool) *Gateway {
	var all []relays.Entry
	hosts := []string{"e1", "e2", "e3", "e4", "e5", "e6"}[:rank+1]
	for _, host := range hosts {
		all = append(all, relays.Entry{Host: entryAt(host, "a", "ra").Host, Site: "ra"})
	}
	ordered := make([]Entry, len(hosts))
	for i, host := range hosts {
		ordered[relays.Rank(all[i].Host, all, "ra", readerHashKey)] = entryAt(host, "a", "ra")
	}
	self, now := ordered[rank], boottime.Now()
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop(),
		rng: rand.New(rand.NewPCG(1, 2))}
	g.entriesListed.Store(true)
	ordered[0].Peers = server.Listener.Addr().String()
	g.peers.observeHeartbeat(ordered[0], ready, false, now)
	for _, entry := range ordered[1:rank] {
		g.peers.observeHeartbeat(entry, false, false, now)
	}
	return g
}

// serveEmptyTable responds that the reader has not read the table yet.
func serveEmptyTable(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(100 * time.Millisecond)
	w.Header().Set(headerRevision, "0")
	w.Header().Set(headerAge, "0")
}

// serveNothing does not respond.
func serveNothing(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// serveSlowly sends a table in parts. The whole takes longer than the timeout of a call for
// changes.
func serveSlowly(w http.ResponseWriter, _ *http.Request) {
	compressed := compressRows([]byte(`[{"a":1}]`))
	w.Header().Set(headerRevision, "5")
	w.Header().Set(headerAge, "0")
	w.Header().Set("Content-Length", strconv.Itoa(len(compressed)))
	const parts = 6
	for n := range parts {
		_, _ = w.Write(compressed[n*len(compressed)/parts : (n+1)*len(compressed)/parts])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(feedTimeout / (parts - 1))
	}
}

// If many starting entries time out on a whole table together, their own reads of the store
// saturate the link between regions. But a reader that has stopped, or a view that becomes
// outdated, must not be waited for as long.
func TestWholeTableFetchTimeouts(t *testing.T) {
	qt.Check(t, feedTimeout < 2*relays.SnapshotInterval, qt.IsTrue)
	tests := []struct {
		name             string
		rank             int
		first            http.HandlerFunc
		dropped          uint64
		want             bool
		earliest, latest time.Duration
	}{
		{"the first has no rows yet", 2, serveEmptyTable, 0, false, 2 * relays.SnapshotInterval, 3 * relays.SnapshotInterval},
		{"the first does not respond", 5, serveNothing, 0, false, relays.SnapshotInterval, 3 * relays.SnapshotInterval},
		{"the store dropped its history", 2, serveEmptyTable, 4, false, relays.SnapshotInterval, 2 * relays.SnapshotInterval},
		{"the table is arriving", 2, serveSlowly, 0, true, feedTimeout, 3 * feedTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(test.first)
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			g, start := newEntryWithRank(test.rank, server, test.dropped > 0), time.Now()
			_, _, ok := g.fetchSnapshot(context.Background(), TableBackends, test.dropped, 0)
			took := time.Since(start)
			qt.Check(t, ok, qt.Equals, test.want)
			qt.Check(t, took >= test.earliest*9/10 && took <= test.latest, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// An entry that failed to read a whole table from the store tried again after the same time, as did all
// others, so that their reads filled the link to the store.
func TestFailedReadOfAWholeTableWaitsForItsTurn(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveNothing))
	t.Cleanup(server.Close)
	g, now := newEntryWithRank(2, server, false), boottime.Now()
	qt.Check(t, g.snapshotWait(now, false, 0), qt.Equals, relays.SnapshotInterval)
	qt.Check(t, g.snapshotWait(now, false, 1), qt.Equals, 3*relays.SnapshotInterval)
}
