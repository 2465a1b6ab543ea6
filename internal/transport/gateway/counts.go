package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// ownCounts returns the counts to send to the other entries. The caller holds the lock.
func (g *Gateway) ownCounts(now time.Duration) Counts {
	counts := Counts{From: g.config.Self.Host, Sequence: int64(now), Requests: g.fleet.InFlightCounts(), Silent: g.fleet.SilentServers(now)}
	counts.Boots = g.fleet.RecentBoots(slices.Concat(slices.Collect(maps.Keys(counts.Requests)), counts.Silent), now)
	return counts
}

// Intervals at which an entry sends its counts, if they have changed.
const (
	// countsInterval is the shortest interval between two messages to the region.
	countsInterval = 25 * time.Millisecond
	// peersPerInterval is the number of other entries in the region that add one
	// countsInterval to the interval.
	peersPerInterval = 8
	// remoteIntervalPerPeer is the interval to other regions, for each entry there. These
	// entries send requests to this region only if their own servers have no capacity, and
	// bandwidth between regions is scarce.
	remoteIntervalPerPeer = 24 * time.Millisecond
	// countsResendInterval is the interval at which unchanged counts are sent to the region again. An
	// entry that has heard nothing from this one for as long has dropped them.
	countsResendInterval = heartbeatTimeout
)

// runCounts sends changed counts to the other entries, at intervals that grow with their
// number. It sends crash reports and reports about rate limits without
// delay.
func (g *Gateway) runCounts(ctx context.Context) {
	ticker := time.NewTicker(countsInterval)
	defer ticker.Stop()
	var lastLocal, lastRemote Counts
	var localAt, remoteAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := boottime.Now()
		g.mu.Lock()
		g.fleet.Tick(now)
		g.peers.suspensions.Tick(now)
		local, remote := g.peers.regionCounts()
		counts := g.ownCounts(now)
		g.fleet.RefreshSpeeds(now)
		g.logSpeedChanges()
		reports := g.advanceQuarantine(now)
		g.persistHolds(ctx)
		var everyone []string
		if len(reports) > 0 {
			everyone = g.peers.addresses(scopeAll)
		}
		g.mu.Unlock()
		g.sendCrashReports(reports, everyone)
		g.sendRateReports(now)
		if now-localAt >= countsInterval*time.Duration(local/peersPerInterval) {
			regional, hasSpeeds := g.withSpeeds(counts, local, now)
			demand := g.dueDemand(local, now)
			if hasSpeeds || len(demand) > 0 || countsDue(&lastLocal, &counts, now-localAt) {
				lastLocal, localAt = counts, now
				g.sendRegionCounts(regional, demand)
			}
		}
		interval := remoteIntervalPerPeer * time.Duration(remote)
		if now-remoteAt >= min(interval, sharedDemandInterval) {
			demand := g.sharedDemand(now)
			if len(demand) > 0 || now-remoteAt >= interval && !countsEqual(&lastRemote, &counts) {
				lastRemote, remoteAt = counts, now
				counts.Demand = demand
				g.sendCounts(&counts, scopeRemote)
			}
		}
	}
}

// countsDue reports whether counts must be sent to the region after some time since the last ones.
func countsDue(last, counts *Counts, since time.Duration) bool {
	return !countsEqual(last, counts) || len(counts.Requests) > 0 && since >= countsResendInterval
}

// countsEqual reports whether counts are unchanged. Reports of unresponsive servers expire
// soon, so counts with any are always sent.
func countsEqual(a, b *Counts) bool {
	return len(b.Silent) == 0 && len(a.Silent) == 0 && maps.Equal(a.Requests, b.Requests) && maps.Equal(a.Boots, b.Boots)
}

// sendCounts sends counts to the entries in a scope.
func (g *Gateway) sendCounts(counts *Counts, to scope) {
	g.sendTo(Datagram{Counts: counts}, g.addressesOf(to))
}
