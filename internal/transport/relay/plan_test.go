package relay

import (
	"net/http"
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
func TestOnlyTheNewestOfTwoVersionsIsDrawn(t *testing.T) {
	c := qt.New(t)
	origin := &laneOrigin{version: 3}
	r := New(relays.Entry{Host: "e1", Site: "a"}, alone{}, origin, &http.Client{}, zap.NewNop(), prometheus.NewRegistry())
	since := boottime.Now()
	plan := Plan{Bounds: switchover.DefaultConfig(13400 * time.Millisecond), Named: []switchover.Named{{Version: 2, Since: since}}}
	r.SetPlan("drafter", plan)
	r.Announce(versionOf(2))
	plan.Named = append(plan.Named, switchover.Named{Version: 3, Since: boottime.Now()})
	r.SetPlan("drafter", plan)
	r.Supersede(versionOf(2), since+13*time.Second)
	r.Announce(versionOf(3))
	whole := func(version uint64) bool {
		manifest, ok := r.knownManifest(versionOf(version))
		return ok && len(r.piecesAhead(versionOf(version), &manifest)) == 0
	}
	for end := time.Now().Add(5 * time.Second); !whole(3) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(whole(3), qt.IsTrue)
	c.Assert(whole(2), qt.IsFalse)
	c.Assert(r.wantedAhead(), qt.HasLen, 0)
}
