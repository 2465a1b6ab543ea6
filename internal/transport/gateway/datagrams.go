package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

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
	g.take(d, from)
}

// runCloseSocket closes the socket when ctx ends, which unblocks runDatagrams.
func (g *Gateway) runCloseSocket(ctx context.Context) {
	<-ctx.Done()
	_ = g.socket.Close()
}

// handleDatagram applies a decoded datagram.
func (g *Gateway) take(d *Datagram, from net.Addr) {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.Beat != nil && d.Beat.Entry.Host != g.config.Self.Host {
		if g.peers.hear(d.Beat.Entry, d.Beat.Ready, d.Beat.StoreUnreachable, now) {
			// A process that has just started discovers the others by their replies.
			g.reply(Datagram{Beat: g.ownHeartbeat(now)}, from)
		}
		for _, n := range d.Beat.Named {
			if n.Known {
				g.heardNamed(n.Model, n.Version, n.Age, now)
			}
		}
		g.heardRestored(d.Beat, now)
		g.peers.recordStoreAnswer(d.Beat.Entry.Host, time.Duration(d.Beat.StoreAnswerAgeMs)*time.Millisecond, now)
		if d.Beat.StoreUptime != nil {
			g.recordStoreUptime(d.Beat.StoreUptime.span(now), now)
		}
		for _, report := range g.tellHolds(d.Beat.Held, now) {
			g.reply(Datagram{News: &report}, from)
		}
	}
	if d.News != nil {
		g.takeCrashes(d.News, from, now)
	}
	if d.Counts != nil {
		g.takeCounts(d.Counts, now)
	}
	if d.Load != nil {
		d.Load.Load.Agent = from.String()
		g.fleet.Report(d.Load.Load, now)
		g.logRestarts()
		if g.news(d.Load, now) {
			g.reply(Datagram{Changed: true}, from)
		}
	}
}

// applyCounts applies another entry's request counts. Counts of processes that have been
// replaced by a restart are dropped. The caller holds the lock.
func (g *Gateway) takeCounts(counts *Counts, now time.Duration) {
	if g.peers.acceptSequence(counts.From, counts.Sequence) {
		current := func(id string) bool { return g.fleet.IsCurrent(id, counts.Boots[id], now) }
		maps.DeleteFunc(counts.Requests, func(id string, _ int) bool { return !current(id) })
		counts.Silent = slices.DeleteFunc(counts.Silent, func(id string) bool { return !current(id) })
		g.fleet.SetCounts(counts.From, counts.Requests, now)
		g.fleet.SetSilent(counts.Silent, now)
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

// runHeartbeat sends a heartbeat to all entries at the start, then one at every interval, and
// one to the region whenever beatNow requests it.
func (g *Gateway) runHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	g.beat(boottime.Now(), true)
	for tick := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-g.beatNow:
			g.beat(boottime.Now(), false)
		case <-ticker.C:
			g.beat(boottime.Now(), tick%heartbeatsPerRemote == 0)
			tick++
		}
	}
}

// sendHeartbeat sends a heartbeat to the other entries of the region, or to all entries. It
// also drops the counts of entries that have timed out.
func (g *Gateway) beat(now time.Duration, all bool) {
	g.mu.Lock()
	for _, host := range g.peers.timedOut(now) {
		g.fleet.SetCounts(host, nil, now)
	}
	to := scopeRegion
	if all {
		to = scopeAll
	}
	addresses := g.peers.addresses(to)
	heartbeat := g.ownHeartbeat(now)
	var recent []quarantine.News
	if all {
		recent = g.crashes.Recent(now)
	}
	g.metrics.quarantined.Set(float64(g.crashes.HeldCount(now)))
	g.mu.Unlock()
	g.sendTo(Datagram{Beat: heartbeat}, addresses)
	g.sendCrashReports(recent, addresses)
}

// sendCrashReports sends reports on requests that crash backend servers.
func (g *Gateway) sendCrashReports(reports []quarantine.News, addresses []string) {
	for _, report := range reports {
		g.sendTo(Datagram{News: &report}, addresses)
	}
}

// ownHeartbeat returns the heartbeat of this entry. The caller holds the lock.
func (g *Gateway) ownHeartbeat(now time.Duration) *Beat {
	return &Beat{Entry: g.config.Self, Ready: g.readyLocked(now), StoreUnreachable: g.lost(now), Named: g.namedAges(now), Held: g.crashes.Digest(now), Restored: g.restored.Load(), StoreUptime: g.storeUptime(now), StoreAnswerAgeMs: g.storeAnswerAgeMs(now)}
}
