package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// A request that should wait is refused, or one that waits takes the place of others. Late requests
// wait after an outage, all requests if a server will be ready soon, and started streams whenever
// no server is free. Requests for a plain service never wait, as it has its own queue.
func TestWhichRequestsWaitForAServer(t *testing.T) {
	c := qt.New(t)
	engine := &catalog.Engine{Slots: 16}
	g := &Gateway{}
	g.state.Store(&catalog.State{Services: map[string]catalog.Service{"models": {Engine: engine}, "orders": {}}})
	route := &catalog.Route{FirstByteGoal: 400 * time.Millisecond, Timeout: 6 * time.Second}
	inTime, late := 6*time.Second, 4*time.Second
	for name, test := range map[string]struct {
		service  string
		left     time.Duration
		started  bool
		found    fleet.Placement
		overload bool
		want     bool
	}{
		"a request in time is refused":             {"models", inTime, false, fleet.Placement{Found: true}, false, false},
		"a late request after an outage":           {"models", late, false, fleet.Placement{Found: true}, false, true},
		"a server will be ready soon":              {"models", inTime, false, fleet.Placement{ReadyIn: time.Second}, false, true},
		"a server will be ready too late":          {"models", late, false, fleet.Placement{ReadyIn: 2 * time.Second}, false, false},
		"no known time at which a server is ready": {"models", late, false, fleet.Placement{}, false, false},
		"a started stream without a server":        {"models", inTime, true, fleet.Placement{}, false, true},
		"a started stream with a server":           {"models", inTime, true, fleet.Placement{Found: true}, false, false},
		"a late request during a long overload":    {"models", late, false, fleet.Placement{Found: true}, true, false},
		"a plain service":                          {"orders", late, false, fleet.Placement{Found: true}, false, false},
	} {
		x := &exchange{gateway: g, route: route, service: test.service, call: &Call{HasTimeout: true}, deadlineAt: boottime.Now() + test.left}
		a := &attempts{exchange: x}
		if test.started {
			a.delivered.begun = true
		}
		now := 2 * admission.RecoveryPeriod
		g.outages = map[string]*admission.Outage{"models": {}}
		if !test.overload {
			g.outages["models"].RecordRefusal(now - time.Second)
		}
		c.Check(a.mayWait(test.found, now), qt.Equals, test.want, qt.Commentf(name))
	}
}

// A caller that was refused while all servers were silent returned after they had continued, but late.
func TestCallerReturnsInTimeAfterSilence(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{rng: rand.New(rand.NewPCG(1, 2)), outages: map[string]*admission.Outage{}}
	route := &catalog.Route{FirstByteGoal: time.Second, Timeout: 6 * time.Second}
	x := &exchange{gateway: g, route: route, service: "orders", call: &Call{HasTimeout: true}, deadlineAt: boottime.Now() + route.Timeout}
	a := &attempts{exchange: x}
	c.Check(a.retryDelayWithoutServer(fleet.Placement{SilentFor: time.Second}, time.Second) < route.FirstByteGoal, qt.IsTrue)
	c.Check(a.retryDelayWithoutServer(fleet.Placement{}, time.Second) > route.FirstByteGoal, qt.IsTrue)
	c.Check(a.retryDelayWithoutServer(fleet.Placement{SilentFor: time.Second, ReadyIn: 2 * time.Second}, time.Second) >= 2*time.Second, qt.IsTrue)
}
