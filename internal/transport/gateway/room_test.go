package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
)

// Which requests wait at an entry: late ones after an outage, those for which a server will be ready
// soon, and answers under way; none for a plain service, whose queue is its own.
func TestWhoWaitsForAPlace(t *testing.T) {
	c := qt.New(t)
	engine := &catalog.Engine{Slots: 16}
	g := &Gateway{}
	g.state.Store(&catalog.State{Services: map[string]catalog.Service{"models": {Engine: engine}, "orders": {}}})
	route := &catalog.Route{Goal: 400 * time.Millisecond, Timeout: 6 * time.Second}
	fresh, late := 6*time.Second, 4*time.Second
	for name, test := range map[string]struct {
		service string
		left    time.Duration
		begun   bool
		found   fleet.Placement
		calm    bool
		want    bool
	}{
		"a fresh request comes back":           {"models", fresh, false, fleet.Placement{Found: true}, false, false},
		"a late one waits":                     {"models", late, false, fleet.Placement{Found: true}, false, true},
		"a server is ready soon":               {"models", fresh, false, fleet.Placement{ReadyIn: time.Second}, false, true},
		"a server is ready later":              {"models", late, false, fleet.Placement{ReadyIn: 2 * time.Second}, false, false},
		"nothing tells when a server is":       {"models", late, false, fleet.Placement{}, false, false},
		"an answer under way waits":            {"models", fresh, true, fleet.Placement{}, false, true},
		"an answer under way that has a place": {"models", fresh, true, fleet.Placement{Found: true}, false, false},
		"a late one in a long overload":        {"models", late, false, fleet.Placement{Found: true}, true, false},
		"a plain service":                      {"orders", late, false, fleet.Placement{Found: true}, false, false},
	} {
		x := &exchange{gateway: g, route: route, service: test.service, call: &Call{Bounded: true}, deadline: time.Now().Add(test.left)}
		a := &attempts{exchange: x}
		if test.begun {
			a.stream = &eventStream{}
		}
		now := 2 * admission.Recovery
		g.outages = map[string]*admission.Outage{"models": {}}
		if !test.calm {
			g.outages["models"].Refused(now - time.Second)
		}
		c.Check(a.mayWait(test.found, now), qt.Equals, test.want, qt.Commentf(name))
	}
}
