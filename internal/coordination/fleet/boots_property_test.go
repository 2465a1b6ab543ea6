package fleet

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// update is a row or a report of one process of the server. The boot is an index.
type update struct {
	boot     int
	row      bool
	revision uint64
}

// maxUpdateGap is the maximum number of milliseconds between two updates. All of them arrive while
// a report of the newest process is fresh.
const maxUpdateGap = 60

// restartSimulation delivers the rows and reports of three successive processes of one server in
// any order, some of them more than once. Process n holds version u.
type restartSimulation struct {
	t     *rapid.T
	fleet *Fleet
	boots []catalog.Boot
	// agentSawRestarts is true if the agent observed every restart.
	agentSawRestarts bool
	updates          []update
	now              time.Duration
	// placed are the placements of the requests in flight.
	placed []catalog.Backend
	// newest is the index of the latest process of which an update was delivered.
	newest int
}

func newRestartSimulation(t *rapid.T, boots []catalog.Boot) *restartSimulation {
	sim := &restartSimulation{t: t, fleet: newFleet(), boots: boots, newest: -1, now: time.Second}
	sim.fleet.SetState(testState(), 0)
	revision := uint64(0)
	for boot := range boots {
		for range rapid.IntRange(1, 3).Draw(t, "rows") {
			revision++
			sim.updates = append(sim.updates, update{boot: boot, row: true, revision: revision})
		}
		sim.updates = append(sim.updates, update{boot: boot})
	}
	return sim
}

func (sim *restartSimulation) deliver(u update) {
	sim.now += time.Duration(rapid.IntRange(0, maxUpdateGap).Draw(sim.t, "ms")) * time.Millisecond
	version := uint64(u.boot + 1)
	if u.row {
		row := newBackendWithBoot("m1", modelService, sim.boots[u.boot], u.revision, version)
		sim.fleet.Apply([]catalog.Backend{row}, nil, rapid.Bool().Draw(sim.t, "whole"), sim.now)
	} else {
		report := newReport(sim.boots[u.boot], version)
		if sim.agentSawRestarts || rapid.Bool().Draw(sim.t, "seen") {
			report.PreviousBoots = slices.Clone(sim.boots[:u.boot])
		}
		sim.fleet.ApplyReport(report, sim.now)
	}
	if u.row || sim.fleet.Contains("m1") {
		sim.newest = max(sim.newest, u.boot)
	}
}

// check verifies that the fleet uses the state of the latest observed process only.
func (sim *restartSimulation) check() {
	if !sim.fleet.Contains("m1") {
		return
	}
	s := sim.fleet.servers["m1"]
	if got := s.backend.Boot; got != sim.boots[sim.newest] {
		sim.t.Fatalf("boot %d is current; want the newest of %v up to index %d", got, sim.boots, sim.newest)
	}
	for _, m := range append(slices.Clone(s.backend.Models), s.reportedModels...) {
		if m.Version < uint64(sim.newest+1) {
			sim.t.Fatalf("version %d of an older process is listed at process %d", m.Version, sim.newest+1)
		}
	}
	inFlight := 0
	for _, backend := range sim.placed {
		if !sim.fleet.Superseded(backend) {
			inFlight++
		}
	}
	if got := sim.fleet.InFlightCounts()["m1"]; got != inFlight {
		sim.t.Fatalf("%d requests are counted, %d are in flight", got, inFlight)
	}
}

// The updates of several processes of a server arrive in any order. The fleet must use the newest
// process, no models of older ones and count only the requests at the newest one.
func TestNewestBootWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newRestartSimulation(t, []catalog.Boot{1000, 2000, 3000})
		pending := rapid.Permutation(append(slices.Clone(sim.updates), sim.updates...)).Draw(t, "updates")
		for _, u := range pending {
			sim.deliver(u)
			sim.check()
			if placement := sim.fleet.Choose(wanted, sim.now); placement.Found {
				sim.placed = append(sim.placed, placement.Backend)
			}
			if len(sim.placed) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(sim.placed)-1).Draw(t, "which")
				sim.fleet.ReleaseIfCurrent(sim.placed[i])
				sim.placed = slices.Delete(sim.placed, i, i+1)
			}
			sim.check()
		}
	})
}

// The host's clock steps between restarts, so the boots are in any order. After the row and the
// report of the last process have arrived, its boot must be the current one.
func TestLastBootWinsDespiteClockSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boots := rapid.Permutation([]catalog.Boot{1000, 2000, 3000}).Draw(t, "boots")
		sim := newRestartSimulation(t, boots)
		sim.agentSawRestarts = true
		last := sim.updates[len(sim.updates)-2:]
		earlier := sim.updates[:len(sim.updates)-2]
		for _, u := range rapid.Permutation(append(slices.Clone(earlier), sim.updates...)).Draw(t, "updates") {
			sim.deliver(u)
		}
		for _, u := range rapid.Permutation(slices.Clone(last)).Draw(t, "last") {
			sim.deliver(u)
		}
		// The agent reports five times a second.
		sim.deliver(last[1])
		if got := sim.fleet.servers["m1"].backend.Boot; got != boots[2] {
			t.Fatalf("boot %d is current; want the last of %v", got, boots)
		}
	})
}
