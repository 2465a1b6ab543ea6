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

// newThirdEntry returns the entry that is third in order to read whole tables from the store when
// all entries start. The first in order is server. ready is true if that one started earlier.
func newThirdEntry(server *httptest.Server, ready bool) *Gateway {
	var all []relays.Entry
	hosts := []string{"e1", "e2", "e3"}
	for _, host := range hosts {
		all = append(all, relays.Entry{Host: entryAt(host, "a", "ra").Host, Site: "ra"})
	}
	ordered := make([]Entry, len(hosts))
	for i, host := range hosts {
		ordered[relays.Rank(all[i].Host, all, "ra", readerHashKey)] = entryAt(host, "a", "ra")
	}
	self, now := ordered[2], boottime.Now()
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop(),
		rng: rand.New(rand.NewPCG(1, 2))}
	g.entriesListed.Store(true)
	ordered[0].Peers = server.Listener.Addr().String()
	g.peers.observeHeartbeat(ordered[0], ready, false, now)
	g.peers.observeHeartbeat(ordered[1], false, false, now)
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
	tests := []struct {
		name             string
		first            http.HandlerFunc
		dropped          uint64
		want             bool
		earliest, latest time.Duration
	}{
		{"the first has no rows yet", serveEmptyTable, 0, false, 2 * relays.SnapshotInterval, 3 * relays.SnapshotInterval},
		{"the first does not respond", serveNothing, 0, false, relays.SnapshotInterval, 2 * relays.SnapshotInterval},
		{"the store dropped its history", serveEmptyTable, 4, false, relays.SnapshotInterval, 2 * relays.SnapshotInterval},
		{"the table is arriving", serveSlowly, 0, true, feedTimeout, 3 * feedTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(test.first)
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			g, start := newThirdEntry(server, test.dropped > 0), time.Now()
			_, _, ok := g.fetchSnapshot(context.Background(), TableBackends, test.dropped)
			took := time.Since(start)
			qt.Check(t, ok, qt.Equals, test.want)
			qt.Check(t, took >= test.earliest*9/10 && took <= test.latest, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}
