package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
)

var drafter = catalog.NamedVersion{Model: "drafter", Version: 1}

// singlePieceOrigin is an origin of one piece.
type singlePieceOrigin struct {
	data    []byte
	corrupt atomic.Int32
	down    atomic.Bool
	fetches atomic.Int32
}

var errDown = errors.New("origin is down")

func (s *singlePieceOrigin) Manifest(context.Context, string, catalog.NamedVersion) (Manifest, error) {
	if s.down.Load() {
		return Manifest{}, errDown
	}
	sum := sha256.Sum256(s.data)
	return Manifest{Model: drafter.Model, Version: drafter.Version, Digests: []string{hex.EncodeToString(sum[:])}}, nil
}

func (s *singlePieceOrigin) Piece(context.Context, string, catalog.NamedVersion, int) ([]byte, error) {
	if s.down.Load() {
		return nil, errDown
	}
	s.fetches.Add(1)
	if s.corrupt.Add(-1) >= 0 {
		return []byte("spoilt"), nil
	}
	return s.data, nil
}

// singleEntryView is an installation of one entry.
type singleEntryView struct{}

func (singleEntryView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (singleEntryView) Holders(catalog.NamedVersion) []relays.Holder { return nil }

func (singleEntryView) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: "e1", Site: "a"}}, map[filbertlever.HostID]string{"e1": "127.0.0.1:1"}
}

func newRelay(origin Origin) *Relay {
	return New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
}

// Many agents ask for one piece at the same moment; the origin's thin link must
// carry it once.
func TestConcurrentRequestsFetchPieceOnce(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	r := newRelay(origin)
	results := make(chan error, 20)
	for n := range 20 {
		// Agents ask, and entries that take this one for the home.
		go func() {
			_, err := r.Piece(context.Background(), drafter, 0, relays.Role(n%2))
			results <- err
		}()
	}
	for range 20 {
		c.Assert(<-results, qt.IsNil)
	}
	c.Assert(origin.fetches.Load(), qt.Equals, int32(1))
}

// The origin sends a spoilt piece: it is drawn again and never passed on.
func TestCorruptPieceIsFetchedAgain(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	origin.corrupt.Store(1)
	data, err := newRelay(origin).Piece(context.Background(), drafter, 0, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "weights")
}

// The origin is down for longer than a fetch tries. The next one that asks must
// not be told of the old failure.
func TestFailedFetchIsNotCached(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	origin.down.Store(true)
	r := newRelay(origin)
	_, err := r.Piece(context.Background(), drafter, 0, relays.RoleAny)
	c.Assert(err, qt.IsNotNil)
	origin.down.Store(false)
	_, err = r.Piece(context.Background(), drafter, 0, relays.RoleAny)
	c.Assert(err, qt.IsNil)
}

// A piece that the version does not have, and bad queries.
func TestPieceRequestStatusCodes(t *testing.T) {
	c := qt.New(t)
	mux := http.NewServeMux()
	newRelay(&singlePieceOrigin{data: []byte("weights")}).Routes(mux)
	for query, want := range map[string]int{
		"?Model=drafter&Version=1&Piece=0": http.StatusOK,
		"?Model=drafter&Version=1&Piece=9": http.StatusServiceUnavailable,
		"?Model=drafter&Version=x&Piece=0": http.StatusBadRequest,
		"?Model=drafter&Version=1&Piece=x": http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, PathPiece+query, nil))
		c.Check(w.Code, qt.Equals, want, qt.Commentf(query))
	}
}

// One piece of 32 KiB that is held, from an entry to an agent.
func BenchmarkServePiece(b *testing.B) {
	r := newRelay(&singlePieceOrigin{data: make([]byte, 32<<10)})
	mux := http.NewServeMux()
	r.Routes(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	address := server.Listener.Addr().String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := FetchPiece(context.Background(), http.DefaultClient, address, drafter, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// twoSiteView is an installation of several entries, this one of another site than the
// origin's.
type twoSiteView struct {
	addresses map[filbertlever.HostID]string
}

func (twoSiteView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (twoSiteView) Holders(catalog.NamedVersion) []relays.Holder { return nil }

func (v twoSiteView) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: "a1", Site: "a"}, {Host: "a2", Site: "a"}, {Host: "b1", Site: "b"}}, v.addresses
}

// No server gets its weights back after a loss of power. The origin takes few
// connections; an entry whose way to one other failed asked it directly, as did
// all, and nobody got through. The next entry at the origin's site is asked.
func TestFailedEntryIsReplacedByAnotherEntry(t *testing.T) {
	c := qt.New(t)
	near := newRelay(&singlePieceOrigin{data: []byte("weights")})
	mux := http.NewServeMux()
	near.Routes(mux)
	alive := httptest.NewServer(mux)
	defer alive.Close()
	for _, dead := range []filbertlever.HostID{"a1", "a2"} {
		v := twoSiteView{addresses: map[filbertlever.HostID]string{"a1": alive.Listener.Addr().String(), "a2": alive.Listener.Addr().String()}}
		v.addresses[dead] = "127.0.0.1:1"
		origin := &singlePieceOrigin{data: []byte("weights")}
		origin.down.Store(true)
		r := New(relays.Entry{Host: "b1", Site: "b"}, v, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		data, err := r.Piece(context.Background(), drafter, 0, relays.RoleAny)
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, "weights")
	}
}

// Two entries of one site, which do not see each other alike: each takes the
// other for the home of a piece. An agent waited until both gave up.
func TestEntriesWithDifferentViewsDoNotDeadlock(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	addresses := map[filbertlever.HostID]string{}
	one := New(relays.Entry{Host: "e1", Site: "a"}, otherEntryView{"e2", addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	two := New(relays.Entry{Host: "e2", Site: "a"}, otherEntryView{"e1", addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	for host, r := range map[filbertlever.HostID]*Relay{"e1": one, "e2": two} {
		mux := http.NewServeMux()
		r.Routes(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		addresses[host] = server.Listener.Addr().String()
	}
	began := time.Now()
	for _, r := range []*Relay{one, two} {
		_, err := r.Piece(context.Background(), drafter, 0, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
}

// otherEntryView is a view in which only the other entry lives.
type otherEntryView struct {
	other     filbertlever.HostID
	addresses map[filbertlever.HostID]string
}

func (otherEntryView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (otherEntryView) Holders(catalog.NamedVersion) []relays.Holder { return nil }

func (v otherEntryView) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: v.other, Site: "a"}}, v.addresses
}
