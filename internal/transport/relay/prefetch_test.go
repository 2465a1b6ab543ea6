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

// versionedOrigin is an origin of many versions that records the order of fetches.
type versionedOrigin struct {
	mu      sync.Mutex
	down    bool
	fetched []uint64
}

func (o *versionedOrigin) piece(version uint64, piece int) []byte {
	return []byte(fmt.Sprintf("piece %d of version %d", piece, version))
}

func (o *versionedOrigin) Manifest(_ context.Context, _ string, id catalog.ModelVersion) (Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return Manifest{}, errDown
	}
	manifest := Manifest{Model: id.Model, Version: id.Version}
	for piece := range piecesPerVersion {
		sum := sha256.Sum256(o.piece(id.Version, piece))
		manifest.Digests = append(manifest.Digests, hex.EncodeToString(sum[:]))
	}
	return manifest, nil
}

func (o *versionedOrigin) Piece(_ context.Context, _ string, id catalog.ModelVersion, piece int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, errDown
	}
	o.fetched = append(o.fetched, id.Version)
	if len(o.fetched) == 2 && id.Version == 2 {
		// The origin goes down in the middle of the first version.
		o.down = true
	}
	return o.piece(id.Version, piece), nil
}

func (o *versionedOrigin) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

func (o *versionedOrigin) fetchedVersions() []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]uint64(nil), o.fetched...)
}

// The origin went down during the prefetch of a version, and a newer one was requested
// meanwhile. When it recovered, both shared its slow link, and the nearly complete older one
// took as long as the newer one. It must be finished first, without another request.
func TestOldestVersionIsPrefetchedFirst(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.Prefetch(catalog.ModelVersion{Model: "drafter", Version: 2})
	for len(origin.fetchedVersions()) < 2 {
		time.Sleep(time.Millisecond)
	}
	r.Prefetch(catalog.ModelVersion{Model: "drafter", Version: 3})
	time.Sleep(1200 * time.Millisecond)
	origin.setDown(false)
	for end := time.Now().Add(10 * time.Second); len(origin.fetchedVersions()) < 2*piecesPerVersion && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	fetched := origin.fetchedVersions()
	c.Assert(fetched, qt.HasLen, 2*piecesPerVersion)
	for n, version := range fetched {
		// Two pieces of the newer version may be fetched between two attempts of the
		// older one.
		if n >= piecesPerVersion+newerBatchSize {
			c.Check(version, qt.Equals, uint64(3), qt.Commentf("fetch %d of %v", n, fetched))
		}
	}
}

// removingOrigin is an origin that no longer has the versions before oldest.
type removingOrigin struct {
	versionedOrigin
	oldest uint64
}

func (o *removingOrigin) Manifest(ctx context.Context, address string, id catalog.ModelVersion) (Manifest, error) {
	if id.Version < o.oldest {
		return Manifest{}, fmt.Errorf("manifest: %w", ErrRemoved)
	}
	return o.versionedOrigin.Manifest(ctx, address, id)
}

// The origin removes a version before it was fetched. Retrying it must not keep later
// versions from the servers.
func TestRemovedVersionDoesNotBlockPrefetch(t *testing.T) {
	c := qt.New(t)
	origin := &removingOrigin{oldest: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.Prefetch(catalog.ModelVersion{Model: "drafter", Version: 1})
	r.Prefetch(catalog.ModelVersion{Model: "drafter", Version: 3})
	for end := time.Now().Add(5 * time.Second); r.isPrefetching() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(origin.fetchedVersions(), qt.DeepEquals, []uint64{3, 3, 3, 3, 3, 3})
	c.Assert(r.prefetchQueue(), qt.HasLen, 0)
}

// During an origin outage every entry that failed to get a piece was excluded and the next
// one asked, and the origin later sent each piece several times over its slow link. The
// piece's origin fetcher must be asked again, and fetch it once.
func TestEntryWithUpstreamFailureIsRetried(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	addresses := map[filbertlever.HostID]string{}
	nearRelays := []*Relay{}
	for _, host := range []filbertlever.HostID{"a1", "a2"} {
		r := New(relays.Entry{Host: host, Site: "a"}, twoSiteView{addresses: addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
		mux := http.NewServeMux()
		r.Routes(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		addresses[host] = server.Listener.Addr().String()
		nearRelays = append(nearRelays, r)
	}
	farRelay := New(relays.Entry{Host: "b1", Site: "b"}, twoSiteView{addresses: addresses}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	id := catalog.ModelVersion{Model: "drafter", Version: 1}
	_, err := farRelay.Manifest(context.Background(), id, relays.RoleAny)
	c.Assert(err, qt.IsNil)
	origin.setDown(true)
	time.AfterFunc(time.Second, func() { origin.setDown(false) })
	for piece := range piecesPerVersion {
		data, err := farRelay.Piece(context.Background(), id, piece, relays.RoleAny)
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, string(origin.piece(1, piece)))
	}
	for _, r := range nearRelays {
		for r.isPrefetching() {
			time.Sleep(time.Millisecond)
		}
	}
	c.Assert(origin.fetchedVersions(), qt.HasLen, piecesPerVersion)
}

// recordingOrigin is an origin that records which pieces were requested.
type recordingOrigin struct {
	*versionedOrigin
	mu        sync.Mutex
	requested map[int]bool
}

func (o *recordingOrigin) Piece(ctx context.Context, address string, id catalog.ModelVersion, piece int) ([]byte, error) {
	o.mu.Lock()
	o.requested[piece] = true
	o.mu.Unlock()
	return o.versionedOrigin.Piece(ctx, address, id, piece)
}

// During a long outage the origin fetcher of a piece reported failure after half a second.
// After three such failures other entries fetched the piece themselves, several times over
// the origin's slow link. Only the origin fetcher, which keeps retrying, may fetch it.
func TestLongOriginOutageKeepsOneFetcherPerPiece(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	addresses := map[filbertlever.HostID]string{}
	nearRelays, origins := map[filbertlever.HostID]*Relay{}, map[filbertlever.HostID]*recordingOrigin{}
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
		nearRelays[host] = r
	}
	id := catalog.ModelVersion{Model: "drafter", Version: 1}
	for _, r := range nearRelays {
		_, err := r.Manifest(context.Background(), id, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	origin.setDown(true)
	time.AfterFunc(3300*time.Millisecond, func() { origin.setDown(false) })
	var group sync.WaitGroup
	for _, r := range nearRelays {
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
		fetcher := relays.OriginFetcher(entries, "a", pieceKey(id, piece))
		for host, o := range origins {
			c.Check(o.requested[piece], qt.Equals, host == fetcher, qt.Commentf("piece %d with origin fetcher %s, at %s", piece, fetcher, host))
		}
	}
}

func (r *Relay) isPrefetching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefetchRunning
}

// After an outage the older of two versions was prefetched first although it could serve
// for only half a second. That delayed the newer one, and every response, by 1.2 s.
func TestNearlyObsoleteVersionIsNotPrefetched(t *testing.T) {
	c := qt.New(t)
	origin := &versionedOrigin{}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	for version := range uint64(2) {
		id := catalog.ModelVersion{Model: "drafter", Version: version + 5}
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

// failingEntryView is a twoSiteView from which entry a1 disappears once dead is set.
type failingEntryView struct {
	twoSiteView
	dead *atomic.Bool
}

func (v failingEntryView) Entries() ([]relays.Entry, map[filbertlever.HostID]string) {
	entries, addresses := v.twoSiteView.Entries()
	if v.dead.Load() {
		entries = slices.DeleteFunc(entries, func(e relays.Entry) bool { return e.Host == "a1" })
	}
	return entries, addresses
}

// A host hangs during a piece fetch and its connections stay open. Agents waited as long as
// for a busy host. Once it is detected as dead, another entry must be asked.
func TestFetchIsCanceledWhenEntryDies(t *testing.T) {
	c := qt.New(t)
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer hanging.Close()
	nearRelay := New(relays.Entry{Host: "a2", Site: "a"}, twoSiteView{}, &versionedOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	mux := http.NewServeMux()
	nearRelay.Routes(mux)
	alive := httptest.NewServer(mux)
	defer alive.Close()
	var dead atomic.Bool
	v := failingEntryView{twoSiteView{addresses: map[filbertlever.HostID]string{"a1": hanging.Listener.Addr().String(), "a2": alive.Listener.Addr().String()}}, &dead}
	farRelay := New(relays.Entry{Host: "b1", Site: "b"}, v, &versionedOrigin{}, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	time.AfterFunc(300*time.Millisecond, func() { dead.Store(true) })
	start := time.Now()
	for piece := range piecesPerVersion {
		_, err := farRelay.Piece(context.Background(), catalog.ModelVersion{Model: "drafter", Version: 1}, piece, relays.RoleAny)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(time.Since(start) < 3*time.Second, qt.IsTrue)
}
