package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

const piecesPerVersion = 6

// versionedOrigin is an origin of whole sets, which notes the order of draws.
type versionedOrigin struct {
	mu      sync.Mutex
	down    bool
	fetched []uint64
}

func (s *versionedOrigin) piece(version uint64, piece int) []byte {
	return []byte(fmt.Sprintf("piece %d of version %d", piece, version))
}

func (s *versionedOrigin) Manifest(_ context.Context, _ string, id catalog.NamedVersion) (Manifest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Manifest{}, errDown
	}
	manifest := Manifest{Model: id.Model, Version: id.Version}
	for piece := range piecesPerVersion {
		sum := sha256.Sum256(s.piece(id.Version, piece))
		manifest.Digests = append(manifest.Digests, hex.EncodeToString(sum[:]))
	}
	return manifest, nil
}

func (s *versionedOrigin) Piece(_ context.Context, _ string, id catalog.NamedVersion, piece int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	s.fetched = append(s.fetched, id.Version)
	if len(s.fetched) == 2 && id.Version == 2 {
		// The origin goes away in the middle of the first set.
		s.down = true
	}
	return s.piece(id.Version, piece), nil
}

func (s *versionedOrigin) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *versionedOrigin) fetchedVersions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.fetched...)
}

// No server answers: a version was half drawn when the origin went away, and
// another was named meanwhile. Once it was back both shared its thin link, and the
// first, nearly whole, took as long as the second. It is finished first, without
// anyone asking again.
func TestOldestVersionIsPrefetchedFirst(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.Prefetch(catalog.NamedVersion{Model: "drafter", Version: 2})
	for len(origin.fetchedVersions()) < 2 {
		time.Sleep(time.Millisecond)
	}
	r.Prefetch(catalog.NamedVersion{Model: "drafter", Version: 3})
	time.Sleep(1200 * time.Millisecond)
	origin.setDown(false)
	for end := time.Now().Add(10 * time.Second); len(origin.fetchedVersions()) < 2*piecesPerVersion && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	drawn := origin.fetchedVersions()
	c.Assert(drawn, qt.HasLen, 2*piecesPerVersion)
	for n, version := range drawn {
		// Two of the second may be drawn between two tries of the first.
		if n >= piecesPerVersion+newerBatchSize {
			c.Check(version, qt.Equals, uint64(3), qt.Commentf("draw %d of %v", n, drawn))
		}
	}
}

// removingOrigin is an origin that has dropped all versions before one.
type removingOrigin struct {
	versionedOrigin
	oldest uint64
}

func (g *removingOrigin) Manifest(ctx context.Context, address string, id catalog.NamedVersion) (Manifest, error) {
	if id.Version < g.oldest {
		return Manifest{}, fmt.Errorf("manifest: %w", ErrGone)
	}
	return g.versionedOrigin.Manifest(ctx, address, id)
}

// Versions follow each other quickly, and the origin drops one before it was drawn.
// Waiting for it would keep every later version from all servers.
func TestGoneVersionDoesNotBlockPrefetch(t *testing.T) {
	c := qt.New(t)
	origin := &removingOrigin{oldest: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.Prefetch(catalog.NamedVersion{Model: "drafter", Version: 1})
	r.Prefetch(catalog.NamedVersion{Model: "drafter", Version: 3})
	for end := time.Now().Add(5 * time.Second); len(origin.fetchedVersions()) < piecesPerVersion && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(origin.fetchedVersions(), qt.HasLen, piecesPerVersion)
	c.Assert(r.prefetchQueue(), qt.HasLen, 0)
}

// The origin sent each piece several times over its thin link: while it was away,
// every entry was taken for failed as it could not have the piece, and the next was
// asked. The one that draws the piece is asked again, and draws it once.
func TestEntryWithUpstreamFailureIsRetried(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	addresses := map[filbertlever.HostID]string{}
	ring := []*Relay{}
	for _, host := range []filbertlever.HostID{"a1", "a2"} {
		r := New(relays.Entry{Host: host, Site: "a"}, twoSiteView{addresses: addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		mux := http.NewServeMux()
		r.Routes(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		addresses[host] = server.Listener.Addr().String()
		ring = append(ring, r)
	}
	far := New(relays.Entry{Host: "b1", Site: "b"}, twoSiteView{addresses: addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	id := catalog.NamedVersion{Model: "drafter", Version: 1}
	_, err := far.Manifest(context.Background(), id, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	origin.setDown(true)
	time.AfterFunc(time.Second, func() { origin.setDown(false) })
	for piece := range piecesPerVersion {
		data, err := far.Piece(context.Background(), id, piece, relays.RoleAny)
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, string(origin.piece(1, piece)))
	}
	for _, r := range ring {
		for r.isPrefetching() {
			time.Sleep(time.Millisecond)
		}
	}
	c.Assert(origin.fetchedVersions(), qt.HasLen, piecesPerVersion)
}

// recordingOrigin is an origin that notes which pieces were asked of it.
type recordingOrigin struct {
	*versionedOrigin
	mu        sync.Mutex
	requested map[int]bool
}

func (a *recordingOrigin) Piece(ctx context.Context, address string, id catalog.NamedVersion, piece int) ([]byte, error) {
	a.mu.Lock()
	a.requested[piece] = true
	a.mu.Unlock()
	return a.versionedOrigin.Piece(ctx, address, id, piece)
}

// The origin was away for seconds. Entries that wait for pieces from the one that draws
// them were told after half a second that it could not have them, and after three such
// answers drew themselves; when the origin was back each piece left it several times
// over its thin link. The one that draws tries on, is asked again, and alone draws.
func TestLongOriginOutageKeepsOneFetcherPerPiece(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	addresses := map[filbertlever.HostID]string{}
	ring, origins := map[filbertlever.HostID]*Relay{}, map[filbertlever.HostID]*recordingOrigin{}
	var entries []relays.Entry
	for _, host := range []filbertlever.HostID{"a1", "a2"} {
		entries = append(entries, relays.Entry{Host: host, Site: "a"})
		origins[host] = &recordingOrigin{versionedOrigin: origin, requested: map[int]bool{}}
		r := New(entries[len(entries)-1], twoSiteView{addresses: addresses}, origins[host], &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		mux := http.NewServeMux()
		r.Routes(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		addresses[host] = server.Listener.Addr().String()
		ring[host] = r
	}
	id := catalog.NamedVersion{Model: "drafter", Version: 1}
	for _, r := range ring {
		_, err := r.Manifest(context.Background(), id, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	origin.setDown(true)
	time.AfterFunc(3300*time.Millisecond, func() { origin.setDown(false) })
	var group sync.WaitGroup
	for _, r := range ring {
		for piece := range piecesPerVersion {
			group.Go(func() {
				for end := time.Now().Add(8 * time.Second); time.Now().Before(end); {
					if _, err := r.Piece(context.Background(), id, piece, relays.RoleAny); err == nil {
						return
					}
				}
			})
		}
	}
	group.Wait()
	c.Assert(origin.fetchedVersions(), qt.HasLen, piecesPerVersion)
	for piece := range piecesPerVersion {
		drawer := relays.Drawer(entries, "a", pieceKey(id, piece))
		for host, o := range origins {
			c.Check(o.requested[piece], qt.Equals, host == drawer, qt.Commentf("piece %d, which %s draws, at %s", piece, drawer, host))
		}
	}
}

func (r *Relay) isPrefetching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefetchRunning
}

// The origin came back with two versions to draw, of which the older would have
// been the only one to answer for half a second. Drawing it put off the newer one,
// and so every answer, by 1.2 s.
func TestNearlyObsoleteVersionIsNotPrefetched(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	for version := range uint64(2) {
		id := catalog.NamedVersion{Model: "drafter", Version: version + 5}
		if version == 0 {
			r.Supersede(id, boottime.Now()+100*time.Millisecond)
		}
		r.Prefetch(id)
	}
	for r.isPrefetching() {
		time.Sleep(time.Millisecond)
	}
	c.Assert(origin.fetchedVersions(), qt.DeepEquals, []uint64{6, 6, 6, 6, 6, 6})
}

// failingEntryView is a view in which the other site's entry dies after a while.
type failingEntryView struct {
	twoSiteView
	dead *atomic.Bool
}

func (d failingEntryView) Relays() ([]relays.Entry, map[filbertlever.HostID]string) {
	entries, addresses := d.twoSiteView.Relays()
	if d.dead.Load() {
		entries = slices.DeleteFunc(entries, func(e relays.Entry) bool { return e.Host == "a1" })
	}
	return entries, addresses
}

// A host stands still with a piece on its way; its connections stay open, and
// agents waited for as long as for one that is busy. Once it is known to be dead,
// another entry is asked.
func TestFetchIsCanceledWhenEntryDies(t *testing.T) {
	c := qt.New(t)
	still := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer still.Close()
	near := New(relays.Entry{Host: "a2", Site: "a"}, twoSiteView{}, &versionedOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	mux := http.NewServeMux()
	near.Routes(mux)
	alive := httptest.NewServer(mux)
	defer alive.Close()
	var dead atomic.Bool
	v := failingEntryView{twoSiteView{addresses: map[filbertlever.HostID]string{"a1": still.Listener.Addr().String(), "a2": alive.Listener.Addr().String()}}, &dead}
	far := New(relays.Entry{Host: "b1", Site: "b"}, v, &versionedOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	time.AfterFunc(300*time.Millisecond, func() { dead.Store(true) })
	began := time.Now()
	for piece := range piecesPerVersion {
		_, err := far.Piece(context.Background(), catalog.NamedVersion{Model: "drafter", Version: 1}, piece, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
}
