package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

const address = "10.0.0.1:1"

func newBackendWithBoot(id, service string, boot catalog.Boot, revision, version uint64) catalog.Backend {
	b := newBackend(id, service, address, version)
	b.Boot, b.Revision = boot, revision
	return b
}

func newReport(boot catalog.Boot, version uint64) Report {
	report := Report{Address: address, AgentAddress: "10.0.0.1:9", Boot: boot}
	if version > 0 {
		report.Models = []catalog.Model{{Name: model, Version: version}}
	}
	return report
}

func newFleetWithServer(service string, version uint64) *Fleet {
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", service, 1000, 1, version)}, nil, true, 0)
	return f
}

var wanted = Request{Service: modelService, Model: model}

// A request was sent to a restarted server that held no model. The restart took less than a
// heartbeat interval, so the row of the old process remained. The report reveals the restart, and
// the old row must not count even after the report has expired.
func TestRestartWithinHeartbeatIntervalClearsModels(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.ApplyReport(newReport(1000, 1), time.Second)
	c.Assert(f.Choose(wanted, time.Second).Found, qt.IsTrue)
	f.ApplyReport(newReport(2000, 0), 1200*time.Millisecond)
	c.Assert(f.Choose(wanted, 1200*time.Millisecond).Found, qt.IsFalse)
	f.SetState(testState(), 20*time.Second)
	c.Assert(f.Choose(wanted, 20*time.Second).Found, qt.IsFalse, qt.Commentf("the row of the old process was applied"))
	f.ApplyReport(newReport(2000, 1), 21*time.Second)
	placement := f.Choose(wanted, 21*time.Second)
	c.Assert(placement.Found, qt.IsTrue)
	c.Assert(placement.Backend.Boot, qt.Equals, catalog.Boot(2000))
}

// In another region the row alone reveals a restart. It must override the fresh report of the old
// process.
func TestRestartInRowOverridesReportOfOldProcess(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.ApplyReport(newReport(1000, 1), time.Second)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 2, 0)}, nil, false, 1100*time.Millisecond)
	c.Assert(f.Choose(wanted, 1100*time.Millisecond).Found, qt.IsFalse)
	c.Assert(f.Holders(model, 1, 1100*time.Millisecond), qt.HasLen, 0)
}

// Requests were sent to a server without a model, because a row or a report of the old process
// arrived after the restart had been detected.
func TestLateUpdatesOfOldProcessAreIgnored(t *testing.T) {
	for name, late := range map[string]func(f *Fleet){
		"a report": func(f *Fleet) { f.ApplyReport(newReport(1000, 1), 2*time.Second) },
		"an older row": func(f *Fleet) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 1, 1)}, nil, false, 2*time.Second)
		},
		"a row written as it ended": func(f *Fleet) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 9, 1)}, nil, false, 2*time.Second)
		},
		"a complete list with its row": func(f *Fleet) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 9, 1)}, nil, true, 2*time.Second)
		},
	} {
		for source, restart := range map[string]func(f *Fleet){
			"its report": func(f *Fleet) { f.ApplyReport(newReport(2000, 0), time.Second) },
			"its row": func(f *Fleet) {
				f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 5, 0)}, nil, false, time.Second)
			},
		} {
			t.Run(name+" after "+source, func(t *testing.T) {
				c := qt.New(t)
				f := newFleetWithServer(modelService, 1)
				restart(f)
				late(f)
				c.Assert(f.Choose(wanted, 2*time.Second).Found, qt.IsFalse)
				f.ApplyReport(newReport(2000, 1), 3*time.Second)
				c.Assert(f.Choose(wanted, 3*time.Second).Backend.Boot, qt.Equals, catalog.Boot(2000))
			})
		}
	}
}

// A restarted server got no requests for up to ten seconds. Failures, latencies, the weight switch
// and the reported silence of the old process counted against the new one.
func TestRestartClearsSuspicion(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.Apply([]catalog.Backend{newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, false, 0)
	f.SetPeerCounts("entry-2", map[string]int{"m2": 15}, 0)
	switching := newReport(1000, 1)
	switching.Switching, switching.LeavesIn, switching.LoadedIn = true, time.Second, 2*time.Second
	placed := f.Choose(wanted, time.Second)
	f.ApplyReport(switching, time.Second)
	for range 5 {
		f.RecordFailure("m1", time.Second)
		f.RecordLatency("m1", 0, 2*time.Second, time.Second)
	}
	f.ApplyReport(newReport(2000, 1), 1200*time.Millisecond)
	placement := f.Choose(wanted, 1200*time.Millisecond)
	c.Assert(placement.Backend.ID, qt.Equals, "m1")
	c.Assert(placement.WillInterrupt, qt.IsFalse)
	c.Assert(placement.PredictedLatency < 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", placement.PredictedLatency))
	c.Assert(f.Superseded(placed.Backend), qt.IsTrue)
	c.Assert(f.Superseded(placement.Backend), qt.IsFalse)
}

// A server got too few or too many requests, because requests in flight at the old process were
// counted at the new one or subtracted from its count when they ended.
func TestRestartClearsRequestCounts(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	request := Request{Service: plainService}
	before := f.Choose(request, time.Second)
	f.Choose(request, time.Second)
	f.SetPeerCounts("entry-2", map[string]int{"m1": 7}, time.Second)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 2000, 2, 0)}, nil, false, 1100*time.Millisecond)
	c.Assert(f.InFlightCounts(), qt.HasLen, 0)
	after := f.Choose(request, 1200*time.Millisecond)
	c.Assert(after.QueuePosition, qt.Equals, 1-16)
	f.ReleaseIfCurrent(before.Backend)
	f.ReleaseIfCurrent(before.Backend)
	c.Assert(f.InFlightCounts(), qt.DeepEquals, map[string]int{"m1": 1})
	f.ReleaseIfCurrent(after.Backend)
	f.ReleaseIfCurrent(after.Backend)
	c.Assert(f.InFlightCounts(), qt.HasLen, 0)
	c.Assert(f.Choose(request, 1300*time.Millisecond).QueuePosition, qt.Equals, 1-16)
}

// The boot of a server is unknown at first, as with an agent of the previous version. Requests
// placed then must be released once the boot is known.
func TestRequestsPlacedAtUnknownBootAreReleased(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 0, 1, 1)}, nil, true, 0)
	placed := f.Choose(wanted, time.Second)
	f.ApplyReport(newReport(1000, 1), time.Second)
	f.ReleaseIfCurrent(placed.Backend)
	c.Assert(f.InFlightCounts(), qt.HasLen, 0)
	c.Assert(f.TakeRestarts(), qt.HasLen, 0)
	f.ApplyReport(newReport(0, 1), time.Second)
	c.Assert(f.Choose(wanted, time.Second).Backend.Boot, qt.Equals, catalog.Boot(1000))
}

// The row of a server is removed and written again by a new process. Requests of the old process
// must not be counted at the new one.
func TestRelistedServerStartsWithZeroCounts(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	request := Request{Service: plainService}
	first, second := f.Choose(request, time.Second), f.Choose(request, time.Second)
	f.RecordFailure("m1", time.Second)
	f.Apply(nil, []string{"m1"}, false, 2*time.Second)
	c.Assert(f.Choose(request, 5*time.Second).Found, qt.IsFalse)
	f.ReleaseIfCurrent(first.Backend)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 2000, 3, 0)}, nil, false, 5*time.Second)
	f.ReleaseIfCurrent(second.Backend)
	c.Assert(f.Choose(request, 5*time.Second).QueuePosition, qt.Equals, 1-16)
	c.Assert(f.InFlightCounts(), qt.DeepEquals, map[string]int{"m1": 1})
}

// A restarted server got no requests for as long as the old process would have drained.
func TestRestartClearsDraining(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	draining := newBackendWithBoot("m1", modelService, 1000, 2, 1)
	draining.Draining = true
	f.Apply([]catalog.Backend{draining}, nil, false, time.Second)
	c.Assert(f.Choose(wanted, time.Second).Found, qt.IsFalse)
	f.ApplyReport(newReport(2000, 1), 2*time.Second)
	c.Assert(f.Choose(wanted, 2*time.Second).Found, qt.IsTrue)
	// The old row is written once more before it is replaced.
	draining.Revision = 3
	f.Apply([]catalog.Backend{draining}, nil, false, 2100*time.Millisecond)
	c.Assert(f.Choose(wanted, 2100*time.Millisecond).Found, qt.IsTrue)
}

// A restarted server got no requests because its host's clock had been set back, which made its
// boot earlier than that of the old process.
func TestRestartWithEarlierBootTimeIsDetected(t *testing.T) {
	for name, test := range map[string]struct {
		at      time.Duration
		restart func(f *Fleet, now time.Duration)
	}{
		"by its row, once the old process is silent": {3100 * time.Millisecond, func(f *Fleet, now time.Duration) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 500, 2, 0)}, nil, false, now)
		}},
		"by its row, and its reports after that": {3100 * time.Millisecond, func(f *Fleet, now time.Duration) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 500, 2, 0)}, nil, false, 1200*time.Millisecond)
			f.ApplyReport(newReport(500, 0), now)
		}},
		"by its agent": {1200 * time.Millisecond, func(f *Fleet, now time.Duration) {
			report := newReport(500, 0)
			report.PreviousBoots = []catalog.Boot{1000}
			f.ApplyReport(report, now)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleetWithServer(modelService, 1)
			f.ApplyReport(newReport(1000, 1), time.Second)
			f.ApplyReport(newReport(500, 2), 1100*time.Millisecond)
			c.Assert(f.Choose(wanted, 1100*time.Millisecond).HeldVersion, qt.Equals, uint64(1), qt.Commentf("it may be a late datagram"))
			test.restart(f, test.at)
			c.Assert(f.Choose(wanted, test.at).Found, qt.IsFalse)
			f.ApplyReport(newReport(1000, 1), test.at+100*time.Millisecond)
			c.Assert(f.Choose(wanted, test.at+100*time.Millisecond).Found, qt.IsFalse)
			f.ApplyReport(newReport(500, 2), test.at+200*time.Millisecond)
			c.Assert(f.Choose(wanted, test.at+200*time.Millisecond).HeldVersion, qt.Equals, uint64(2))
		})
	}
}

// Requests were sent to the old process of a server without an agent. Its row alone reveals the
// restart, also with an earlier boot.
func TestPlainServerRestartIsDetectedByRow(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 500, 2, 0)}, nil, false, time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, time.Second).Backend.Boot, qt.Equals, catalog.Boot(500))
}

// An entry that has just started receives a late datagram of an old process whose boot is later
// than that of the current one. The entry must not keep that boot.
func TestBootFromLateDatagramIsCorrected(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 500, 2, 1)}, nil, true, 0)
	f.ApplyReport(newReport(1000, 3), time.Second)
	c.Assert(f.Choose(wanted, time.Second).HeldVersion, qt.Equals, uint64(3))
	f.ApplyReport(newReport(500, 1), 1200*time.Millisecond)
	c.Assert(f.Choose(wanted, 1200*time.Millisecond).HeldVersion, qt.Equals, uint64(3))
	f.ApplyReport(newReport(500, 1), 3500*time.Millisecond)
	c.Assert(f.Choose(wanted, 3500*time.Millisecond).HeldVersion, qt.Equals, uint64(1))
}

// The log must show what was assumed of a server before and after a restart.
func TestTakeRestartsReportsModelsBeforeAndAfter(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.Choose(wanted, time.Second)
	f.ApplyReport(newReport(2000, 2), time.Second)
	version1, version2 := []catalog.Model{{Name: model, Version: 1}}, []catalog.Model{{Name: model, Version: 2}}
	c.Assert(f.TakeRestarts(), qt.DeepEquals, []Restart{{Backend: "m1", Source: SourceReport, OldBoot: 1000, NewBoot: 2000, OldModels: version1, NewModels: version2, InFlight: 1}})
	c.Assert(f.TakeRestarts(), qt.HasLen, 0)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 3000, 2, 0)}, nil, true, 2*time.Second)
	c.Assert(f.TakeRestarts(), qt.DeepEquals, []Restart{{Backend: "m1", Source: SourceRow, OldBoot: 2000, NewBoot: 3000, OldModels: version2}})
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 3000, 4, 2)}, nil, true, 2*time.Second)
	c.Assert(f.TakeRestarts(), qt.HasLen, 0)
}

// A server was considered full or silent until all entries had observed its restart, because they
// gossiped about the old process under the same ID.
func TestGossipAboutOldProcessIsNotCurrent(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(plainService, 0)
	now := time.Second
	c.Assert(f.IsCurrentBoot("m1", 0, now), qt.IsTrue)
	c.Assert(f.RecentBoots([]string{"m1"}, now), qt.HasLen, 0, qt.Commentf("gossip without a restart must have no boots"))
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", plainService, 2000, 2, 0)}, nil, false, now)
	c.Assert(f.IsCurrentBoot("m1", 0, now), qt.IsFalse)
	c.Assert(f.IsCurrentBoot("m1", 1000, now), qt.IsFalse)
	c.Assert(f.IsCurrentBoot("m1", 2000, now), qt.IsTrue)
	c.Assert(f.IsCurrentBoot("m2", 0, now), qt.IsTrue)
	c.Assert(f.RecentBoots([]string{"m1", "m2"}, now), qt.DeepEquals, map[string]catalog.Boot{"m1": 2000})
	// All entries have observed the restart by then. One that started later sends no boot.
	c.Assert(f.IsCurrentBoot("m1", 0, now+restartPropagationDelay), qt.IsTrue)
	c.Assert(f.IsCurrentBoot("m1", 1000, now+restartPropagationDelay), qt.IsFalse)
	c.Assert(f.RecentBoots([]string{"m1"}, now+restartPropagationDelay), qt.HasLen, 1)
	c.Assert(f.RecentBoots([]string{"m1"}, now+2*restartPropagationDelay), qt.HasLen, 0)
}

// A server restarts twice within a heartbeat interval. The row of the second process arrives after
// the report of the third.
func TestTwoRestartsWithinHeartbeatInterval(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	f.ApplyReport(newReport(1000, 1), time.Second)
	f.ApplyReport(newReport(3000, 0), 1200*time.Millisecond)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 2, 1)}, nil, false, 1300*time.Millisecond)
	c.Assert(f.Choose(wanted, 1300*time.Millisecond).Found, qt.IsFalse)
	f.ApplyReport(newReport(2000, 1), 1400*time.Millisecond)
	c.Assert(f.Choose(wanted, 1400*time.Millisecond).Found, qt.IsFalse)
	f.ApplyReport(newReport(3000, 2), 1500*time.Millisecond)
	c.Assert(f.Choose(wanted, 1500*time.Millisecond).HeldVersion, qt.Equals, uint64(2))
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 3000, 3, 2)}, nil, false, 1600*time.Millisecond)
	c.Assert(f.Choose(wanted, 1600*time.Millisecond).HeldVersion, qt.Equals, uint64(2))
	c.Assert(f.TakeRestarts(), qt.HasLen, 1)
}

// A server restarts during an outage of the store, so that only its agent reports it. Afterwards
// its row is missing or still shows the old process.
func TestRestartDuringStoreOutage(t *testing.T) {
	for name, recovery := range map[string]func(f *Fleet, now time.Duration){
		"its row has expired": func(f *Fleet, now time.Duration) { f.Apply(nil, nil, true, now) },
		"its row is outdated": func(f *Fleet, now time.Duration) {
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 1000, 1, 1)}, nil, true, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleetWithServer(modelService, 1)
			f.ApplyReport(newReport(1000, 1), time.Second)
			f.ApplyReport(newReport(2000, 0), 10*time.Second)
			c.Assert(f.Choose(wanted, 10*time.Second).Found, qt.IsFalse)
			// Without reports for AgentTimeout, the server counts as one without an agent.
			f.SetState(testState(), 30*time.Second)
			c.Assert(f.Choose(wanted, 30*time.Second).Found, qt.IsFalse)
			f.ApplyReport(newReport(2000, 2), 31*time.Second)
			f.SetOutageEnd(31*time.Second, true, 31*time.Second)
			recovery(f, 31*time.Second)
			c.Assert(f.Choose(wanted, 31*time.Second).HeldVersion, qt.Equals, uint64(2))
			f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 5, 2)}, nil, false, 31500*time.Millisecond)
			c.Assert(f.Choose(wanted, 31500*time.Millisecond).HeldVersion, qt.Equals, uint64(2))
		})
	}
}

// A server restarts during a weight switch. Late reports of the switch must not keep requests from
// the new process.
func TestRestartDuringWeightSwitch(t *testing.T) {
	c := qt.New(t)
	f := newFleetWithServer(modelService, 1)
	switching := newReport(1000, 1)
	switching.Switching = true
	f.ApplyReport(switching, time.Second)
	c.Assert(f.Choose(wanted, time.Second).Found, qt.IsFalse)
	f.Apply([]catalog.Backend{newBackendWithBoot("m1", modelService, 2000, 2, 2)}, nil, false, 1200*time.Millisecond)
	c.Assert(f.Choose(wanted, 1200*time.Millisecond).HeldVersion, qt.Equals, uint64(2))
	f.ApplyReport(switching, 1300*time.Millisecond)
	c.Assert(f.Choose(wanted, 1300*time.Millisecond).HeldVersion, qt.Equals, uint64(2))
}
