package fleet

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// update is a row or a report of one of a server's starts.
type update struct {
	boot     int
	row      bool
	revision uint64
}

// maxUpdateGap is the most milliseconds between two news, so that all arrive while a report
// of the newest start is fresh.
const maxUpdateGap = 60

// bootModel delivers rows and reports of three starts of one server in any order, some
// of them more than once. Start n of the server holds version n.
type bootModel struct {
	t     *rapid.T
	fleet *Fleet
	// boots are what the starts tell as their time.
	boots []catalog.Boot
	// agentSawRestarts is true if the agent saw each start end.
	agentSawRestarts bool
	updates          []update
	now              time.Duration
	// placed are the places of requests under way.
	placed []catalog.Backend
	// newest is the latest start of which news was delivered.
	newest int
}

func newBootModel(t *rapid.T, boots []catalog.Boot) *bootModel {
	w := &bootModel{t: t, fleet: newFleet(), boots: boots, newest: -1, now: time.Second}
	w.fleet.SetState(testState(), 0)
	revision := uint64(0)
	for boot := range boots {
		for range rapid.IntRange(1, 3).Draw(t, "rows") {
			revision++
			w.updates = append(w.updates, update{boot: boot, row: true, revision: revision})
		}
		w.updates = append(w.updates, update{boot: boot})
	}
	return w
}

func (w *bootModel) deliver(n update) {
	w.now += time.Duration(rapid.IntRange(0, maxUpdateGap).Draw(w.t, "ms")) * time.Millisecond
	version := uint64(n.boot + 1)
	if n.row {
		row := newBackendWithBoot("m1", modelService, w.boots[n.boot], n.revision, version)
		w.fleet.Apply([]catalog.Backend{row}, nil, rapid.Bool().Draw(w.t, "whole"), w.now)
	} else {
		load := newReport(w.boots[n.boot], version)
		if w.agentSawRestarts || rapid.Bool().Draw(w.t, "seen") {
			load.Before = slices.Clone(w.boots[:n.boot])
		}
		w.fleet.Report(load, w.now)
	}
	if n.row || w.fleet.Known("m1") {
		w.newest = max(w.newest, n.boot)
	}
}

// check compares with the model: the newest start of which anything was heard counts.
func (w *bootModel) check() {
	if !w.fleet.Known("m1") {
		return
	}
	s := w.fleet.servers["m1"]
	if got := s.backend.Boot; got != w.boots[w.newest] {
		w.t.Fatalf("boot %d is believed in, of %v up to %d were heard", got, w.boots, w.newest)
	}
	for _, m := range append(slices.Clone(s.backend.Models), s.reportedModels...) {
		if m.Version < uint64(w.newest+1) {
			w.t.Fatalf("version %d is believed in at start %d", m.Version, w.newest+1)
		}
	}
	here := 0
	for _, backend := range w.placed {
		if !w.fleet.Followed(backend) {
			here++
		}
	}
	if got := w.fleet.Counts()["m1"]; got != here {
		w.t.Fatalf("%d requests are counted, %d are under way", got, here)
	}
}

// Whatever the order in which rows and reports of a server's starts arrive, an entry
// believes the newest of which it heard, nothing of an older one, and counts only the
// requests that the newest has.
func TestNewestBootWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newBootModel(t, []catalog.Boot{1000, 2000, 3000})
		pending := rapid.Permutation(append(slices.Clone(w.updates), w.updates...)).Draw(t, "news")
		for _, n := range pending {
			w.deliver(n)
			w.check()
			if placement := w.fleet.Choose(wanted, w.now); placement.Found {
				w.placed = append(w.placed, placement.Backend)
			}
			if len(w.placed) > 0 && rapid.Bool().Draw(t, "ends") {
				i := rapid.IntRange(0, len(w.placed)-1).Draw(t, "which")
				w.fleet.EndedAt(w.placed[i])
				w.placed = slices.Delete(w.placed, i, i+1)
			}
			w.check()
		}
	})
}

// The host's clock steps between starts, so their times are in any order. Once the last
// start's row and report have arrived, it is the one believed in.
func TestLastBootWinsDespiteClockSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boots := rapid.Permutation([]catalog.Boot{1000, 2000, 3000}).Draw(t, "boots")
		w := newBootModel(t, boots)
		w.agentSawRestarts = true
		last := w.updates[len(w.updates)-2:]
		rest := w.updates[:len(w.updates)-2]
		for _, n := range rapid.Permutation(append(slices.Clone(rest), w.updates...)).Draw(t, "news") {
			w.deliver(n)
		}
		for _, n := range rapid.Permutation(slices.Clone(last)).Draw(t, "last") {
			w.deliver(n)
		}
		// Reports come five times a second.
		w.deliver(last[1])
		if got := w.fleet.servers["m1"].backend.Boot; got != boots[2] {
			t.Fatalf("boot %d is believed in, not the last of %v", got, boots)
		}
	})
}
