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

// Cancelled requests still began on old weights. The server counted as idle from 0.1 s
// before entries closed the connections of queued requests, so the agent fetched at the
// full link rate, and the closes were queued for 0.5 s behind sixteen pieces.
func TestFetchIsThrottledBeforeRequestsAreCancelled(t *testing.T) {
	c := qt.New(t)
	const maxStaleness, pass = 10300 * time.Millisecond, 550 * time.Millisecond
	config := switchover.DefaultConfig(maxStaleness).WithMaxPass(pass)
	for _, before := range []time.Duration{50 * time.Millisecond, 0, -100 * time.Millisecond} {
		entry := newFakeEntry(t, 2, 2)
		s := newAgent(entry, &fakeEngine{staged: map[int][]byte{}}, Config{MaxStaleness: maxStaleness})
		now := boottime.Now()
		s.report = Report{Models: []catalog.Model{{Name: "drafter", Version: 1}}, Running: 12, Queued: 6}
		s.hasReport, s.everReported, s.hasView, s.viewReadAt = true, true, true, now
		s.view = gateway.View{LongestPass: pass, ServerCount: 1, Named: []gateway.NamedAge{{Model: "drafter", Version: 2, Age: config.CancelAt(0) - before, Known: true}}}
		ctx, cancel := context.WithCancel(context.Background())
		s.step(ctx, now)
		s.mu.Lock()
		c.Check(s.models["drafter"].idle, qt.IsFalse, qt.Commentf("%v before entries cancel the queued requests", before))
		s.mu.Unlock()
		cancel()
	}
}
