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

// newThirdEntry returns the entry that is third to ask the store for a whole table when all start, and
// whose first is a server. Ready says whether that one has been there before.
func newThirdEntry(server *httptest.Server, ready bool) *Gateway {
	var all []relays.Entry
	hosts := []string{"e1", "e2", "e3"}
	for _, host := range hosts {
		all = append(all, relays.Entry{Host: entryAt(host, "a", "ra").Host, Site: "ra"})
	}
	inTurn := make([]Entry, len(hosts))
	for i, host := range hosts {
		inTurn[relays.Turn(all[i].Host, all, "ra", readerPiece)] = entryAt(host, "a", "ra")
	}
	self, now := inTurn[2], boottime.Now()
	g := &Gateway{crashes: newCrashes(), config: Config{Self: self}, peers: newPeers(self, now), feeds: newFeeds(), client: server.Client(), log: zap.NewNop(),
		rng: rand.New(rand.NewPCG(1, 2))}
	g.listed.Store(true)
	inTurn[0].Peers = server.Listener.Addr().String()
	g.peers.hear(inTurn[0], ready, false, now)
	g.peers.hear(inTurn[1], false, false, now)
	return g
}

func serveEmptyTable(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(100 * time.Millisecond)
	w.Header().Set(headerRevision, "0")
	w.Header().Set(headerAge, "0")
}

func serveNothing(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// serveSlowly sends a table in parts; all of it takes longer than a call for changes may.
func serveSlowly(w http.ResponseWriter, _ *http.Request) {
	packed := pack([]byte(`[{"a":1}]`))
	w.Header().Set(headerRevision, "5")
	w.Header().Set(headerAge, "0")
	w.Header().Set("Content-Length", strconv.Itoa(len(packed)))
	const parts = 6
	for n := range parts {
		_, _ = w.Write(packed[n*len(packed)/parts : (n+1)*len(packed)/parts])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(feedTimeout / (parts - 1))
	}
}

// Many entries that start give up on a whole table at once and fill the border; one that stands still
// or a view that ages must not be waited for as long.
func TestWholeTableFetchTimeouts(t *testing.T) {
	tests := []struct {
		name          string
		first         http.HandlerFunc
		gone          uint64
		got           bool
		least, latest time.Duration
	}{
		{"the first has nothing yet", serveEmptyTable, 0, false, 2 * wholeTimeout, 3 * wholeTimeout},
		{"the first is silent", serveNothing, 0, false, wholeTimeout, 2 * wholeTimeout},
		{"the store dropped its history", serveEmptyTable, 4, false, wholeTimeout, 2 * wholeTimeout},
		{"the table is arriving", serveSlowly, 0, true, feedTimeout, 3 * feedTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(test.first)
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections)
			g, began := newThirdEntry(server, test.gone > 0), time.Now()
			_, _, ok := g.wholeFromReader(context.Background(), TableBackends, test.gone)
			took := time.Since(began)
			qt.Check(t, ok, qt.Equals, test.got)
			qt.Check(t, took >= test.least*9/10 && took <= test.latest, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}
