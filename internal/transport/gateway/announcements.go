package gateway

import (
	"errors"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// What servers announce in answers, as logs and metrics name it.
const (
	announcedDraining   = "Draining"
	announcedRetryAfter = "RetryAfter"
	announcedClose      = "ConnectionClose"
)

// takeAnnouncements takes what a server announces in the head of an answer, before anything of
// the answer is passed on. The answer of another server at the address announces nothing.
func (a *attempts) takeAnnouncements(backend catalog.Backend, reply *Reply) {
	g := a.gateway
	if reply.Life != "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if reply.Draining {
		a.reportAnnouncement(backend, announcedDraining, reply, g.fleet.NoteDraining(backend, now))
	}
	if reply.Closes && g.fleet.NoteConnectionClose(backend, now) {
		a.reportAnnouncement(backend, announcedClose, reply, true)
	}
	if reply.RetryAfter > 0 {
		a.reportAnnouncement(backend, announcedRetryAfter, reply, g.fleet.NoteRetryAfter(backend, reply.RetryAfter, now))
	}
}

// reportAnnouncement counts an announcement, and logs it if it is new.
func (a *attempts) reportAnnouncement(backend catalog.Backend, what string, reply *Reply, first bool) {
	g := a.gateway
	g.metrics.announcements.WithLabelValues(backend.Service, what).Inc()
	if !first {
		return
	}
	g.log.Info("backend server announcement", zap.String("Request", a.call.ID), zap.String("Backend", backend.ID),
		zap.String("What", what), zap.Int("Status", reply.Status), zap.Duration("For", reply.RetryAfter))
}

var errServerLeft = errors.New("the server takes no more requests")

// still returns an error if the request may no longer go to the server that it was placed
// at. It is asked when a connection is there, which may take a while.
func (a *attempts) still() error {
	if a.kept() != nil {
		return errKept
	}
	g := a.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fleet.Accepts(a.last.Backend, boottime.Now()) {
		return errServerLeft
	}
	return nil
}
