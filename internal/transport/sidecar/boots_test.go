package sidecar

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
	"github.com/filbertlever/filbertlever/internal/transport/datagrams"
	"github.com/filbertlever/filbertlever/internal/transport/gateway"
)

const drafter = "drafter"

// bootReport returns a report of a boot that holds a version of the drafter; 0 for none.
func bootReport(boot catalog.Boot, version uint64) Report {
	report := Report{Boot: boot}
	if version > 0 {
		report.Models = []catalog.Model{{Name: drafter, Version: version}}
	}
	return report
}

// newServingAgent returns an agent whose server serves version 1, with the pieces of
// version 2 in the cache.
func newServingAgent(t *testing.T) (*Sidecar, *fakeEngine, *fakeEntry) {
	entry := newFakeEntry(t, 2, 3)
	server := &fakeEngine{staged: map[int][]byte{}, report: bootReport(1000, 1)}
	s := newAgent(entry, server, Config{MaxStaleness: 8 * time.Second})
	s.applyReport(server.report, boottime.Now())
	m := newModelState()
	for piece, digest := range entry.manifest.Digests {
		s.cachePiece(digest, entry.pieces[piece])
	}
	m.manifests[2], m.complete[2], m.completeAt[2] = &entry.manifest, &entry.manifest, boottime.Now()
	s.models[drafter] = m
	s.hasView, s.viewReadAt = true, boottime.Now()
	s.view = gateway.View{Named: []gateway.NamedAge{{Model: drafter, Version: 2}}, ServerIndex: 1, ServerCount: 2}
	return s, server, entry
}

// stepUntil runs the agent's steps until a condition is true.
func stepUntil(c *qt.C, s *Sidecar, condition func() bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.step(ctx, boottime.Now())
		if condition() {
			return
		}
	}
	c.Fatal("the condition did not become true in time")
}

// A restarted server had no weights for seconds, because its agent still waited for the
// switchover of the previous boot, which had requests. The new boot has none, and all
// pieces are in the agent's cache.
func TestServerRestartStartsNewLoad(t *testing.T) {
	c := qt.New(t)
	s, server, entry := newServingAgent(t)
	l := &loadTask{sidecar: s, state: s.models[drafter], target: catalog.ModelVersion{Model: drafter, Version: 2}, manifest: &entry.manifest,
		boot: 1000, orderAt: boottime.Now() + time.Hour, quietPeriod: time.Second}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	l.state.loading, l.state.cancelLoad = true, cancel
	go l.run(ctx)
	time.Sleep(20 * time.Millisecond)
	server.mu.Lock()
	server.report = bootReport(2000, 0)
	server.mu.Unlock()
	s.applyReport(bootReport(2000, 0), boottime.Now())
	stepUntil(c, s, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.loaded) == 3
	})
	c.Assert(entry.sent.Load(), qt.Equals, int32(0), qt.Commentf("cached pieces were fetched again"))
}

// Callers would get answers from a staged piece that became corrupt while the server was
// down. Staged pieces survive a crash and must be read back before the order.
func TestStagedPiecesAreVerifiedAfterCrash(t *testing.T) {
	c := qt.New(t)
	s, server, entry := newServingAgent(t)
	for piece, data := range entry.pieces {
		server.staged[piece] = data
	}
	server.staged[1] = []byte("spoilt")
	s.applyReport(bootReport(2000, 0), boottime.Now())
	stepUntil(c, s, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.loaded) == 3
	})
	server.mu.Lock()
	defer server.mu.Unlock()
	c.Assert(string(server.loaded[1]), qt.Equals, string(entry.pieces[1]))
}

// Entries send no requests to a restarted server, or abort its responses, if the agent
// still reports the switchover that was planned for the previous boot.
func TestReportOmitsStateOfPreviousBoot(t *testing.T) {
	c := qt.New(t)
	s, _, _ := newServingAgent(t)
	receiver, err := net.ListenPacket("udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = receiver.Close() }()
	s.socket, err = datagrams.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = s.socket.Close() }()
	s.entries = []gateway.Entry{{Host: "entry", Site: "a", Datagrams: receiver.LocalAddr().String()}}
	now := boottime.Now()
	s.switching, s.models[drafter].switchAt, s.broadcastNext = true, now+time.Second, false
	s.models[drafter].loading, s.models[drafter].loadedAt = true, now+time.Second
	report, free := bootReport(2000, 0), 49000
	report.FreeMemory = &free
	s.applyReport(report, now)
	c.Assert(s.broadcastNext, qt.IsTrue, qt.Commentf("entries of other sites get the report seconds later"))
	s.sendReport(true)
	buffer := make([]byte, 2<<10)
	_ = receiver.SetReadDeadline(time.Now().Add(2 * time.Second))
	n, _, err := receiver.ReadFrom(buffer)
	c.Assert(err, qt.IsNil)
	d, err := gateway.DecodeDatagram(buffer[:n])
	c.Assert(err, qt.IsNil)
	got := d.Load.Load
	got.Sequence = 0
	c.Assert(got, qt.DeepEquals, fleet.Report{Boot: 2000, PreviousBoots: []catalog.Boot{1000}, FreeMemory: &free})
}

// A response from the previous boot can arrive after one from the new boot, because reports
// are requested concurrently. It must not restore the previous boot's models.
func TestOutdatedReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	s, _, _ := newServingAgent(t)
	now := boottime.Now()
	s.applyReport(bootReport(2000, 0), now)
	s.applyReport(bootReport(1000, 1), now-time.Millisecond)
	c.Assert(s.report.Boot, qt.Equals, catalog.Boot(2000))
	c.Assert(s.endedBoots, qt.DeepEquals, []catalog.Boot{1000})
	// The list of ended boots stays bounded if the server restarts often.
	for boot := range 20 {
		s.applyReport(bootReport(catalog.Boot(3000+boot), 0), now)
	}
	c.Assert(s.endedBoots, qt.HasLen, maxEndedBoots)
	c.Assert(s.endedBoots[maxEndedBoots-1], qt.Equals, catalog.Boot(3018))
}

// Weights for a restarted server were fetched one piece at a time though it had no
// requests, because the fetch had started while the previous boot was serving.
func TestServerRestartCancelsThrottledFetch(t *testing.T) {
	c := qt.New(t)
	s, _, _ := newServingAgent(t)
	m := s.models[drafter]
	var cause error
	_, cancel := context.WithCancelCause(context.Background())
	m.fetching, m.cancelFetch = true, func(err error) { cause = err; cancel(err) }
	m.fetchThrottled = true
	s.applyReport(bootReport(2000, 0), boottime.Now())
	c.Assert(cause, qt.Equals, errServerRestarted)
	// A fetch that started while the server was idle continues.
	m.fetchThrottled, cause = false, nil
	s.applyReport(bootReport(3000, 0), boottime.Now())
	c.Assert(cause, qt.IsNil)
}

// A load must not count as successful if the boot that got the order has ended, even if
// the new boot holds the version. The load ends and the next step plans for the new boot.
func TestServerRestartEndsLoad(t *testing.T) {
	c := qt.New(t)
	s, server, entry := newServingAgent(t)
	server.report = bootReport(2000, 2)
	l := &loadTask{sidecar: s, state: s.models[drafter], target: catalog.ModelVersion{Model: drafter, Version: 2}, manifest: &entry.manifest, boot: 1000}
	c.Assert(l.awaitVersion(context.Background()), qt.ErrorIs, errServerRestarted)
	c.Assert(s.report.Boot, qt.Equals, catalog.Boot(2000))
}
