package gateway

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/fleet"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Kinds of announcements in answers of servers, as they appear in logs and metrics.
const (
	announcedDraining   = "Draining"
	announcedRetryAfter = "RetryAfter"
	announcedClose      = "ConnectionClose"
	announcedRateLimit  = "RateLimit"
	announcedNoLimit    = "NoRateLimit"
)

// recordAnnouncements records the announcements in the head of an answer, before any part of
// the answer is forwarded. They are ignored if a different server answered at the address.
func (t *attempt) recordAnnouncements(reply *Reply) {
	g, backend := t.gateway, t.Backend
	if reply.ActualServer != "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	sentAt := time.Now().Add(t.sentAt - now)
	answer := fleet.Answer{Backend: backend, RunningAt: fleet.RunningAt(sentAt, reply.Date)}
	if reply.Draining {
		t.reportAnnouncement(announcedDraining, reply, g.fleet.RecordDraining(answer, now))
	}
	if reply.ConnectionClose && g.fleet.RecordConnectionClose(backend, now) {
		t.reportAnnouncement(announcedClose, reply, true)
	}
	t.recordRateLimit(reply, answer, now)
	if reply.RetryAfter > 0 {
		t.reportAnnouncement(announcedRetryAfter, reply, g.fleet.RecordRetryAfter(answer, reply.RetryAfter, now))
	}
}

// reportAnnouncement counts an announcement, and logs it if first is true.
func (t *attempt) reportAnnouncement(kind string, reply *Reply, first bool) {
	g, backend := t.gateway, t.Backend
	g.metrics.announcements.WithLabelValues(backend.Service, kind).Inc()
	if !first {
		return
	}
	fields := []zap.Field{zap.String("Request", t.call.logID()), zap.String("Backend", backend.ID),
		zap.String("What", kind), zap.Int("Status", reply.Status), zap.Duration("For", reply.RetryAfter)}
	if reply.RateLimit != nil {
		fields = append(fields, zap.Float64("PerSecond", *reply.RateLimit))
	}
	g.log.Info("backend server announcement", fields...)
}

// recordRateLimit records the rate limit in the head of an answer. Only a success without a limit
// lifts it, as it is not known whether refusals carry the limit too. The caller holds g.mu.
func (t *attempt) recordRateLimit(reply *Reply, answer fleet.Answer, now time.Duration) {
	g, backend := t.gateway, t.Backend
	if reply.RateLimitErr != nil {
		g.log.Warn("unreadable rate limit of a backend server", zap.String("Request", t.call.logID()), zap.String("Backend", backend.ID), zap.Error(reply.RateLimitErr))
		return
	}
	if reply.RateLimit == nil && (!reply.Verified || reply.Status >= http.StatusMultipleChoices) {
		return
	}
	changed := g.fleet.RecordRateLimit(answer, reply.RateLimit, t.placedAt, now)
	switch {
	case reply.RateLimit != nil:
		t.reportAnnouncement(announcedRateLimit, reply, changed)
	case changed:
		t.reportAnnouncement(announcedNoLimit, reply, true)
	}
}

// sendRateReports sends the reports about rate limits that are due to all other entries.
func (g *Gateway) sendRateReports(now time.Duration) {
	g.mu.Lock()
	reports := g.fleet.RateReports(now)
	var addresses []string
	if len(reports) > 0 {
		addresses = g.peers.addresses(scopeAll)
	}
	g.mu.Unlock()
	for part := range slices.Chunk(reports, maxRateReports) {
		g.sendTo(Datagram{RateReports: part}, addresses)
	}
}

// maxRateReports limits the reports in one message, which has at most 8 KiB.
const maxRateReports = 100

// applyRateReports applies another entry's reports. The caller holds the lock.
func (g *Gateway) applyRateReports(reports []fleet.RateReport, now time.Duration) {
	for _, r := range reports {
		if g.fleet.ApplyRateReport(r, now) {
			g.log.Info("rate limit reported by another entry", zap.String("Backend", r.Backend), zap.Float64("PerSecond", r.PerSecond), zap.Duration("Age", r.Age))
		}
	}
}

var (
	errNotAccepting = errors.New("the server no longer accepts requests")
	errRateLimited  = errors.New("the server has limited its rate since the request was placed")
	// errDeadlinePassed is returned if the host was suspended, whose timers then fire late.
	errDeadlinePassed = errors.New("the request's deadline has passed")
)

// checkBeforeSend returns an error if the request must no longer be sent to its server. It is
// called when a connection is available, which may be some time after placement.
func (t *attempt) checkBeforeSend() error {
	if t.remaining() <= 0 {
		return errDeadlinePassed
	}
	if t.checkQuarantine() != nil {
		return errQuarantined
	}
	g := t.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fleet.Accepts(t.Backend, boottime.Now()) {
		return errNotAccepting
	}
	if !g.fleet.WithinRateLimit(t.Placement) {
		return errRateLimited
	}
	t.sentAt = boottime.Now()
	return nil
}
