package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// holdersView is a view of one entry whose site has holders of the version.
type holdersView struct {
	singleEntryView
	holders []relays.Holder
}

func (holdersView) Pieces(string) (count, size int) { return 0, 0 }

func (v holdersView) Holders(catalog.ModelVersion) []relays.Holder { return v.holders }

// startHolder starts a server that serves one piece, as an agent does.
func startHolder(t *testing.T, backend, data string) relays.Holder {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(data)) }))
	t.Cleanup(server.Close)
	return relays.Holder{Backend: backend, Address: strings.TrimPrefix(server.URL, "http://")}
}

// Servers that were added while the origin was unreachable waited for it although all other
// servers held the version. Pieces must come from those, except corrupt pieces and pieces
// of another version.
func TestPiecesAreFetchedFromHolders(t *testing.T) {
	c := qt.New(t)
	corrupt, intact := startHolder(t, "i-1", "of another version"), startHolder(t, "i-2", "weights")
	for _, test := range []struct {
		holders []relays.Holder
		want    bool
	}{
		{[]relays.Holder{intact}, true},
		{[]relays.Holder{corrupt, intact}, true},
		{[]relays.Holder{corrupt}, false},
		{nil, false},
	} {
		origin := &singlePieceOrigin{data: []byte("weights")}
		r := New(relays.Entry{Host: "e1", Site: "a"}, holdersView{holders: test.holders}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		// The manifest was prefetched when the servers were listed.
		_, err := r.Manifest(context.Background(), drafter, relays.RoleAny)
		c.Assert(err, qt.IsNil)
		origin.down.Store(true)
		data, err := r.Piece(context.Background(), drafter, 0, relays.RoleAny)
		c.Check(err == nil, qt.Equals, test.want, qt.Commentf("%v: %v", test.holders, err))
		if test.want {
			c.Check(string(data), qt.Equals, "weights")
		}
		c.Check(origin.fetches.Load(), qt.Equals, int32(0))
	}
}

// Guards against a missing manifest while the origin is down. Manifests are small, so one
// entry of each site prefetches them.
func TestManifestIsPrefetched(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	r := newRelay(origin)
	r.PrefetchManifest(drafter)
	r.PrefetchManifest(drafter)
	_, err := r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	origin.down.Store(true)
	_, err = r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	c.Assert(origin.fetches.Load(), qt.Equals, int32(0))
}

// unresponsiveEntryView is a view of two entries, of which the one at the origin's site,
// the origin fetcher, is unresponsive.
type unresponsiveEntryView struct {
	twoSiteView
	self, unresponsive filbertlever.HostID
}

func (v unresponsiveEntryView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: v.self, Site: "b"}, {Host: v.unresponsive, Site: "a"}}, v.addresses
}

// After a power failure, servers have all pieces staged and agents need only the manifest.
// The entry that should have it has not restarted and does not even refuse a connection.
// The origin must be asked after a short timeout.
func TestManifestFetchSkipsUnresponsiveEntry(t *testing.T) {
	c := qt.New(t)
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer hanging.Close()
	defer hanging.CloseClientConnections()
	address := strings.TrimPrefix(hanging.URL, "http://")
	v := unresponsiveEntryView{twoSiteView{addresses: map[filbertlever.HostID]string{"a1": address}}, "b1", "a1"}
	r := New(relays.Entry{Host: "b1", Site: "b"}, v, &singlePieceOrigin{data: []byte("weights")}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	start := time.Now()
	manifest, err := r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	c.Assert(manifest.Digests, qt.HasLen, 1)
	c.Assert(time.Since(start) < 3*manifestTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}
