package gateway

import (
	"math"
	"strconv"
	"time"

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
	// levelsInterval is how often reserves are checked. Controllers and tables take a gap of a second
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
	refusals      refusalWindow
	// reportedReserves are the reserves by level that were logged last.
	reportedReserves []float64
	demand           demandSchedule
	// peers holds the last demand of each other entry of the region.
	peers map[filbertlever.HostID]peerDemand
}

// applyLevels creates, resizes and drops the controllers of services with levels for a new desired
// state. A service that keeps its number of levels and slots keeps its controller, and one that keeps
// its levels at all keeps its table of shares. The caller holds g.mu.
func (g *Gateway) applyLevels(state *catalog.State) {
	for name, s := range g.levelled {
		if state.Levels(name) == 0 {
			g.dropReserveMetrics(s)
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
			g.dropReserveMetrics(s)
			s.levels, s.slots = levels, engine.Slots
			s.controller = contention.New(levels, engine.Slots, g.rng)
			s.refusals, s.demand, s.peers = refusalWindow{}, demandSchedule{}, map[filbertlever.HostID]peerDemand{}
			s.reportedReserves = make([]float64, levels)
		}
	}
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
	if s == nil || a.levels == 0 || !first || a.stream != nil {
		return levelDecision{}
	}
	request := contention.Request{Level: min(a.priority, s.levels-1), Late: a.pastGoal(), Goal: a.route.FirstByteGoal}
	request.Returning = !request.Late && a.statedWait() > minReturningWait
	request.OverShare = s.shares.Excess(a.organisation.ID, now)
	decision := s.controller.Decide(request, contention.Room{Free: -placement.QueuePosition, Admissible: admissible}, now)
	s.shares.Record(a.organisation.ID, s.engine.Work(a.call.PromptTokens, a.call.AnswerTokens), decision.Admit, now)
	s.refusals.record(request.Level, decision.Admit, now)
	a.gateway.metrics.levelDecisions.WithLabelValues(s.name, strconv.Itoa(request.Level), string(decision.Reason)).Inc()
	return levelDecision{true, request, decision}
}

// statedWait returns how long the caller had been waiting before this attempt. The time that a caller
// states to have left shrinks from attempt to attempt. It is 0 if the caller states none, or more than
// the route's timeout.
func (a *attempts) statedWait() time.Duration {
	if !a.call.HasTimeout {
		return 0
	}
	return max(a.route.Timeout-a.call.Timeout, 0)
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

// reportReserves updates the metrics of all reserves and logs those that changed by a slot or more.
// The caller holds g.mu.
func (g *Gateway) reportReserves(now time.Duration) {
	for _, s := range g.levelled {
		// The table takes a gap of a second between two calls for a jump of time.
		s.shares.Excess("", now)
		status := s.controller.Status(now)
		for level, reserve := range status.Reserves[:min(len(status.Reserves), s.levels)] {
			g.metrics.levelReserve.WithLabelValues(s.name, strconv.Itoa(level)).Set(reserve)
			before := s.reportedReserves[level]
			if math.Abs(reserve-before) < 1 {
				continue
			}
			s.reportedReserves[level] = reserve
			peers, oldest := s.peersHeard(now)
			g.log.Info("urgency reserve changed", zap.String("Service", s.name), zap.Int("UrgencyLevel", level), zap.Float64("Reserve", reserve),
				zap.Float64("Before", before), zap.Float64("RefusedMoreUrgent", s.refusals.moreUrgent(level, now)), zap.Int("Peers", peers), zap.Duration("OldestPeer", oldest))
		}
	}
}

// dropReserveMetrics removes the reserves of a service from the metrics.
func (g *Gateway) dropReserveMetrics(s *levelledService) {
	for level := range s.levels {
		g.metrics.levelReserve.DeleteLabelValues(s.name, strconv.Itoa(level))
	}
}

// Periods over which refusals are counted for the log.
const (
	refusalPeriod  = 500 * time.Millisecond
	refusalBuckets = 5
	refusalBucket  = refusalPeriod / refusalBuckets
)

// refusalWindow counts the decisions of the region in the last refusalPeriod by level. The zero value
// is empty.
type refusalWindow struct {
	buckets [refusalBuckets]levelCounts
}

// levelCounts counts the decisions of one period by level.
type levelCounts struct {
	// period is the number of the period since boot.
	period            int64
	admitted, refused [catalog.MaxLevels]uint64
}

// add counts decisions on requests of a level.
func (w *refusalWindow) add(level int, admitted, refused uint64, now time.Duration) {
	period := int64(now / refusalBucket)
	bucket := &w.buckets[period%refusalBuckets]
	if bucket.period != period {
		*bucket = levelCounts{period: period}
	}
	bucket.admitted[level] += admitted
	bucket.refused[level] += refused
}

// record counts one decision.
func (w *refusalWindow) record(level int, admitted bool, now time.Duration) {
	if admitted {
		w.add(level, 1, 0, now)
	} else {
		w.add(level, 0, 1, now)
	}
}

// moreUrgent returns the fraction of the requests more urgent than a level that were refused; 0 if
// there were none.
func (w *refusalWindow) moreUrgent(level int, now time.Duration) float64 {
	period := int64(now / refusalBucket)
	var admitted, refused uint64
	for i := range w.buckets {
		bucket := &w.buckets[i]
		if bucket.period <= period-refusalBuckets {
			continue
		}
		for l := range level {
			admitted += bucket.admitted[l]
			refused += bucket.refused[l]
		}
	}
	if refused == 0 {
		return 0
	}
	return float64(refused) / float64(admitted+refused)
}
