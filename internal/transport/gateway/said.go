package gateway

import (
	"errors"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// What servers say of themselves in answers, as metrics name it.
const (
	saidLeaves = "Leaves"
	saidRests  = "Rests"
	saidCloses = "Closes"
)

// said takes what a server says of itself in the head of an answer, before anything of the
// answer is passed on. Of another server at the address it says nothing.
func (a *attempts) said(backend catalog.Backend, reply *Reply) {
	g := a.gateway
	if reply.Life != "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if reply.Leaves {
		a.noteSaid(backend, saidLeaves, reply, g.fleet.Leaves(backend, now))
	}
	if reply.Closes && g.fleet.Closes(backend, now) {
		a.noteSaid(backend, saidCloses, reply, true)
	}
	if reply.Rest > 0 {
		a.noteSaid(backend, saidRests, reply, g.fleet.Rests(backend, reply.Rest, now))
	}
}

// noteSaid counts what a server says, and logs what is new.
func (a *attempts) noteSaid(backend catalog.Backend, what string, reply *Reply, first bool) {
	g := a.gateway
	g.metrics.said.WithLabelValues(backend.Service, what).Inc()
	if !first {
		return
	}
	g.log.Info("backend server says", zap.String("Request", a.call.ID), zap.String("Backend", backend.ID),
		zap.String("What", what), zap.Int("Status", reply.Status), zap.Duration("For", reply.Rest))
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
	if !g.fleet.Takes(a.last.Backend, boottime.Now()) {
		return errServerLeft
	}
	return nil
}
