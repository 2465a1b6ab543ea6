package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/coordination/quarantine"
	"github.com/filbertlever/filbertlever/internal/transport/boottime"
)

// runDatagrams receives datagrams until ctx ends.
func (g *Gateway) runDatagrams(ctx context.Context) {
	go g.runCloseSocket(ctx)
	for {
		if err := g.socket.Receive(g.receiveDatagram); err != nil {
			if ctx.Err() == nil {
				g.log.Error("failed to receive datagrams", zap.Error(err))
			}
			return
		}
	}
}

// receiveDatagram decodes one datagram and handles it. Malformed ones are only counted.
func (g *Gateway) receiveDatagram(data []byte, from net.Addr) {
	d, err := DecodeDatagram(data)
	if err != nil {
		g.metrics.badDatagrams.Inc()
		return
	}
	g.handleDatagram(d, from)
}

// runCloseSocket closes the socket when ctx ends, which unblocks runDatagrams.
func (g *Gateway) runCloseSocket(ctx context.Context) {
	<-ctx.Done()
	_ = g.socket.Close()
}

func (g *Gateway) handleDatagram(d *Datagram, from net.Addr) {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.Heartbeat != nil && d.Heartbeat.Entry.Host != g.config.Self.Host {
		if g.peers.observeHeartbeat(d.Heartbeat.Entry, d.Heartbeat.Ready, d.Heartbeat.StoreUnreachable, now) {
			// A process that has just started discovers the others by their replies.
			g.reply(Datagram{Heartbeat: g.ownHeartbeat(now)}, from)
		}
		g.forget(g.peers.takeReplaced(), now)
		if d.Heartbeat.ReportsRegion && d.Heartbeat.Entry.Region != g.config.Self.Region {
			g.peers.observeRegionReport(d.Heartbeat.Entry, d.Heartbeat.Down, now)
		}
		// What arrived during a suspension is older than it says. The next heartbeats are not.
		isCurrent := !g.peers.suspensions.Interrupted(now, now)
		for _, n := range d.Heartbeat.Named {
			if isCurrent {
				g.mergeNamedAge(n, d.Heartbeat.Entry.Host, now)
			}
		}
		g.noteHoldsRestored(d.Heartbeat, now)
		g.peers.recordStoreAnswer(d.Heartbeat.Entry.Host, time.Duration(d.Heartbeat.StoreAnswerAgeMs)*time.Millisecond, now)
		if d.Heartbeat.StoreUptime != nil {
			g.recordStoreUptime(d.Heartbeat.StoreUptime.span(now), now)
		}
		for _, report := range g.holdsForPeer(d.Heartbeat.HeldDigest, now) {
			g.reply(Datagram{Crashes: &report}, from)
		}
	}
	if d.Crashes != nil {
		g.applyCrashReports(d.Crashes, from, now)
	}
	if d.Counts != nil {
		g.applyCounts(d.Counts, now)
	}
	g.applyRateReports(d.RateReports, now)
	if d.Load != nil {
		d.Load.Load.AgentAddress = from.String()
		g.fleet.ApplyReport(d.Load.Load, now)
		g.logSpeedChanges()
		g.logRestarts()
		if g.isAgentOutdated(d.Load, now) {
			g.reply(Datagram{Changed: true, Named: g.namedAgesAt(d.Load.Load.Address, now)}, from)
		}
	}
}

// applyCounts applies another entry's request counts. Counts of processes that have been
// replaced by a restart are dropped. The caller holds the lock.
func (g *Gateway) applyCounts(counts *Counts, now time.Duration) {
	if g.peers.acceptSequence(counts.From, counts.Sequence) {
		current := func(id string) bool { return g.fleet.IsCurrentBoot(id, counts.Boots[id], now) }
		maps.DeleteFunc(counts.Requests, func(id string, _ int) bool { return !current(id) })
		counts.Silent = slices.DeleteFunc(counts.Silent, func(id string) bool { return !current(id) })
		g.fleet.SetPeerCounts(counts.From, counts.Requests, now)
		g.fleet.SetPeerSilent(counts.From, counts.Silent, now)
		g.applySpeeds(counts, now)
		g.applyDemand(counts.From, counts.Demand, now)
	}
}

// reply sends a message to the sender of a datagram.
func (g *Gateway) reply(d Datagram, to net.Addr) {
	data, err := EncodeDatagram(d)
	if err != nil {
		g.log.Error("failed to encode datagram", zap.Error(err))
		return
	}
	g.socket.Reply(data, to)
}

// sendTo sends one message to each address.
func (g *Gateway) sendTo(d Datagram, addresses []string) {
	data, err := EncodeDatagram(d)
	if err != nil {
		g.log.Error("failed to encode datagram", zap.Error(err))
		return
	}
	if err := g.socket.Send(data, addresses...); err != nil {
		g.log.Warn("invalid entry address", zap.Error(err))
	}
}

// runHeartbeat sends a heartbeat to the region and to some entries of other regions at every
// interval, and one to the region whenever heartbeatNow requests it.
func (g *Gateway) runHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-g.heartbeatNow:
			g.sendHeartbeat(boottime.Now(), g.addressesOf(scopeRegion))
		case <-ticker.C:
			g.sendTurn(boottime.Now(), tick%heartbeatsPerRemote)
			tick++
		}
	}
}

// requestHeartbeat requests an immediate heartbeat to the region.
func (g *Gateway) requestHeartbeat() {
	select {
	case g.heartbeatNow <- struct{}{}:
	default:
	}
}

// sendTurn sends the heartbeat of one interval: to the region, and, if this entry is a delegate of its
// region, to one in heartbeatsPerRemote of the other entries, each in its turn. It also sends the
// recent crash reports, to the region once in a round of turns.
//
// Entries that start together have the same ticks. If each sent its heartbeats to all other regions
// at once, they would fill the links between regions for a moment.
func (g *Gateway) sendTurn(now time.Duration, turn int) {
	g.mu.Lock()
	region, remote := g.peers.addresses(scopeRegion), inTurn(g.peers.addresses(scopeRemote), turn)
	delegate := g.peers.delegate(now)
	reports := g.crashes.RecentReports(now)
	heartbeat := g.ownHeartbeat(now)
	g.mu.Unlock()
	g.sendHeartbeat(now, region)
	if delegate.sends {
		heartbeat.ReportsRegion, heartbeat.Down = delegate.reportsRegion, delegate.down
		g.sendTo(Datagram{Heartbeat: heartbeat}, remote)
	}
	if turn == 0 {
		remote = append(remote, region...)
	}
	g.sendCrashReports(reports, remote)
}

// inTurn returns the addresses that get a heartbeat in one of heartbeatsPerRemote turns.
func inTurn(addresses []string, turn int) []string {
	var due []string
	for i := turn; i < len(addresses); i += heartbeatsPerRemote {
		due = append(due, addresses[i])
	}
	return due
}

// sendHeartbeat sends a heartbeat to some entries. It also drops the counts of entries that have
// timed out.
func (g *Gateway) sendHeartbeat(now time.Duration, addresses []string) {
	g.mu.Lock()
	g.forget(g.peers.timedOut(now), now)
	heartbeat := g.ownHeartbeat(now)
	g.metrics.quarantined.Set(float64(g.crashes.HeldCount(quarantine.KindRequest, now)))
	g.metrics.quarantinedParts.Set(float64(g.crashes.HeldCount(quarantine.KindOrganisationPart, now) + g.crashes.HeldCount(quarantine.KindPart, now)))
	g.metrics.rateLimited.Set(float64(g.fleet.RateLimitedCount()))
	g.metrics.slowServers.Set(float64(g.fleet.SlowCount()))
	g.mu.Unlock()
	g.sendTo(Datagram{Heartbeat: heartbeat}, addresses)
}

// forget drops what other entries have reported. The caller holds the lock.
func (g *Gateway) forget(hosts []filbertlever.HostID, now time.Duration) {
	for _, host := range hosts {
		g.fleet.SetPeerCounts(host, nil, now)
		g.fleet.SetPeerSilent(host, nil, now)
		g.removeDemand(host)
	}
}

// addressesOf returns the datagram addresses of the entries in a scope.
func (g *Gateway) addressesOf(to scope) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers.addresses(to)
}

// sendCrashReports sends reports on requests that crash backend servers.
func (g *Gateway) sendCrashReports(reports []quarantine.CrashReport, addresses []string) {
	for _, report := range reports {
		g.sendTo(Datagram{Crashes: &report}, addresses)
	}
}

// ownHeartbeat returns the heartbeat of this entry. The caller holds the lock.
func (g *Gateway) ownHeartbeat(now time.Duration) *Heartbeat {
	return &Heartbeat{Entry: g.config.Self, Ready: g.readyLocked(now), StoreUnreachable: g.storeUnreachable(now), Named: g.namedAges(now), HeldDigest: g.crashes.Digest(now), Restored: g.holdsRestored.Load(), StoreUptime: g.storeUptime(now), StoreAnswerAgeMs: g.storeAnswerAgeMs(now)}
}
