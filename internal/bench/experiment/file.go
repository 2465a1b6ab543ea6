// Package experiment simulates an installation in virtual time. The decision code of real entries
// runs against models of engines and callers. An experiment compares policies on the same requests
// within seconds, without sockets, goroutines or a clock, and is deterministic for a file and seed.
package experiment

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
)

// Experiment is the declaration of an experiment in a YAML file.
type Experiment struct {
	// Length is the time during which requests arrive.
	Length  time.Duration `yaml:"Length"`
	Seeds   []uint64      `yaml:"Seeds"`
	Regions []Region      `yaml:"Regions"`
	Engine  Engine        `yaml:"Engine"`
	Kinds   []Kind        `yaml:"Kinds"`
	Bursts  []Burst       `yaml:"Bursts"`
	Outages []Outage      `yaml:"Outages"`
	Limits  []Limit       `yaml:"Limits"`
	// Scenarios are disturbances. Each runs with each policy, load and seed.
	Scenarios []Scenario `yaml:"Scenarios"`
	// Loads are factors of the arrival rates; empty means 1.
	Loads []float64 `yaml:"Loads"`
	// Policies are the policies to compare. Each one runs with each seed.
	Policies []Policy `yaml:"Policies"`
}

// Region holds the numbers of hosts in a region.
type Region struct {
	Name    string `yaml:"Name"`
	Entries int    `yaml:"Entries"`
	Servers int    `yaml:"Servers"`
}

// Engine describes each model server.
type Engine struct {
	// Slots is the maximum number of concurrent requests.
	Slots int `yaml:"Slots"`
	// Step is the time to generate one token for each running request, and Stride the number of
	// steps between two events.
	Step   time.Duration `yaml:"Step"`
	Stride int           `yaml:"Stride"`
	// PromptsPerSecond is the number of prompt tokens that are processed per second.
	PromptsPerSecond int `yaml:"PromptsPerSecond"`
	// Load is the time to load weights.
	Load time.Duration `yaml:"Load"`
}

// Kind declares requests of one kind.
type Kind struct {
	Name string `yaml:"Name"`
	// PerSecond is the mean arrival rate.
	PerSecond float64 `yaml:"PerSecond"`
	// Prompt and Answer are mean sizes in tokens.
	Prompt int `yaml:"Prompt"`
	Answer int `yaml:"Answer"`
	// Goal is the time to the first token after which an answer counts as late, and Limit the
	// time after which the caller disconnects.
	Goal  time.Duration `yaml:"Goal"`
	Limit time.Duration `yaml:"Limit"`
	// Retries is the number of retries of a caller.
	Retries int `yaml:"Retries"`
	// MaxServers is the number of servers that an entry sends a request to, one after the other or
	// hedged. 0 means one server, without the model of what callers receive afterwards. It is 0 for all
	// kinds or for none.
	MaxServers int `yaml:"MaxServers"`
	// MaxEventGap is the time between two events after which an answer counts as interrupted.
	MaxEventGap time.Duration `yaml:"MaxEventGap"`
}

// Burst is an interval in which the arrival rate is multiplied by Factor.
type Burst struct {
	At     time.Duration `yaml:"At"`
	For    time.Duration `yaml:"For"`
	Factor float64       `yaml:"Factor"`
	// Kind is the kind of request whose rate changes. Empty means all kinds.
	Kind string `yaml:"Kind"`
}

// Outage is an interval in which all servers are down. Afterwards they load their weights.
type Outage struct {
	At  time.Duration `yaml:"At"`
	For time.Duration `yaml:"For"`
}

// Limit is an interval in which the first Servers servers of each region limit the requests a second
// that they take from all entries together.
type Limit struct {
	At        time.Duration `yaml:"At"`
	For       time.Duration `yaml:"For"`
	Servers   int           `yaml:"Servers"`
	PerSecond float64       `yaml:"PerSecond"`
}

// Policy overrides parameters of the entries and callers. Absent fields have the production values.
type Policy struct {
	Name string `yaml:"Name"`
	// Waiting, Reading and LateShare override the limits of the admission gate.
	Waiting   *int           `yaml:"Waiting"`
	Reading   *time.Duration `yaml:"Reading"`
	LateShare *float64       `yaml:"LateShare"`
	// ReturnLeast is the minimum retry delay of refused callers, and ReturnSpread the maximum of the
	// random delay that is added to it.
	ReturnLeast  time.Duration `yaml:"ReturnLeast"`
	ReturnSpread time.Duration `yaml:"ReturnSpread"`
	// IgnoreLimits makes entries ignore the rate limits of servers.
	IgnoreLimits bool `yaml:"IgnoreLimits"`
	// Silence is what entries do about an attempt whose server is silent.
	Silence Silence `yaml:"Silence"`
	// Stall, Head and Gap are the times of silence after which they do it: before the answer has begun
	// at a stalled server and at any other, and after it has begun.
	Stall time.Duration `yaml:"Stall"`
	Head  time.Duration `yaml:"Head"`
	Gap   time.Duration `yaml:"Gap"`
	// StalledAfter is the time without progress after which a server counts as stalled.
	StalledAfter time.Duration `yaml:"StalledAfter"`
	// Suspect counts a server as failed if an attempt there is cancelled because of its silence.
	Suspect bool `yaml:"Suspect"`
	// QueueAfter is the time of silence after which the second attempt for an answer that has begun may
	// wait in a server's queue. Until then, and for other answers, it requires a free slot.
	QueueAfter time.Duration `yaml:"QueueAfter"`
}

// Silence is what entries do about an attempt whose server is silent.
type Silence string

// The ways to treat silence.
const (
	// SilenceIgnore never ends an attempt.
	SilenceIgnore Silence = ""
	// SilenceCancel cancels the attempt and then looks for another server. Before the answer has begun,
	// it first checks that there is one.
	SilenceCancel Silence = "Cancel"
	// SilenceFailover cancels the attempt once another server, a free slot there and a retry of the
	// budget are reserved.
	SilenceFailover Silence = "Failover"
	// SilenceHedge starts a second attempt once those are reserved, and keeps the first one until
	// either goes on.
	SilenceHedge Silence = "Hedge"
)

// admissionGate returns the admission gate with the overrides of the policy.
func (p *Policy) admissionGate() admission.EntryGate {
	gate := admission.DefaultEntryGate()
	if p.Waiting != nil {
		gate.MaxQueuePosition = *p.Waiting
	}
	if p.Reading != nil {
		gate.MaxPrefillWait = *p.Reading
	}
	if p.LateShare != nil {
		gate.MaxRemainingShare = *p.LateShare
	}
	return gate
}

// Parse decodes and validates an experiment. Errors contain the name of the invalid field.
func Parse(data []byte) (*Experiment, error) {
	var e Experiment
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&e); err != nil {
		return nil, fmt.Errorf("parse experiment: %w", err)
	}
	if err := e.validate(); err != nil {
		return nil, fmt.Errorf("check experiment: %w", err)
	}
	return &e, nil
}

// Limits of an experiment, so that it ends while a developer waits for it.
const (
	maxLength   = 10 * time.Minute
	maxRequests = 5_000_000
	maxLoad     = 10
)

// FieldError reports an invalid field of an experiment.
type FieldError struct {
	Field string
	// Problem contains the value and the expected values.
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldError returns a FieldError with a formatted problem.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate returns an error for the first invalid field.
func (e *Experiment) validate() error {
	entries, servers, requests := 0, 0, 0.0
	for _, r := range e.Regions {
		entries, servers = entries+r.Entries, servers+r.Servers
		if r.Entries < 0 || r.Servers < 0 || r.Name == "" {
			return fieldError("Regions", "%+v: expected a name and numbers of 0 or more", r)
		}
	}
	for i := range e.Scenarios {
		if err := e.Scenarios[i].validate(); err != nil {
			return err
		}
	}
	for _, load := range e.Loads {
		if load <= 0 || load > maxLoad {
			return fieldError("Loads", "%v: expected values above 0, up to %v", load, maxLoad)
		}
	}
	for i := range e.Policies {
		if p := &e.Policies[i]; !slices.Contains([]Silence{SilenceIgnore, SilenceCancel, SilenceFailover, SilenceHedge}, p.Silence) {
			return fieldError("Policies", "%s: Silence %q: expected Cancel, Failover, Hedge or nothing", p.Name, p.Silence)
		}
	}
	for _, k := range e.Kinds {
		if k.MaxServers < 0 || k.MaxServers > 0 && k.MaxEventGap <= 0 || (k.MaxServers > 0) != (e.Kinds[0].MaxServers > 0) {
			return fieldError("Kinds", "%s: expected MaxEventGap with MaxServers, and MaxServers for all kinds or none", k.Name)
		}
		if k.PerSecond <= 0 || k.Prompt <= 0 || k.Answer <= 0 || k.Goal <= 0 || k.Limit <= 0 || k.Retries < 0 {
			return fieldError("Kinds", "%s: expected values above 0, and Retries of 0 or more", k.Name)
		}
		requests += k.PerSecond * e.Length.Seconds()
	}
	for _, b := range e.Bursts {
		if b.At < 0 || b.For <= 0 || b.Factor <= 0 {
			return fieldError("Bursts", "%+v: expected For and Factor above 0", b)
		}
		requests *= max(b.Factor, 1)
	}
	if len(e.Loads) > 0 {
		requests *= slices.Max(e.Loads)
	}
	for _, o := range e.Outages {
		if o.At < 0 || o.For <= 0 {
			return fieldError("Outages", "%+v: expected For above 0", o)
		}
	}
	for _, l := range e.Limits {
		if l.At < 0 || l.For <= 0 || l.Servers < 0 || l.PerSecond < 0 {
			return fieldError("Limits", "%+v: expected For above 0 and no negative values", l)
		}
	}
	switch {
	case e.Length <= 0 || e.Length > maxLength:
		return fieldError("Length", "%v: expected a duration up to %v", e.Length, maxLength)
	case len(e.Seeds) == 0:
		return fieldError("Seeds", "expected one or more")
	case entries == 0 || servers == 0:
		return fieldError("Regions", "expected an entry and a server or more")
	case len(e.Kinds) == 0:
		return fieldError("Kinds", "expected one or more")
	case len(e.Scenarios) > 0 && e.Kinds[0].MaxServers == 0:
		return fieldError("Scenarios", "expected kinds with MaxServers")
	case len(e.Policies) == 0:
		return fieldError("Policies", "expected one or more")
	case e.Engine.Slots <= 0 || e.Engine.Step <= 0 || e.Engine.Stride <= 0 || e.Engine.PromptsPerSecond <= 0:
		return fieldError("Engine", "%+v: expected values above 0", e.Engine)
	case requests > maxRequests:
		return fieldError("Kinds", "%.0f requests: expected %d or less", requests, maxRequests)
	}
	return nil
}
