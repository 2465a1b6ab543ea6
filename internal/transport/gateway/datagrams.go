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

func (g *Gateway) runDatagrams(ctx context.Context) {
	go g.runClose(ctx)
	for {
		if err := g.socket.Receive(g.receive); err != nil {
			if ctx.Err() == nil {
				g.log.Error("datagrams end", zap.Error(err))
			}
			return
		}
	}
}

func (g *Gateway) receive(data []byte, from net.Addr) {
	d, err := DecodeDatagram(data)
	if err != nil {
		g.metrics.badDatagrams.Inc()
		return
	}
	g.take(d, from)
}

func (g *Gateway) runClose(ctx context.Context) {
	<-ctx.Done()
	_ = g.socket.Close()
}

func (g *Gateway) take(d *Datagram, from net.Addr) {
	now := boottime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.Beat != nil && d.Beat.Entry.Host != g.config.Self.Host {
		if g.peers.hear(d.Beat.Entry, d.Beat.Ready, d.Beat.Lost, now) {
			// Who has just started soon knows who else lives.
			g.reply(Datagram{Beat: g.ownBeat(now)}, from)
		}
		for _, n := range d.Beat.Named {
			if n.Known {
				g.heardNamed(n.Model, n.Version, n.Age, now)
			}
		}
		g.heardRestored(d.Beat, now)
		g.peers.noteAnswered(d.Beat.Entry.Host, time.Duration(d.Beat.Answered)*time.Millisecond, now)
		if d.Beat.Store != nil {
			g.takeStoreUp(d.Beat.Store.span(now), now)
		}
		for _, news := range g.tellHolds(d.Beat.Held, now) {
			g.reply(Datagram{News: &news}, from)
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

// takeCounts takes another entry's requests; the caller holds the lock.
func (g *Gateway) takeCounts(counts *Counts, now time.Duration) {
	if g.peers.newer(counts.From, counts.Sequence) {
		told := func(id string) bool { return g.fleet.IsCurrent(id, counts.Boots[id], now) }
		maps.DeleteFunc(counts.Requests, func(id string, _ int) bool { return !told(id) })
		counts.Silent = slices.DeleteFunc(counts.Silent, func(id string) bool { return !told(id) })
		g.fleet.SetCounts(counts.From, counts.Requests, now)
		g.fleet.SetSilent(counts.Silent, now)
	}
}

// reply sends a message back to where one came from.
func (g *Gateway) reply(d Datagram, to net.Addr) {
	data, err := EncodeDatagram(d)
	if err != nil {
		g.log.Error("datagram not sent", zap.Error(err))
		return
	}
	g.socket.Reply(data, to)
}

// sendAll sends one message to each address.
func (g *Gateway) sendAll(d Datagram, addresses []string) {
	data, err := EncodeDatagram(d)
	if err != nil {
		g.log.Error("datagram not sent", zap.Error(err))
		return
	}
	if err := g.socket.Send(data, addresses...); err != nil {
		g.log.Warn("an entry has a bad address", zap.Error(err))
	}
}

func (g *Gateway) runHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	g.beat(boottime.Now(), true)
	for turn := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-g.beatNow:
			g.beat(boottime.Now(), false)
		case <-ticker.C:
			g.beat(boottime.Now(), turn%farBeats == 0)
			turn++
		}
	}
}

// beat tells the other entries of the region, or all, that this one lives.
func (g *Gateway) beat(now time.Duration, all bool) {
	g.mu.Lock()
	for _, host := range g.peers.silent(now) {
		g.fleet.SetCounts(host, nil, now)
	}
	to := reachNear
	if all {
		to = reachAll
	}
	addresses := g.peers.addresses(to)
	beat := g.ownBeat(now)
	var recent []quarantine.News
	if all {
		recent = g.crashes.Recent(now)
	}
	g.metrics.quarantined.Set(float64(g.crashes.HeldCount(now)))
	g.mu.Unlock()
	g.sendAll(Datagram{Beat: beat}, addresses)
	g.sendNews(recent, addresses)
}

// sendNews tells other entries of requests that end the servers that run them.
func (g *Gateway) sendNews(all []quarantine.News, addresses []string) {
	for _, news := range all {
		g.sendAll(Datagram{News: &news}, addresses)
	}
}

// ownBeat is this entry's heartbeat; the caller holds the lock.
func (g *Gateway) ownBeat(now time.Duration) *Beat {
	return &Beat{Entry: g.config.Self, Ready: g.readyLocked(now), Lost: g.lost(now), Named: g.namedAges(now), Held: g.crashes.Digest(now), Restored: g.restored.Load(), Store: g.storeUptime(now), Answered: g.answeredAgo(now)}
}
