package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// newFleetWithTwoServers returns a fleet with two servers of the service without models.
func newFleetWithTwoServers() (*Fleet, []catalog.Backend) {
	f := newFleet()
	f.SetState(testState(), 0)
	all := []catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0), newBackend("o2", plainService, "10.0.0.2:1", 0)}
	f.Apply(all, nil, true, 0)
	return f, all
}

// pickedServers returns the servers that get requests at a time.
func pickedServers(f *Fleet, now time.Duration) map[string]bool {
	ids := map[string]bool{}
	for range 20 {
		p := f.Choose(Request{Service: plainService}, now)
		if !p.Found {
			continue
		}
		f.Release(p.Backend.ID)
		ids[p.Backend.ID] = true
	}
	return ids
}

// A server that had announced that it was draining got requests again: its row said that it was
// ready, its row expired and was written again, all others were suspected, or no other server was
// left. Only another process revokes the announcement.
func TestAnnouncedDrainingServerGetsNoRequests(t *testing.T) {
	other := map[string]bool{"o2": true}
	both := map[string]bool{"o1": true, "o2": true}
	tests := []struct {
		name   string
		action func(f *Fleet, all []catalog.Backend)
		want   map[string]bool
	}{
		{"nothing happens", func(*Fleet, []catalog.Backend) {}, other},
		{"its row says that it is ready", func(f *Fleet, all []catalog.Backend) { f.Apply(all, nil, true, time.Second) }, other},
		{"its row expires and is written again", func(f *Fleet, all []catalog.Backend) {
			f.Apply(all[1:], nil, true, time.Second)
			pickedServers(f, 9*time.Second)
			f.Apply(all, nil, true, 9*time.Second)
		}, other},
		{"it answers correctly", func(f *Fleet, all []catalog.Backend) { f.RecordSuccess("o1", time.Second) }, other},
		{"the other server fails", func(f *Fleet, all []catalog.Backend) { f.RecordFailure("o2", 10*time.Second) }, other},
		{"the other server drains too", func(f *Fleet, all []catalog.Backend) { f.RecordDraining(Answer{Backend: all[1]}, time.Second) }, map[string]bool{}},
		{"it restarts under its ID", func(f *Fleet, all []catalog.Backend) {
			first, second := all[0], all[0]
			first.Boot, second.Boot = 1764723093000, 1764723099000
			f.Apply([]catalog.Backend{first}, nil, false, time.Second)
			qt.Assert(t, pickedServers(f, time.Second), qt.DeepEquals, other)
			f.Apply([]catalog.Backend{second}, nil, false, time.Second)
			// A late announcement of the old process does not apply to the new process.
			f.RecordDraining(Answer{Backend: first}, 2*time.Second)
		}, both},
		{"another server takes its address", func(f *Fleet, all []catalog.Backend) {
			next := all[0]
			next.ID, next.Revision = "o3", 1
			f.Apply([]catalog.Backend{next}, nil, false, time.Second)
		}, map[string]bool{"o2": true, "o3": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, all := newFleetWithTwoServers()
			qt.Assert(t, f.RecordDraining(Answer{Backend: all[0]}, 0), qt.IsTrue)
			qt.Assert(t, f.RecordDraining(Answer{Backend: all[0]}, 0), qt.IsFalse)
			qt.Assert(t, f.Accepts(all[0], 0), qt.IsFalse)
			test.action(f, all)
			qt.Assert(t, pickedServers(f, 10*time.Second), qt.DeepEquals, test.want)
		})
	}
}

// A server that sent a retry time got requests earlier: all others were suspected, its row was
// written again, or it sent a shorter time. The longest time applies, unless another process takes
// its place.
func TestServerGetsNoRequestsUntilRetryAfter(t *testing.T) {
	const retryAfter = 3 * time.Second
	other, both := map[string]bool{"o2": true}, map[string]bool{"o1": true, "o2": true}
	tests := []struct {
		name   string
		action func(f *Fleet, all []catalog.Backend)
		want   map[string]bool
	}{
		{"nothing happens", func(*Fleet, []catalog.Backend) {}, other},
		{"its row is written again", func(f *Fleet, all []catalog.Backend) { f.Apply(all, nil, true, time.Second) }, other},
		{"it sends a shorter time", func(f *Fleet, all []catalog.Backend) {
			f.RecordRetryAfter(Answer{Backend: all[0]}, time.Millisecond, time.Second)
		}, other},
		{"it answers a request sent before", func(f *Fleet, all []catalog.Backend) { f.RecordSuccess("o1", time.Second) }, other},
		{"the other server fails", func(f *Fleet, all []catalog.Backend) { f.RecordFailure("o2", retryAfter-100*time.Millisecond) }, other},
		{"the other server sends a retry time too", func(f *Fleet, all []catalog.Backend) {
			f.RecordRetryAfter(Answer{Backend: all[1]}, retryAfter, time.Second)
		}, map[string]bool{}},
		{"another server takes its address", func(f *Fleet, all []catalog.Backend) {
			next := all[0]
			next.ID, next.Revision = "o3", 1
			f.Apply([]catalog.Backend{next}, nil, false, time.Second)
		}, map[string]bool{"o2": true, "o3": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, all := newFleetWithTwoServers()
			qt.Assert(t, f.RecordRetryAfter(Answer{Backend: all[0]}, retryAfter, 0), qt.IsTrue)
			qt.Assert(t, f.RecordRetryAfter(Answer{Backend: all[0]}, retryAfter, 0), qt.IsFalse)
			test.action(f, all)
			qt.Assert(t, f.Accepts(all[0], retryAfter-time.Millisecond), qt.IsFalse)
			qt.Assert(t, pickedServers(f, retryAfter-time.Millisecond), qt.DeepEquals, test.want)
			if len(test.want) == 0 {
				qt.Assert(t, f.ReadyIn(Request{Service: plainService}, retryAfter-time.Millisecond), qt.Equals, time.Millisecond)
			}
			f, all = newFleetWithTwoServers()
			f.RecordRetryAfter(Answer{Backend: all[0]}, retryAfter, 0)
			qt.Assert(t, f.Accepts(all[0], retryAfter), qt.IsTrue)
			qt.Assert(t, pickedServers(f, retryAfter+healthCheckInterval), qt.DeepEquals, both)
		})
	}
}

// A request that waited for a connection was sent to a server that had left in the meantime.
func TestAcceptsRejectsServersThatLeft(t *testing.T) {
	tests := []struct {
		name   string
		action func(f *Fleet, server catalog.Backend)
		want   bool
	}{
		{"nothing happens", func(*Fleet, catalog.Backend) {}, true},
		{"its row says that it is draining", func(f *Fleet, server catalog.Backend) {
			server.Draining, server.Revision = true, 9
			f.Apply([]catalog.Backend{server}, nil, false, time.Second)
		}, false},
		{"its row is removed", func(f *Fleet, server catalog.Backend) { f.Apply(nil, []string{server.ID}, false, time.Second) }, false},
		{"its row is missing after an outage", func(f *Fleet, server catalog.Backend) {
			f.SetOutageEnd(time.Second, true, time.Second)
			f.Apply(nil, []string{server.ID}, false, time.Second)
		}, true},
		{"the list lacks it", func(f *Fleet, _ catalog.Backend) { f.Apply(nil, nil, true, time.Second) }, false},
		{"another server takes its address", func(f *Fleet, server catalog.Backend) {
			server.ID, server.Revision = "o3", 9
			f.Apply([]catalog.Backend{server}, nil, false, time.Second)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, all := newFleetWithTwoServers()
			test.action(f, all[0])
			qt.Assert(t, f.Accepts(all[0], 1500*time.Millisecond), qt.Equals, test.want)
		})
	}
}

// After an outage, a server that was missing from the list and closed its connections was assumed
// to be running with an expired row.
func TestMissingServerThatClosesConnectionsIsRemoved(t *testing.T) {
	c := qt.New(t)
	f, all := newFleetWithTwoServers()
	c.Assert(f.RecordConnectionClose(all[0], 0), qt.IsFalse)
	f.SetOutageEnd(time.Second, true, time.Second)
	f.Apply(nil, []string{all[0].ID}, false, time.Second)
	request := Request{Service: plainService, Avoid: []filbertlever.HostID{"o2"}}
	c.Assert(f.Choose(request, 1500*time.Millisecond).Found, qt.IsTrue)
	c.Assert(f.RecordConnectionClose(all[0], 1500*time.Millisecond), qt.IsTrue)
	c.Assert(f.Choose(request, 1500*time.Millisecond).Found, qt.IsFalse)
	// The row is written again, so it had only expired.
	all[0].Revision++
	f.Apply(all[:1], nil, false, 2*time.Second)
	c.Assert(f.Choose(request, 2*time.Second).Found, qt.IsTrue)
}

// A draining server got requests during an outage of the store, although its agent had detected
// that it was draining.
func TestServerReportedDrainingByAgentGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	report := Report{Address: "10.0.0.1:1", Sequence: 1, Models: []catalog.Model{{Name: model, Version: 1}}, Leaving: true}
	f.ApplyReport(report, time.Second)
	for range 20 {
		c.Assert(f.Choose(Request{Service: modelService, Model: model}, time.Second).Backend.ID, qt.Equals, "m2")
	}
	c.Assert(f.Choose(Request{Service: modelService, Model: model, Avoid: []filbertlever.HostID{"m2"}}, time.Second).Found, qt.IsFalse)
	report.Leaving, report.Sequence = false, 2
	f.ApplyReport(report, 2*time.Second)
	c.Assert(f.Choose(Request{Service: modelService, Model: model, Avoid: []filbertlever.HostID{"m2"}}, 2*time.Second).Found, qt.IsTrue)
}

// No process may get requests after it announced that it is draining, in any order of
// announcements, rows and failures.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, all := newFleetWithTwoServers()
		boots := []catalog.Boot{1764723093000, 1764723094000}
		now := time.Second
		draining := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			at := rapid.IntRange(0, 1).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.RecordDraining(Answer{Backend: all[at]}, now)
				if f.Contains(all[at].ID) {
					draining[fmt.Sprint(all[at].ID, all[at].Boot)] = true
				}
			case 1:
				f.Apply(all, nil, true, now)
			case 2:
				f.Apply(all[:1], nil, true, now)
			case 3:
				f.RecordFailure(all[at].ID, now)
			case 5:
				f.RecordRetryAfter(Answer{Backend: all[at]}, time.Duration(rapid.IntRange(0, 5000).Draw(t, "retryAfter"))*time.Millisecond, now)
			case 4:
				if all[at].Boot == 0 {
					all[at].Boot, draining[fmt.Sprint(all[at].ID, boots[0])] = boots[0], draining[fmt.Sprint(all[at].ID, 0)]
				} else {
					all[at].Boot++
				}
				all[at].Revision++
				f.Apply(all[at:at+1], nil, false, now)
			}
			for id := range pickedServers(f, now) {
				b := f.servers[id].backend
				if !f.Accepts(b, now) {
					t.Fatalf("server %s gets requests that it does not accept", b.ID)
				}
				if draining[fmt.Sprint(b.ID, b.Boot)] {
					t.Fatalf("server %s with boot %d gets requests after it announced that it is draining", b.ID, b.Boot)
				}
			}
		}
	})
}

// A server restarted under its ID and announced something before its new boot was known. The row with
// the boot cleared that, as it was taken for the announcement of the process before.
func TestAnnouncementsApplyToTheProcessThatMadeThem(t *testing.T) {
	const firstBoot, secondBoot = catalog.Boot(1764723093000), catalog.Boot(1764723099500)
	limit := 1.0
	announcements := map[string]func(f *Fleet, answer Answer){
		"draining":    func(f *Fleet, answer Answer) { f.RecordDraining(answer, time.Second) },
		"retry after": func(f *Fleet, answer Answer) { f.RecordRetryAfter(answer, time.Minute, time.Second) },
		"rate limit":  func(f *Fleet, answer Answer) { f.RecordRateLimit(answer, &limit, time.Second, time.Second) },
	}
	at := func(boot catalog.Boot, after time.Duration) time.Time { return time.UnixMilli(int64(boot)).Add(after) }
	tests := []struct {
		name      string
		runningAt time.Time
		boot      catalog.Boot
		// before is what happens between the announcement and the row.
		before func(f *Fleet, first catalog.Backend)
		// late is true if the announcement arrives after the row.
		late, want bool
	}{
		{name: "the new process made it", runningAt: at(secondBoot, 0), want: true},
		{name: "and its row arrived before it", runningAt: at(secondBoot, 0), late: true, want: true},
		{name: "and the row of the old one expired", runningAt: at(secondBoot, 0), want: true, before: func(f *Fleet, first catalog.Backend) {
			f.Apply(nil, []string{first.ID}, false, 2*time.Second)
		}},
		{name: "the old process made it", runningAt: at(secondBoot, -1)},
		{name: "and the row of the new one arrived before it", runningAt: at(secondBoot, -1), late: true},
		{name: "and the server's clock was set back", runningAt: at(firstBoot, 0), boot: firstBoot - 5000},
		{name: "unknown", want: false},
	}
	for kind, announce := range announcements {
		for _, test := range tests {
			t.Run(kind+"/"+test.name, func(t *testing.T) {
				f, all := newFleetWithTwoServers()
				first := all[0]
				first.Boot, first.Revision = firstBoot, 1
				f.Apply([]catalog.Backend{first}, nil, false, 0)
				second := first
				second.Boot, second.Revision = secondBoot, 2
				if test.boot != 0 {
					second.Boot = test.boot
				}
				answer := Answer{Backend: first, RunningAt: test.runningAt}
				if !test.late {
					announce(f, answer)
				}
				if test.before != nil {
					test.before(f, first)
				}
				f.Apply([]catalog.Backend{second}, nil, false, 3*time.Second)
				if test.late {
					announce(f, answer)
				}
				qt.Assert(t, !pickedServers(f, 4*time.Second)["o1"], qt.Equals, test.want)
			})
		}
	}
}

// A request that waited for a connection was sent to a process that had refused others with a retry
// time, as it was placed at the process before.
func TestRetryAfterAppliesToRequestsPlacedBefore(t *testing.T) {
	f, all := newFleetWithTwoServers()
	first, second := all[0], all[0]
	first.Boot, second.Boot, second.Revision = 1000, 2000, 2
	f.Apply([]catalog.Backend{first}, nil, false, 0)
	f.Apply([]catalog.Backend{second}, nil, false, 0)
	f.RecordRetryAfter(Answer{Backend: second}, time.Second, 0)
	qt.Assert(t, f.Accepts(first, 0), qt.IsFalse)
	qt.Assert(t, f.Accepts(first, time.Second), qt.IsTrue)
}

// A server that announced draining and restarted got no requests from an entry whose clock was ahead.
func TestRunningAt(t *testing.T) {
	date := time.Unix(1764723099, 0)
	for _, test := range []struct {
		name               string
		sentAt, date, want time.Time
	}{
		{"within the second of the answer", date.Add(300 * time.Millisecond), date, date.Add(300 * time.Millisecond)},
		{"sent before it", date.Add(-time.Minute), date, date},
		{"the entry's clock is ahead", date.Add(time.Minute), date, date.Add(999 * time.Millisecond)},
		{"without a date", date, time.Time{}, date.Add(-maxClockOffset)},
	} {
		qt.Check(t, RunningAt(test.sentAt, test.date), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
