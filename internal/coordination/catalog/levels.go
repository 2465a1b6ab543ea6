package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxLevels is the largest number of urgency levels of a service. Engines support priorities from 0
// to 9, so pairs beyond the tenth share the last level.
const MaxLevels = 10

// priorities is the pair that determines the urgency of a request.
type priorities struct{ organisation, route int }

func (p priorities) compare(other priorities) int {
	return cmp.Or(cmp.Compare(p.organisation, other.organisation), cmp.Compare(p.route, other.route))
}

// Levels returns the number of urgency levels of a service, at most MaxLevels. It is 0 if levels are
// not used: the service has no engine, or its routes with keys have equal priorities.
func (s *State) Levels(service string) int { return len(s.levels[service]) }

// Level returns the urgency level of a request at a service; 0 is the most urgent, and also the
// result for a service without levels.
//
// A request without a key counts with the priority of its route alone. Its pair may be missing from
// the service's pairs; it then has the level of the next less urgent pair.
func (s *State) Level(service string, route *Route, organisation *Organisation) int {
	levels := s.levels[service]
	pair := priorities{organisation: organisation.Priority, route: route.Priority}
	if pair.organisation < 0 || route.Anonymous || !s.RequireKeys {
		pair.organisation = route.Priority
	}
	for level, other := range levels {
		if pair.compare(other) <= 0 {
			return level
		}
	}
	return max(len(levels)-1, 0)
}

// computeLevels returns the first MaxLevels sorted pairs of each service with urgency levels.
func computeLevels(routes []Route, services map[string]Service, callers Callers) map[string][]priorities {
	routePriorities := map[string]map[int]bool{}
	for i := range routes {
		for _, service := range routes[i].reachedServices() {
			if routes[i].Anonymous || services[service].Engine == nil {
				continue
			}
			if routePriorities[service] == nil {
				routePriorities[service] = map[int]bool{}
			}
			routePriorities[service][routes[i].Priority] = true
		}
	}
	organisationPriorities := map[int]bool{}
	for _, organisation := range callers.Organisations {
		if len(organisation.Keys) > 0 {
			organisationPriorities[max(organisation.Priority, -1)] = true
		}
	}
	if !callers.RequireKeys {
		organisationPriorities[-1] = true
	}
	levels := map[string][]priorities{}
	for service, ofRoutes := range routePriorities {
		if len(ofRoutes) < 2 {
			continue
		}
		pairs := map[priorities]bool{}
		for route := range ofRoutes {
			for organisation := range organisationPriorities {
				pair := priorities{organisation: organisation, route: route}
				if organisation < 0 {
					pair.organisation = route
				}
				pairs[pair] = true
			}
		}
		sorted := slices.SortedFunc(maps.Keys(pairs), priorities.compare)
		levels[service] = sorted[:min(len(sorted), MaxLevels)]
	}
	return levels
}

// reachedServices returns the services to which PickService may assign requests of the route.
func (r *Route) reachedServices() []string {
	var reached []string
	for _, share := range r.Shares {
		if share.Weight > 0 {
			reached = append(reached, share.Service)
		}
	}
	if len(reached) == 0 && len(r.Shares) > 0 {
		reached = append(reached, r.Shares[0].Service)
	}
	return reached
}

// maxWork bounds the work of one request, which is computed from sizes that callers state.
const maxWork = time.Hour

// Work returns the time for which a request occupies one slot of an otherwise idle engine. A size of
// 0 is unknown; the engine's mean is used in its place.
func (e *Engine) Work(promptTokens, answerTokens int) time.Duration {
	prompt := float64(cmp.Or(max(promptTokens, 0), e.MeanPromptTokens)) * float64(e.PromptTokenTime)
	answer := float64(cmp.Or(max(answerTokens, 0), e.MeanAnswerTokens)) * float64(e.StepTime)
	return time.Duration(min(prompt+answer, float64(maxWork)))
}
