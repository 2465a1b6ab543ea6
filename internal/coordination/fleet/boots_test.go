package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

const address = "10.0.0.1:1"

// newBackendWithBoot is a server's row at one of its starts.
func newBackendWithBoot(id, service string, boot catalog.Boot, revision, version uint64) catalog.Backend {
	b := newBackend(id, service, address, version)
	b.Boot, b.Revision = boot, revision
	return b
}

// newReport is a report of a server at one of its starts.
func newReport(boot catalog.Boot, version uint64) Load {
	load := Load{Address: address, Agent: "10.0.0.1:9", Boot: boot}
	if version > 0 {
		load.Models = []catalog.Model{{Name: model, Version: version}}
	}
	return load
}

func newFleetWithServer(service string, version uint64) *Fleet {
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", service, 1000, 1, version)}, nil, true, 0)
	return f
}

var wanted = Request{Service: modelService, Model: model}

// A request is answered "no server holds it", or waits at one that holds nothing. The
// server started again within the period of its heartbeats, so its row never went away;
// its report is the first to tell, and what the row says of the process before must not
// count, also once the report is old.
func TestRestartWithinHeartbeatIntervalClearsModels(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.Report(newReport(1000, 1), time.Second)
	c.Assert(f.Choose(wanted, time.Second).Found, qt.IsTrue)
	f.Report(newReport(2000, 0), 1200*time.Millisecond)
	c.Assert(f.Choose(wanted, 1200*time.Millisecond).Found, qt.IsFalse)
	f.SetState(testState(), 20*time.Second)
	c.Assert(f.Choose(wanted, 20*time.Second).Found, qt.IsFalse, qt.Commentf("the row of the process before was believed"))
	f.Report(newReport(2000, 1), 21*time.Second)
	placement := f.Choose(wanted, 21*time.Second)
	c.Assert(placement.Found, qt.IsTrue)
	c.Assert(placement.Backend.Boot, qt.Equals, catalog.Boot(2000))
}

// The same learnt from the row alone, as in another region: the fresh report of the
// process before must not go before the row of the new one.
func TestRestartInRowOverridesReportOfOldProcess(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.Report(newReport(1000, 1), time.Second)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 2, 0)}, nil, false, 1100*time.Millisecond)
	c.Assert(f.Choose(wanted, 1100*time.Millisecond).Found, qt.IsFalse)
	c.Assert(f.Holders(model, 1, 1100*time.Millisecond), qt.HasLen, 0)
}

// Callers are sent to a server that holds nothing. Its old row or report arrived late,
// after news of its new start.
func TestLateUpdatesOfOldProcessAreIgnored(t *testing.T) {
	for name, late := range map[string]func(f *Fleet){
		"a report": func(f *Fleet) { f.Report(newReport(1000, 1), 2*time.Second) },
		"an older row": func(f *Fleet) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 1, 1)}, nil, false, 2*time.Second)
		},
		"a row written at its end": func(f *Fleet) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 9, 1)}, nil, false, 2*time.Second)
		},
		"a whole list with its row": func(f *Fleet) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 9, 1)}, nil, true, 2*time.Second)
		},
	} {
		for by, news := range map[string]func(f *Fleet){
			"its report": func(f *Fleet) { f.Report(newReport(2000, 0), time.Second) },
			"its row": func(f *Fleet) {
				f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 5, 0)}, nil, false, time.Second)
			},
		} {
			t.Run(name+" after "+by, func(t *testing.T) {
				c := qt.New(t)
				f := newFleetWithServer(modelService, 1)
				news(f)
				late(f)
				c.Assert(f.Choose(wanted, 2*time.Second).Found, qt.IsFalse)
				f.Report(newReport(2000, 1), 3*time.Second)
				c.Assert(f.Choose(wanted, 3*time.Second).Backend.Boot, qt.Equals, catalog.Boot(2000))
			})
		}
	}
}

// A server that started again gets no request for up to ten seconds. The process before
// broke off all it had, which counted against the new one; so did its lateness, its
// change of weights, and what other regions told of its silence.
func TestRestartClearsSuspicion(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.Apply([]catalog.Backend{newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, false, 0)
	f.SetCounts("entry-2", map[string]int{"m2": 15}, 0)
	switching := newReport(1000, 1)
	switching.Switching, switching.LeavesIn, switching.LoadedIn = true, time.Second, 2*time.Second
	placed := f.Choose(wanted, time.Second)
	f.Report(switching, time.Second)
	for range 5 {
		f.Failed("m1", time.Second)
		f.Observe("m1", 0, 2*time.Second, time.Second)
	}
	f.Report(newReport(2000, 1), 1200*time.Millisecond)
	placement := f.Choose(wanted, 1200*time.Millisecond)
	c.Assert(placement.Backend.ID, qt.Equals, "m1")
	c.Assert(placement.Cut, qt.IsFalse)
	c.Assert(placement.Predicted < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", placement.Predicted))
	c.Assert(f.Followed(placed.Backend), qt.IsTrue)
	c.Assert(f.Followed(placement.Backend), qt.IsFalse)
}

// A server gets fewer requests than it can take, or more. Requests that were under way
// as it ended were counted at the new process, or ended there once it had its own.
func TestRestartClearsRequestCounts(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	request := Request{Service: plainService}
	before := f.Choose(request, time.Second)
	f.Choose(request, time.Second)
	f.SetCounts("entry-2", map[string]int{"m1": 7}, time.Second)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 2000, 2, 0)}, nil, false, 1100*time.Millisecond)
	c.Assert(f.Counts(), qt.HasLen, 0)
	after := f.Choose(request, 1200*time.Millisecond)
	c.Assert(after.Ahead, qt.Equals, 1-16)
	f.EndedAt(before.Backend)
	f.EndedAt(before.Backend)
	c.Assert(f.Counts(), qt.DeepEquals, map[string]int{"m1": 1})
	f.EndedAt(after.Backend)
	f.EndedAt(after.Backend)
	c.Assert(f.Counts(), qt.HasLen, 0)
	c.Assert(f.Choose(request, 1300*time.Millisecond).Ahead, qt.Equals, 1-16)
}

// The boot of a server is not known at first, as from an agent of the version before.
// Requests that were placed then end at the process that tells its boot later.
func TestRequestsPlacedAtUnknownBootAreReleased(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 0, 1, 1)}, nil, true, 0)
	placed := f.Choose(wanted, time.Second)
	f.Report(newReport(1000, 1), time.Second)
	f.EndedAt(placed.Backend)
	c.Assert(f.Counts(), qt.HasLen, 0)
	c.Assert(f.Restarts(), qt.HasLen, 0)
	f.Report(newReport(0, 1), time.Second)
	c.Assert(f.Choose(wanted, time.Second).Backend.Boot, qt.Equals, catalog.Boot(1000))
}

// The same where the row went away between the two starts.
func TestRelistedServerStartsWithZeroCounts(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	request := Request{Service: plainService}
	first, second := f.Choose(request, time.Second), f.Choose(request, time.Second)
	f.Failed("m1", time.Second)
	f.Apply(nil, []string{"m1"}, false, 2*time.Second)
	c.Assert(f.Choose(request, 5*time.Second).Found, qt.IsFalse)
	f.EndedAt(first.Backend)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 2000, 3, 0)}, nil, false, 5*time.Second)
	f.EndedAt(second.Backend)
	c.Assert(f.Choose(request, 5*time.Second).Ahead, qt.Equals, 1-16)
	c.Assert(f.Counts(), qt.DeepEquals, map[string]int{"m1": 1})
}

// Nothing is sent to a server for as long as its process before would have drained. It
// started again after it had said that it leaves.
func TestRestartClearsDraining(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	leaving := newBackendWithBoot("m1", modelService, 1000, 2, 1)
	leaving.Leaving = true
	f.Apply([]catalog.Backend{leaving}, nil, false, time.Second)
	c.Assert(f.Choose(wanted, time.Second).Found, qt.IsFalse)
	f.Report(newReport(2000, 1), 2*time.Second)
	c.Assert(f.Choose(wanted, 2*time.Second).Found, qt.IsTrue)
	// The row that said so is written once more before it is replaced.
	leaving.Revision = 3
	f.Apply([]catalog.Backend{leaving}, nil, false, 2100*time.Millisecond)
	c.Assert(f.Choose(wanted, 2100*time.Millisecond).Found, qt.IsTrue)
}

// A server gets nothing though it is up: its host's clock was set back before it started
// again, so its boot is earlier than that of the process before.
func TestRestartWithEarlierBootTimeIsDetected(t *testing.T) {
	for name, test := range map[string]struct {
		at   time.Duration
		news func(f *Fleet, now time.Duration)
	}{
		"by its row, once the process before is silent": {3100 * time.Millisecond, func(f *Fleet, now time.Duration) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 500, 2, 0)}, nil, false, now)
		}},
		"by its row, and its reports after that": {3100 * time.Millisecond, func(f *Fleet, now time.Duration) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 500, 2, 0)}, nil, false, 1200*time.Millisecond)
			f.Report(newReport(500, 0), now)
		}},
		"by its agent": {1200 * time.Millisecond, func(f *Fleet, now time.Duration) {
			load := newReport(500, 0)
			load.Before = []catalog.Boot{1000}
			f.Report(load, now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleetWithServer(modelService, 1)
			f.Report(newReport(1000, 1), time.Second)
			f.Report(newReport(500, 2), 1100*time.Millisecond)
			c.Assert(f.Choose(wanted, 1100*time.Millisecond).Holds, qt.Equals, uint64(1), qt.Commentf("nothing tells that it is not a late datagram"))
			test.news(f, test.at)
			c.Assert(f.Choose(wanted, test.at).Found, qt.IsFalse)
			f.Report(newReport(1000, 1), test.at+100*time.Millisecond)
			c.Assert(f.Choose(wanted, test.at+100*time.Millisecond).Found, qt.IsFalse)
			f.Report(newReport(500, 2), test.at+200*time.Millisecond)
			c.Assert(f.Choose(wanted, test.at+200*time.Millisecond).Holds, qt.Equals, uint64(2))
		})
	}
}

// Orders go to a process that is gone, at a plain server, which no agent tells of: its
// row alone shows the new start, also with an earlier boot.
func TestPlainServerRestartIsDetectedByRow(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 500, 2, 0)}, nil, false, time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, time.Second).Backend.Boot, qt.Equals, catalog.Boot(500))
}

// An entry that has just started hears a datagram of a process long gone, with a later
// boot than the living one has. It must not believe it for ever.
func TestBootFromLateDatagramIsCorrected(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 500, 2, 1)}, nil, true, 0)
	f.Report(newReport(1000, 3), time.Second)
	c.Assert(f.Choose(wanted, time.Second).Holds, qt.Equals, uint64(3))
	f.Report(newReport(500, 1), 1200*time.Millisecond)
	c.Assert(f.Choose(wanted, 1200*time.Millisecond).Holds, qt.Equals, uint64(3))
	f.Report(newReport(500, 1), 3500*time.Millisecond)
	c.Assert(f.Choose(wanted, 3500*time.Millisecond).Holds, qt.Equals, uint64(1))
}

// On call: what was believed of a server before it started again, and what after?
func TestTakeRestartsReportsModelsBeforeAndAfter(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.Choose(wanted, time.Second)
	f.Report(newReport(2000, 2), time.Second)
	one, two := []catalog.Model{{Name: model, Version: 1}}, []catalog.Model{{Name: model, Version: 2}}
	c.Assert(f.Restarts(), qt.DeepEquals, []Restart{{Backend: "m1", Source: SourceReport, Before: 1000, After: 2000, Held: one, Holds: two, UnderWay: 1}})
	c.Assert(f.Restarts(), qt.HasLen, 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 3000, 2, 0)}, nil, true, 2*time.Second)
	c.Assert(f.Restarts(), qt.DeepEquals, []Restart{{Backend: "m1", Source: SourceRow, Before: 2000, After: 3000, Held: two}})
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 3000, 4, 2)}, nil, true, 2*time.Second)
	c.Assert(f.Restarts(), qt.HasLen, 0)
}

// A server is taken to be full, or silent, for as long as other entries have not heard
// that it started again: what they have at the process before is told by its ID.
func TestGossipAboutOldProcessIsNotCurrent(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	now := time.Second
	c.Assert(f.IsCurrent("m1", 0, now), qt.IsTrue)
	c.Assert(f.Boots([]string{"m1"}, now), qt.HasLen, 0, qt.Commentf("bytes for nothing"))
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 2000, 2, 0)}, nil, false, now)
	c.Assert(f.IsCurrent("m1", 0, now), qt.IsFalse)
	c.Assert(f.IsCurrent("m1", 1000, now), qt.IsFalse)
	c.Assert(f.IsCurrent("m1", 2000, now), qt.IsTrue)
	c.Assert(f.IsCurrent("m2", 0, now), qt.IsTrue)
	c.Assert(f.Boots([]string{"m1", "m2"}, now), qt.DeepEquals, map[string]catalog.Boot{"m1": 2000})
	// All have heard by then, and one that started since has no boot to name.
	c.Assert(f.IsCurrent("m1", 0, now+restartPropagationDelay), qt.IsTrue)
	c.Assert(f.IsCurrent("m1", 1000, now+restartPropagationDelay), qt.IsFalse)
	c.Assert(f.Boots([]string{"m1"}, now+restartPropagationDelay), qt.HasLen, 1)
	c.Assert(f.Boots([]string{"m1"}, now+2*restartPropagationDelay), qt.HasLen, 0)
}

// A server starts again twice within a heartbeat, and its row tells of the first of the
// two when the report has told of the second.
func TestTwoRestartsWithinHeartbeatInterval(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.Report(newReport(1000, 1), time.Second)
	f.Report(newReport(3000, 0), 1200*time.Millisecond)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 2, 1)}, nil, false, 1300*time.Millisecond)
	c.Assert(f.Choose(wanted, 1300*time.Millisecond).Found, qt.IsFalse)
	f.Report(newReport(2000, 1), 1400*time.Millisecond)
	c.Assert(f.Choose(wanted, 1400*time.Millisecond).Found, qt.IsFalse)
	f.Report(newReport(3000, 2), 1500*time.Millisecond)
	c.Assert(f.Choose(wanted, 1500*time.Millisecond).Holds, qt.Equals, uint64(2))
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 3000, 3, 2)}, nil, false, 1600*time.Millisecond)
	c.Assert(f.Choose(wanted, 1600*time.Millisecond).Holds, qt.Equals, uint64(2))
	c.Assert(f.Restarts(), qt.HasLen, 1)
}

// The store is away while a server starts again. Its row has lapsed on the store's
// return, or still tells of the process before; the agent alone told of the new one.
func TestRestartDuringStoreOutage(t *testing.T) {
	for name, back := range map[string]func(f *Fleet, now time.Duration){
		"its row has lapsed": func(f *Fleet, now time.Duration) { f.Apply(nil, nil, true, now) },
		"its row is old": func(f *Fleet, now time.Duration) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 1, 1)}, nil, true, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleetWithServer(modelService, 1)
			f.Report(newReport(1000, 1), time.Second)
			f.Report(newReport(2000, 0), 10*time.Second)
			c.Assert(f.Choose(wanted, 10*time.Second).Found, qt.IsFalse)
			// The agent cannot be heard for so long that it counts as gone.
			f.SetState(testState(), 30*time.Second)
			c.Assert(f.Choose(wanted, 30*time.Second).Found, qt.IsFalse)
			f.Report(newReport(2000, 2), 31*time.Second)
			f.SetOutageEnd(31*time.Second, true, 31*time.Second)
			back(f, 31*time.Second)
			c.Assert(f.Choose(wanted, 31*time.Second).Holds, qt.Equals, uint64(2))
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 5, 2)}, nil, false, 31500*time.Millisecond)
			c.Assert(f.Choose(wanted, 31500*time.Millisecond).Holds, qt.Equals, uint64(2))
		})
	}
}

// A server starts again in the middle of a change of its weights. What its agent told of
// the change, by whoever heard it last, keeps nothing from the new process.
func TestRestartDuringWeightSwitch(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	changing := newReport(1000, 1)
	changing.Switching = true
	f.Report(changing, time.Second)
	c.Assert(f.Choose(wanted, time.Second).Found, qt.IsFalse)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 2, 2)}, nil, false, 1200*time.Millisecond)
	c.Assert(f.Choose(wanted, 1200*time.Millisecond).Holds, qt.Equals, uint64(2))
	f.Report(changing, 1300*time.Millisecond)
	c.Assert(f.Choose(wanted, 1300*time.Millisecond).Holds, qt.Equals, uint64(2))
}
