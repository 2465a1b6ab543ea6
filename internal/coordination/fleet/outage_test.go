package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// A server whose row is missing gets requests only within the grace period after an outage of the
// store.
func TestRemovedServersGetNoRequests(t *testing.T) {
	const removed = 20 * time.Second
	tests := []struct {
		name string
		// outage is the end of the store's outage; 0 if none is known.
		outage time.Duration
		after  time.Duration
		used   bool
	}{
		{"no outage", 0, 0, false},
		{"an earlier outage", removed - 5*time.Second, 0, false},
		{"right after an outage", removed, time.Second, true},
		{"some time after an outage", removed - time.Second, 500 * time.Millisecond, true},
		{"after the grace period", removed, 2 * time.Second, false},
		{"after the grace period, removed within it", removed - time.Second, time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet()
			f.SetState(testState(), 0)
			f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0)}, nil, true, 0)
			if test.outage != 0 {
				f.SetOutageEnd(test.outage, true, test.outage)
			}
			f.Apply(nil, []string{"o1"}, false, removed)
			qt.Assert(t, f.Choose(Request{Service: plainService}, removed+test.after).Found, qt.Equals, test.used)
		})
	}
}

// A removed server got requests until the end of the grace period, although other entries had
// reported that there was no outage of the store.
func TestClearedOutageEndsGracePeriod(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0)}, nil, true, 0)
	f.SetOutageEnd(20*time.Second, true, 20*time.Second)
	f.Apply(nil, []string{"o1"}, false, 20*time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, 20100*time.Millisecond).Found, qt.IsTrue)
	f.SetOutageEnd(0, false, 20200*time.Millisecond)
	c.Assert(f.Choose(Request{Service: plainService}, 20200*time.Millisecond).Found, qt.IsFalse)
}

// After an outage, a server whose row is missing is used only if requests would queue at the listed
// ones.
func TestListedServersArePreferredToMissingOnes(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("m1", modelService, "10.0.0.1:1", 1), newBackend("m2", modelService, "10.0.0.2:1", 1)}, nil, true, 0)
	f.SetOutageEnd(20*time.Second, true, 20*time.Second)
	f.Apply(nil, []string{"m1"}, false, 20*time.Second)
	request := Request{Service: modelService, Model: model}
	for range testEngine().Slots {
		c.Assert(f.Choose(request, 20*time.Second).Backend.ID, qt.Equals, "m2")
	}
	used := map[string]int{}
	for range testEngine().Slots {
		used[f.Choose(request, 20*time.Second).Backend.ID]++
	}
	c.Assert(used["m1"] > 0, qt.IsTrue, qt.Commentf("%v", used))
}

// All requests were refused for two seconds after an outage of the store. The rows of running
// servers had expired in the outage and were missing from the first list after it.
func TestServersExpiredInOutageStayDuringGracePeriod(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	f.Apply([]catalog.Backend{newBackend("o1", plainService, "10.0.0.1:1", 0)}, nil, true, 0)
	outageEnd := 20 * time.Second
	f.SetOutageEnd(outageEnd, true, outageEnd)
	f.Apply(nil, []string{"o1"}, false, outageEnd)
	c.Assert(f.Choose(Request{Service: plainService}, outageEnd+time.Second).Found, qt.IsTrue)
	c.Assert(f.Choose(Request{Service: plainService}, outageEnd+3*time.Second).Found, qt.IsFalse)
}

// A server whose expired row is written again within the grace period remains in use.
func TestExpiredServerListedAgainStays(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.SetState(testState(), 0)
	server := newBackend("o1", plainService, "10.0.0.1:1", 0)
	f.Apply([]catalog.Backend{server}, nil, true, 0)
	f.SetOutageEnd(20*time.Second, true, 20*time.Second)
	f.Apply(nil, []string{"o1"}, false, 20*time.Second)
	f.Apply([]catalog.Backend{server}, nil, false, 21*time.Second)
	c.Assert(f.Choose(Request{Service: plainService}, 30*time.Second).Found, qt.IsTrue)
}
