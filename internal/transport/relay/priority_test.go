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

// concurrencyOrigin counts how many pieces of a version are drawn at once; versions before one
// are gone.
type concurrencyOrigin struct {
	sharedLinkOrigin
	version, oldest uint64
	current, peak   atomic.Int32
}

func (o *concurrencyOrigin) Piece(_ context.Context, _ string, id catalog.NamedVersion, piece int) ([]byte, error) {
	if id.Version < o.oldest {
		return nil, ErrGone
	}
	if id.Version == o.version {
		o.peak.Store(max(o.peak.Load(), o.current.Add(1)))
		defer o.current.Add(-1)
	}
	time.Sleep(5 * time.Millisecond)
	return o.piece(id.Version, piece), nil
}

// holdingSiteView is a site whose servers all hold one version.
type holdingSiteView struct {
	singleEntryView
	version uint64
}

func (h holdingSiteView) Holders(id catalog.NamedVersion) []relays.Holder {
	if id.Version != h.version {
		return nil
	}
	return []relays.Holder{{Backend: "b", Address: "127.0.0.1:1"}}
}

func drafterVersion(version uint64) catalog.NamedVersion {
	return catalog.NamedVersion{Model: "drafter", Version: version}
}

// fetchConcurrently draws pieces of a version at once, as agents ask for them.
func fetchConcurrently(c *qt.C, r *Relay, id catalog.NamedVersion, pieces int) {
	var group sync.WaitGroup
	for piece := range pieces {
		group.Go(func() {
			_, err := r.Piece(context.Background(), id, piece, relays.RoleDrawer)
			c.Check(err, qt.IsNil)
		})
	}
	group.Wait()
}

// A set took twice as long as the origin's link allows, at an entry that draws alone.
// All servers hold version 3; version 2, which all of them have left, had been asked for
// long ago, and as version 3 was named more than two bounds after it nobody said since
// when it is of no use. Version 4 was drawn one piece at a time, behind version 2.
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

// The same for seven seconds after two versions were named soon after each other: the
// older one was judged not worth drawing, so that nobody draws it and no server will ever
// hold it, and the newer one was drawn one piece at a time behind it all the same.
func TestAbandonedVersionDoesNotThrottleNewer(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	_, err := r.Manifest(context.Background(), drafterVersion(2), relays.RoleDrawer)
	c.Assert(err, qt.IsNil)
	r.Supersede(drafterVersion(2), boottime.Now()+7*time.Second)
	r.Prefetch(drafterVersion(2))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		ahead := r.ensureState(drafterVersion(2)).prefetching
		r.mu.Unlock()
		if !ahead {
			break
		}
	}
	fetchConcurrently(c, r, drafterVersion(3), 12)
	c.Assert(origin.peak.Load(), qt.Equals, int32(originConcurrency))
}

// No server got a version for as long as agents asked for an older one, which the origin
// had dropped: each try of the older one kept its place for three seconds, there are two,
// and whoever waited for the older one next went before the newer.
func TestGoneVersionDoesNotDelayNewer(t *testing.T) {
	c := qt.New(t)
	origin := &concurrencyOrigin{version: 4, oldest: 4}
	r := New(relays.Entry{Host: "e1", Site: "a"}, singleEntryView{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	_, err := r.Manifest(context.Background(), drafterVersion(2), relays.RoleDrawer)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for piece := range 8 {
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = r.Piece(ctx, drafterVersion(2), piece, relays.RoleDrawer)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	newest, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	_, err = r.Piece(newest, drafterVersion(4), 0, relays.RoleDrawer)
	took := time.Since(began)
	cancel()
	group.Wait()
	c.Assert(err, qt.IsNil, qt.Commentf("after %v", took))
	c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("the first piece of the version in force took %v", took))
}
