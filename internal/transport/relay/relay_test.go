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

var drafter = catalog.ModelVersion{Model: "drafter", Version: 1}

// singlePieceOrigin is an origin of a version with one piece.
type singlePieceOrigin struct {
	data []byte
	// corrupt is the number of corrupt responses still to send.
	corrupt atomic.Int32
	down    atomic.Bool
	fetches atomic.Int32
}

var errDown = errors.New("origin is down")

func (s *singlePieceOrigin) Manifest(context.Context, string, catalog.ModelVersion) (Manifest, error) {
	if s.down.Load() {
		return Manifest{}, errDown
	}
	sum := sha256.Sum256(s.data)
	return Manifest{Model: drafter.Model, Version: drafter.Version, Digests: []string{hex.EncodeToString(sum[:])}}, nil
}

func (s *singlePieceOrigin) Piece(context.Context, string, catalog.ModelVersion, int) ([]byte, error) {
	if s.down.Load() {
		return nil, errDown
	}
	s.fetches.Add(1)
	if s.corrupt.Add(-1) >= 0 {
		return []byte("spoilt"), nil
	}
	return s.data, nil
}

// singleEntryView is a view of an installation with one entry.
type singleEntryView struct{}

func (singleEntryView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (singleEntryView) Pieces(string) (count, size int) { return 0, 0 }

func (singleEntryView) Holders(catalog.ModelVersion) []relays.Holder { return nil }

func (singleEntryView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: "e1", Site: "a"}}, map[filbertlever.HostID]string{"e1": "127.0.0.1:1"}
}

func newRelay(origin Origin) *Relay {
	return New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
}

// Guards against fetching a piece several times over the origin's slow link when many
// agents request it at once.
func TestConcurrentRequestsFetchPieceOnce(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	r := newRelay(origin)
	results := make(chan error, 20)
	for n := range 20 {
		// Requests come from agents and from entries that assume this one is the home.
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

// Guards against serving a corrupt piece from the origin instead of fetching it again.
func TestCorruptPieceIsFetchedAgain(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	origin.corrupt.Store(1)
	data, err := newRelay(origin).Piece(context.Background(), drafter, 0, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "weights")
}

// Guards against returning an old failure to the next request after the origin was down
// for longer than a fetch retries.
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

// Checks the status codes for a piece that does not exist and for invalid queries.
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

// BenchmarkServePiece measures the transfer of a cached piece of 32 KiB to an agent.
func BenchmarkServePiece(b *testing.B) {
	r := newRelay(&singlePieceOrigin{data: make([]byte, 32<<10)})
	mux := http.NewServeMux()
	r.Routes(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	address := server.Listener.Addr().String()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := FetchPiece(context.Background(), http.DefaultClient, address, drafter, 0, maxPieceBytes); err != nil {
			b.Fatal(err)
		}
	}
}

// twoSiteView is a view of an installation with two entries at the origin's site and one
// at another site.
type twoSiteView struct {
	addresses map[filbertlever.HostID]string
}

func (twoSiteView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (twoSiteView) Pieces(string) (count, size int) { return 0, 0 }

func (twoSiteView) Holders(catalog.ModelVersion) []relays.Holder { return nil }

func (v twoSiteView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: "a1", Site: "a"}, {Host: "a2", Site: "a"}, {Host: "b1", Site: "b"}}, v.addresses
}

// After a power failure, entries that could not reach another entry all connected to the
// origin, which accepts few connections, and no server got its weights. They must ask the
// next entry at the origin's site instead.
func TestFailedEntryIsReplacedByAnotherEntry(t *testing.T) {
	c := qt.New(t)
	relay := newRelay(&singlePieceOrigin{data: []byte("weights")})
	mux := http.NewServeMux()
	relay.Routes(mux)
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

// Two entries of one site with different views each assume that the other is the home of
// a piece. They waited for each other, and the agent waited until both timed out.
func TestEntriesWithDifferentViewsDoNotDeadlock(t *testing.T) {
	c := qt.New(t)
	origin := &singlePieceOrigin{data: []byte("weights")}
	addresses := map[filbertlever.HostID]string{}
	first := New(relays.Entry{Host: "e1", Site: "a"}, otherEntryView{"e2", addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	second := New(relays.Entry{Host: "e2", Site: "a"}, otherEntryView{"e1", addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	for host, r := range map[filbertlever.HostID]*Relay{"e1": first, "e2": second} {
		mux := http.NewServeMux()
		r.Routes(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		addresses[host] = server.Listener.Addr().String()
	}
	start := time.Now()
	for _, r := range []*Relay{first, second} {
		_, err := r.Piece(context.Background(), drafter, 0, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
}

// otherEntryView is a view in which only the other entry is alive.
type otherEntryView struct {
	other     filbertlever.HostID
	addresses map[filbertlever.HostID]string
}

func (otherEntryView) Origin() (address, site string, ok bool) { return "origin", "a", true }

func (otherEntryView) Pieces(string) (count, size int) { return 0, 0 }

func (otherEntryView) Holders(catalog.ModelVersion) []relays.Holder { return nil }

func (v otherEntryView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	return []relays.Entry{{Host: v.other, Site: "a"}}, v.addresses
}
