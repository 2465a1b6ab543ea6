// Package catalog holds the desired state in force and answers what it allows:
// which route a request takes, which organisation holds a key and which service
// may run the request. A State is never changed once built.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds.
const (
	// KindOnce may run at most once.
	KindOnce Kind = iota
	// KindRepeatable may run more than once.
	KindRepeatable
	// KindStream is answered by a series of events. It may run once, unless its
	// route lets it be resumed.
	KindStream
)

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests of a host and path go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept; 0 means no bound.
	Timeout time.Duration
	// Goal is the time to the first byte of an answer that earns full credit.
	Goal time.Duration
	// Pause is the longest gap between events that callers accept; 0 if unknown.
	Pause time.Duration
	// Priority is the rank, 0 the most urgent.
	Priority int
	// Attempts is how many servers one request may be sent to, at least 1.
	Attempts int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may go on at another server after a break.
	Resumable bool
	// Shares has at least one service.
	Shares []Share
}

// Repeatable reports whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests a server runs in one batch.
	Slots int
	// Step is the time that one token of a full batch takes.
	Step time.Duration
	// Stride is how many steps a server runs between two events.
	Stride int
	// PromptToken is the time to read one token of a prompt.
	PromptToken time.Duration
	// Chunk is how many tokens of prompts are read within one step at most; 0 if that
	// is not known.
	Chunk int
	// MillionPairs is what a million pairs of a prompt's token and an earlier one add to
	// the reading.
	MillionPairs time.Duration
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	UsualPrompt int
	UsualAnswer int
	// ReportLag is the age of a load report when it is read.
	ReportLag time.Duration
	// Models are the models that the service's servers may hold.
	Models []string
	// Layers, LayerMB and MemoryMB bound what one server may hold.
	Layers   int
	LayerMB  float64
	MemoryMB float64
}

// longPromptFactor is how many times longer than usual the longest prompts are: four times on
// the installations that were met.
const longPromptFactor = 4

// LongestPass returns how long an engine works at most before it looks at what it got
// meanwhile: each step of a pass reads as many tokens of prompts as it may. Where that is
// not known, it reads the prompts of a whole batch.
func (e *Engine) LongestPass() time.Duration {
	steps := time.Duration(e.Stride) * e.Step
	if e.Chunk == 0 {
		return steps + time.Duration(e.Slots*e.UsualPrompt)*e.PromptToken
	}
	pairs := float64(e.Chunk) * float64(longPromptFactor*e.UsualPrompt) / 1e6
	reading := time.Duration(e.Chunk)*e.PromptToken + time.Duration(pairs*float64(e.MillionPairs))
	return steps + time.Duration(e.Stride)*reading
}

// Service is a group of servers that answer alike.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
	// Channels bounds the channels of one server from all callers together.
	Channels int
	// Origin is the address of the origin of weights, if the service is one.
	Origin     string
	OriginSite string
	// OriginRate is the rate of the origin's link in bytes a second; 0 if unknown.
	OriginRate float64
}

// Limits bounds what a caller may send. Zero means no limit.
type Limits struct {
	// Header and Body are in bytes.
	Header int
	Body   int64
	// HeaderTime is how long a head may take to arrive, and IdleTime how long a
	// channel may be unused.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Organisation is a holder of keys.
type Organisation struct {
	ID filbertlever.OrganisationID
	// Priority goes before the route's, unless it is negative.
	Priority int
	Keys     []string
}

// State is one version of the desired state.
type State struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Keyed is true if requests need keys.
	Keyed bool

	routes map[string][]Route
	keys   map[string]Organisation
	// maxPassByModel are the longest passes by model.
	maxPassByModel map[string]time.Duration
}

// New builds a state. Routes of one host are kept by falling length of prefix,
// so that the first match is the longest.
func New(version uint64, routes []Route, services []Service, organisations []Organisation, limits Limits) *State {
	s := &State{
		Version:        version,
		Services:       make(map[string]Service, len(services)),
		Limits:         limits,
		Keyed:          len(organisations) > 0,
		routes:         map[string][]Route{},
		keys:           map[string]Organisation{},
		maxPassByModel: map[string]time.Duration{},
	}
	for _, route := range routes {
		s.routes[route.Host] = append(s.routes[route.Host], route)
	}
	for _, list := range s.routes {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, service := range services {
		s.Services[service.Name] = service
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			s.maxPassByModel[model] = max(s.maxPassByModel[model], service.Engine.LongestPass())
		}
	}
	for _, organisation := range organisations {
		for _, key := range organisation.Keys {
			s.keys[key] = organisation
		}
	}
	return s
}

// Route returns the route with the longest prefix that begins the path.
func (s *State) Route(host, path string) (*Route, bool) {
	routes := s.routes[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Organisation returns the holder of a key.
func (s *State) Organisation(key string) (Organisation, bool) {
	organisation, ok := s.keys[key]
	return organisation, ok
}

// Service picks the service for a request by its id, in proportion to the
// route's weights, so that a repeated look gives the same answer.
func (r *Route) Service(id string) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, share := range r.Shares {
		at -= share.Weight
		if at < 0 {
			return share.Service
		}
	}
	return r.Shares[0].Service
}

// LongestPass returns the longest pass of any engine that may hold a model; that of any
// engine if none is said to.
func (s *State) LongestPass(model string) time.Duration {
	if pass, ok := s.maxPassByModel[model]; ok {
		return pass
	}
	longest := time.Duration(0)
	for _, pass := range s.maxPassByModel {
		longest = max(longest, pass)
	}
	return longest
}

// Origin returns the service that is the origin of weights.
func (s *State) Origin() (Service, bool) {
	for _, service := range s.Services {
		if service.Origin != "" {
			return service, true
		}
	}
	return Service{}, false
}

// Model is a model that a backend server holds.
type Model struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Boot is when a process started, by its own clock, in milliseconds of Unix time; 0
// if it is not known. Two starts of a server under one ID differ in it.
type Boot int64

// Backend is a backend server as the platform's list tells of it.
type Backend struct {
	// ID names the server; one that starts again may keep it.
	ID string
	// Boot tells one start of the server from another.
	Boot Boot
	// Revision grows with each change of any server's row; 0 if it is not known.
	Revision uint64
	Service  string
	Address  string
	Site     string
	Slots    int
	Leaving  bool
	Models   []Model
}

// NamedVersion is a version of a model's weights that operators want served.
type NamedVersion struct {
	Model   string
	Version uint64
}
