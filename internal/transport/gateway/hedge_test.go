package gateway

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/forward"
)

// A route without a goal or a longest pause sent requests to a second server at once.
func TestPatienceFollowsTheRoute(t *testing.T) {
	const never = time.Duration(math.MaxInt64)
	tests := []struct {
		name  string
		route catalog.Route
		want  forward.Patience
	}{
		{"stream", catalog.Route{FirstByteGoal: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond},
			forward.Patience{Stall: 600 * time.Millisecond, Head: 1600 * time.Millisecond, Gap: 1200 * time.Millisecond}},
		{"short times", catalog.Route{FirstByteGoal: 50 * time.Millisecond, MaxEventGap: 50 * time.Millisecond},
			forward.Patience{Stall: 400 * time.Millisecond, Head: 400 * time.Millisecond, Gap: 800 * time.Millisecond}},
		{"no longest pause", catalog.Route{FirstByteGoal: time.Second}, forward.Patience{Stall: 1500 * time.Millisecond, Head: 4 * time.Second, Gap: never}},
		{"no goal", catalog.Route{MaxEventGap: time.Second}, forward.Patience{Stall: never, Head: never, Gap: 4 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := &attempts{exchange: &exchange{route: &test.route}}
			qt.Assert(t, a.patience(), qt.Equals, test.want)
		})
	}
}

// A request that a server did not accept a connection for got no second attempt beside a silent one.
func TestRefusedConnectionsLeaveServersForSecondAttempts(t *testing.T) {
	c := qt.New(t)
	a := &attempts{Attempts: forward.Attempts{Class: forward.Class{Repeatable: true, MaxServers: 2}}}
	silent := &attempt{attempts: a, chosenServer: chosenServer{Placement: fleet.Placement{Backend: catalog.Backend{ID: "silent"}}}}
	a.tried, a.running = []catalog.Backend{{ID: "down"}, silent.Backend}, []*attempt{silent}
	a.Record(forward.EndUnsent)
	c.Assert(a.serversLeft(), qt.Equals, 1)
	a.running = nil
	a.recordEndLocked(silent, forward.EndWithdrawn)
	c.Assert(a.serversLeft(), qt.Equals, 2)
	a.Record(forward.EndLost)
	c.Assert(a.serversLeft(), qt.Equals, 1)
}
