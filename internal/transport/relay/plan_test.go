package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/filbertlever/filbertlever/internal/coordination/relays"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Guards against fetching two versions that are requested shortly after each other, when the
// newer one alone suffices.
func TestOnlyNewestOfTwoVersionsIsFetched(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 3}
	prefetched := make(chan struct{}, 2)
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel), zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "weights prefetched" {
			prefetched <- struct{}{}
		}
		return nil
	}))
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, log, prometheus.NewRegistry())
	since := boottime.Now()
	plan := Plan{Config: switchover.DefaultConfig(13400 * time.Millisecond), Versions: []switchover.TargetVersion{{Version: 2, SetAt: since}}}
	r.SetPlan("drafter", plan)
	r.AddVersion(drafterVersion(2))
	plan.Versions = append(plan.Versions, switchover.TargetVersion{Version: 3, SetAt: boottime.Now()})
	r.SetPlan("drafter", plan)
	r.Supersede(drafterVersion(2), since+13*time.Second)
	r.AddVersion(drafterVersion(3))
	complete := func(version uint64) bool {
		manifest, ok := r.cachedManifest(drafterVersion(version))
		return ok && len(r.missingPieces(drafterVersion(version), &manifest)) == 0
	}
	// The last piece is cached before the prefetch of its version ends.
	select {
	case <-prefetched:
	case <-time.After(5 * time.Second):
	}
	c.Assert(complete(3), qt.IsTrue)
	c.Assert(complete(2), qt.IsFalse)
	c.Assert(r.prefetchQueue(), qt.HasLen, 0)
}

// Pieces of the older version that were requested before the newer version got origin slots
// before those of the newer one, although the older version is skipped.
func TestSkippedVersionYieldsOriginSlots(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	config, since := switchover.DefaultConfig(13400*time.Millisecond), boottime.Now()
	var failed atomic.Int32
	var group sync.WaitGroup
	for piece := range sharedLinkPieces {
		group.Go(func() {
			if _, err := r.Piece(context.Background(), drafterVersion(2), piece, relays.RoleOriginFetcher); err != nil {
				failed.Add(1)
			}
		})
	}
	r.SetPlan("drafter", Plan{Config: config, Versions: []switchover.TargetVersion{{Version: 2, SetAt: since}, {Version: 3, SetAt: since}}})
	r.Supersede(drafterVersion(2), since+13*time.Second)
	c.Assert(r.decideSkip(drafterVersion(2), boottime.Now()), qt.IsTrue)
	fetchConcurrently(c, r, drafterVersion(3), sharedLinkPieces)
	group.Wait()
	c.Assert(failed.Load() > sharedLinkPieces/2, qt.IsTrue, qt.Commentf("%d of %d", failed.Load(), sharedLinkPieces))
	// Once the newer version alone no longer suffices, the older one is fetched again.
	r.SetPlan("drafter", Plan{Config: config, Versions: []switchover.TargetVersion{{Version: 2, SetAt: since - 10*time.Second}, {Version: 3, SetAt: since}}})
	time.Sleep(skipTTL)
	fetchConcurrently(c, r, drafterVersion(2), sharedLinkPieces)
}
