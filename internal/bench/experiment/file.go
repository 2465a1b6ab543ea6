// Package experiment plays an installation in virtual time: the decisions of real entries against
// modelled engines and callers. It compares policies on the same requests within seconds, without
// sockets, goroutines or a clock, and is the same for the same file and seed.
package experiment

import (
	"bytes"
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
)

// Experiment is what is played, as its YAML file declares it.
type Experiment struct {
	// Length is how long requests come.
	Length  time.Duration `yaml:"Length"`
	Seeds   []uint64      `yaml:"Seeds"`
	Regions []Region      `yaml:"Regions"`
	Engine  Engine        `yaml:"Engine"`
	Kinds   []Kind        `yaml:"Kinds"`
	Bursts  []Burst       `yaml:"Bursts"`
	Outages []Outage      `yaml:"Outages"`
	// Policies are compared; each is played with each seed.
	Policies []Policy `yaml:"Policies"`
}

// Region is a region with its hosts.
type Region struct {
	Name    string `yaml:"Name"`
	Entries int    `yaml:"Entries"`
	Servers int    `yaml:"Servers"`
}

// Engine describes each model server.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int `yaml:"Slots"`
	// Step is the time that one token of each running request takes, and Stride how many steps
	// lie between two events.
	Step   time.Duration `yaml:"Step"`
	Stride int           `yaml:"Stride"`
	// PromptsPerSecond is how many tokens of prompts are read in a second.
	PromptsPerSecond int `yaml:"PromptsPerSecond"`
	// Load is how long it takes to load weights.
	Load time.Duration `yaml:"Load"`
}

// Kind is a kind of request.
type Kind struct {
	Name      string  `yaml:"Name"`
	PerSecond float64 `yaml:"PerSecond"`
	// Prompt and Answer are mean sizes in tokens.
	Prompt int `yaml:"Prompt"`
	Answer int `yaml:"Answer"`
	// Goal is the time to the first token from which an answer is late, and Limit when the
	// caller leaves.
	Goal  time.Duration `yaml:"Goal"`
	Limit time.Duration `yaml:"Limit"`
	// Retries is how often a caller comes back.
	Retries int `yaml:"Retries"`
}

// Burst is a time in which more is asked.
type Burst struct {
	At     time.Duration `yaml:"At"`
	For    time.Duration `yaml:"For"`
	Factor float64       `yaml:"Factor"`
	// Kind is the kind that is asked for more; empty for all.
	Kind string `yaml:"Kind"`
}

// Outage is a time from whose begin all servers are down; after it they load their weights.
type Outage struct {
	At  time.Duration `yaml:"At"`
	For time.Duration `yaml:"For"`
}

// Policy is what differs between the plays that are compared. What is absent is as in production.
type Policy struct {
	Name string `yaml:"Name"`
	// Waiting, Reading and LateShare take the place of the gate's bounds.
	Waiting   *int           `yaml:"Waiting"`
	Reading   *time.Duration `yaml:"Reading"`
	LateShare *float64       `yaml:"LateShare"`
	// ReturnLeast is the least time after which refused callers come back, and ReturnSpread what
	// is added to it at random.
	ReturnLeast  time.Duration `yaml:"ReturnLeast"`
	ReturnSpread time.Duration `yaml:"ReturnSpread"`
}

func (p *Policy) admissionGate() admission.EntryGate {
	gate := admission.DefaultEntryGate()
	if p.Waiting != nil {
		gate.Waiting = *p.Waiting
	}
	if p.Reading != nil {
		gate.Reading = *p.Reading
	}
	if p.LateShare != nil {
		gate.LateShare = *p.LateShare
	}
	return gate
}

// Parse reads an experiment. An error names the field that is wrong.
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

// Bounds of an experiment: what a developer waits for.
const (
	maxLength   = 10 * time.Minute
	maxRequests = 5_000_000
)

// FieldError is a field of an experiment that cannot be.
type FieldError struct {
	Field string
	// Problem is what it is, and what is expected.
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

func (e *Experiment) validate() error {
	entries, servers, requests := 0, 0, 0.0
	for _, r := range e.Regions {
		entries, servers = entries+r.Entries, servers+r.Servers
		if r.Entries < 0 || r.Servers < 0 || r.Name == "" {
			return fieldError("Regions", "%+v: expected a name and numbers of 0 or more", r)
		}
	}
	for _, k := range e.Kinds {
		if k.PerSecond <= 0 || k.Prompt <= 0 || k.Answer <= 0 || k.Goal <= 0 || k.Limit <= 0 || k.Retries < 0 {
			return fieldError("Kinds", "%s: expected figures above 0, and Retries of 0 or more", k.Name)
		}
		requests += k.PerSecond * e.Length.Seconds()
	}
	for _, b := range e.Bursts {
		if b.At < 0 || b.For <= 0 || b.Factor <= 0 {
			return fieldError("Bursts", "%+v: expected For and Factor above 0", b)
		}
		requests *= max(b.Factor, 1)
	}
	for _, o := range e.Outages {
		if o.At < 0 || o.For <= 0 {
			return fieldError("Outages", "%+v: expected For above 0", o)
		}
	}
	switch {
	case e.Length <= 0 || e.Length > maxLength:
		return fieldError("Length", "%v: expected a time up to %v", e.Length, maxLength)
	case len(e.Seeds) == 0:
		return fieldError("Seeds", "expected one or more")
	case entries == 0 || servers == 0:
		return fieldError("Regions", "expected an entry and a server or more")
	case len(e.Kinds) == 0:
		return fieldError("Kinds", "expected one or more")
	case len(e.Policies) == 0:
		return fieldError("Policies", "expected one or more")
	case e.Engine.Slots <= 0 || e.Engine.Step <= 0 || e.Engine.Stride <= 0 || e.Engine.PromptsPerSecond <= 0:
		return fieldError("Engine", "%+v: expected figures above 0", e.Engine)
	case requests > maxRequests:
		return fieldError("Kinds", "%.0f requests: expected %d or less", requests, maxRequests)
	}
	return nil
}
