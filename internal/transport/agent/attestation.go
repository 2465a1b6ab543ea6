package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertlever/filbertlever"
	enginev1 "github.com/filbertlever/filbertlever/internal/protocol/engine/v1"
)

// attest compares the weights that the engine has loaded with those recorded as
// live, at most once per attestInterval and with one call in flight.
func (l *loader) attest(ctx context.Context, now time.Time) {
	l.mu.Lock()
	due := !l.attesting && now.Sub(l.attestedAt) >= attestInterval
	if due {
		l.attesting = true
		l.attestedAt = now
	}
	l.mu.Unlock()
	if due {
		check := attestation{loader: l}
		go check.reconcile(ctx)
	}
}

// attestation is one query of the engine's status.
type attestation struct {
	loader *loader
}

func (c *attestation) reconcile(ctx context.Context) {
	l := c.loader
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	l.mu.Lock()
	finishedLoads := l.finishedLoads
	l.mu.Unlock()
	status, err := l.agent.engine.Status(ctx, connect.NewRequest(&enginev1.StatusRequest{}))
	l.mu.Lock()
	l.attesting = false
	changed := false
	// A status taken before the latest load ended lacks the weights just
	// loaded, which would then be loaded a second time.
	if err == nil && finishedLoads == l.finishedLoads {
		var loaded []filbertlever.Digest
		for _, w := range status.Msg.Loaded {
			loaded = append(loaded, filbertlever.Digest(w.Digest))
		}
		changed = l.placements.Reconcile(loaded)
	}
	l.mu.Unlock()
	if changed {
		l.agent.log.Warn("engine no longer has live weights loaded, reloading them")
		l.trigger()
		l.agent.reporter.trigger()
	}
}
