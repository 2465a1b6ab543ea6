package gateway

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/contention"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/shares"
)

const (
	// minReturningWait is the waiting time from which on a caller counts as returning. It is longer than
	// a new request takes to its entry, and shorter than the shortest retry delay.
	minReturningWait = 20 * time.Millisecond
	// levelsInterval is how often the pressure is checked. Controllers and tables take a gap of a second
	// between two calls for a jump of time, so they must also be called while no requests arrive.
	levelsInterval = 100 * time.Millisecond
)

// levelController decides which requests of one service are refused in favour of others.
type levelController interface {
	Decide(r contention.Request, room contention.Room, now time.Duration) contention.Decision
	Demand() contention.Demand
	ApplyPeer(host filbertlever.HostID, d contention.Demand, now time.Duration)
	RemovePeer(host filbertlever.HostID)
	Contended(now time.Duration) bool
	Status(now time.Duration) contention.Status
}

// shareTable tracks the usage of one service by organisation.
type shareTable interface {
	Record(id filbertlever.OrganisationID, work time.Duration, admitted bool, now time.Duration)
	Top(n int, now time.Duration) []shares.Usage
	ApplyPeer(host filbertlever.HostID, usages []shares.Usage, now time.Duration)
	RemovePeer(host filbertlever.HostID)
	Excess(id filbertlever.OrganisationID, now time.Duration) float64
}

// levelledService decides on the requests of a service with urgency levels. It is guarded by the
// gateway's mu.
type levelledService struct {
	name          string
	engine        *catalog.Engine
	levels, slots int
	controller    levelController
	shares        shareTable
	// reportedPressure is the pressure that was logged last.
	reportedPressure float64
	demand           demandSchedule
	// sharedRegions is true while a region has no usable server of the service, so that the servers of
	// the others serve it too. Demand is then exchanged between all regions.
	sharedRegions bool
	// regionsAt is when sharedRegions was last updated.
	regionsAt time.Duration
	// peers are the other entries that have sent their demand.
	peers map[filbertlever.HostID]bool
}

// applyLevels creates, resizes and drops the controllers of services with levels for a new desired
// state. A service that keeps its number of levels and slots keeps its controller, and one that keeps
// its levels at all keeps its table of shares. The caller holds g.mu.
func (g *Gateway) applyLevels(state *catalog.State) {
	for name, s := range g.levelled {
		if state.Levels(name) == 0 {
			g.dropLevelMetrics(s)
			g.fleet.ForgetRegions(name)
			delete(g.levelled, name)
		}
	}
	for name := range state.Services {
		levels, engine := state.Levels(name), state.Services[name].Engine
		if levels == 0 {
			continue
		}
		s, ok := g.levelled[name]
		if !ok {
			s = &levelledService{name: name, shares: shares.New(shares.DefaultConfig())}
			g.levelled[name] = s
		}
		s.engine = engine
		if s.controller == nil || s.levels != levels || s.slots != engine.Slots {
			g.dropLevelMetrics(s)
			s.levels, s.slots = levels, engine.Slots
			s.controller = contention.New(levels, engine.Slots, g.controllerRand(name))
			s.demand, s.peers, s.reportedPressure = demandSchedule{}, map[filbertlever.HostID]bool{}, 0
		}
	}
}

// controllerRand returns the source of random numbers of a service's controller. Decisions on services
// without levels must not depend on those that it draws.
func (g *Gateway) controllerRand(service string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(string(g.config.Self.Host)), xxhash.Sum64String(service)))
}

// logClamped logs the priorities of routes that were limited to their range.
func (g *Gateway) logClamped(clamped []ClampedPriority) {
	for _, p := range clamped {
		g.log.Warn("route priority out of range", zap.String("Route", p.Route), zap.String("Value", p.Value), zap.Int("Used", p.Used))
	}
}

// levelDecision is the decision on a request of a service with urgency levels. The zero value means that
// levels are not used for a request.
type levelDecision struct {
	used    bool
	request contention.Request
	contention.Decision
}

// decideLevel decides on a request whose server has been found, before it is sent for the first time.
// Levels are not used if the service has none, for further servers of a request, and for a stream that
// has started. The caller holds g.mu.
func (a *attempts) decideLevel(placement fleet.Placement, first, admissible bool, now time.Duration) levelDecision {
	s := a.gateway.levelled[a.service]
	if s == nil || a.levels == 0 || !first || a.begun() {
		return levelDecision{}
	}
	request := contention.Request{Level: min(a.priority, s.levels-1), Goal: a.route.FirstByteGoal}
	waited := a.statedWait()
	request.Late = request.Goal > 0 && waited > request.Goal
	request.Returning = !request.Late && waited > minReturningWait
	request.OverShare = s.shares.Excess(a.organisation.ID, now)
	room := contention.Room{Free: -placement.QueuePosition, Admissible: admissible}
	if placement.PrefillWait > a.gateway.gate.MaxPrefillWait {
		// A slot is of no use behind a long backlog of prompts.
		room.Free = min(room.Free, -1)
	}
	decision := s.controller.Decide(request, room, now)
	s.shares.Record(a.organisation.ID, s.engine.Work(a.call.PromptTokens, a.call.AnswerTokens), decision.Admit, now)
	a.gateway.metrics.levelDecisions.WithLabelValues(s.name, strconv.Itoa(request.Level), string(decision.Reason)).Inc()
	return levelDecision{true, request, decision}
}

// timeoutSpread is the part of a route's timeout by which the timeouts that its callers state differ from
// the start. Only what is missing beyond it shows that a caller has been waiting.
const timeoutSpread = 1.0 / 6

// statedWait returns how long the caller had certainly been waiting before this attempt. The time that a
// caller states to have left shrinks from attempt to attempt. It is 0 if the caller states none, or more
// than the route's timeout.
func (a *attempts) statedWait() time.Duration {
	if !a.call.HasTimeout {
		return 0
	}
	return max(a.route.Timeout-a.call.Timeout-time.Duration(timeoutSpread*float64(a.route.Timeout)), 0)
}

// fields returns log fields with the decision; none if levels are not used. The urgency level is not called Level,
// which is the severity of a log line.
func (d levelDecision) fields() []zap.Field {
	if !d.used {
		return nil
	}
	return []zap.Field{zap.Int("UrgencyLevel", d.request.Level), zap.Float64("Reserve", d.Reserve), zap.Bool("Returning", d.request.Returning),
		zap.Bool("Late", d.request.Late), zap.Float64("OverShare", d.request.OverShare), zap.String("Decision", string(d.Reason))}
}

// regionsInterval is how often it is checked which regions have usable servers, which looks at all servers.
const regionsInterval = 500 * time.Millisecond

// pressureChange is the change of a pressure from which on it is logged.
const pressureChange = 0.25

// reportPressure updates the metrics of all services with urgency levels and logs changes of the pressure.
// The caller holds g.mu.
func (g *Gateway) reportPressure(now time.Duration) {
	for _, s := range g.levelled {
		// The table takes a gap of a second between two calls for a jump of time.
		s.shares.Excess("", now)
		if now-s.regionsAt >= regionsInterval {
			s.sharedRegions, s.regionsAt = g.fleet.RefreshRegions(s.name), now
		}
		status := s.controller.Status(now)
		g.metrics.pressure.WithLabelValues(s.name).Set(status.Pressure)
		for level, reserve := range status.Reserves[:min(len(status.Reserves), s.levels)] {
			g.metrics.levelReserve.WithLabelValues(s.name, strconv.Itoa(level)).Set(reserve)
		}
		before := s.reportedPressure
		if math.Abs(status.Pressure-before) < pressureChange && (status.Pressure > 0 || before == 0) {
			continue
		}
		s.reportedPressure = status.Pressure
		g.log.Info("service pressure changed", zap.String("Service", s.name), zap.Float64("Pressure", status.Pressure), zap.Float64("Before", before),
			zap.Float64("NoRoom", status.NoRoom), zap.Float64s("Reserves", status.Reserves), zap.Float64s("Served", status.Served), zap.Int("Peers", status.Peers), zap.Duration("OldestPeer", status.OldestPeer))
	}
}

// dropLevelMetrics removes a service from the metrics of urgency levels.
func (g *Gateway) dropLevelMetrics(s *levelledService) {
	g.metrics.pressure.DeleteLabelValues(s.name)
	for level := range s.levels {
		g.metrics.levelReserve.DeleteLabelValues(s.name, strconv.Itoa(level))
	}
}
