package gateway

import (
	"errors"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Kinds of announcements in answers of servers, as they appear in logs and metrics.
const (
	announcedDraining   = "Draining"
	announcedRetryAfter = "RetryAfter"
	announcedClose      = "ConnectionClose"
	announcedRateLimit  = "RateLimit"
)

// recordAnnouncements records the announcements in the head of an answer, before any part of
// the answer is forwarded. They are ignored if a different server answered at the address.
func (a *attempts) recordAnnouncements(backend catalog.Backend, reply *Reply) {
	g := a.gateway
	if reply.ActualServer != "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if reply.Draining {
		a.reportAnnouncement(backend, announcedDraining, reply, g.fleet.RecordDraining(backend, now))
	}
	if reply.ConnectionClose && g.fleet.RecordConnectionClose(backend, now) {
		a.reportAnnouncement(backend, announcedClose, reply, true)
	}
	a.reportRateLimit(backend, reply)
	if reply.RetryAfter > 0 {
		a.reportAnnouncement(backend, announcedRetryAfter, reply, g.fleet.RecordRetryAfter(backend, reply.RetryAfter, now))
	}
}

// reportAnnouncement counts an announcement, and logs it if first is true.
func (a *attempts) reportAnnouncement(backend catalog.Backend, kind string, reply *Reply, first bool) {
	g := a.gateway
	g.metrics.announcements.WithLabelValues(backend.Service, kind).Inc()
	if !first {
		return
	}
	fields := []zap.Field{zap.String("Request", a.call.ID), zap.String("Backend", backend.ID),
		zap.String("What", kind), zap.Int("Status", reply.Status), zap.Duration("For", reply.RetryAfter)}
	if reply.RateLimit != nil {
		fields = append(fields, zap.Float64("PerSecond", *reply.RateLimit))
	}
	g.log.Info("backend server announcement", fields...)
}

// reportRateLimit counts and logs the rate limit in the head of an answer.
func (a *attempts) reportRateLimit(backend catalog.Backend, reply *Reply) {
	if reply.RateLimitErr != nil {
		a.gateway.log.Warn("unreadable rate limit of a backend server", zap.String("Request", a.call.ID), zap.String("Backend", backend.ID), zap.Error(reply.RateLimitErr))
	}
	if reply.RateLimit != nil {
		a.reportAnnouncement(backend, announcedRateLimit, reply, true)
	}
}

var errNotAccepting = errors.New("the server no longer accepts requests")

// checkBeforeSend returns an error if the request must no longer be sent to its server. It is
// called when a connection is available, which may be some time after placement.
func (a *attempts) checkBeforeSend() error {
	if a.checkQuarantine() != nil {
		return errQuarantined
	}
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fleet.Accepts(a.placement.Backend, boottime.Now()) {
		return errNotAccepting
	}
	return nil
}
