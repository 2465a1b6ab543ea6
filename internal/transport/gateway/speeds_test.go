package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/speed"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// newEntryWithModelServer returns an entry that knows one model server and the entries e2 of its
// region and e3 of another.
func newEntryWithModelServer(t *testing.T) (*Gateway, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	g := newEntryWithServer(t, 3)
	g.log = zap.New(core)
	now := boottime.Now()
	g.peers = newPeers(Entry{Host: "self", Region: "ra"}, now)
	g.peers.observeHeartbeat(Entry{Host: "e2", Region: "ra"}, true, false, now)
	g.peers.observeHeartbeat(Entry{Host: "e3", Region: "rb"}, true, false, now)
	return g, logs
}

func (g *Gateway) reportPace(pace float64, sequence uint64) {
	report := fleet.Report{Address: "10.0.0.1:1", Boot: 1, Sequence: sequence, Pace: pace, Models: []catalog.Model{{Name: switchoverModel, Version: 3}}}
	g.handleDatagram(&Datagram{Load: &LoadReport{Load: report}}, g.socket.Address())
}

// An operator who looks for the cause of a slow answer must find the slow server in the logs: when it
// became slow, from which source, and that the request was placed there.
func TestSlowServerIsLogged(t *testing.T) {
	c := qt.New(t)
	g, logs := newEntryWithModelServer(t)
	g.reportPace(1.2, 1)
	c.Check(slowdownFields(g.fleet.Choose(fleet.Request{Service: switchoverService, Model: switchoverModel}, boottime.Now())), qt.HasLen, 0)
	g.reportPace(2.5, 2)
	g.reportPace(2.6, 3)
	// The line of an older report, which arrives late, must not appear.
	g.reportPace(1, 1)
	placement := g.fleet.Choose(fleet.Request{Service: switchoverService, Model: switchoverModel}, boottime.Now())
	c.Check(slowdownFields(placement), qt.DeepEquals, []zap.Field{zap.Float64("Slowdown", 2.5)})
	c.Check(g.fleet.SlowCount(), qt.Equals, 1)
	g.reportPace(1, 4)
	lines := logs.FilterMessage("server speed changed").All()
	c.Assert(lines, qt.HasLen, 2)
	for i, want := range []map[string]any{{"Backend": switchoverBackend, "Slowdown": 2.5, "Before": 1.0, "Source": "Report"},
		{"Backend": switchoverBackend, "Slowdown": 1.0, "Before": 2.5, "Source": "Report"}} {
		fields := lines[i].ContextMap()
		delete(fields, "Age")
		c.Check(fields, qt.DeepEquals, want)
	}
}

// A server that reports nothing is slow: the streams of other entries of the region must show it.
// Counts of other regions arrive seconds late, and their observations must be ignored.
func TestObservationsOfRegionAreApplied(t *testing.T) {
	c := qt.New(t)
	g, _ := newEntryWithModelServer(t)
	now := boottime.Now()
	apply := func(from filbertlever.HostID, speeds map[string]speed.Observation) bool {
		for at := now; at < now+1500*time.Millisecond; at += 500 * time.Millisecond {
			g.applyCounts(&Counts{From: from, Sequence: int64(at), Speeds: maps.Clone(speeds)}, at)
		}
		return g.fleet.SlowCount() == 1
	}
	slow := map[string]speed.Observation{switchoverBackend: {Slowdown: 2500, Gaps: 60}, "unknown": {Slowdown: 2500, Gaps: 60}}
	c.Check(apply("e3", slow), qt.IsFalse)
	c.Check(apply("e2", slow), qt.IsTrue)
}

// A stream's first event, which waits for the prompt, and events that a caller read late say nothing
// of the server. Every other gap must be recorded once.
func TestGapsAreCollected(t *testing.T) {
	c := qt.New(t)
	var collector gapCollector
	var taken []time.Duration
	take := func() {
		for _, gap := range collector.take() {
			taken = append(taken, gap.Gap)
		}
	}
	now := time.Hour
	for i := range 20 {
		now += time.Duration(i+1) * time.Millisecond
		if i == 15 {
			collector.lastAt = 0
		}
		if collector.add(now) {
			c.Check(collector.count, qt.Equals, gapsPerRecord)
			take()
		}
	}
	take()
	var want []time.Duration
	for i := range 20 {
		if i != 0 && i != 15 {
			want = append(want, time.Duration(i+1)*time.Millisecond)
		}
	}
	c.Check(slices.Equal(taken, want), qt.IsTrue, qt.Commentf("%v", taken))
	c.Check(collector.add(now+100*time.Millisecond), qt.IsFalse)
	c.Check(collector.add(now+100*time.Millisecond+gapRecordInterval), qt.IsTrue)
}

// Observations that no entry sends must be rejected: they would make all servers slow, or exhaust the
// memory. A full set must stay small, as it is sent to each entry of the region.
func TestSpeedsAreValidatedAndSmall(t *testing.T) {
	c := qt.New(t)
	counts := typicalCounts(15)
	without, err := EncodeDatagram(Datagram{Counts: &counts})
	c.Assert(err, qt.IsNil)
	counts.Speeds = map[string]speed.Observation{}
	for i := range speed.MaxObservations {
		counts.Speeds[fmt.Sprintf("i-%010x", i*7919)] = speed.Observation{Slowdown: 2500, Gaps: 300}
	}
	data, err := EncodeDatagram(Datagram{Counts: &counts})
	c.Assert(err, qt.IsNil)
	c.Check(len(data)-len(without) <= 24*speed.MaxObservations, qt.IsTrue, qt.Commentf("%d bytes", len(data)-len(without)))
	got, err := DecodeDatagram(data)
	c.Assert(err, qt.IsNil)
	c.Check(got.Counts.Speeds, qt.DeepEquals, counts.Speeds)
	tooMany := maps.Clone(counts.Speeds)
	tooMany["one more"] = speed.Observation{Slowdown: 1000, Gaps: 1}
	for _, invalid := range []map[string]speed.Observation{
		tooMany, {"": {Slowdown: 1000, Gaps: 1}}, {strings.Repeat("x", maxNameBytes+1): {Slowdown: 1000, Gaps: 1}},
		{"i-1": {Gaps: 1}}, {"i-1": {Slowdown: 1000}}, {"i-1": {Slowdown: maxObservedSlowdown + 1, Gaps: 1}}, {"i-1": {Slowdown: 1000, Gaps: maxObservedGaps + 1}},
	} {
		data, err := EncodeDatagram(Datagram{Counts: &Counts{From: "e", Speeds: invalid}})
		c.Assert(err, qt.IsNil)
		_, err = DecodeDatagram(data)
		c.Check(err, qt.ErrorMatches, "decode datagram: speeds: .*")
	}
}

// BenchmarkRecordGap measures what the gap of one event costs, recorded 8 at a time.
func BenchmarkRecordGap(b *testing.B) {
	g := newSwitchoverEntry(newTypicalEngine(), 1)
	a := newSwitchoverAttempt(g, 900, false)
	now := switchoverNamedAt
	g.fleet.Apply([]catalog.Backend{{ID: switchoverBackend, Boot: 1, Service: switchoverService, Address: "10.0.0.1:1", Site: "a", Slots: 12}}, nil, true, now)
	a.placement.Backend = catalog.Backend{ID: switchoverBackend, Boot: 1}
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Millisecond
		a.recordGap(now)
	}
}
