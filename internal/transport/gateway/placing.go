package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/admission"
	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/coordination/routing"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// place picks a server, or says why the request cannot be served.
func (a *attempts) place(first bool) (fleet.Placement, *problem) {
	g := a.gateway
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if first {
		g.budget(a.service).Fresh(now)
	}
	placement := a.choose(now)
	fields := []zap.Field{zap.String("Request", a.call.ID), zap.String("Service", a.service),
		zap.String("Backend", placement.Backend.ID), zap.Duration("Predicted", placement.Predicted), zap.Int("Ahead", placement.Ahead),
		zap.Int("Weighed", placement.Weighed), zap.Duration("ReportAge", placement.ReportAge), zap.String("Why", string(placement.Reason)), zap.Bool("Cut", placement.Cut), zap.Duration("Reading", placement.Reading)}
	fields = append(fields, a.bounds(placement, now)...)
	fields = append(fields, g.listing(placement, now)...)
	if !placement.Found {
		g.log.Info("no server", fields...)
		return placement, busy(reasonNoServer, g.returnWhenReady(a.service, placement.ReadyIn, a.remaining(), now))
	}
	admitted, retry := g.gate.Admit(forecast(placement), admission.Caller{Left: a.remaining(), Goal: a.route.Goal}, g.rng)
	if a.stream != nil || g.plain(a.service) {
		// An answer that has begun goes on wherever it can, and a plain service
		// has a queue of a few places of its own, which refuses.
		admitted = true
	}
	if !admitted {
		g.fleet.Ended(placement.Backend.ID)
		g.log.Info("refused", fields...)
		return placement, busy(reasonBusy, retry)
	}
	g.log.Info("placed", fields...)
	g.notePlaced(a.service, placement)
	return placement, nil
}

func forecast(p fleet.Placement) admission.Forecast {
	return admission.Forecast{Ahead: p.Ahead, Reading: p.Reading, Predicted: p.Predicted}
}

// listing tells of a placement how old the view of the servers is, and for how long the
// server has been missing from it.
func (g *Gateway) listing(placement fleet.Placement, now time.Duration) []zap.Field {
	fields := []zap.Field{zap.Duration("ViewAge", g.feeds.age(TableBackends, now))}
	if placement.Missing > 0 {
		fields = append(fields, zap.Duration("Missing", placement.Missing))
	}
	return fields
}

// notePlaced counts placements at servers that the list lacks.
func (g *Gateway) notePlaced(service string, placement fleet.Placement) {
	if placement.Missing > 0 {
		g.metrics.placedMissing.WithLabelValues(service).Inc()
	}
}

// bounds tells of a placement which version the server is taken to hold, and for how
// long the attempt may wait there until it has begun.
func (a *attempts) bounds(placement fleet.Placement, now time.Duration) []zap.Field {
	fields := []zap.Field{zap.Uint64("Holds", placement.Holds)}
	if a.beginBy != 0 {
		fields = append(fields, zap.Duration("BeginIn", a.beginBy-now))
	}
	return fields
}

// choose picks a server, and notes when the attempt is taken back if it has not begun
// there; the caller holds the lock.
func (a *attempts) choose(now time.Duration) fleet.Placement {
	g := a.gateway
	placement := a.pick(now)
	a.beginBy = 0
	if !placement.Found {
		return placement
	}
	at, ok := g.takeBackAt(a.call.Model, now, placement)
	if !ok {
		g.fleet.Ended(placement.Backend.ID)
		return fleet.Placement{Reason: routing.ReasonNone, Weighed: placement.Weighed, ReadyIn: g.fleet.ReadyIn(a.service, now)}
	}
	a.beginBy = at
	return placement
}

// pick picks a server; the caller holds the lock.
//
// An answer that has begun is finished by the same weights if a server that has
// them can go on before the caller sees a pause. During a switch few servers
// have them, which are about to change too; then newer weights finish it, since
// an answer that breaks off is asked for again and made by those all the same.
func (a *attempts) pick(now time.Duration) fleet.Placement {
	g := a.gateway
	wanted := a.wanted(now)
	placement := g.fleet.Choose(wanted, now)
	if wanted.Version == 0 {
		return a.pickOlder(wanted, placement, now)
	}
	if placement.Found && placement.Predicted < a.route.Pause && !placement.Cut && a.beginsInTime(placement, now) {
		return placement
	}
	if placement.Found {
		g.fleet.Ended(placement.Backend.ID)
	}
	wanted.Version = 0
	return g.fleet.Choose(wanted, now)
}

func (a *attempts) beginsInTime(placement fleet.Placement, now time.Duration) bool {
	_, ok := a.gateway.takeBackAt(a.call.Model, now, placement)
	return ok
}

// pickOlder picks a server with an older version for a request that finds no place
// with the wanted one, if it surely begins there before the bound.
func (a *attempts) pickOlder(wanted fleet.Request, found fleet.Placement, now time.Duration) fleet.Placement {
	g := a.gateway
	if wanted.Least == 0 || found.Found && found.Ahead <= g.gate.Waiting {
		return found
	}
	wanted.Least = 0
	older := g.fleet.Choose(wanted, now)
	if !older.Found {
		return found
	}
	if older.Ahead > 0 || !a.beginsInTime(older, now) {
		g.fleet.Ended(older.Backend.ID)
		return found
	}
	if found.Found {
		g.fleet.Ended(found.Backend.ID)
	}
	return older
}

func (g *Gateway) plain(service string) bool {
	state := g.state.Load()
	return state != nil && state.Services[service].Engine == nil
}

// wanted describes the request for placement; the caller holds the lock.
func (a *attempts) wanted(now time.Duration) fleet.Request {
	request := fleet.Request{Service: a.service, Model: a.call.Model, PromptTokens: a.call.PromptTokens,
		AnswerTokens: a.call.AnswerTokens, Final: a.Sent()+1 >= a.Class.Servers, Avoid: a.gateway.fleet.Avoid(a.tried)}
	if a.call.Model != "" {
		request.Least = a.gateway.least(a.call.Model, now)
	}
	if a.stream != nil && a.stream.version >= request.Least {
		request.Version = a.stream.version
	}
	return request
}
