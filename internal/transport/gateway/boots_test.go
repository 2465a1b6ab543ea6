package gateway

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// newBooted is an entry that knows one plain server, at its first boot.
func newBooted(t *testing.T) (*Gateway, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = socket.Close() })
	g := &Gateway{log: zap.New(core), socket: socket, metrics: newMetrics(prometheus.NewRegistry()),
		fleet: fleet.New(fleet.DefaultConfig(), rand.New(rand.NewPCG(1, 2))), peers: newPeers(Entry{Host: "e1"}, 0)}
	state := catalog.New(1, nil, []catalog.Service{{Name: "orders"}}, nil, catalog.Limits{})
	g.fleet.SetState(state, boottime.Now())
	g.takeBackends(Backends{Present: []catalog.Backend{row(1000, 1)}}, true, boottime.Now())
	return g, logs
}

func row(boot catalog.Boot, revision uint64) catalog.Backend {
	return catalog.Backend{ID: "i-1", Service: "orders", Address: "10.0.0.1:1", Slots: 4, Boot: boot, Revision: revision,
		Models: []catalog.Model{{Name: "drafter", Version: revision}}}
}

// On call: a server started again. One line says what was believed before and after, by
// which news, and how many requests of this entry were under way.
func TestARestartIsLogged(t *testing.T) {
	c := qt.New(t)
	g, logs := newBooted(t)
	c.Assert(g.fleet.Choose(fleet.Request{Service: "orders"}, boottime.Now()).Found, qt.IsTrue)
	g.takeBackends(Backends{Present: []catalog.Backend{row(2000, 2)}}, false, boottime.Now())
	g.take(&Datagram{Load: &LoadReport{Load: fleet.Load{Address: "10.0.0.1:1", Boot: 3000}}}, g.socket.LocalAddr())
	lines := logs.FilterMessage("backend server started again").All()
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0].ContextMap(), qt.DeepEquals, map[string]any{"Backend": "i-1", "Source": "Row", "Before": int64(1000), "After": int64(2000),
		"Held": []any{"drafter@1"}, "Holds": []any{"drafter@2"}, "UnderWay": int64(1)})
	c.Assert(lines[1].ContextMap(), qt.DeepEquals, map[string]any{"Backend": "i-1", "Source": "Report", "Before": int64(2000), "After": int64(3000),
		"Held": []any{"drafter@2"}, "Holds": []any{}, "UnderWay": int64(0)})
}

// An order finds all servers full that are idle: other entries told of requests at the
// process before, which the new one never had.
func TestCountsOfTheProcessBeforeAreLeftOut(t *testing.T) {
	c := qt.New(t)
	g, _ := newBooted(t)
	now := boottime.Now()
	for _, entry := range []Entry{{Host: "e2"}, {Host: "e3"}} {
		g.peers.hear(entry, true, false, now)
	}
	g.takeBackends(Backends{Present: []catalog.Backend{row(2000, 2)}}, false, now)
	ahead := func() int {
		placement := g.fleet.Choose(fleet.Request{Service: "orders"}, now)
		g.fleet.EndedAt(placement.Backend)
		return placement.Ahead
	}
	g.takeCounts(&Counts{From: "e2", Sequence: 1, Requests: map[string]int{"i-1": 20}, Silent: []string{"i-1"}}, now)
	c.Assert(ahead(), qt.Equals, 1-4)
	told := g.counts(now)
	c.Assert(told.Boots, qt.HasLen, 0)
	g.fleet.Choose(fleet.Request{Service: "orders"}, now)
	told = g.counts(now)
	c.Assert(told.Boots, qt.DeepEquals, map[string]catalog.Boot{"i-1": 2000})
	g.takeCounts(&Counts{From: "e3", Sequence: 1, Requests: map[string]int{"i-1": 3}, Boots: told.Boots}, now+time.Millisecond)
	c.Assert(ahead(), qt.Equals, 5-4)
}
