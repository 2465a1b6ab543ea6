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

	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Two versions are named one after the other, and the origin's link carries both although the
// newer one suffices.
func TestOnlyNewestOfTwoVersionsIsFetched(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	since := boottime.Now()
	plan := Plan{Bounds: switchover.DefaultConfig(13400 * time.Millisecond), Named: []switchover.Named{{Version: 2, Since: since}}}
	r.SetPlan("drafter", plan)
	r.Announce(drafterVersion(2))
	plan.Named = append(plan.Named, switchover.Named{Version: 3, Since: boottime.Now()})
	r.SetPlan("drafter", plan)
	r.Supersede(drafterVersion(2), since+13*time.Second)
	r.Announce(drafterVersion(3))
	whole := func(version uint64) bool {
		manifest, ok := r.cachedManifest(drafterVersion(version))
		return ok && len(r.missingPieces(drafterVersion(version), &manifest)) == 0
	}
	for end := time.Now().Add(5 * time.Second); !whole(3) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(whole(3), qt.IsTrue)
	c.Assert(whole(2), qt.IsFalse)
	c.Assert(r.prefetchQueue(), qt.HasLen, 0)
}

// Pieces of the older version that were asked for before the newer one was named have places at the
// origin before those of the newer one.
func TestSkippedVersionYieldsOriginSlots(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	bounds, since := switchover.DefaultConfig(13400*time.Millisecond), boottime.Now()
	var failed atomic.Int32
	var group sync.WaitGroup
	for piece := range sharedLinkPieces {
		group.Go(func() {
			if _, err := r.Piece(context.Background(), drafterVersion(2), piece, relays.RoleDrawer); err != nil {
				failed.Add(1)
			}
		})
	}
	r.SetPlan("drafter", Plan{Bounds: bounds, Named: []switchover.Named{{Version: 2, Since: since}, {Version: 3, Since: since}}})
	r.Supersede(drafterVersion(2), since+13*time.Second)
	c.Assert(r.decideSkip(drafterVersion(2), boottime.Now()), qt.IsTrue)
	fetchConcurrently(c, r, drafterVersion(3), sharedLinkPieces)
	group.Wait()
	c.Assert(failed.Load() > sharedLinkPieces/2, qt.IsTrue, qt.Commentf("%d of %d", failed.Load(), sharedLinkPieces))
	// Once the newer one alone no longer suffices, the older one is had again.
	r.SetPlan("drafter", Plan{Bounds: bounds, Named: []switchover.Named{{Version: 2, Since: since - 10*time.Second}, {Version: 3, Since: since}}})
	time.Sleep(skipTTL)
	fetchConcurrently(c, r, drafterVersion(2), sharedLinkPieces)
}
