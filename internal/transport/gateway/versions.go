package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// Limits of the calls that store and restore when versions were named.
const (
	// restoreDelay is how long a starting entry waits for a heartbeat with the naming time of a
	// version before it asks the store.
	restoreDelay = 100 * time.Millisecond
	// maxVersionsAttempts limits the attempts of a failing call. The pause between them grows from
	// initialBackoff on.
	maxVersionsAttempts = 20
)

// runVersions writes the naming times of versions to the store, and reads those of versions that
// were named before this entry started.
//
// Without the stored times, servers with an older version got no requests until they held the newest
// one, if all processes ended before the deadline of the newest version.
func (g *Gateway) runVersions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.namedChanged:
		}
		if g.hasUnknownAges() {
			g.sleepJittered(ctx, restoreDelay)
			g.retry(ctx, g.restoreVersions)
		}
		g.retry(ctx, g.saveVersions)
	}
}

// retry repeats a call with backoff until it succeeds, up to maxVersionsAttempts times.
func (g *Gateway) retry(ctx context.Context, call func(context.Context) error) {
	pause := initialBackoff
	for range maxVersionsAttempts {
		err := call(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		g.log.Warn("naming times of versions not stored or not restored", zap.Error(err))
		g.sleepJittered(ctx, pause)
		pause = min(2*pause, maxBackoff)
	}
}

// hasUnknownAges reports whether the naming time of any version is unknown.
func (g *Gateway) hasUnknownAges() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, list := range g.versionsByModel {
		if slices.ContainsFunc(list, func(n namedVersion) bool { return n.estimated }) {
			return true
		}
	}
	return false
}

// saveVersions writes the naming times to the store, if this entry is its region's reader.
func (g *Gateway) saveVersions(ctx context.Context) error {
	now := boottime.Now()
	if !g.isReader(now) {
		return nil
	}
	g.mu.Lock()
	// A time that has passed the deadline says no more than that it is unknown.
	named := slices.DeleteFunc(g.namedAges(now), func(n NamedAge) bool { return !n.Known && n.Age >= g.config.MaxStaleness })
	g.mu.Unlock()
	if len(named) == 0 {
		return nil
	}
	return g.store.SaveVersions(ctx, g.config.Self.Host, named)
}

// restoreVersions reads the naming times from the store, unless all are known by now.
func (g *Gateway) restoreVersions(ctx context.Context) error {
	if !g.hasUnknownAges() {
		return nil
	}
	sentAt := boottime.Now()
	ages, bad, err := g.store.Versions(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reportBadRows(bad)
	for _, n := range ages {
		// A row of another program may contain a version that operators have not named.
		if n.Version <= g.newestVersion(n.Model) {
			g.mergeNamedAge(n, sourceStore, sentAt)
		}
	}
	g.log.Info("naming times of versions restored", zap.Int("Versions", len(ages)))
	return nil
}
