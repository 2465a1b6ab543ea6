package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Times of what the platform's store keeps on named versions.
const (
	// restoreDelay is how long an entry that starts waits for a heartbeat that says when a version
	// was named, before it asks the store.
	restoreDelay = 100 * time.Millisecond
	// maxVersionsAttempts bounds the calls that fail, with pauses from retryFirst on.
	maxVersionsAttempts = 20
)

// runVersions writes to the store when versions were named, and reads it for those that were named
// before this entry started.
//
// Guard: after all processes ended within a version's bound, servers with an older version got no
// requests until they held the newest.
func (g *Gateway) runVersions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.namedNews:
		}
		if g.hasUnknownAges() {
			g.sleep(ctx, restoreDelay)
			g.retry(ctx, g.restoreVersions)
		}
		g.retry(ctx, g.saveVersions)
	}
}

// retry makes a call until it succeeds, or for versionsTries.
func (g *Gateway) retry(ctx context.Context, call func(context.Context) error) {
	pause := retryFirst
	for range maxVersionsAttempts {
		err := call(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		g.log.Warn("named versions neither kept nor read", zap.Error(err))
		g.sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

// hasUnknownAges reports whether it is not known when some version was named.
func (g *Gateway) hasUnknownAges() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, list := range g.named {
		if slices.ContainsFunc(list, func(n named) bool { return n.estimated }) {
			return true
		}
	}
	return false
}

// saveVersions writes when versions were named, if this entry reads the store for its region.
func (g *Gateway) saveVersions(ctx context.Context) error {
	now := boottime.Now()
	if !g.isReader(now) {
		return nil
	}
	g.mu.Lock()
	known := slices.DeleteFunc(g.namedAges(now), func(n NamedAge) bool { return !n.Known })
	g.mu.Unlock()
	if len(known) == 0 {
		return nil
	}
	return g.store.KeepVersions(ctx, g.config.Self.Host, known)
}

// restoreVersions reads when versions were named, unless it is known by now.
func (g *Gateway) restoreVersions(ctx context.Context) error {
	if !g.hasUnknownAges() {
		return nil
	}
	sent := boottime.Now()
	ages, bad, err := g.store.Versions(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteBad(bad)
	for _, n := range ages {
		// A row of another program may name a version that operators have not.
		if n.Version <= g.newestVersion(n.Model) {
			g.heardNamed(n.Model, n.Version, n.Age, sent)
		}
	}
	g.log.Info("named versions read", zap.Int("Versions", len(ages)))
	return nil
}
