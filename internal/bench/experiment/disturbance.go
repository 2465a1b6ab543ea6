package experiment

import (
	"fmt"
	"slices"
	"time"
)

// Fault is what disturbed servers do.
type Fault string

// The faults.
const (
	// FaultSilent: processes pause and then go on where they were.
	FaultSilent Fault = "Silent"
	// FaultLink: nothing passes between servers and others, while the servers work on. It arrives late.
	FaultLink Fault = "Link"
	// FaultDark: processes send nothing until the end of the run, and their connections stay open.
	FaultDark Fault = "Dark"
	// FaultDead: processes end, which breaks their connections. They start again afterwards.
	FaultDead Fault = "Dead"
	// FaultSlow: passes take longer by a factor.
	FaultSlow Fault = "Slow"
)

// Scope is which servers a disturbance affects.
type Scope string

// The scopes.
const (
	ScopeOne    Scope = "One"
	ScopeThird  Scope = "Third"
	ScopeRegion Scope = "Region"
	ScopeAll    Scope = "All"
)

// Scenario declares disturbances of one kind. Each combination of a scope and a duration is a
// disturbance that is simulated separately.
type Scenario struct {
	Fault  Fault   `yaml:"Fault"`
	Scopes []Scope `yaml:"Scopes"`
	// At are the times at which the disturbance starts. Each time it affects the next servers of the
	// scope.
	At  []time.Duration `yaml:"At"`
	For []time.Duration `yaml:"For"`
	// Factor is the factor by which passes take longer if Fault is FaultSlow.
	Factor float64 `yaml:"Factor"`
}

// validate returns an error for the first invalid field.
func (s *Scenario) validate() error {
	if !slices.Contains([]Fault{FaultSilent, FaultLink, FaultDark, FaultDead, FaultSlow}, s.Fault) {
		return fieldError("Scenarios", "Fault %q: expected Silent, Link, Dark, Dead or Slow", s.Fault)
	}
	for _, scope := range s.Scopes {
		if !slices.Contains([]Scope{ScopeOne, ScopeThird, ScopeRegion, ScopeAll}, scope) {
			return fieldError("Scenarios", "Scopes: %q: expected One, Third, Region or All", scope)
		}
	}
	if len(s.Scopes) == 0 || len(s.At) == 0 || len(s.For) == 0 || slices.Min(s.At) < 0 || slices.Min(s.For) <= 0 {
		return fieldError("Scenarios", "%s: expected Scopes, At of 0 or more, and For above 0", s.Fault)
	}
	if (s.Fault == FaultSlow) != (s.Factor > 1) {
		return fieldError("Scenarios", "%s: Factor %v: expected a value above 1 for Slow only", s.Fault, s.Factor)
	}
	return nil
}

// disturbance is one combination of a scenario.
type disturbance struct {
	*Scenario
	scope    Scope
	duration time.Duration
}

// String returns the fault, the scope and the duration.
func (d *disturbance) String() string {
	if d == nil {
		return "None"
	}
	return fmt.Sprintf("%s %s %v", d.Fault, d.scope, d.duration)
}

// disturbances returns all combinations of the scenarios, preceded by none.
func (e *Experiment) disturbances() []*disturbance {
	all := []*disturbance{nil}
	for i := range e.Scenarios {
		s := &e.Scenarios[i]
		for _, scope := range s.Scopes {
			for _, duration := range s.For {
				all = append(all, &disturbance{s, scope, duration})
			}
		}
	}
	return all
}

// scheduleDisturbance schedules all occurrences of the disturbance.
func (sim *simulation) scheduleDisturbance() {
	d := sim.disturbance
	if d == nil {
		return
	}
	for n, at := range d.At {
		for _, s := range sim.affected(d.scope, n) {
			sim.after(warmUpDuration+at, func() { s.disturb(d) })
		}
	}
}

// affected returns the servers of the n-th occurrence of a scope.
func (sim *simulation) affected(scope Scope, n int) []*engine {
	var servers []*engine
	for i, s := range sim.engines {
		switch scope {
		case ScopeOne:
			// The step spreads the occurrences over the regions.
			if i == 5*n%len(sim.engines) {
				servers = append(servers, s)
			}
		case ScopeThird:
			if i%3 == n%3 {
				servers = append(servers, s)
			}
		case ScopeRegion:
			if s.region == sim.Regions[n%len(sim.Regions)].Name {
				servers = append(servers, s)
			}
		case ScopeAll:
			servers = append(servers, s)
		}
	}
	return servers
}

// disturb starts a disturbance of a server, and schedules its end.
func (s *engine) disturb(d *disturbance) {
	sim := s.simulation
	switch d.Fault {
	case FaultSilent:
		s.pause(d.duration)
	case FaultLink:
		s.linkedAt = sim.now + d.duration
	case FaultDark:
		s.pause(sim.end() - sim.now)
	case FaultDead:
		s.stop()
		sim.after(d.duration, s.start)
	case FaultSlow:
		s.slowdown = d.Factor
		sim.after(d.duration, func() { s.slowdown = 1 })
	}
}

// pause makes the server do and send nothing for some time.
func (s *engine) pause(d time.Duration) {
	s.pausedUntil = max(s.pausedUntil, s.simulation.now+d)
	s.passEnd += d
}
