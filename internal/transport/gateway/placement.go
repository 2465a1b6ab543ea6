package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/coordination/contention"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// place chooses a server, or returns the error response if none can serve the request.
func (a *attempts) place(first bool) (chosenServer, *errorResponse) {
	g := a.gateway
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if response := a.endedByStop(); response != nil {
		return chosenServer{}, response
	}
	if first {
		g.retryBudget(a.service).RecordRequest(now)
	}
	placement := a.choose(now)
	fields := []zap.Field{zap.String("Request", a.call.logID()), zap.String("Service", a.service),
		zap.String("Backend", placement.Backend.ID), zap.Duration("Predicted", placement.PredictedLatency), zap.Int("Ahead", placement.QueuePosition),
		zap.Int("Weighed", placement.Candidates), zap.Duration("ReportAge", placement.ReportAge), zap.String("Why", string(placement.Reason)), zap.Bool("Cut", placement.WillInterrupt), zap.Duration("Reading", placement.PrefillWait)}
	fields = append(fields, placement.startFields(now)...)
	fields = append(fields, g.viewFields(placement.Placement, now)...)
	fields = append(fields, slowdownFields(placement.Placement)...)
	if a.regions != nil {
		fields = append(fields, zap.Strings("Regions", a.regions))
	}
	if !placement.Found {
		g.log.Info("no server available", append(fields, zap.Duration("ReadyIn", placement.ReadyIn), zap.Duration("SilentFor", placement.SilentFor))...)
		return placement, unavailable(reasonNoServer, a.retryDelayWithoutServer(placement.Placement, now))
	}
	admitted, retryAfter := g.gate.Admit(forecast(placement.Placement), admission.Caller{Remaining: a.remaining(), Goal: a.route.FirstByteGoal}, g.rng)
	if a.begun() || g.isPlain(a.service) {
		// A stream that has started is resumed on any server. A plain service has its own short
		// queue and refuses requests itself.
		admitted = true
	}
	decision := a.decideLevel(placement.Placement, first, admitted, now)
	if decision.used {
		admitted, retryAfter = admitted && decision.Admit, max(retryAfter, decision.RetryAfter)
		fields = append(fields, decision.fields()...)
		a.gaveWay = decision.Reason == contention.ReasonLessUrgent || decision.Reason == contention.ReasonOverShare
	}
	if !admitted {
		if decision.used {
			g.fleet.Withdraw(placement.Backend.ID, a.call.PromptTokens)
		} else {
			g.fleet.Release(placement.Backend.ID)
		}
		g.log.Info("refused", fields...)
		return placement, unavailable(reasonBusy, retryAfter)
	}
	g.log.Info("placed", fields...)
	g.countMissing(a.service, placement.Placement)
	g.countSlowdown(a.service, placement.Placement)
	return placement, nil
}

// forecast returns the part of a placement that admission control needs.
func forecast(p fleet.Placement) admission.Forecast {
	return admission.Forecast{QueuePosition: p.QueuePosition, PrefillWait: p.PrefillWait, Predicted: p.PredictedLatency}
}

// retryDelayWithoutServer returns when the caller should retry a request that no server can take now. The
// caller holds g.mu.
func (a *attempts) retryDelayWithoutServer(placement fleet.Placement, now time.Duration) time.Duration {
	g, goal := a.gateway, a.route.FirstByteGoal
	outage := g.retryDelayUntilReady(a.service, placement.ReadyIn, a.remaining(), now)
	waited := time.Since(a.arrived)
	if a.call.HasTimeout {
		waited = a.route.Timeout - a.remaining()
	}
	if delay, ok := admission.RetryAfterSilence(placement.SilentFor, waited, goal, a.remaining(), g.rng); ok && placement.ReadyIn == 0 {
		return delay
	}
	return outage
}

// viewFields returns log fields with the age of the view of the servers, how long the chosen server
// has been missing from the list, and whether its rate is limited.
func (g *Gateway) viewFields(placement fleet.Placement, now time.Duration) []zap.Field {
	fields := []zap.Field{zap.Duration("ViewAge", g.feeds.age(TableBackends, now))}
	if placement.MissingFor > 0 {
		fields = append(fields, zap.Duration("Missing", placement.MissingFor))
	}
	if placement.RateCounted {
		fields = append(fields, zap.Bool("RateCounted", true))
	}
	return fields
}

// countMissing counts placements on servers that are missing from the list.
func (g *Gateway) countMissing(service string, placement fleet.Placement) {
	if placement.MissingFor > 0 {
		g.metrics.placedMissing.WithLabelValues(service).Inc()
	}
}

// startFields returns log fields with the version that the server is assumed to hold, and the time
// within which the response must start.
func (s *chosenServer) startFields(now time.Duration) []zap.Field {
	fields := []zap.Field{zap.Uint64("Holds", s.HeldVersion)}
	if s.startDeadline != 0 {
		fields = append(fields, zap.Duration("BeginIn", s.startDeadline-now))
	}
	return fields
}

// choose picks a server and the time by which it must have begun its answer. The caller holds g.mu.
func (a *attempts) choose(now time.Duration) chosenServer {
	return a.chooseFor(a.placementRequest(now), now)
}

// chooseFor is choose for a changed placement request.
func (a *attempts) chooseFor(wanted fleet.Request, now time.Duration) chosenServer {
	g := a.gateway
	placement := a.pickServer(wanted, now)
	if !placement.Found {
		return chosenServer{Placement: placement}
	}
	at, ok := g.cancelDeadline(a.call.Model, now, placement)
	if !ok {
		g.fleet.Release(placement.Backend.ID)
		return chosenServer{Placement: fleet.Placement{Reason: routing.ReasonNoHost, Candidates: placement.Candidates, ReadyIn: g.fleet.ReadyIn(wanted, now)}}
	}
	return chosenServer{placement, at}
}

// pickServer picks a server. The caller holds g.mu.
//
// A stream that has started is continued by the same version of the weights if a server that holds
// it can resume before the caller sees a pause. During a switchover few servers hold that version,
// and those are about to switch too. In that case a newer version continues the stream, because the
// caller would repeat a truncated request and get the newer version anyway.
func (a *attempts) pickServer(wanted fleet.Request, now time.Duration) fleet.Placement {
	g := a.gateway
	placement := g.fleet.Choose(wanted, now)
	if wanted.Version == 0 {
		return a.pickOlderVersion(wanted, placement, now)
	}
	if placement.Found && placement.PredictedLatency < a.route.MaxEventGap && !placement.WillInterrupt && a.startsInTime(placement, now) {
		return placement
	}
	if placement.Found {
		g.fleet.Release(placement.Backend.ID)
	}
	wanted.Version = 0
	return g.fleet.Choose(wanted, now)
}

// startsInTime reports whether the response is predicted to start before the start deadline of the
// server's version.
func (a *attempts) startsInTime(placement fleet.Placement, now time.Duration) bool {
	_, ok := a.gateway.cancelDeadline(a.call.Model, now, placement)
	return ok
}

// pickOlderVersion picks a server with an older version for a request that finds no free server
// with the wanted one, if the response is sure to start there within MaxStaleness of its naming.
func (a *attempts) pickOlderVersion(wanted fleet.Request, found fleet.Placement, now time.Duration) fleet.Placement {
	g := a.gateway
	if wanted.MinVersion == 0 || found.Found && found.QueuePosition <= g.gate.MaxQueuePosition {
		return found
	}
	wanted.MinVersion = 0
	older := g.fleet.Choose(wanted, now)
	if !older.Found {
		return found
	}
	if older.QueuePosition > 0 || !a.startsInTime(older, now) {
		g.fleet.Release(older.Backend.ID)
		return found
	}
	if found.Found {
		g.fleet.Release(found.Backend.ID)
	}
	return older
}

// isPlain reports whether a service has no inference engine.
func (g *Gateway) isPlain(service string) bool {
	state := g.state.Load()
	return state != nil && state.Services[service].Engine == nil
}

// placementRequest describes the request for placement. The caller holds g.mu.
func (a *attempts) placementRequest(now time.Duration) fleet.Request {
	request := fleet.Request{Service: a.service, Regions: a.regions, Model: a.call.Model, PromptTokens: a.call.PromptTokens,
		AnswerTokens: a.call.AnswerTokens, LastAttempt: a.Sent()+1 >= a.Class.MaxServers, Avoid: a.gateway.fleet.ServersToAvoid(a.tried),
		Remaining: a.remaining(), MaxEventGap: a.route.MaxEventGap}
	if len(a.withdrawn) > 0 && a.serversLeft() <= len(a.withdrawn) {
		// Only servers that the request was withdrawn from are left.
		request.Avoid = a.gateway.fleet.ServersToAvoid(slices.DeleteFunc(slices.Clone(a.tried), func(b catalog.Backend) bool {
			return slices.ContainsFunc(a.withdrawn, func(w catalog.Backend) bool { return w.ID == b.ID })
		}))
		for _, b := range a.withdrawn {
			request.Only = append(request.Only, filbertlever.HostID(b.ID))
		}
	}
	if a.call.Model != "" {
		request.MinVersion = a.gateway.minVersion(a.call.Model, now)
	}
	if at := a.delivered.snapshot(); at.begun && at.version >= request.MinVersion {
		request.Version = at.version
	}
	return request
}
