package gateway

import (
	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/coordination/catalog"
)

// What servers say of themselves in answers, as metrics name it.
const (
	saidLeaves = "Leaves"
	saidRests  = "Rests"
)

// said takes note of what a server says of itself in the head of an answer.
func (a *attempts) said(backend catalog.Backend, reply *Reply) {
	if reply.Leaves {
		a.noteSaid(backend, saidLeaves, reply)
	}
	if reply.Rest > 0 {
		a.noteSaid(backend, saidRests, reply)
	}
}

func (a *attempts) noteSaid(backend catalog.Backend, what string, reply *Reply) {
	g := a.gateway
	g.metrics.said.WithLabelValues(backend.Service, what).Inc()
	g.log.Info("backend server says", zap.String("Request", a.call.ID), zap.String("Backend", backend.ID),
		zap.String("What", what), zap.Int("Status", reply.Status), zap.Duration("For", reply.Rest))
}
