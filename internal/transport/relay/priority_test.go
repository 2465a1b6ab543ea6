package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// concurrencyOrigin records the peak number of concurrent fetches of a version. Versions
// before oldest are removed.
type concurrencyOrigin struct {
	sharedLinkOrigin
	version, oldest uint64
	current, peak   atomic.Int32
}

func (o *concurrencyOrigin) Piece(_ context.Context, _ string, id catalog.ModelVersion, piece int) ([]byte, error) {
	if id.Version < o.oldest {
		return nil, ErrRemoved
	}
	if id.Version == o.version {
		o.peak.Store(max(o.peak.Load(), o.current.Add(1)))
		defer o.current.Add(-1)
	}
	time.Sleep(5 * time.Millisecond)
	return o.piece(id.Version, piece), nil
}

// holdingSiteView is a view of a site whose servers all hold one version.
type holdingSiteView struct {
	singleEntryView
	version uint64
}

func (holdingSiteView) Pieces(string) (count, size int) { return 0, 0 }

func (v holdingSiteView) Holders(id catalog.ModelVersion) []relays.Holder {
	if id.Version != v.version {
		return nil
	}
	return []relays.Holder{{Backend: "b", Address: "127.0.0.1:1"}}
}

func drafterVersion(version uint64) catalog.ModelVersion {
	return catalog.ModelVersion{Model: "drafter", Version: version}
}

// fetchConcurrently fetches pieces of a version at once, as agents request them.
func fetchConcurrently(c *qt.C, r *Relay, id catalog.ModelVersion, pieces int) {
	var group sync.WaitGroup
	for piece := range pieces {
		group.Go(func() {
			_, err := r.Piece(context.Background(), id, piece, relays.RoleOriginFetcher)
			c.Check(err, qt.IsNil)
		})
	}
	group.Wait()
}

// Version 4 took twice as long as the origin's link allows: it was fetched one piece at a time
// because of version 2, which all servers had replaced by version 3. Version 2 was not marked as
// superseded, as version 3 was requested more than twice the switchover time limit later.
func TestVersionReplacedOnServersDoesNotThrottleNewer(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 4}
	r := New(relays.Entry{Host: "e1", Site: "a"}, holdingSiteView{version: 3}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.mu.Lock()
	r.ensureState(drafterVersion(2)).requested, r.ensureState(drafterVersion(3)).requested, r.ensureState(drafterVersion(4)).requested = true, true, true
	r.mu.Unlock()
	r.Supersede(drafterVersion(3), boottime.Now()+7*time.Second)
	fetchConcurrently(c, r, drafterVersion(4), 12)
	c.Assert(origin.peak.Load(), qt.Equals, int32(originConcurrency))
}

// The older of two versions requested shortly after each other was abandoned as not worth
// fetching, so no server would ever hold it. The newer one was still fetched one piece at a
// time, for seven seconds.
func TestAbandonedVersionDoesNotThrottleNewer(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	_, err := r.Manifest(context.Background(), drafterVersion(2), relays.RoleOriginFetcher)
	c.Assert(err, qt.IsNil)
	r.Supersede(drafterVersion(2), boottime.Now()+7*time.Second)
	r.Prefetch(drafterVersion(2))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		prefetching := r.ensureState(drafterVersion(2)).prefetching
		r.mu.Unlock()
		if !prefetching {
			break
		}
	}
	fetchConcurrently(c, r, drafterVersion(3), 12)
	c.Assert(origin.peak.Load(), qt.Equals, int32(originConcurrency))
}

// While agents requested an older version that was removed from the origin, no server got the
// newer one. Each fetch of the older one kept one of the two origin slots for three seconds,
// and the next fetch of it got the slot before the newer one.
func TestRemovedVersionDoesNotDelayNewer(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 4, oldest: 4}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	_, err := r.Manifest(context.Background(), drafterVersion(2), relays.RoleOriginFetcher)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for piece := range 8 {
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = r.Piece(ctx, drafterVersion(2), piece, relays.RoleOriginFetcher)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	newest, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	_, err = r.Piece(newest, drafterVersion(4), 0, relays.RoleOriginFetcher)
	took := time.Since(start)
	cancel()
	group.Wait()
	c.Assert(err, qt.IsNil, qt.Commentf("after %v", took))
	c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("the first piece of the newest version took %v", took))
}
