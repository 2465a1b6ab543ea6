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

// laneOrigin counts how many pieces of a version are drawn at once; versions before one
// are gone.
type laneOrigin struct {
	thinOrigin
	version, before uint64
	now, most       atomic.Int32
}

func (o *laneOrigin) Piece(_ context.Context, _ string, named catalog.NamedVersion, piece int) ([]byte, error) {
	if named.Version < o.before {
		return nil, ErrGone
	}
	if named.Version == o.version {
		o.most.Store(max(o.most.Load(), o.now.Add(1)))
		defer o.now.Add(-1)
	}
	time.Sleep(5 * time.Millisecond)
	return o.piece(named.Version, piece), nil
}

// holding is a site whose servers all hold one version.
type holding struct {
	alone
	version uint64
}

func (h holding) Holders(named catalog.NamedVersion) []relays.Holder {
	if named.Version != h.version {
		return nil
	}
	return []relays.Holder{{Backend: "b", Address: "127.0.0.1:1"}}
}

func versionOf(version uint64) catalog.NamedVersion {
	return catalog.NamedVersion{Model: "drafter", Version: version}
}

// drawAll draws pieces of a version at once, as agents ask for them.
func drawAll(c *qt.C, r *Relay, named catalog.NamedVersion, pieces int) {
	var group sync.WaitGroup
	for piece := range pieces {
		group.Go(func() {
			_, err := r.Piece(context.Background(), named, piece, relays.RoleDrawer)
			c.Check(err, qt.IsNil)
		})
	}
	group.Wait()
}

// A set took twice as long as the origin's link allows, at an entry that draws alone.
// All servers hold version 3; version 2, which all of them have left, had been asked for
// long ago, and as version 3 was named more than two bounds after it nobody said since
// when it is of no use. Version 4 was drawn one piece at a time, behind version 2.
func TestAVersionThatServersHaveLeftKeepsNoneBack(t *testing.T) {
	c := qt.New(t)
	origin := &laneOrigin{version: 4}
	r := New(relays.Entry{Host: "e1", Site: "a"}, holding{version: 3}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	r.mu.Lock()
	r.version(versionOf(2)).asked, r.version(versionOf(3)).asked, r.version(versionOf(4)).asked = true, true, true
	r.mu.Unlock()
	r.Supersede(versionOf(3), boottime.Now()+7*time.Second)
	drawAll(c, r, versionOf(4), 12)
	c.Assert(origin.most.Load(), qt.Equals, int32(originParallel))
}

// The same for seven seconds after two versions were named soon after each other: the
// older one was judged not worth drawing, so that nobody draws it and no server will ever
// hold it, and the newer one was drawn one piece at a time behind it all the same.
func TestAVersionThatIsNotWorthDrawingKeepsNoneBack(t *testing.T) {
	c := qt.New(t)
	origin := &laneOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	_, err := r.Manifest(context.Background(), versionOf(2), relays.RoleDrawer)
	c.Assert(err, qt.IsNil)
	r.Supersede(versionOf(2), boottime.Now()+7*time.Second)
	r.Prefetch(versionOf(2))
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		ahead := r.version(versionOf(2)).ahead
		r.mu.Unlock()
		if !ahead {
			break
		}
	}
	drawAll(c, r, versionOf(3), 12)
	c.Assert(origin.most.Load(), qt.Equals, int32(originParallel))
}

// No server got a version for as long as agents asked for an older one, which the origin
// had dropped: each try of the older one kept its place for three seconds, there are two,
// and whoever waited for the older one next went before the newer.
func TestAVersionThatIsGoneKeepsNoneBack(t *testing.T) {
	c := qt.New(t)
	origin := &laneOrigin{version: 4, before: 4}
	r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	_, err := r.Manifest(context.Background(), versionOf(2), relays.RoleDrawer)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for piece := range 8 {
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = r.Piece(ctx, versionOf(2), piece, relays.RoleDrawer)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	newest, stop := context.WithTimeout(context.Background(), 12*time.Second)
	defer stop()
	_, err = r.Piece(newest, versionOf(4), 0, relays.RoleDrawer)
	took := time.Since(began)
	cancel()
	group.Wait()
	c.Assert(err, qt.IsNil, qt.Commentf("after %v", took))
	c.Assert(took < time.Second, qt.IsTrue, qt.Commentf("the first piece of the version in force took %v", took))
}
