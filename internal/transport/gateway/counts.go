package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

func (g *Gateway) counts(now time.Duration) Counts {
	counts := Counts{From: g.config.Self.Host, Sequence: int64(now), Requests: g.fleet.Counts(), Silent: g.fleet.Silent(now)}
	counts.Boots = g.fleet.Boots(slices.Concat(slices.Collect(maps.Keys(counts.Requests)), counts.Silent), now)
	return counts
}

// How often an entry sends the others its requests at each server, if they have changed.
const (
	countsInterval = 25 * time.Millisecond
	// peersPerInterval is how many other entries of the region add one such period.
	peersPerInterval = 8
	// remoteIntervalPerPeer is what each entry of other regions adds to the period there: they
	// send here only what their own servers cannot take, and bytes are scarce.
	remoteIntervalPerPeer = 24 * time.Millisecond
)

// runCounts tells what has changed, less often the more entries there are, and at once what
// concerns requests that end servers.
func (g *Gateway) runCounts(ctx context.Context) {
	ticker := time.NewTicker(countsInterval)
	defer ticker.Stop()
	var lastNear, lastFar Counts
	var nearAt, farAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := boottime.Now()
		g.mu.Lock()
		near, far := g.peers.regionCounts()
		counts := g.counts(now)
		news := g.advanceCrashes(now)
		g.keepVerdicts(ctx)
		var everyone []string
		if len(news) > 0 {
			everyone = g.peers.addresses(scopeAll)
		}
		g.mu.Unlock()
		g.sendCrashReports(news, everyone)
		if now-nearAt >= countsInterval*time.Duration(near/peersPerInterval) && !countsEqual(&lastNear, &counts) {
			lastNear, nearAt = counts, now
			g.sendCounts(&counts, scopeRegion)
		}
		if now-farAt >= remoteIntervalPerPeer*time.Duration(far) && !countsEqual(&lastFar, &counts) {
			lastFar, farAt = counts, now
			g.sendCounts(&counts, scopeRemote)
		}
	}
}

// countsEqual reports whether counts tell nothing new. What they say of silent servers
// holds for a moment only and is always told.
func countsEqual(a, b *Counts) bool {
	return len(b.Silent) == 0 && len(a.Silent) == 0 && maps.Equal(a.Requests, b.Requests) && maps.Equal(a.Boots, b.Boots)
}

// sendCounts sends counts to the entries of the region, or to those elsewhere.
func (g *Gateway) sendCounts(counts *Counts, to scope) {
	g.mu.Lock()
	addresses := g.peers.addresses(to)
	g.mu.Unlock()
	g.sendTo(Datagram{Counts: counts}, addresses)
}
