// Package catalog holds the active version of the desired state and looks up the
// route of a request, the organisation of a key and the service that runs the
// request. A State is immutable.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertlever/filbertlever"
)

// Kind determines whether a request may be repeated.
type Kind int

// The kinds.
const (
	// KindNonIdempotent requests may run at most once.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by a series of events. They may run at most
	// once, unless the route is resumable.
	KindStream
)

// Share is a service with its share of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout limits the total time of a request. 0 means no limit.
	Timeout time.Duration
	// FirstByteGoal is the latency objective for the first byte of an answer.
	FirstByteGoal time.Duration
	// MaxEventGap is the longest gap between events that callers accept. 0 means
	// unknown.
	MaxEventGap time.Duration
	// Priority is the priority of the requests. 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of servers to which one request may be sent, at
	// least 1.
	MaxAttempts int
	// Anonymous is true if requests need no key.
	Anonymous bool
	// Resumable is true if an interrupted stream may continue at another server.
	Resumable bool
	// Regions are the regions whose servers may run the requests.
	Regions filbertlever.Regions
	// Shares holds at least one service.
	Shares []Share
}

// Retryable reports whether a request of the route may run again.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that a server runs in one batch.
	Slots int
	// StepTime is the duration of one decoding step of a full batch, which generates
	// one token per request.
	StepTime time.Duration
	// EmptyStepTime is the part of StepTime that does not depend on the size of the
	// batch. 0 means unknown.
	EmptyStepTime time.Duration
	// StepsPerEvent is the number of steps that a server runs between two events.
	StepsPerEvent int
	// PromptTokenTime is the prefill time of one prompt token.
	PromptTokenTime time.Duration
	// PrefillChunk is the maximum number of prompt tokens that are prefilled within
	// one step. 0 means unknown.
	PrefillChunk int
	// AttentionTime is the additional prefill time per million pairs of a prompt
	// token and an earlier token.
	AttentionTime time.Duration
	// MeanPromptTokens and MeanAnswerTokens are the mean sizes of prompts and answers.
	MeanPromptTokens int
	MeanAnswerTokens int
	// ReportLag is the age of a load report when it is read.
	ReportLag time.Duration
	// Models are the models that the service's servers may hold.
	Models []string
	// Layers, LayerMB and MemoryMB limit what one server may hold.
	Layers   int
	LayerMB  float64
	MemoryMB float64
	// Pieces is the number of pieces of each version of a model, and PieceBytes their size; 0 if
	// unknown.
	Pieces     int
	PieceBytes int
}

// longPromptFactor is the ratio of the longest prompts to the mean prompt. It was
// four on the installations observed so far.
const longPromptFactor = 4

// MaxPassTime returns the longest time for which an engine runs before it checks for
// new requests. It assumes that each step of such a pass prefills a whole chunk of
// prompt tokens. If the size of the chunk is unknown, it assumes that the pass
// prefills the prompts of a whole batch.
func (e *Engine) MaxPassTime() time.Duration {
	steps := time.Duration(e.StepsPerEvent) * e.StepTime
	if e.PrefillChunk == 0 {
		return steps + time.Duration(e.Slots*e.MeanPromptTokens)*e.PromptTokenTime
	}
	pairs := float64(e.PrefillChunk) * float64(longPromptFactor*e.MeanPromptTokens) / 1e6
	prefill := time.Duration(e.PrefillChunk)*e.PromptTokenTime + time.Duration(pairs*float64(e.AttentionTime))
	return steps + time.Duration(e.StepsPerEvent)*prefill
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// Engine is nil if the servers are not model servers.
	Engine *Engine
	// MaxConnections limits the connections to one server from all callers together.
	MaxConnections int
	// HealthPath is the path at which a server names itself; empty if there is none.
	HealthPath string
	// ColdStart is how long a server is cold after its start, and ColdRate how many requests a
	// second it can take meanwhile, from all entries together. 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Origin is the address of the origin of weights, if the service is one.
	Origin     string
	OriginSite string
	// OriginRate is the rate of the origin's link in bytes per second. 0 means unknown.
	OriginRate float64
}

// Limits limits what a caller may send. Zero means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout limits the time until the header of a request has arrived, and
	// IdleTimeout the time for which a connection may be idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is an organisation with its keys.
type Organisation struct {
	ID filbertlever.OrganisationID
	// Priority overrides the priority of the route, unless it is negative.
	Priority int
	Keys     []string
	// Regions are the regions whose servers may run the organisation's requests.
	Regions filbertlever.Regions
}

// Callers determines whose requests are accepted.
type Callers struct {
	// RequireKeys is true if requests need a key. It does not depend on whether any organisation holds
	// one: without any, no request with a route that needs a key is accepted. If it is false, requests without
	// a key are accepted.
	RequireKeys bool
	// Organisations are the organisations with their keys.
	Organisations []Organisation
}

// State is one version of the desired state.
type State struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// RequireKeys is Callers.RequireKeys.
	RequireKeys bool

	routes map[string][]Route
	// regions holds the regions that all routes of a host allow.
	regions map[string]filbertlever.Regions
	keys    map[string]Organisation
	// maxPassByModel holds the longest pass of any engine that may hold a model.
	maxPassByModel map[string]time.Duration
	// levels holds the sorted pairs of priorities of each service with urgency levels.
	levels map[string][]priorities
	// removedAt holds the services that only an earlier state had, and when they were removed.
	removedAt map[string]time.Duration
}

// New builds a state. The routes of one host are sorted by descending length of
// prefix, so that the first match is the longest.
func New(version uint64, routes []Route, services []Service, callers Callers, limits Limits) *State {
	s := &State{
		Version:        version,
		Services:       make(map[string]Service, len(services)),
		Limits:         limits,
		RequireKeys:    callers.RequireKeys,
		routes:         map[string][]Route{},
		regions:        map[string]filbertlever.Regions{},
		keys:           map[string]Organisation{},
		maxPassByModel: map[string]time.Duration{},
	}
	for _, route := range routes {
		s.routes[route.Host] = append(s.routes[route.Host], route)
		s.regions[route.Host] = s.regions[route.Host].Intersect(route.Regions)
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
			s.maxPassByModel[model] = max(s.maxPassByModel[model], service.Engine.MaxPassTime())
		}
	}
	s.levels = computeLevels(routes, s.Services, callers)
	for _, organisation := range callers.Organisations {
		for _, key := range organisation.Keys {
			s.keys[key] = organisation
		}
	}
	return s
}

// RetainServices keeps the services of the previous state that this one lacks until they have been removed
// for longer than keep, because requests that were read before may still be running or be resumed. The
// origin of weights is not kept.
func (s *State) RetainServices(previous *State, now, keep time.Duration) {
	s.removedAt = map[string]time.Duration{}
	if previous == nil {
		return
	}
	for name, service := range previous.Services {
		at, retained := previous.removedAt[name]
		if !retained {
			at = now
		}
		if _, ok := s.Services[name]; ok || service.Origin != "" || now-at > keep {
			continue
		}
		s.Services[name], s.removedAt[name] = service, at
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			s.maxPassByModel[model] = max(s.maxPassByModel[model], service.Engine.MaxPassTime())
		}
	}
}

// Route returns the route of a host whose prefix is the longest match for path.
func (s *State) Route(host, path string) (*Route, bool) {
	routes := s.routes[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Regions returns the regions that all routes of a host allow.
func (s *State) Regions(host string) filbertlever.Regions { return s.regions[host] }

// KeyCount returns the number of keys that organisations hold.
func (s *State) KeyCount() int { return len(s.keys) }

// ChecksKey reports whether a request runs only if an organisation holds its key. Where requests need no key, one
// that carries a key nevertheless is checked: the key may have been removed together with the last organisation.
func (s *State) ChecksKey(route *Route, key string) bool {
	return !route.Anonymous && (s.RequireKeys || key != "")
}

// Organisation returns the organisation that holds a key. Nobody holds the empty key, which stands for
// requests without one.
func (s *State) Organisation(key string) (Organisation, bool) {
	organisation, ok := s.keys[key]
	return organisation, ok && key != ""
}

// PickService picks the service for a request in proportion to the route's
// weights. It hashes the request's id, so the same id always gets the same service.
func (r *Route) PickService(id string) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	remaining := int(xxhash.Sum64String(id) % uint64(total))
	for _, share := range r.Shares {
		remaining -= share.Weight
		if remaining < 0 {
			return share.Service
		}
	}
	return r.Shares[0].Service
}

// MaxPassTime returns the longest pass of any engine that may hold a model. If no
// engine lists the model, it returns the longest pass of all engines.
func (s *State) MaxPassTime(model string) time.Duration {
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

// Pieces returns the number of pieces of each version of a model and their size in bytes; 0 if
// unknown.
func (s *State) Pieces(model string) (count, size int) {
	for _, service := range s.Services {
		if service.Engine != nil && slices.Contains(service.Engine.Models, model) {
			return service.Engine.Pieces, service.Engine.PieceBytes
		}
	}
	return 0, 0
}

// Model is a model that a backend server holds.
type Model struct {
	Name    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Boot is the start time of a process by its own clock, in milliseconds of Unix
// time. 0 means unknown. It distinguishes two starts of a server with the same ID.
type Boot int64

// Backend is a backend server as listed by the platform.
type Backend struct {
	// ID identifies the server. A restarted server may keep it.
	ID string
	// Boot distinguishes one start of the server from another.
	Boot Boot
	// Revision increases with each change of any server's row. 0 means unknown.
	Revision uint64
	Service  string
	Address  string
	Site     string
	Slots    int
	Draining bool
	// ColdFor is how long the server stays cold after its row was written.
	ColdFor time.Duration
	Models  []Model
}

// ModelVersion identifies a version of a model's weights.
type ModelVersion struct {
	Model   string
	Version uint64
}
