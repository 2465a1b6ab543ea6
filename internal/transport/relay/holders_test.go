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

func (h holdersView) Holders(catalog.NamedVersion) []relays.Holder { return h.holders }

// startHolder gives out one piece, as an agent does.
func startHolder(t *testing.T, backend, data string) relays.Holder {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(data)) }))
	t.Cleanup(server.Close)
	return relays.Holder{Backend: backend, Address: strings.TrimPrefix(server.URL, "http://")}
}

// Servers are added while the origin of weights is away. They waited for it, though all
// others held the version. Its pieces come from those; one that is spoilt, or of another
// version by now, is not taken.
func TestPiecesAreFetchedFromHolders(t *testing.T) {
	c := qt.New(t)
	spoilt, sound := startHolder(t, "i-1", "of another version"), startHolder(t, "i-2", "weights")
	for _, test := range []struct {
		holders []relays.Holder
		want    bool
	}{
		{[]relays.Holder{sound}, true},
		{[]relays.Holder{spoilt, sound}, true},
		{[]relays.Holder{spoilt}, false},
		{nil, false},
	} {
		origin := &singlePieceOrigin{data: []byte("weights")}
		r := New(relays.Entry{Host: "e1", Site: "a"}, holdersView{holders: test.holders}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		// The manifest was learnt when the servers were listed.
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

// A manifest is small and is had before anyone asks, by one entry of each site.
func TestManifestIsPrefetched(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	r := newRelay(origin)
	r.Learn(drafter)
	r.Learn(drafter)
	_, err := r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	origin.down.Store(true)
	_, err = r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	c.Assert(origin.fetches.Load(), qt.Equals, int32(0))
}

// unresponsiveEntryView is a view of two entries of the origin's site, of which the one that draws
// stands still.
type unresponsiveEntryView struct {
	twoSiteView
	self, unresponsive filbertlever.HostID
}

func (d unresponsiveEntryView) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: d.self, Site: "b"}, {Host: d.unresponsive, Site: "a"}}, d.addresses
}

// All have lost power, and the pieces of the version lie beside every server. Agents need
// only the list of pieces; the entry that should have it has not started again and does
// not even refuse a connection. The origin is asked for it a moment later.
func TestManifestFetchSkipsUnresponsiveEntry(t *testing.T) {
	c := qt.New(t)
	still := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer still.Close()
	defer still.CloseClientConnections()
	address := strings.TrimPrefix(still.URL, "http://")
	v := unresponsiveEntryView{twoSiteView{addresses: map[filbertlever.HostID]string{"a1": address}}, "b1", "a1"}
	r := New(relays.Entry{Host: "b1", Site: "b"}, v, &singlePieceOrigin{data: []byte("weights")}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	began := time.Now()
	manifest, err := r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	c.Assert(manifest.Digests, qt.HasLen, 1)
	c.Assert(time.Since(began) < 3*manifestTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
