package experiment

import (
	"bytes"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hedge is a policy that starts a second attempt after 0.6 s.
var hedge = Policy{Name: "hedge", Silence: SilenceHedge, Stall: 600 * time.Millisecond, Gap: 600 * time.Millisecond}

// silentServers returns an experiment with entries that retry, and the disturbance of its only scenario.
func silentServers(fault Fault, scope Scope, duration time.Duration) (*Experiment, *disturbance) {
	e := overloadedRegions()
	e.Kinds[0].PerSecond, e.Kinds[0].MaxServers, e.Kinds[0].MaxEventGap = 70, 2, 300*time.Millisecond
	e.Scenarios = []Scenario{{Fault: fault, Scopes: []Scope{scope}, At: []time.Duration{2 * time.Second}, For: []time.Duration{duration}}}
	return e, e.disturbances()[1]
}

// Whether callers receive whole answers depends on how long servers are silent and on the policy.
func TestEndsByPolicy(t *testing.T) {
	tests := []struct {
		name     string
		fault    Fault
		scope    Scope
		duration time.Duration
		policy   Policy
		want     func(o *Outcome) bool
	}{
		{"short silence ends no answer", FaultSilent, ScopeAll, time.Second, Policy{}, func(o *Outcome) bool { return o.Ends[EndLeft]+o.Ends[EndCut]+o.Ends[EndNoStatus] == 0 }},
		{"short silence of the links ends no answer", FaultLink, ScopeAll, time.Second, Policy{}, func(o *Outcome) bool { return o.Ends[EndLeft]+o.Ends[EndCut]+o.Ends[EndNoStatus] == 0 }},
		{"callers leave dark servers", FaultDark, ScopeOne, time.Second, Policy{}, func(o *Outcome) bool { return o.Ends[EndLeft] > 0 && o.Ends[EndNoStatus] > 0 }},
		{"cancelled attempts have no successor if all servers are silent", FaultSilent, ScopeAll, 3 * time.Second, Policy{Silence: SilenceCancel, Suspect: true}, func(o *Outcome) bool { return o.Ends[EndCut]+o.Ends[EndFailed] > 0 }},
		{"failover cancels only with a successor", FaultSilent, ScopeAll, 3 * time.Second, Policy{Silence: SilenceFailover}, func(o *Outcome) bool { return o.Ends[EndCut]+o.Ends[EndFailed] == 0 }},
		{"hedging completes answers of a dark server", FaultDark, ScopeOne, time.Second, hedge, func(o *Outcome) bool {
			return o.Ends[EndLeft]+o.Ends[EndCut]+o.Ends[EndNoStatus] == 0 && o.RetryShare > 0
		}},
		{"broken connections are retried by every policy", FaultDead, ScopeOne, time.Second, Policy{}, func(o *Outcome) bool { return o.RetryShare > 0 && o.Ends[EndCut] == 0 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, d := silentServers(test.fault, test.scope, test.duration)
			o := e.simulate(&test.policy, d, 1, 1)
			t.Logf("ends %v, work %+v, retries %.3f", o.Ends, o.Work, o.RetryShare)
			qt.Check(t, test.want(&o), qt.IsTrue)
		})
	}
}

// A try is counted twice or not at all, or the retries of a policy exceed their bound.
func TestTriesAndRetriesAreCounted(t *testing.T) {
	for _, policy := range []Policy{{Name: "never"}, {Name: "cancel", Silence: SilenceCancel, Suspect: true}, {Name: "failover", Silence: SilenceFailover}, hedge} {
		for _, fault := range []Fault{FaultSilent, FaultLink, FaultDark, FaultDead} {
			t.Run(policy.Name+" "+string(fault), func(t *testing.T) {
				c := qt.New(t)
				e, d := silentServers(fault, ScopeThird, 1400*time.Millisecond)
				o := e.simulate(&policy, d, 1.5, 1)
				total, tries := o.Total(), 0
				for _, n := range o.Ends {
					tries += n
				}
				c.Check(total.InTime+total.Late, qt.Equals, o.Ends[EndWhole])
				c.Check(total.InTime+total.Late+total.Refused, qt.Equals, total.Requests)
				c.Check(tries >= total.Requests && tries <= 2*total.Requests, qt.IsTrue)
				c.Check(o.RetryShare <= 1, qt.IsTrue)
				c.Check(o.Work.DeliveredTokens <= o.Work.Tokens, qt.IsTrue)
				again := e.simulate(&policy, d, 1.5, 1)
				c.Check(again, qt.DeepEquals, o)
			})
		}
	}
}

// A pause must delay the current pass by its own length, also if the pass would have ended after it.
func TestPauseDelaysTheCurrentPass(t *testing.T) {
	for _, d := range []time.Duration{5 * time.Millisecond, time.Second} {
		c := qt.New(t)
		e, _ := silentServers(FaultSilent, ScopeOne, d)
		sim := &simulation{Experiment: e}
		s := &engine{simulation: sim, loadedVersion: 1, slowdown: 1}
		s.enqueue(&attempt{promptTokens: 100, remainingTokens: 7})
		want := s.passEnd + d
		s.pause(d)
		c.Check(s.passEnd, qt.Equals, want)
		for s.passRunning && s.simulation.now < s.passEnd {
			sim.now = sim.events[0].at
			sim.events = sim.events[1:]
			if sim.now < s.passEnd {
				s.endPass(s.boot)
			}
		}
		c.Check(sim.now, qt.Equals, want)
	}
}

// Servers of a scope are chosen wrongly, or each occurrence affects the same ones.
func TestServersOfAScope(t *testing.T) {
	e, _ := silentServers(FaultSilent, ScopeOne, time.Second)
	sim := &simulation{Experiment: e, byID: map[string]*engine{}, policy: &Policy{}, load: 1}
	sim.createHosts(1)
	ids := func(scope Scope, n int) (ids []string) {
		for _, s := range sim.affected(scope, n) {
			ids = append(ids, s.id)
		}
		return ids
	}
	c := qt.New(t)
	c.Check(ids(ScopeOne, 0), qt.DeepEquals, []string{"a-server-0"})
	c.Check(ids(ScopeOne, 1), qt.DeepEquals, []string{"b-server-1"})
	c.Check(ids(ScopeThird, 0), qt.DeepEquals, []string{"a-server-0", "a-server-3", "b-server-2", "c-server-1"})
	c.Check(ids(ScopeRegion, 2), qt.DeepEquals, []string{"c-server-0", "c-server-1", "c-server-2"})
	c.Check(len(ids(ScopeAll, 1)), qt.Equals, 11)
}

// Invalid scenarios, loads and policies must be rejected with an error that names the field.
func TestParseRejectsInvalidScenarios(t *testing.T) {
	data, err := os.ReadFile("../../../docs/measurements/experiments/silence.yaml")
	qt.Assert(t, err, qt.IsNil)
	tests := []struct{ name, old, replacement, want string }{
		{"unknown fault", "Fault: Dark", "Fault: Gone", `check experiment: Scenarios: Fault "Gone": expected .*`},
		{"unknown scope", "Scopes: [One, Third", "Scopes: [Two, Third", `check experiment: Scenarios: Scopes: "Two": expected .*`},
		{"no start", "At: [5s]", "At: []", `check experiment: Scenarios: Dark: expected .*`},
		{"slow by no factor", ", Factor: 8", "", `check experiment: Scenarios: Slow: Factor 0: expected .*`},
		{"no load", "Loads: [0.6", "Loads: [0", `check experiment: Loads: 0: expected .*`},
		{"unknown policy", "Silence: Failover", "Silence: Wait", `check experiment: Policies: failover.*: Silence "Wait": expected .*`},
		{"scenarios without retries", ", MaxServers: 2", "", `check experiment: Scenarios: expected kinds with MaxServers`},
		{"no gap", ", MaxEventGap: 200ms", "", `check experiment: Kinds: lookup: expected MaxEventGap .*`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse(bytes.ReplaceAll(data, []byte(test.old), []byte(test.replacement)))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}
