package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

// held is a view of one entry whose site has holders of the version.
type held struct {
	alone
	holders []relays.Holder
}

func (h held) Holders(catalog.NamedVersion) []relays.Holder { return h.holders }

// holder gives out one piece, as an agent does.
func holder(t *testing.T, backend, data string) relays.Holder {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(data)) }))
	t.Cleanup(server.Close)
	return relays.Holder{Backend: backend, Address: strings.TrimPrefix(server.URL, "http://")}
}

// Servers are added while the origin of weights is away. They waited for it, though all
// others held the version. Its pieces come from those; one that is spoilt, or of another
// version by now, is not taken.
func TestPiecesComeFromServersThatHoldThem(t *testing.T) {
	c := qt.New(t)
	spoilt, sound := holder(t, "i-1", "of another version"), holder(t, "i-2", "weights")
	for _, test := range []struct {
		holders []relays.Holder
		want    bool
	}{
		{[]relays.Holder{sound}, true},
		{[]relays.Holder{spoilt, sound}, true},
		{[]relays.Holder{spoilt}, false},
		{nil, false},
	} {
		origin := &source{data: []byte("weights")}
		r := New(relays.Entry{Host: "e1", Site: "a"}, held{holders: test.holders}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		// The manifest was learnt when the servers were listed.
		_, err := r.Manifest(context.Background(), drafter, relays.RoleAny)
		c.Assert(err, qt.IsNil)
		origin.down.Store(true)
		data, err := r.Piece(context.Background(), drafter, 0, relays.RoleAny)
		c.Check(err == nil, qt.Equals, test.want, qt.Commentf("%v: %v", test.holders, err))
		if test.want {
			c.Check(string(data), qt.Equals, "weights")
		}
		c.Check(origin.drawn.Load(), qt.Equals, int32(0))
	}
}

// A manifest is small and is had before anyone asks, by one entry of each site.
func TestManifestsAreLearntAhead(t *testing.T) {
	c := qt.New(t)
	origin := &source{data: []byte("weights")}
	r := newRelay(origin)
	r.Learn(drafter)
	r.Learn(drafter)
	_, err := r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	origin.down.Store(true)
	_, err = r.Manifest(context.Background(), drafter, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	c.Assert(origin.drawn.Load(), qt.Equals, int32(0))
}
