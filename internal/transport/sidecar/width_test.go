package sidecar

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/switchover"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
)

// Requests that had been taken back began on old weights all the same: the close lay for
// half a second behind sixteen pieces on the server's link. Its agent takes the server for
// one without requests, and fetches at the full rate of the link, from a tenth of a second
// before entries close the connections of those that still wait there.
func TestAFetchMakesWayForWhatIsTakenBack(t *testing.T) {
	c := qt.New(t)
	const bound, pass = 10300 * time.Millisecond, 550 * time.Millisecond
	config := switchover.DefaultConfig(bound).WithPass(pass)
	for _, before := range []time.Duration{50 * time.Millisecond, 0, -100 * time.Millisecond} {
		entry := newWeightsEntry(t, 2, 2)
		s := newAgent(entry, &engine{staged: map[int][]byte{}}, Config{Bound: bound})
		now := boottime.Now()
		s.report = Report{Models: []catalog.Model{{Name: "drafter", Version: 1}}, Running: 12, Queued: 6}
		s.hasReport, s.reportedOnce, s.hasView, s.viewedAt = true, true, true, now
		s.viewed = gateway.View{Pass: pass, Count: 1, Named: []gateway.NamedAge{{Model: "drafter", Version: 2, Age: config.TakeBackAt(0) - before, Known: true}}}
		ctx, cancel := context.WithCancel(context.Background())
		s.step(ctx, now)
		s.mu.Lock()
		c.Check(s.models["drafter"].idle, qt.IsFalse, qt.Commentf("%v before entries take back what waits there", before))
		s.mu.Unlock()
		cancel()
	}
}
